/** The way of a request to a model service: a place, a prefill, then the stream of a decode runner. */

import type { CodeName } from '../../core/codes';
import { Failure, toFailure } from '../../core/failure';
import type { Engine, Runner } from '../../core/routing/types';
import type { Exchange } from './exchange';
import type { RoutingState } from './routingstate';
import type { PermitController } from './permits';
import type { ReservationClient } from './reservations';
import type { Progress } from './progress';
import {
  demandOf,
  canResume,
  newProgress,
  runnerFullFailure,
  timeoutFailure,
  callerFailure,
} from './progress';
import type { QuotaController } from './quotas';
import type { Answer, RelayOutcome } from './relay';
import { Relay } from './relay';
import type { Runs } from './runs';
import type { CacheHandle, RunnerClient } from './types';

/** What model requests work with. */
export interface ModelContext {
  readonly knowledge: RoutingState;
  readonly runners: RunnerClient;
  readonly reservations: ReservationClient;
  readonly runs: Runs;
  readonly quotas: Pick<QuotaController, 'cover'>;
  readonly permits: Pick<PermitController, 'isLimited'>;
  /** Takes one repeat from the budget of the service. */
  readonly takeRetry: (now: number, service: string) => boolean;
}

/** A prefill that takes longer than this is given up and done elsewhere, in milliseconds. */
const PREFILL_LIMIT_MS = 900;
/** Prefills of one request; only the first is free of the retry budget. */
const PREFILL_TRIES = 3;

/** A prompt that lies at a prefill runner, and the time it took to read. */
interface KeptPrompt extends CacheHandle {
  readonly ms: number;
}

/** Outcome of one send to a decode runner. */
type Outcome = RelayOutcome | 'rejected' | 'unreachable';

/** Drives model requests. */
export class ModelHandler {
  readonly #context: ModelContext;

  constructor(context: ModelContext) {
    this.#context = context;
  }

  async run(exchange: Exchange, engine: Engine): Promise<void> {
    const progress = newProgress();
    try {
      let more = true;
      while (more && !exchange.signal.aborted) {
        more = await this.#attempt(exchange, engine, progress);
      }
      if (exchange.signal.aborted && !exchange.callerGone) {
        exchange.fail(performance.now(), timeoutFailure(progress));
      }
    } catch (error) {
      const failure = callerFailure(exchange, progress, toFailure(error));
      exchange.trail.push(failure.codeName);
      exchange.fail(performance.now(), failure);
    }
  }

