/** The retry budgets of this VM's services: each call to a runner for a request is charged here, or free. */

import type { Logger } from 'pino';

import { Failure } from '../../core/failure';
import type { FleetCensus } from '../../core/membership/census';
import type { ArrivalKind } from '../../core/retries/arrivals';
import type { ProcessStart, RetryBounds, RetryShare } from '../../core/retries/budget';
import { RetryBudget } from '../../core/retries/budget';
import type { Runner } from '../../core/routing/types';
import { LazyMap } from '../../utils/lazymap';
import { LogRateLimiter } from '../loglimiter';
import type { Metrics } from '../metrics';
import type { Exchange } from './exchange';

/** Dependencies of the retry budgets. */
export interface RetryContext {
  /** The bounds in force. */
  readonly bounds: () => RetryBounds;
  readonly census: Pick<FleetCensus, 'size' | 'isComplete'>;
  readonly metrics: Metrics;
  readonly log: Logger;
}

/** Log lines per second about repeats that were refused, and about those that were sent. */
const LINES_PER_S = 20;
/** Retry delay for callers whose requests could not be sent again. */
const RETRY_MS = 400;

/** The kind of call that a runner gets by its role. */
export function arrivalKindOf({ role }: Pick<Runner, 'role'>): ArrivalKind {
  return role === 'prefill' ? 'prefill' : 'run';
}

/** The failure of a request that must not be sent to a runner again. */
export function budgetSpentFailure(service: string, kind: ArrivalKind): Failure {
  const detail = `the budget of ${service} allows no further ${kind}`;
  return new Failure('retryBudgetSpent', detail, { retryAfterMs: RETRY_MS });
}

/** Charges repeats to the budgets of their services. */
export class RetryController {
  readonly #context: RetryContext;

  readonly #start: ProcessStart;

  readonly #budgets: LazyMap<string, RetryBudget>;

  readonly #refusedLines: LogRateLimiter;

  readonly #sentLines: LogRateLimiter;

  constructor(start: ProcessStart, context: RetryContext) {
    const { log } = context;
    this.#start = start;
    this.#budgets = new LazyMap(() => new RetryBudget(start));
    this.#context = context;
    this.#refusedLines = new LogRateLimiter(LINES_PER_S, (lines) =>
      log.info({ lines }, 'Refused more retries.'),
    );
    this.#sentLines = new LogRateLimiter(LINES_PER_S, (lines) =>
      log.info({ lines }, 'Sent more requests again.'),
    );
  }

  /** Records a request of a caller. */
  requested(now: number, { service }: Exchange): void {
    const share = this.#share(now);
    this.#context.metrics.gauge('retries.vms', share.vms ?? 0);
    this.#budgets.get(service).earn(share);
  }

  /**
   * Whether the budget allows one more call for a request; a prefill only if the run that follows
   * it is allowed, too. Nothing is charged.
   */
  affords(now: number, exchange: Exchange, kind: ArrivalKind): boolean {
    const { service, arrivals } = exchange;
    const budget = this.#budgets.get(service);
    if (budget.affords(now, this.#share(now), arrivals.costOf(kind), arrivals.held)) return true;
    this.#refused(now, exchange, kind);
    return false;
  }

  /**
   * Sets aside what one more run of a request costs; false if the budget does not allow that. What
   * is not used is released by `settle`.
   */
  holdRun(now: number, exchange: Exchange): boolean {
    return this.#hold(now, exchange, exchange.arrivals.costOf('run').repeats);
  }

  /** The same for one more prefill and the run that follows it. */
  holdPrefill(now: number, exchange: Exchange): boolean {
    const { repeats, held } = exchange.arrivals.costOf('prefill');
    return this.#hold(now, exchange, repeats + held);
  }

  #hold(now: number, { service, arrivals }: Exchange, cost: number): boolean {
    const repeats = Math.max(arrivals.held, cost);
    const isHeld = this.#budgets.get(service).hold(now, this.#share(now), repeats, arrivals.held);
    if (isHeld) arrivals.hold(repeats);
    return isHeld;
  }

  /** Charges a call that is sent to a runner now; throws `retryBudgetSpent` if that is not allowed. */
  charge(now: number, exchange: Exchange, runner: Pick<Runner, 'id' | 'role'>): void {
    const { service, arrivals } = exchange;
    const kind = arrivalKindOf(runner);
    const cost = arrivals.costOf(kind);
    const isPaid = this.#budgets.get(service).spend(now, this.#share(now), cost, arrivals.held);
    if (!isPaid) {
      this.#refused(now, exchange, kind);
      throw budgetSpentFailure(service, kind);
    }
    arrivals.add(kind, cost);
    this.#sent(now, exchange, runner, cost.repeats);
  }

  /** Returns what was charged for a call that did not reach its runner. */
  unreached(now: number, { service, arrivals }: Exchange, runner: Pick<Runner, 'role'>): void {
    const surplus = arrivals.remove(arrivalKindOf(runner));
    this.#budgets.get(service).giveBack(this.#share(now), surplus);
  }

  /** Returns what was charged for a prefill that turned out to be free. */
  prefilled(now: number, { service, arrivals }: Exchange): void {
    this.#budgets.get(service).giveBack(this.#share(now), arrivals.prefilled());
  }

  /** Releases what is set aside for a request; must be called when it has ended. */
  settle({ service, arrivals }: Exchange): void {
    this.#budgets.get(service).release(arrivals.settle());
  }

  #share(now: number): RetryShare {
    const { bounds, census } = this.#context;
    return { bounds: bounds(), vms: census.isComplete ? census.size(now) : undefined };
  }

  #refused(now: number, { request, service, arrivals }: Exchange, kind: ArrivalKind): void {
    const { metrics, log } = this.#context;
    metrics.count('retries.refused');
    if (!this.#refusedLines.tryAcquire(now)) return;
    const fields = { request: request.id, service, kind, ...arrivals.counts };
    log.info({ ...fields, ...this.#fields(now, service) }, 'Refused a retry.');
  }

  #sent(
    now: number,
    { request, service, arrivals }: Exchange,
    { id: runner, role }: Pick<Runner, 'id' | 'role'>,
    charged: number,
  ): void {
    const { metrics, log } = this.#context;
    const { counts } = arrivals;
    metrics.count(charged > 0 ? 'arrivals.charged' : 'arrivals.free');
    const isFirst = counts.prefills <= 1 && counts.runs <= 1;
    if (isFirst || !this.#sentLines.tryAcquire(now)) return;
    const fields = { request: request.id, service, runner, role, ...counts, charged };
    log.info({ ...fields, ...this.#fields(now, service) }, 'Sent a request again.');
  }

  /** What a decision rests on, for the log. */
  #fields(now: number, service: string): Readonly<Record<string, unknown>> {
    const share = this.#share(now);
    const ageMs = Math.round(now - this.#start.at);
    return { vms: share.vms, ageMs, ...this.#budgets.get(service).state(now, share) };
  }
}
