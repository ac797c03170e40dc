/** Serves requests to model services: reserves KV-cache memory, runs the prefill, then relays the decode runner's stream. */

import { Failure, toFailure } from '../../core/failure';
import type { Engine, Runner } from '../../core/routing/types';
import { findRunner } from '../../core/routing/types';
import { readBody } from '../../utils/http';
import { viaText } from './accesslog';
import { Continuation } from './continuation';
import type { Exchange } from './exchange';
import type { PlacedRun, PlacementContext } from './placements';
import { Placements } from './placements';
import type { Progress } from './progress';
import {
  canResume,
  newProgress,
  runnerFullFailure,
  timeoutFailure,
  callerFailure,
  planAgain,
} from './progress';
import type { Answer, RelayOutcome } from './relay';
import { Relay } from './relay';
import type { FailedAssignment } from './reservations';
import { budgetSpentFailure } from './retries';
import { abandonmentOf } from './streamabandonment';
import type { CacheHandle } from './types';

/** Dependencies of the model request handler. */
export type ModelContext = PlacementContext;

/** Most that is read of the body of a rejection, which nobody needs. */
const MAX_REFUSAL_BYTES = 64 * 1024;
/** Decode runners to which a prefilled request is moved after others that it did not reach. */
const MAX_MOVES = 2;

/**
 * Outcome of one send to a decode runner; `unreachable`: nothing was sent, or the request was
 * misdirected; `unavailable`: nothing was sent, since the runner takes no requests.
 */
type Outcome = RelayOutcome | 'rejected' | 'unreachable' | 'unavailable';

/** A request and its state across its attempts. */
interface Served {
  readonly exchange: Exchange;
  readonly engine: Engine;
  readonly progress: Progress;
  readonly continuation: Continuation;
}

/** Serves model requests, with retries at other runners. */
export class ModelHandler {
  readonly #context: ModelContext;

  readonly #placements: Placements;

  constructor(context: ModelContext) {
    this.#context = context;
    this.#placements = new Placements(context);
  }

  /** Serves a request to its end; failures become the response. */
  async run(exchange: Exchange, engine: Engine): Promise<void> {
    const progress = newProgress(exchange);
    const { retries } = this.#context;
    const preparing = { placements: this.#placements, retries };
    const continuation = new Continuation(preparing, exchange, progress);
    const served = { exchange, engine, progress, continuation };
    try {
      let hasNext = true;
      while (hasNext && !exchange.signal.aborted) hasNext = await this.#attempt(served);
      // An answer may have been completed after the deadline, while its end was checked.
      if (exchange.signal.aborted && !exchange.callerGone && !exchange.isSettled) {
        exchange.fail(performance.now(), timeoutFailure(exchange, progress));
      }
    } catch (error) {
      const failure = callerFailure(exchange, progress, toFailure(error));
      exchange.trail.push(failure.codeName);
      if (!exchange.isSettled) exchange.fail(performance.now(), failure);
    } finally {
      await continuation.close();
    }
  }

  /** Makes one attempt under one reservation. Returns whether another attempt should follow. */
  async #attempt(served: Served): Promise<boolean> {
    const { exchange, progress, continuation } = served;
    const prepared = await continuation.take();
    if (prepared) return this.#execute(served, prepared.placed, prepared.runner);
    const placed = await this.#placements.place(exchange, progress);
    return typeof placed === 'boolean' ? placed : this.#execute(served, placed);
  }

