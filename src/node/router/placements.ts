/** Places runs of model requests: quota, reservation, prefill and the check of the decode runner, up to the send. */

import { Failure } from '../../core/failure';
import type { Runner } from '../../core/routing/types';
import { findRunner, mayContinue } from '../../core/routing/types';
import { PREFILL_MS } from '../../core/stream/silence';
import type { Exchange } from './exchange';
import type { OriginController } from './origins';
import type { KeptCache, PrefillContext } from './prefillattempts';
import { MAX_PREFILLS, PrefillAttempts } from './prefillattempts';
import type { Progress } from './progress';
import { demandOf, planAgain, runnerFullFailure } from './progress';
import type { QuotaController } from './quotas';
import type { ReservationClient } from './reservations';
import type { RetryController } from './retries';
import type { RoutingState } from './routingstate';
import type { Runs } from './runs';
import { SHORT_WAIT } from './screening';
import type { CacheHandle, RunnerClient, RunnerPaths } from './types';
import { unreachedFailure, versionGoneFailure } from './unreached';

/** Dependencies of placements. */
export interface PlacementContext extends PrefillContext {
  readonly routingState: RoutingState;
  readonly paths: RunnerPaths;
  readonly runners: RunnerClient;
  readonly reservations: ReservationClient;
  readonly runs: Runs;
  readonly quotas: Pick<QuotaController, 'cover'>;
  readonly origins: Pick<OriginController, 'began' | 'recheck'>;
  readonly retries: Pick<RetryController, 'affords' | 'holdRun' | 'holdPrefill' | 'settle'>;
}

/** A place for one run, and what its decode runner needs. */
export interface PlacedRun {
  /** Id of the reservation. */
  readonly id: string;
  readonly startedAt: number;
  /** Undefined if no decode runner had free memory while the KV cache was kept. */
  readonly decode: string | undefined;
  /** Undefined if the decode runner does the prefill. */
  readonly cache: KeptCache | undefined;
}

/** How a run is placed. */
export interface PlacementOptions {
  /** Aborted when the run is not needed any more. Default: only when the request ends. */
  readonly cancelled?: AbortSignal;
  /** Runners that must not get the run. Default: none but those that the request avoids. */
  readonly excluded?: readonly string[];
}

/** Places the runs of this VM. */
export class Placements {
  readonly #context: PlacementContext;

  readonly #prefills: PrefillAttempts;

  constructor(context: PlacementContext) {
    this.#context = context;
    this.#prefills = new PrefillAttempts(context);
  }

