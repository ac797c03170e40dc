/** The retry budgets of this VM's services, and what they are spent on. */

import type { Logger } from 'pino';

import type { RetryBounds } from '../../core/retries/window';
import { RetryWindow } from '../../core/retries/window';
import type { Runner } from '../../core/routing/types';
import { LazyMap } from '../../utils/lazymap';
import { LogRateLimiter } from '../loglimiter';
import type { Metrics } from '../metrics';
import type { Exchange } from './exchange';
import type { RouterFleet } from './fleet';

/** Dependencies of the retry budgets. */
export interface RetryContext {
  /** The bounds in force. */
  readonly bounds: () => RetryBounds;
  readonly fleet: Pick<RouterFleet, 'alive'>;
  readonly metrics: Metrics;
  readonly log: Logger;
}

/** Log lines per second about charges, and about repeated sends. */
const LINES_PER_S = 20;

/** Charges retries to the budgets of their services. */
export class RetryController {
  readonly #context: RetryContext;

  readonly #windows: LazyMap<string, RetryWindow>;

  readonly #chargeLines: LogRateLimiter;

  readonly #sendLines: LogRateLimiter;

  constructor(context: RetryContext) {
    const { bounds, log } = context;
    this.#context = context;
    this.#windows = new LazyMap(() => new RetryWindow(bounds()));
    this.#chargeLines = new LogRateLimiter(LINES_PER_S, (lines) =>
      log.info({ lines }, 'Charged or refused more retries.'),
    );
    this.#sendLines = new LogRateLimiter(LINES_PER_S, (lines) =>
      log.info({ lines }, 'Sent more requests again.'),
    );
  }

  /** Records a request of a caller. */
  requested(now: number, service: string): void {
    this.#windows.get(service).recordFirst(now);
  }

  /** Takes one retry from the budget of the request's service; false if it is exhausted. */
  tryTake(now: number, { request, service, arrivals }: Exchange): boolean {
    const { fleet, metrics, log } = this.#context;
    const window = this.#windows.get(service);
    const vms = fleet.alive.length;
    const isTaken = window.trySpend(now, vms);
    if (isTaken) arrivals.pay(1);
    metrics.count(isTaken ? 'retries.charged' : 'retries.refused');
    if (this.#chargeLines.tryAcquire(now)) {
      const state = window.state(now, vms);
      const text = isTaken ? 'Charged a retry.' : 'Refused a retry: the budget is spent.';
      log.info({ request: request.id, service, vms, ...state }, text);
    }
    return isTaken;
  }

  /** Records that a request is sent to a runner. */
  sent(now: number, { request, service, arrivals }: Exchange, runner: Runner): void {
    const { metrics, log } = this.#context;
    const { id, role } = runner;
    const before = arrivals.repeats;
    arrivals.add(role === 'prefill' ? 'prefill' : 'run');
    const { counts } = arrivals;
    const isRepeat = counts.repeats > before;
    metrics.count(isRepeat ? 'arrivals.repeated' : 'arrivals.free');
    const isFirst = counts.prefills <= 1 && counts.runs <= 1;
    if (isFirst || !this.#sendLines.tryAcquire(now)) return;
    log.info(
      { request: request.id, service, runner: id, role, ...counts, isRepeat },
      'Sent a request again.',
    );
  }
}