  /**
   * Executes a placed run and ends its reservation. Returns whether another attempt should follow.
   * @param ready the decode runner if it was checked already
   */
  async #execute(served: Served, placed: PlacedRun, ready?: Runner): Promise<boolean> {
    const placements = this.#placements;
    const { reservations } = this.#context;
    const { exchange, progress } = served;
    const { service, signal } = exchange;
    const { id, startedAt, cache } = placed;
    let blame: string | undefined;
    try {
      let { decode } = placed;
      let outcome = await this.#decode(served, placed, ready);
      for (let moves = 0; cache && isUnsent(outcome) && moves < MAX_MOVES; moves += 1) {
        // No decode runner has the request, and the prefill runner still keeps the KV cache.
        const failed = this.#failedAssignment(service, outcome, decode, startedAt);
        decode = await reservations.assign(service, id, cache.ms, signal, failed);
        outcome = await this.#decode(served, { ...placed, decode });
      }
      if (isUnsent(outcome) && cache) placements.free(cache);
      if (outcome === 'unavailable') {
        // With a KV cache, the next reservation repeats the prefill.
        return cache
          ? placements.mayPrefillAgain(exchange, progress, decode)
          : planAgain(exchange, progress, decode);
      }
      if (outcome === 'unreachable') outcome = 'rejected';
      if (outcome === 'done' || outcome === 'left') return false;
      if (outcome === 'replaced') {
        // The runner may be sound: it is not blamed, and only the prepared run leaves it out.
        progress.mayHaveRun = true;
        return true;
      }
      blame = placements.blameOf(service, decode, startedAt);
      if (outcome === 'failed') return false;
      return this.#mayDecodeAgain(exchange, progress, decode ?? '', outcome);
    } finally {
      placements.release(service, id, blame);
    }
  }

  /** Tells the planner that a decode runner did not get a request. The runner is blamed only if it is at fault. */
  #failedAssignment(
    service: string,
    outcome: 'unreachable' | 'unavailable',
    id: string | undefined,
    sentAt: number,
  ): FailedAssignment {
    const isBlamed =
      outcome === 'unreachable' && this.#placements.blameOf(service, id, sentAt) !== undefined;
    return isBlamed ? { unreachable: id } : { unavailable: id };
  }

  async #decode(served: Served, placed: PlacedRun, ready?: Runner): Promise<Outcome> {
    const { exchange, progress } = served;
    const { id, cache } = placed;
    const { routingState } = this.#context;
    const { service } = exchange;
    const runner = await this.#admittedRunner(exchange, placed, ready);
    if (typeof runner === 'string') return runner;
    progress.sentTo.add(runner.id);
    let answer = await this.#send(exchange, progress, runner, cache);
    if (answer === 'rejected' && cache && !routingState.accepts(performance.now(), runner)) {
      if (this.#maySendAgain(exchange, progress)) return 'unavailable';
      this.#placements.free(cache);
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
    return typeof answer === 'string' ? answer : this.#relay(served, id, runner, answer);
  }

  /** The runner of a place if the request may be sent to it; otherwise the outcome. */
  async #admittedRunner(
    exchange: Exchange,
    { decode, cache }: PlacedRun,
    ready: Runner | undefined,
  ): Promise<Runner | 'left' | 'unavailable'> {
    const placements = this.#placements;
    if (exchange.signal.aborted) {
      if (cache) placements.free(cache);
      return 'left';
    }
    try {
      const isReady = ready && placements.isUsable(exchange, ready);
      const runner = isReady ? ready : await placements.decodeRunner(exchange, decode);
      if (!runner) return 'unavailable';
      if (!this.#affordsRun(exchange)) throw budgetSpentFailure(exchange.service, 'run');
      return runner;
    } catch (error) {
      if (cache) placements.free(cache);
      throw error;
    }
  }

  #relay(
    { exchange, engine, progress, continuation }: Served,
    id: string,
    runner: Runner,
    answer: Answer,
  ): Promise<RelayOutcome> {
    const { reservations, origins, routingState } = this.#context;
    const { service } = exchange;
    const relay = new Relay({
      exchange,
      engine,
      stream: progress.stream,
      canResume: () => canResume(exchange, progress),
      affordsRun: () => this.#affordsRun(exchange),
      isListed: () =>
        findRunner(routingState.runnersOf(performance.now(), service), runner.id) !== undefined,
      continuation: {
        prepare: () => continuation.prepare(runner.id),
        confirm: () => continuation.confirm(performance.now()),
        cancel: () => continuation.cancel(),
      },
      onProgress: (report) => reservations.reportProgress(service, { id, ...report }),
      onFirstEvents: () => origins.began(performance.now(), exchange),
    });
    return relay.forward(answer);
  }

  async #send(
    exchange: Exchange,
    progress: Progress,
    runner: Runner,
    cache: CacheHandle | undefined,
  ): Promise<Answer | 'rejected' | 'broken' | 'unreachable' | 'left'> {
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
      readBody(reply.body, MAX_REFUSAL_BYTES).catch(() => reply.body.destroy());
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
        return run.wasLeft(performance.now()) ? 'left' : 'broken';
      }
      run.unreached(performance.now(), failure);
      progress.sentTo.delete(runner.id);
      if (!run.wasLeft(performance.now())) return 'unreachable';
      if (cache) this.#placements.free(cache);
      return 'left';
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
    const mayRetry = allowed && !this.#placements.recheck(exchange);
    if (mayRetry && this.#maySendAgain(exchange, progress)) return true;
    if (ran) throw new Failure('runnerFailed', `${decode} ended its response early`);
    throw runnerFullFailure(`${decode} rejected the request`);
  }
}

/** Whether no decode runner has the request. */
function isUnsent(outcome: Outcome): outcome is 'unreachable' | 'unavailable' {
  return outcome === 'unreachable' || outcome === 'unavailable';
}
