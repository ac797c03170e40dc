/** Prefills of one request at prefill runners, whose KV caches decode runners fetch. */

import type { CodeName } from '../../core/codes';
import { toFailure } from '../../core/failure';
import type { Runner } from '../../core/routing/types';
import { findRunner } from '../../core/routing/types';
import type { PendingPrefill } from '../../core/stream/silence';
import { mayAbandon, PREFILL_MS } from '../../core/stream/silence';
import type { Exchange } from './exchange';
import type { PermitController } from './permits';
import type { Progress } from './progress';
import type { RetryController } from './retries';
import type { RoutingState } from './routingstate';
import type { Runs } from './runs';
import type { CacheHandle, RunnerClient, RunnerPaths } from './types';

/** Dependencies of the prefills. */
export interface PrefillContext {
  readonly routingState: Pick<RoutingState, 'openRunnersOf' | 'accepts'>;
  readonly paths: Pick<RunnerPaths, 'reaches'>;
  readonly runners: Pick<RunnerClient, 'prefill' | 'freeCache'>;
  readonly runs: Pick<Runs, 'begin'>;
  readonly permits: Pick<PermitController, 'isLimited'>;
  readonly retries: Pick<RetryController, 'affords' | 'holdPrefill' | 'holdRun'>;
}

/** Prefill attempts per request; all but the first are charged to the retry budget. */
export const MAX_PREFILLS = 3;

/** Period at which another prefill is asked for again while none is certain, in milliseconds. */
const RECHECK_MS = 100;

/** A prefilled prompt whose KV cache is kept at a prefill runner, and how long the prefill took. */
export interface KeptCache extends CacheHandle {
  readonly ms: number;
}

/** Runs prefills, each at the runner that the planner chose. */
export class PrefillAttempts {
  readonly #context: PrefillContext;

  constructor(context: PrefillContext) {
    this.#context = context;
  }

  /**
   * Runs the prefill at a runner. Returns undefined if it failed there and another runner may be
   * tried, and `unavailable` if nothing was sent, since the runner takes no requests any more or is
   * out of reach.
   * @param signal aborted when the prefill is not needed any more
   */
  async run(
    exchange: Exchange,
    progress: Progress,
    id: string,
    signal: AbortSignal,
  ): Promise<KeptCache | 'unavailable' | undefined> {
    const { routingState, paths, retries, permits } = this.#context;
    const { service } = exchange;
    const startedAt = performance.now();
    const runner = findRunner(routingState.openRunnersOf(startedAt, service, 'prefill'), id);
    if (!runner || !paths.reaches(runner)) return 'unavailable';
    let cache = await this.#send(exchange, progress, runner, signal);
    const ms = performance.now() - startedAt;
    // The runner has completed the prefill and still keeps the KV cache: it answers a repeated
    // request at once, where another runner would repeat the whole prefill. With a rate-limited
    // runner the reservation covers one request only.
    const isStillOpen = routingState.accepts(performance.now(), runner) && !permits.isLimited(id);
    const mayAskAgain = cache === 'answerLost' && isStillOpen;
    if (mayAskAgain && retries.affords(performance.now(), exchange, 'prefill')) {
      cache = await this.#send(exchange, progress, runner, signal);
    }
    if (typeof cache === 'string') return undefined;
    return { ...cache, ms };
  }

  /** The handle of the KV cache, or the code of the failure. */
  async #send(
    exchange: Exchange,
    progress: Progress,
    runner: Runner,
    signal: AbortSignal,
  ): Promise<CacheHandle | CodeName> {
    const now = performance.now();
    const { request } = exchange;
    progress.prefills += 1;
    const run = this.#context.runs.begin(now, exchange, runner);
    const limit = this.#limitOf(now, exchange, progress, runner);
    const deadlineMs = exchange.remainingMs(now);
    try {
      const cache = await this.#context.runners.prefill({
        runner,
        request,
        deadlineMs,
        signal: AbortSignal.any([signal, limit.signal]),
        // Its time limit ends it.
        mayAbandon: () => false,
        onReply: (reply) => run.replied(performance.now(), reply),
      });
      run.prefilled(performance.now());
      exchange.trail.push(`prefill ${runner.id} ${Math.round(performance.now() - now)}`);
      return cache;
    } catch (error) {
      const failure = toFailure(error);
      const { codeName } = failure;
      exchange.trail.push(`prefill ${runner.id} ${codeName}`);
      if (codeName === 'answerLost') run.interrupted(performance.now());
      if (codeName === 'runnerUnreachable') run.unreached(performance.now(), failure);
      return codeName;
    } finally {
      limit.stop();
    }
  }

  /** Aborts a prefill that takes long once another one is certain; until then its runner, which may be sound, keeps it. */
  #limitOf(
    sentAt: number,
    exchange: Exchange,
    progress: Progress,
    runner: Runner,
  ): { readonly signal: AbortSignal; readonly stop: () => void } {
    const { patienceMs } = exchange.route;
    const isResuming = progress.stream.events > 0;
    const waitingSince = isResuming ? sentAt : exchange.arrivedAt;
    const pending = { sentAt, waitingSince, patienceMs };
    const controller = new AbortController();
    let timer: NodeJS.Timeout;
    const check = (): void => {
      const isCertain = this.#holdsOther(performance.now(), exchange, progress, runner, pending);
      if (isCertain) controller.abort();
      else timer = setTimeout(check, RECHECK_MS);
    };
    timer = setTimeout(check, PREFILL_MS);
    return { signal: controller.signal, stop: () => clearTimeout(timer) };
  }

  /** Sets aside in the retry budget what another prefill needs; false if there may be none now. */
  #holdsOther(
    now: number,
    exchange: Exchange,
    progress: Progress,
    runner: Runner,
    pending: PendingPrefill,
  ): boolean {
    const { routingState, paths, retries } = this.#context;
    if (progress.prefills >= MAX_PREFILLS) return false;
    const hasOther = routingState
      .openRunnersOf(now, exchange.service, 'prefill')
      .some(({ id, address }) => {
        const isLeftOut = id === runner.id || progress.avoid.includes(id);
        return !isLeftOut && paths.reaches({ address });
      });
    if (hasOther && mayAbandon(now, pending, true) && retries.holdPrefill(now, exchange)) {
      return true;
    }
    return mayAbandon(now, pending, false) && retries.holdRun(now, exchange);
  }

  /** Tells the prefill runner that a KV cache is not needed any more. */
  free(cache: CacheHandle): void {
    // A handle that cannot be freed expires when the engine stops keeping it.
    this.#context.runners.freeCache(cache).catch(() => undefined);
  }
}