  /** One place and what comes of it; tells whether to try again. */
  async #attempt(exchange: Exchange, engine: Engine, progress: Progress): Promise<boolean> {
    const { reservations: places, quotas } = this.#context;
    const { service, signal } = exchange;
    const over = await quotas.cover(exchange);
    if (over) throw over;
    const demand = demandOf(exchange, progress);
    const grant = await places.reserve(service, demand, signal);
    exchange.trail.push(`place ${Math.round(performance.now() - exchange.arrivedAt)}`);
    let blame: string | undefined;
    try {
      const { prefill } = grant;
      const refused = this.#refused(exchange);
      if (refused) throw refused;
      const cache =
        prefill === undefined ? undefined : await this.#prefill(exchange, progress, prefill);
      if (prefill !== undefined && !cache) {
        blame = prefill;
        return this.#again(exchange, progress, prefill);
      }
      let decode = cache ? await places.assign(service, demand.id, cache.ms, signal) : grant.decode;
      let outcome = await this.#decode(exchange, engine, progress, demand.id, decode, cache);
      if (outcome === 'unreachable' && cache) {
        // Nothing was sent, and what was read still lies at the prefill runner.
        decode = await places.assign(service, demand.id, cache.ms, signal, {
          ...(decode === undefined ? {} : { unreachable: decode }),
        });
        outcome = await this.#decode(exchange, engine, progress, demand.id, decode, cache);
      }
      if (outcome === 'unreachable') outcome = 'rejected';
      if (outcome === 'done') return false;
      blame = decode;
      if (outcome === 'failed') return false;
      return this.#afterDecode(exchange, progress, decode ?? '', outcome);
    } finally {
      places.reportProgress(service, {
        id: demand.id,
        kind: 'released',
        ...(blame ? { blame } : {}),
      });
    }
  }

  /** Other attempts of this request may have ended their runners meanwhile. */
  #refused(exchange: Exchange): Failure | undefined {
    return this.#context.runs.refusal(performance.now(), exchange);
  }

  /** Undefined if this runner failed and another may try. */
  async #prefill(
    exchange: Exchange,
    progress: Progress,
    id: string,
  ): Promise<KeptPrompt | undefined> {
    const { knowledge, takeRetry: mayRepeat, permits } = this.#context;
    const { service, signal } = exchange;
    const startedAt = performance.now();
    const runner = find(knowledge.runnersOf(startedAt, service, 'prefill'), id);
    if (!runner) return undefined;
    let cache = await this.#prefillOnce(exchange, progress, runner);
    const ms = performance.now() - startedAt;
    // The runner has read the prompt and still has it: asked again it answers at once, where another
    // runner would read it all a second time. The place covers one request to a limited runner.
    const mayAskAgain = cache === 'answerLost' && !permits.isLimited(id);
    if (mayAskAgain && mayRepeat(performance.now(), service)) {
      cache = await this.#prefillOnce(exchange, progress, runner);
    }
    if (typeof cache === 'string') return undefined;
    if (signal.aborted) this.#free(cache);
    return { ...cache, ms };
  }

  /** The prompt, or why there is none. */
  async #prefillOnce(
    exchange: Exchange,
    progress: Progress,
    runner: Runner,
  ): Promise<CacheHandle | CodeName> {
    const now = performance.now();
    const { request, signal } = exchange;
    progress.prefills += 1;
    const run = this.#context.runs.begin(now, exchange, runner);
    const limit = AbortSignal.timeout(PREFILL_LIMIT_MS);
    const deadlineMs = exchange.remainingMs(now);
    try {
      const cache = await this.#context.runners.prefill({
        runner,
        request,
        deadlineMs,
        signal: AbortSignal.any([signal, limit]),
        onReply: (reply) => run.replied(performance.now(), reply),
      });
      exchange.trail.push(`prefill ${runner.id} ${Math.round(performance.now() - now)}`);
      return cache;
    } catch (error) {
      const { codeName } = toFailure(error);
      exchange.trail.push(`prefill ${runner.id} ${codeName}`);
      if (codeName === 'answerLost') run.interrupted(performance.now());
      return codeName;
    }
  }

  #free(cache: CacheHandle): void {
    // A handle that cannot be freed lapses by itself within the time that the engine keeps it.
    this.#context.runners.freeCache(cache).catch(() => undefined);
  }

  /** Whether another prefill runner may try. */
  #again(exchange: Exchange, progress: Progress, failed: string): boolean {
    const now = performance.now();
    progress.avoid.push(failed);
    const refused = this.#refused(exchange);
    if (refused) throw refused;
    const may = progress.prefills < PREFILL_TRIES && this.#context.takeRetry(now, exchange.service);
    if (may || exchange.signal.aborted) return may;
    throw runnerFullFailure('the prefill failed');
  }

  async #decode(
    exchange: Exchange,
    engine: Engine,
    progress: Progress,
    id: string,
    decode: string | undefined,
    cache: KeptPrompt | undefined,
  ): Promise<Outcome> {
    if (decode === undefined) {
      if (cache) this.#free(cache);
      throw runnerFullFailure('no decode runner had room while the prefill was kept');
    }
    const { knowledge } = this.#context;
    const { service } = exchange;
    const now = performance.now();
    const runner = find(knowledge.runnersOf(now, service, 'decode'), decode);
    if (!runner || exchange.signal.aborted) {
      if (cache) this.#free(cache);
      return 'rejected';
    }
    const refused = this.#refused(exchange);
    if (refused) {
      if (cache) this.#free(cache);
      throw refused;
    }
    progress.sentTo.add(runner.id);
    let answer = await this.#send(exchange, progress, runner, cache);
    if (answer === 'rejected' && cache) {
      const { reservations: places, takeRetry: mayRepeat } = this.#context;
      const failed = { shedBy: runner.id };
      const again = await places.assign(service, id, cache.ms, exchange.signal, failed);
      if (again === runner.id && mayRepeat(performance.now(), service)) {
        // What was read has probably lapsed; the same runner can still read the prompt itself.
        answer = await this.#send(exchange, progress, runner, undefined);
      }
    }
    if (typeof answer === 'string') return answer;
    const { reservations: places } = this.#context;
    const relay = new Relay({
      exchange,
      engine,
      stream: progress.stream,
      canResume: () => canResume(exchange, progress),
      onProgress: (note) => places.reportProgress(service, { id, ...note }),
    });
    return relay.forward(answer);
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
        onReply: (answer) => run.replied(performance.now(), answer),
        cache,
        afterEvent,
      });
      exchange.trail.push(`decode ${runner.id} ${reply.status}${reply.notRun ? ' not run' : ''}`);
      if (!reply.notRun) return { reply, run };
      run.notRun();
      reply.body.resume();
      // A runner that was started anew, or changed its stage, is still listed as it was. What was
      // read for it lies where it lay, so that another decode runner can take it.
      const elsewhere =
        reply.misdirected && this.#context.takeRetry(performance.now(), exchange.service);
      if (!elsewhere) return 'rejected';
      progress.sentTo.delete(runner.id);
      return 'unreachable';
    } catch (error) {
      const { codeName } = toFailure(error);
      exchange.trail.push(`decode ${runner.id} ${codeName}`);
      if (codeName !== 'runnerUnreachable') {
        run.interrupted(performance.now());
        return 'broken';
      }
      run.notRun();
      progress.sentTo.delete(runner.id);
      return 'unreachable';
    }
  }

  /** Whether the request may go to another decode runner. */
  #afterDecode(
    exchange: Exchange,
    progress: Progress,
    decode: string,
    outcome: 'rejected' | 'broken',
  ): boolean {
    const { route, service, signal } = exchange;
    if (signal.aborted) return false;
    progress.avoid.push(decode);
    const ran = outcome === 'broken';
    progress.mayHaveRun ||= ran;
    const allowed = ran ? route.resumable && progress.stream.canContinue : true;
    const left = progress.sentTo.size < route.attempts;
    const again = allowed && left && !this.#refused(exchange);
    if (again && this.#context.takeRetry(performance.now(), service)) return true;
    if (ran) throw new Failure('runnerFailed', `${decode} broke the answer off`);
    throw runnerFullFailure(`${decode} turned it away`);
  }
}

function find(runners: readonly Runner[], id: string): Runner | undefined {
  return runners.find((runner) => runner.id === id);
}
