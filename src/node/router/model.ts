/** Serves requests to model services: reserves KV-cache memory, runs the prefill, then relays the decode runner's stream. */

import { Failure, toFailure } from '../../core/failure';
import type { Engine, Runner } from '../../core/routing/types';
import { findRunner, mayContinue } from '../../core/routing/types';
import { viaText } from './accesslog';
import type { Exchange } from './exchange';
import type { OriginController } from './origins';
import type { RoutingState } from './routingstate';
import type { PermitController } from './permits';
import type { FailedAssignment, ReservationClient } from './reservations';
import type { KeptCache } from './prefillattempts';
import { PrefillAttempts } from './prefillattempts';
import type { Progress } from './progress';
import {
  demandOf,
  canResume,
  newProgress,
  runnerFullFailure,
  timeoutFailure,
  callerFailure,
  planAgain,
} from './progress';
import type { QuotaController } from './quotas';
import type { Answer, RelayOutcome } from './relay';
import { Relay } from './relay';
import type { RetryController } from './retries';
import { budgetSpentFailure } from './retries';
import type { Runs } from './runs';
import { SHORT_WAIT } from './screening';
import { abandonmentOf } from './streamabandonment';
import type { CacheHandle, RunnerClient, RunnerPaths } from './types';
import { unreachedFailure, versionGoneFailure } from './unreached';

/** Dependencies of the model request handler. */
export interface ModelContext {
  readonly routingState: RoutingState;
  readonly paths: RunnerPaths;
  readonly runners: RunnerClient;
  readonly reservations: ReservationClient;
  readonly runs: Runs;
  readonly quotas: Pick<QuotaController, 'cover'>;
  readonly permits: Pick<PermitController, 'isLimited'>;
  readonly origins: Pick<OriginController, 'began' | 'recheck'>;
  readonly retries: Pick<RetryController, 'affords' | 'holdRun'>;
}

/** Prefill attempts per request; all but the first are charged to the retry budget. */
const MAX_PREFILLS = 3;

/** Decode runners to which a prefilled request is moved after others that it did not reach. */
const MAX_MOVES = 2;

/**
 * Outcome of one send to a decode runner; `unreachable`: nothing was sent, or the request was
 * misdirected; `unavailable`: nothing was sent, since the runner takes no requests.
 */
type Outcome = RelayOutcome | 'rejected' | 'unreachable' | 'unavailable';

/** Serves model requests, with retries at other runners. */
export class ModelHandler {
  readonly #context: ModelContext;

  readonly #prefills: PrefillAttempts;

  constructor(context: ModelContext) {
    this.#context = context;
    this.#prefills = new PrefillAttempts(context);
  }

  /** Serves a request to its end; failures become the response. */
  async run(exchange: Exchange, engine: Engine): Promise<void> {
    const progress = newProgress(exchange);
    try {
      let hasNext = true;
      while (hasNext && !exchange.signal.aborted) {
        hasNext = await this.#attempt(exchange, engine, progress);
      }
      if (exchange.signal.aborted && !exchange.callerGone) {
        exchange.fail(performance.now(), timeoutFailure(exchange, progress));
      }
    } catch (error) {
      const failure = callerFailure(exchange, progress, toFailure(error));
      exchange.trail.push(failure.codeName);
      exchange.fail(performance.now(), failure);
    }
  }

