/** Holds requests of this VM while all runners of their plain service are full. */

import { setTimeout as pause } from 'node:timers/promises';

import { Failure } from '../../core/failure';
import { HoldQueue } from '../../core/plain/holdqueue';
import type { Runner } from '../../core/routing/types';
import { LazyMap } from '../../utils/lazymap';
import type { Metrics } from '../metrics';
import type { Exchange } from './exchange';
import type { PlainLoads } from './plainloads';

/** Dependencies of the holds. */
export interface PlainHoldContext {
  readonly loads: Pick<PlainLoads, 'slotsOf'>;
  readonly metrics: Metrics;
}

/** Time over which callers return after a rejection, in milliseconds. */
const RETURN_SPREAD_MS = 300;

/** Whether a request is to be sent to the runner that was chosen, or a runner is to be chosen again. */
export type HoldOutcome = 'send' | 'again' | Failure;

/** Requests that are held, by service. */
export class PlainHolds {
  readonly #context: PlainHoldContext;

  readonly #queues = new LazyMap<string, HoldQueue<Exchange>>(() => new HoldQueue());

  /** Ends the wait of a held request. */
  readonly #wakes = new Map<Exchange, () => void>();

  constructor(context: PlainHoldContext) {
    this.#context = context;
  }

  /** Waits if all runners were full when a runner was chosen for the request by its load. */
  async pass(now: number, exchange: Exchange, runner: Runner): Promise<HoldOutcome> {
    const { service, placement, refusal } = exchange;
    if (refusal) return this.#leave(exchange, refusal);
    if (placement?.runner !== runner.id) return this.#leave(exchange, 'send');
    const queue = this.#queues.get(service);
    const slots = this.#context.loads.slotsOf(now, service);
    const decision = queue.decide(now, exchange, placement, placement.ageMs, slots);
    if (decision.kind === 'send') return this.#leave(exchange, 'send');
    const { metrics } = this.#context;
    if (decision.kind === 'reject') {
      metrics.count('plain.rejected', 1, { service });
      return this.#leave(exchange, failureOf('runnersBusy', service, decision.retryAfterMs));
    }
    const { waitMs } = placement.expected;
    const last = queue.overflow(slots);
    if (last) {
      metrics.count('plain.rejected', 1, { service });
      last.refuse(failureOf('queueFull', service, waitMs));
    }
    if (exchange.heldMs === 0) metrics.count('plain.held', 1, { service });
    if (!placement.areAllFull && queue.first) this.#wakes.get(queue.first)?.();
    await this.#wait(exchange, decision.ms);
    exchange.held(performance.now() - now);
    return 'again';
  }

  /** Ends the hold of a request that is not sent. */
  leave(exchange: Exchange): void {
    this.#leave(exchange, 'send');
  }

  #leave<T extends HoldOutcome>(exchange: Exchange, outcome: T): T {
    const queue = this.#queues.get(exchange.service);
    if (queue.size > 0) {
      queue.remove(exchange);
      const { first } = queue;
      if (first) this.#wakes.get(first)?.();
    }
    return outcome;
  }

  async #wait(exchange: Exchange, ms: number): Promise<void> {
    const ended = new AbortController();
    const signal = AbortSignal.any([exchange.waitSignal, ended.signal]);
    this.#wakes.set(exchange, () => ended.abort());
    await pause(ms, undefined, { signal }).catch(() => undefined);
    this.#wakes.delete(exchange);
  }
}

function failureOf(code: 'runnersBusy' | 'queueFull', service: string, waitMs: number): Failure {
  const detail = `all runners of ${service} are full`;
  return new Failure(code, detail, { retryAfterMs: waitMs + Math.random() * RETURN_SPREAD_MS });
}
