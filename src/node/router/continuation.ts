/** Prepares the run that continues a silent stream, while the silent run may still go on. */

import { Failure, toFailure } from '../../core/failure';
import type { Runner } from '../../core/routing/types';
import type { Exchange } from './exchange';
import type { PlacedRun, Placements } from './placements';
import type { Progress } from './progress';
import type { RetryController } from './retries';
import { budgetSpentFailure } from './retries';

/** Dependencies of a continuation. */
export interface ContinuationContext {
  readonly placements: Pick<
    Placements,
    'place' | 'decodeRunner' | 'recheck' | 'sendRefusal' | 'giveBack'
  >;
  readonly retries: Pick<RetryController, 'holdRun' | 'settle'>;
}

/** A run that only has to be sent. */
export interface PreparedRun {
  readonly placed: PlacedRun;
  readonly runner: Runner;
}

interface Preparation {
  readonly result: Promise<PreparedRun | Failure>;
  readonly controller: AbortController;
}

/** The continuation of one request; at most one is prepared at a time. */
export class Continuation {
  readonly #context: ContinuationContext;

  readonly #exchange: Exchange;

  readonly #progress: Progress;

  #prepared: PreparedRun | undefined;

  /** What is being given back. */
  readonly #returns = new Set<Promise<void>>();

  /** Number of attempts that the request has begun; each uses what is set aside for the request. */
  #attempts = 0;

  #current: Preparation | undefined;

  constructor(context: ContinuationContext, exchange: Exchange, progress: Progress) {
    this.#context = context;
    this.#exchange = exchange;
    this.#progress = progress;
  }

  /**
   * Prepares a run at another runner than the silent one: quota, retry budget, reservation,
   * admission, prefill, and the check of the runner. Resolves to why that is not possible now, when
   * nothing of it is kept; undefined if it is prepared.
   */
  async prepare(silentRunner: string): Promise<Failure | undefined> {
    const controller = new AbortController();
    const result = this.#prepare(silentRunner, controller.signal).catch(toFailure);
    const current = { result, controller };
    this.#current = current;
    const prepared = await result;
    if (this.#current !== current) return new Failure('internal', 'the silent run goes on');
    if (!(prepared instanceof Failure)) {
      this.#prepared = prepared;
      return undefined;
    }
    this.#current = undefined;
    this.#context.retries.settle(this.#exchange);
    return prepared;
  }

  /** Why the prepared run must not be sent any more, as far as this VM knows; undefined if it may be. */
  confirm(now: number): Failure | undefined {
    const { placements, retries } = this.#context;
    if (!this.#prepared) return new Failure('runnerUnavailable', 'nothing is prepared');
    const exchange = this.#exchange;
    const refused = placements.sendRefusal(now, exchange, this.#prepared.runner);
    if (refused) return refused;
    // What was given back to a full budget after a prefill is not set aside any more.
    const isPaid = retries.holdRun(now, exchange);
    return isPaid ? undefined : budgetSpentFailure(exchange.service, 'run');
  }

  /**
   * Gives back what is prepared, also if it is still being prepared. Its repeat stays set aside
   * until nobody is asked for the run any more, so that no other stream asks in its place before.
   */
  cancel(): void {
    const current = this.#current;
    if (!current) return;
    this.#current = undefined;
    this.#prepared = undefined;
    current.controller.abort();
    const { placements, retries } = this.#context;
    const attempts = this.#attempts;
    const returned = current.result.then((prepared) => {
      if (!(prepared instanceof Failure)) placements.giveBack(this.#exchange, prepared.placed);
      if (attempts === this.#attempts) retries.settle(this.#exchange);
      this.#returns.delete(returned);
    });
    this.#returns.add(returned);
  }

  /** Gives back what is prepared; resolves when nothing is charged or set aside for it any more. Must be called when the request ends. */
  async close(): Promise<void> {
    this.cancel();
    await Promise.all(this.#returns);
  }

  /** Hands over the prepared run, or awaits it; undefined if there is none. */
  async take(): Promise<PreparedRun | undefined> {
    this.#attempts += 1;
    const current = this.#current;
    if (!current) return undefined;
    const prepared = await current.result;
    if (this.#current !== current) return undefined;
    this.#current = undefined;
    this.#prepared = undefined;
    return prepared instanceof Failure ? undefined : prepared;
  }

  async #prepare(silentRunner: string, signal: AbortSignal): Promise<PreparedRun | Failure> {
    const { placements, retries } = this.#context;
    const exchange = this.#exchange;
    const { service } = exchange;
    // What an earlier preparation gives back would be taken from this one.
    await Promise.all(this.#returns);
    const refused = placements.recheck(exchange);
    if (refused) return refused;
    if (signal.aborted) return new Failure('internal', 'the silent run goes on');
    if (!retries.holdRun(performance.now(), exchange)) return budgetSpentFailure(service, 'run');
    const options = { cancelled: signal, excluded: [silentRunner] };
    const placed = await placements.place(exchange, this.#progress, options);
    if (typeof placed === 'boolean') {
      return new Failure('runnerUnavailable', 'the prefill failed, or its runner is unavailable');
    }
    try {
      const runner = await placements.decodeRunner(exchange, placed.decode);
      if (runner && runner.id !== silentRunner && !signal.aborted) return { placed, runner };
    } catch (error) {
      placements.giveBack(exchange, placed);
      throw error;
    }
    placements.giveBack(exchange, placed);
    return new Failure('runnerUnavailable', `${placed.decode ?? 'no runner'} takes no requests`);
  }
}
