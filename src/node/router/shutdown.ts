/** Refuses requests that a VM that shuts down might have to cut off, and reports those that it cuts off. */

import type { Logger } from 'pino';

import { Failure } from '../../core/failure';
import type { Shutdown, ShutdownBounds } from '../../core/shutdown';
import { mayTake, shutdownOf } from '../../core/shutdown';
import { LoopPolls } from '../../utils/looppolls';
import type { Exchange } from './exchange';

/** Dependencies of the shutdown. */
export interface ShutdownContext {
  readonly vm: string;
  /** The settings in force. */
  readonly bounds: () => ShutdownBounds;
  readonly log: Logger;
}

/** Retry delay for callers whose requests are not taken: other VMs take them now. */
const RETRY_MS = 0;
/** Log lines about requests that are cut off. */
const MAX_CUT_OFF_LINES = 50;

/** The shutdown of one VM. */
export class ShutdownController {
  readonly #context: ShutdownContext;

  readonly #polls = new LoopPolls();

  #shutdown: Shutdown | undefined;

  #hasEnded = false;

  constructor(context: ShutdownContext) {
    this.#context = context;
  }

  /** Whether the VM was told to stop. */
  get hasBegun(): boolean {
    return this.#shutdown !== undefined;
  }

  /** Must be called when the VM starts. */
  watch(now: number): void {
    this.#polls.start(now);
  }

  /**
   * Must be called when the VM handles the signal to stop.
   * @param active number of requests in progress, for the log
   */
  begin(now: number, active: number): Shutdown {
    const { bounds, log } = this.#context;
    const signalledAfter = this.#polls.signalledAfter(now);
    this.#polls.stop();
    this.#shutdown ??= shutdownOf(now, bounds(), signalledAfter);
    log.info({ active, waitedMs: Math.round(now - signalledAfter) }, 'Draining.');
    return this.#shutdown;
  }

  /** The reason why a request is not taken; undefined if it is. */
  refusal(now: number, { deadlineAt }: Pick<Exchange, 'deadlineAt'>): Failure | undefined {
    if (!this.#shutdown) return undefined;
    if (!this.#hasEnded && mayTake(now, this.#shutdown, deadlineAt)) return undefined;
    return this.#draining('may stop before the deadline of the request');
  }

  /**
   * Refuses the requests that have not been sent to a runner and would not be taken any more: their
   * runs would begin too late. Must be called once callers may not use the address any more.
   */
  refuseUnsent(now: number, exchanges: readonly Exchange[]): void {
    for (const exchange of exchanges) {
      const refused = exchange.isSent ? undefined : this.refusal(now, exchange);
      if (refused) exchange.refuse(refused);
    }
  }

  /** Ends the requests whose responses have not begun, so that their callers get errors. */
  expire(exchanges: readonly Exchange[]): void {
    const failure = this.#draining('stops');
    exchanges.forEach((exchange) => exchange.expire(failure));
  }

  #draining(detail: string): Failure {
    const { vm } = this.#context;
    return new Failure('draining', `${vm} ${detail}`, { retryAfterMs: RETRY_MS });
  }

  /** Takes no more requests, and logs those in progress, which are about to be cut off. */
  end(now: number, exchanges: readonly Exchange[]): void {
    this.#hasEnded = true;
    const { log } = this.#context;
    const beganAt = this.#shutdown?.beganAt ?? now;
    for (const exchange of exchanges.slice(0, MAX_CUT_OFF_LINES)) {
      const { request, service, arrivedAt, status, arrivals, trail } = exchange;
      const arrivedMs = Math.round(arrivedAt - beganAt);
      const remainingMs = Math.round(exchange.remainingMs(now));
      const times = { arrivedMs, cutMs: Math.round(now - beganAt), remainingMs };
      const progress = { status, arrivals: arrivals.counts, trail };
      log.warn({ request: request.id, service, ...times, ...progress }, 'Cut off a request.');
    }
  }
}