  /** Places one run. Without a place: whether another attempt may follow; throws if none may. */
  async place(
    exchange: Exchange,
    progress: Progress,
    { cancelled, excluded = [] }: PlacementOptions = {},
  ): Promise<PlacedRun | boolean> {
    const { reservations, quotas, origins, retries } = this.#context;
    const { service } = exchange;
    if (progress.stream.events > 0) origins.recheck(exchange);
    const startedAt = performance.now();
    const overQuota = await quotas.cover(exchange);
    if (overQuota) throw overQuota;
    // A run whose prompt its runner prefills itself is one arrival, where a prefill before it is another.
    const prefillsLocally = !retries.affords(startedAt, exchange, 'prefill');
    const demand = {
      ...demandOf(exchange, progress, [...this.#excluded(exchange), ...excluded]),
      ...(prefillsLocally ? { prefillsLocally } : {}),
    };
    const waitSignal = either(exchange.waitSignal, cancelled);
    const grant = await reservations.reserve(service, demand, waitSignal).catch((error) => {
      throw exchange.refusal ?? error;
    });
    exchange.trail.push(`place ${Math.round(performance.now() - exchange.arrivedAt)}`);
    const { id } = demand;
    let blame: string | undefined;
    let isPlaced = false;
    try {
      const { prefill } = grant;
      const signal = either(exchange.signal, cancelled);
      const refused = await this.#context.runs.admit(exchange, SHORT_WAIT);
      if (refused) throw refused;
      if (cancelled?.aborted) return false;
      const prefillAt = performance.now();
      const cache =
        prefill === undefined
          ? undefined
          : await this.#prefills.run(exchange, progress, prefill, signal);
      if (cache === 'unavailable') return planAgain(exchange, progress, prefill);
      if (prefill !== undefined && !cache) {
        const wasLeft = signal.aborted && performance.now() - prefillAt < PREFILL_MS;
        if (!cancelled?.aborted && !wasLeft) blame = this.blameOf(service, prefill, startedAt);
        return this.mayPrefillAgain(exchange, progress, prefill);
      }
      const decode = cache
        ? await reservations.assign(service, id, cache.ms, signal)
        : grant.decode;
      isPlaced = true;
      return { id, startedAt, decode, cache };
    } finally {
      if (!isPlaced) this.release(service, id, blame);
    }
  }

  /**
   * The decode runner of a place if the request may be sent to it now; undefined if it takes no
   * requests. Throws if the place has none, or if the request may not be sent to any.
   */
  async decodeRunner(exchange: Exchange, decode: string | undefined): Promise<Runner | undefined> {
    if (decode === undefined) {
      throw runnerFullFailure('no decode runner had free memory while the KV cache was kept');
    }
    const { routingState, runs } = this.#context;
    const now = performance.now();
    const runner = findRunner(routingState.openRunnersOf(now, exchange.service, 'decode'), decode);
    if (!runner || !this.isUsable(exchange, runner)) return undefined;
    const refused = await runs.admit(exchange, SHORT_WAIT);
    if (refused) throw refused;
    if (exchange.version !== undefined && !(await this.#isSameInstance(runner))) return undefined;
    return runner;
  }

  /** Whether this VM reaches a runner that may serve the request: the owner may know an older entry of it, or be a program that does not know versions. */
  isUsable({ version }: Exchange, runner: Runner): boolean {
    return this.#context.paths.reaches(runner) && mayContinue(runner, version);
  }

  /** Why the request must not be sent to a runner that was checked before, as far as this VM knows; undefined if it may be. */
  sendRefusal(now: number, exchange: Exchange, runner: Runner): Failure | undefined {
    const isOpen = this.#context.routingState.accepts(now, runner);
    if (!isOpen || !this.isUsable(exchange, runner)) {
      return new Failure('runnerUnavailable', `${runner.id} takes no requests`);
    }
    return this.#context.runs.refusal(now, exchange, runner);
  }

  /** Gives back a place that is not used. */
  giveBack({ service }: Exchange, { id, cache }: PlacedRun): void {
    if (cache) this.free(cache);
    this.release(service, id);
  }

  /**
   * Ends a reservation.
   * @param blame id of the runner whose fault it was. Default: none
   */
  release(service: string, id: string, blame?: string): void {
    const report = { id, kind: 'released' as const, ...(blame ? { blame } : {}) };
    this.#context.reservations.reportProgress(service, report);
  }

  /** Tells the prefill runner that a KV cache is not needed any more. */
  free(cache: CacheHandle): void {
    this.#prefills.free(cache);
  }

  /**
   * The runner to blame for a failure; undefined if it leaves or asked for a pause, or if this VM
   * lost its path to it, which are no faults.
   */
  blameOf(service: string, id: string | undefined, sentAt: number): string | undefined {
    const { routingState, paths } = this.#context;
    const now = performance.now();
    const runner = findRunner(routingState.openRunnersOf(now, service), id ?? '');
    return runner && paths.isAtFault(now, runner, sentAt) ? id : undefined;
  }

  /** Whether another prefill may be tried after the failure of a runner; false if the request was aborted. Throws if the attempts or the retry budget are used up. */
  mayPrefillAgain(exchange: Exchange, progress: Progress, failed: string | undefined): boolean {
    if (failed !== undefined) progress.avoid.push(failed);
    const refused = this.recheck(exchange);
    if (refused) throw refused;
    const now = performance.now();
    const { retries } = this.#context;
    const may = progress.prefills < MAX_PREFILLS && retries.affords(now, exchange, 'run');
    if (may || exchange.signal.aborted) return may;
    throw runnerFullFailure('the prefill failed');
  }

  /** The reason why the request must not be sent any more: its key was revoked, or other attempts crashed their runners meanwhile. */
  recheck(exchange: Exchange): Failure | undefined {
    return this.#context.runs.refusal(performance.now(), exchange);
  }

  /**
   * Ids of the runners that this VM does not reach, or that crash under the request. Throws if it
   * reaches no decode runner that may serve the request, since nothing can be served then.
   */
  #excluded(exchange: Exchange): readonly string[] {
    const { routingState, paths, runs } = this.#context;
    const { service, version } = exchange;
    const now = performance.now();
    const runners = routingState.runnersOf(now, service);
    const decoding = runners.filter(
      (runner) => runner.role === 'decode' && mayContinue(runner, version),
    );
    if (version !== undefined && decoding.length === 0) throw versionGoneFailure(service, version);
    const failure = unreachedFailure(service, decoding, paths);
    if (failure) throw failure;
    return runners
      .filter((runner) => !paths.reaches(runner) || !runs.allows(now, exchange, runner))
      .map(({ id }) => id);
  }

  /**
   * Whether a runner is still the instance that is known. One that has restarted under the same id
   * takes requests that are meant for its earlier instance, and may have another software version.
   */
  async #isSameInstance(runner: Runner): Promise<boolean> {
    // Without a start time, each instance has an id of its own.
    if (runner.bornAt === 0) return true;
    const { runners, routingState } = this.#context;
    const report = await runners.report(runner).catch(() => undefined);
    if (report) routingState.learnStart(runner.listing, report.bornAt);
    return report?.runner === runner.id;
  }
}

function either(signal: AbortSignal, other: AbortSignal | undefined): AbortSignal {
  return other ? AbortSignal.any([signal, other]) : signal;
}