  /** Makes one attempt under one reservation. Returns whether another attempt should follow. */
  async #attempt(exchange: Exchange, engine: Engine, progress: Progress): Promise<boolean> {
    const { reservations, quotas, origins } = this.#context;
    const { service, waitSignal: signal } = exchange;
    if (progress.stream.events > 0) origins.recheck(exchange);
    const startedAt = performance.now();
    const overQuota = await quotas.cover(exchange);
    if (overQuota) throw overQuota;
    // A run whose prompt its runner prefills itself is one arrival, where a prefill before it is another.
    const prefillsLocally = !this.#context.retries.affords(startedAt, exchange, 'prefill');
    const excluded = this.#excluded(exchange);
    const demand = {
      ...demandOf(exchange, progress, excluded),
      ...(prefillsLocally ? { prefillsLocally } : {}),
    };
    const grant = await reservations.reserve(service, demand, signal).catch((error) => {
      throw exchange.refusal ?? error;
    });
    exchange.trail.push(`place ${Math.round(performance.now() - exchange.arrivedAt)}`);
    let blame: string | undefined;
    try {
      const { prefill } = grant;
      const refused = await this.#context.runs.admit(exchange, SHORT_WAIT);
      if (refused) throw refused;
      const cache =
        prefill === undefined ? undefined : await this.#prefills.run(exchange, progress, prefill);
      if (cache === 'unavailable') return planAgain(exchange, progress, prefill);
      if (prefill !== undefined && !cache) {
        blame = this.#blameOf(service, prefill, startedAt);
        return this.#mayPrefillAgain(exchange, progress, prefill);
      }
      let decode = cache
        ? await reservations.assign(service, demand.id, cache.ms, signal)
        : grant.decode;
      let outcome = await this.#decode(exchange, engine, progress, demand.id, decode, cache);
      for (let moves = 0; cache && isUnsent(outcome) && moves < MAX_MOVES; moves += 1) {
        // No decode runner has the request, and the prefill runner still keeps the KV cache.
        const failed = this.#failedAssignment(service, outcome, decode, startedAt);
        decode = await reservations.assign(service, demand.id, cache.ms, signal, failed);
        outcome = await this.#decode(exchange, engine, progress, demand.id, decode, cache);
      }
      if (isUnsent(outcome) && cache) this.#prefills.free(cache);
      if (outcome === 'unavailable') {
        // With a KV cache, the next reservation repeats the prefill.
        return cache
          ? this.#mayPrefillAgain(exchange, progress, decode)
          : planAgain(exchange, progress, decode);
      }
      if (outcome === 'unreachable') outcome = 'rejected';
      if (outcome === 'done') return false;
      blame = this.#blameOf(service, decode, startedAt);
      if (outcome === 'failed') return false;
      return this.#mayDecodeAgain(exchange, progress, decode ?? '', outcome);
    } finally {
      reservations.reportProgress(service, {
        id: demand.id,
        kind: 'released',
        ...(blame ? { blame } : {}),
      });
    }
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
   * The runner to blame for a failure; undefined if it leaves or asked for a pause, or if this VM
   * lost its path to it, which are no faults.
   */
  #blameOf(service: string, id: string | undefined, sentAt: number): string | undefined {
    const { routingState, paths } = this.#context;
    const now = performance.now();
    const runner = findRunner(routingState.openRunnersOf(now, service), id ?? '');
    return runner && paths.isAtFault(now, runner, sentAt) ? id : undefined;
  }

  /** Tells the planner that a decode runner did not get a request. The runner is blamed only if it is at fault. */
  #failedAssignment(
    service: string,
    outcome: 'unreachable' | 'unavailable',
    id: string | undefined,
    sentAt: number,
  ): FailedAssignment {
    const isBlamed = outcome === 'unreachable' && this.#blameOf(service, id, sentAt) !== undefined;
    return isBlamed ? { unreachable: id } : { unavailable: id };
  }

  /** The reason why the request must not be sent any more: its key was revoked, or other attempts crashed their runners meanwhile. */
  #recheck(exchange: Exchange): Failure | undefined {
    return this.#context.runs.refusal(performance.now(), exchange);
  }

  /** Whether another prefill may be tried after the failure of a runner; false if the request was aborted. Throws if the attempts or the retry budget are used up. */
  #mayPrefillAgain(exchange: Exchange, progress: Progress, failed: string | undefined): boolean {
    if (failed !== undefined) progress.avoid.push(failed);
    const refused = this.#recheck(exchange);
    if (refused) throw refused;
    const may = progress.prefills < MAX_PREFILLS && this.#affordsRun(exchange);
    if (may || exchange.signal.aborted) return may;
    throw runnerFullFailure('the prefill failed');
  }

  async #decode(
    exchange: Exchange,
    engine: Engine,
    progress: Progress,
    id: string,
    decode: string | undefined,
    cache: KeptCache | undefined,
  ): Promise<Outcome> {
    if (decode === undefined) {
      if (cache) this.#prefills.free(cache);
      throw runnerFullFailure('no decode runner had free memory while the KV cache was kept');
    }
    const { routingState, paths } = this.#context;
    const { service } = exchange;
    const now = performance.now();
    if (exchange.signal.aborted) {
      if (cache) this.#prefills.free(cache);
      return 'rejected';
    }
    const runner = findRunner(routingState.openRunnersOf(now, service, 'decode'), decode);
    // The owner may know an older entry of the runner, or be a program that does not know versions.
    const isUsable = runner && paths.reaches(runner) && mayContinue(runner, exchange.version);
    if (!isUsable) return 'unavailable';
    const refused = await this.#context.runs.admit(exchange, SHORT_WAIT);
    if (refused) {
      if (cache) this.#prefills.free(cache);
      throw refused;
    }
    if (exchange.version !== undefined && !(await this.#isSameInstance(runner))) {
      return 'unavailable';
    }
    if (!this.#affordsRun(exchange)) {
      if (cache) this.#prefills.free(cache);
      throw budgetSpentFailure(service, 'run');
    }
    progress.sentTo.add(runner.id);
    let answer = await this.#send(exchange, progress, runner, cache);
    if (answer === 'rejected' && cache && !routingState.accepts(performance.now(), runner)) {
      if (this.#maySendAgain(exchange, progress)) return 'unavailable';
      this.#prefills.free(cache);
    } else if (answer === 'rejected' && cache) {
      const { reservations } = this.#context;
      const failed = { shedBy: runner.id };
      const assigned = await reservations.assign(service, id, cache.ms, exchange.signal, failed);
      const rejectedAt = performance.now();
      const isOpen = assigned === runner.id && routingState.accepts(rejectedAt, runner);
      if (isOpen && this.#affordsRun(exchange)) {
        // The KV cache has probably expired; the same runner can still do the prefill locally.
        answer = await this.#send(exchange, progress, runner, undefined);
      }
    }
    if (typeof answer === 'string') return answer;
    const { reservations, origins } = this.#context;
    const relay = new Relay({
      exchange,
      engine,
      stream: progress.stream,
      canResume: () => canResume(exchange, progress),
      affordsRun: () => this.#affordsRun(exchange),
      holdRun: () => this.#context.retries.holdRun(performance.now(), exchange),
      onProgress: (report) => reservations.reportProgress(service, { id, ...report }),
      onFirstEvents: () => origins.began(performance.now(), exchange),
    });
    return relay.forward(answer);
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

  async #send(
    exchange: Exchange,
    progress: Progress,
    runner: Runner,
    cache: CacheHandle | undefined,
  ): Promise<Answer | 'rejected' | 'broken' | 'unreachable'> {
    const { request, signal } = exchange;
    const now = performance.now();
    const run = this.#context.runs.begin(now, exchange, runner);
    const deadlineMs = exchange.remainingMs(now);
    const afterEvent = progress.stream.lastId;
    try {
      const reply = await this.#context.runners.decode({
        runner,
        request,
        deadlineMs,
        signal,
        mayAbandon: abandonmentOf(this.#context, exchange, progress, runner),
        onReply: (answer) => run.replied(performance.now(), answer),
        cache,
        afterEvent,
      });
      const notRun = reply.notRun ? ' not run' : '';
      exchange.trail.push(`decode ${runner.id} ${reply.status}${notRun}${viaText(reply)}`);
      if (!reply.notRun) return { reply, run };
      run.notRun();
      reply.body.resume();
      // The listing of a runner that restarted or changed its stage is stale. The prefill runner
      // still keeps the KV cache, so that another decode runner can fetch it.
      const canRetryElsewhere = reply.misdirected && this.#affordsRun(exchange);
      if (!canRetryElsewhere) return 'rejected';
      progress.sentTo.delete(runner.id);
      return 'unreachable';
    } catch (error) {
      const failure = toFailure(error);
      exchange.trail.push(`decode ${runner.id} ${failure.codeName}`);
      if (failure.codeName !== 'runnerUnreachable') {
        run.interrupted(performance.now());
        return 'broken';
      }
      run.unreached(performance.now(), failure);
      progress.sentTo.delete(runner.id);
      return 'unreachable';
    }
  }

  /** Whether the retry budget allows that the request runs at one more runner. */
  #affordsRun(exchange: Exchange): boolean {
    return this.#context.retries.affords(performance.now(), exchange, 'run');
  }

  /** Whether attempts are left, and the retry budget allows one more. */
  #maySendAgain(exchange: Exchange, { sentTo }: Progress): boolean {
    const hasAttemptsLeft = sentTo.size < exchange.route.attempts;
    return hasAttemptsLeft && this.#affordsRun(exchange);
  }

  /** Whether the request may be sent to another decode runner; false if it was aborted. Throws if it may not. */
  #mayDecodeAgain(
    exchange: Exchange,
    progress: Progress,
    decode: string,
    outcome: 'rejected' | 'broken',
  ): boolean {
    const { route, signal } = exchange;
    if (signal.aborted) return false;
    progress.avoid.push(decode);
    const ran = outcome === 'broken';
    progress.mayHaveRun ||= ran;
    const allowed = ran ? route.resumable && progress.stream.canContinue : true;
    const mayRetry = allowed && !this.#recheck(exchange);
    if (mayRetry && this.#maySendAgain(exchange, progress)) return true;
    if (ran) throw new Failure('runnerFailed', `${decode} ended its response early`);
    throw runnerFullFailure(`${decode} rejected the request`);
  }
}

/** Whether no decode runner has the request. */
function isUnsent(outcome: Outcome): outcome is 'unreachable' | 'unavailable' {
  return outcome === 'unreachable' || outcome === 'unavailable';
}
