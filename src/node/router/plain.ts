/** Serves requests to plain services: chooses a runner, calls it and retries at others. */

import { Failure, toFailure } from '../../core/failure';
import type { Runner } from '../../core/routing/types';
import { readBody } from '../../utils/http';
import { viaText } from './accesslog';
import type { Metrics } from '../metrics';
import type { Exchange } from './exchange';
import type { BalancerContext } from './plainbalancer';
import { PlainBalancer } from './plainbalancer';
import { PlainHolds } from './plainholds';
import type { OriginController } from './origins';
import { PlainReturns } from './plainreturns';
import type { QuotaController } from './quotas';
import { Replacement } from './replacement';
import type { RetryController } from './retries';
import type { Run, Runs } from './runs';
import type { Abandonment, Dispatch, Reply, RunnerClient } from './types';

/** Dependencies of the plain request handler. */
export interface PlainContext extends BalancerContext {
  readonly runners: RunnerClient;
  readonly runs: Runs;
  readonly quotas: Pick<QuotaController, 'cover'>;
  readonly origins: Pick<OriginController, 'began'>;
  readonly retries: Pick<RetryController, 'affords' | 'holdRun'>;
  readonly metrics: Metrics;
}

/** Largest response; it is read completely before it is passed on. */
const MAX_ANSWER_BYTES = 4 * 1024 * 1024;
/** Runners tried for a request, including those that could not be reached. */
const MAX_RUNNERS_TRIED = 3;
const SERVER_ERROR = 500;
/** Retry delay for callers when the runners were full or unreachable. */
const RETRY_MS = 300;

/** A complete response of a runner. */
interface Answer {
  readonly runner: Runner;
  readonly reply: Reply;
  readonly body: Buffer;
}

/** The attempts of a request so far. */
interface Attempts {
  /** Ids of the runners that are not tried again. */
  readonly tried: string[];
  /** Ids of those that received the request. */
  readonly sentTo: ReadonlySet<string>;
  readonly lastFailure: Failure;
  /** Whether a runner answered with an error, which the caller gets if no other one answers. */
  readonly hasAnswer: boolean;
}

/** Serves plain requests. */
export class PlainHandler {
  readonly #context: PlainContext;

  readonly #balancer: PlainBalancer;

  readonly #holds: PlainHolds;

  readonly #returns: PlainReturns;

  constructor(context: PlainContext) {
    this.#context = context;
    this.#balancer = new PlainBalancer(context);
    this.#holds = new PlainHolds(context);
    this.#returns = new PlainReturns(context);
  }

  /** Serves a request to its end; failures become the response. */
  async run(exchange: Exchange): Promise<void> {
    const { route, service } = exchange;
    const tried: string[] = [];
    const sentTo = new Set<string>();
    let sentCount = 0;
    let mayHaveRun = false;
    let lastFailure = new Failure('noRunner', `no runner of ${service}`, {
      retryAfterMs: RETRY_MS,
    });
    let failedAnswer: Answer | undefined;
    while (sentCount < route.attempts) {
      const now = performance.now();
      const refused = await this.#refusalOf(now, exchange);
      lastFailure = refused ?? lastFailure;
      if (refused) break;
      const runner = await this.#next(exchange, {
        tried,
        sentTo,
        lastFailure,
        hasAnswer: failedAnswer !== undefined,
      });
      if (runner instanceof Failure) lastFailure = runner;
      if (!runner || runner instanceof Failure || exchange.signal.aborted) break;
      if (sentCount > 0 && !this.#context.retries.affords(now, exchange, 'run')) break;
      tried.push(runner.id);
      try {
        const hasAttempt = sentCount + 1 < route.attempts && tried.length < MAX_RUNNERS_TRIED;
        const mayAbandon =
          hasAttempt && route.kind === 'repeatable'
            ? this.#abandonment(exchange, tried)
            : undefined;
        const answer = await this.#send(exchange, runner, mayAbandon);
        const { reply } = answer;
        const shouldRetry =
          reply.status >= SERVER_ERROR &&
          route.kind === 'repeatable' &&
          sentCount + 1 < route.attempts;
        exchange.trail.push(`${runner.id} ${reply.status}${viaText(reply)}`);
        if (!shouldRetry || !this.#balancer.hasAlternative(performance.now(), exchange, tried)) {
          this.#forward(exchange, answer);
          return;
        }
        failedAnswer = answer;
        sentTo.add(runner.id);
        sentCount += 1;
        mayHaveRun = true;
        lastFailure = new Failure('runnerFailed', `${runner.id} answered ${reply.status}`);
      } catch (error) {
        lastFailure = toFailure(error);
        exchange.trail.push(`${runner.id} ${lastFailure.codeName}`);
        if (!isUnsent(lastFailure)) {
          sentTo.add(runner.id);
          sentCount += 1;
        }
        mayHaveRun ||= !lastFailure.code.notRun;
        if (!lastFailure.code.notRun && route.kind !== 'repeatable') break;
      }
    }
    if (!mayHaveRun) lastFailure = exchange.refusal ?? lastFailure;
    // No other runner accepted the request: the caller gets the last error response.
    if (failedAnswer && lastFailure.code.notRun) this.#forward(exchange, failedAnswer);
    else {
      const retryAfterMs = this.#balancer.retryAfterMs(performance.now(), service);
      const failure = callerFailure(exchange, mayHaveRun, lastFailure, retryAfterMs);
      exchange.fail(performance.now(), failure);
    }
  }

  /** A request whose connection has stalled is sent to another runner if that is certain. */
  #abandonment(exchange: Exchange, tried: readonly string[]): Abandonment {
    const hasNext = (now: number): boolean => this.#balancer.hasAlternative(now, exchange, tried);
    const replacement = new Replacement(this.#context, exchange, hasNext);
    return () => replacement.isCertain(performance.now());
  }

  #forward(exchange: Exchange, { runner, reply, body }: Answer): void {
    if (reply.isEvents) {
      exchange.sendsEventsOf(runner);
      this.#context.origins.began(performance.now(), exchange);
    }
    exchange.writeHead(reply.status, withLength(reply.headers, body.length));
    exchange.end(body);
  }

  /**
   * Chooses the next runner. If none is reached, waits for those that may go on: nothing was sent
   * to them, so that another attempt costs nothing.
   */
  async #next(
    exchange: Exchange,
    { tried, sentTo, lastFailure, hasAnswer }: Attempts,
  ): Promise<Runner | Failure | undefined> {
    const { retries } = this.#context;
    for (;;) {
      const mayTry = tried.length < MAX_RUNNERS_TRIED;
      const runner = mayTry ? await this.#choose(exchange, tried) : undefined;
      const failure = runner instanceof Failure ? runner : lastFailure;
      const isFinal = (runner && failure !== runner) || failure.codeName !== 'runnerUnreachable';
      if (isFinal || hasAnswer) return runner;
      if (sentTo.size > 0 && !retries.holdRun(performance.now(), exchange)) return runner;
      if (!(await this.#returns.wait(exchange, sentTo))) return runner;
      tried.splice(0, tried.length, ...sentTo);
    }
  }

  /** Chooses a runner; one that takes no requests any more when it is chosen, after a wait, does not count. */
  async #choose(
    exchange: Exchange,
    tried: readonly string[],
  ): Promise<Runner | Failure | undefined> {
    const { routingState, permits } = this.#context;
    for (;;) {
      const runner = await this.#balancer.choose(performance.now(), exchange, tried);
      const isFinal = !runner || runner instanceof Failure || exchange.signal.aborted;
      if (isFinal) {
        this.#holds.leave(exchange);
        return runner;
      }
      const now = performance.now();
      if (routingState.accepts(now, runner)) {
        // A request that may run once is not held after it was sent, and a permit lapses.
        const mayWait = tried.length === 0 || exchange.route.kind !== 'once';
        const mayHold = mayWait && !permits.isLimited(runner.id);
        const outcome = mayHold ? await this.#holds.pass(now, exchange, runner) : 'send';
        if (outcome !== 'again') return outcome === 'send' ? runner : outcome;
      }
    }
  }

  /** The reason why the request must not be sent to any runner; undefined if it may be. */
  async #refusalOf(now: number, exchange: Exchange): Promise<Failure | undefined> {
    const { runs, quotas } = this.#context;
    return runs.refusal(now, exchange) ?? (await quotas.cover(exchange));
  }

  async #send(
    exchange: Exchange,
    runner: Runner,
    mayAbandon: Abandonment | undefined,
  ): Promise<Answer> {
    const { health, routingState, paths, runners, runs, loads } = this.#context;
    const records = health(exchange.service);
    const now = performance.now();
    const run = runs.begin(now, exchange, runner);
    records.recordDispatch(now, runner.id);
    this.#balancer.requestStarted(now, exchange, runner);
    try {
      const onReply = (reply: Reply): void => {
        const repliedAt = performance.now();
        run.replied(repliedAt, reply);
        loads.replied(repliedAt, exchange, runner, now, reply);
      };
      const answer = await callRunner(exchange, { runner, mayAbandon, onReply }, runners, run);
      records.recordSuccess(runner.id);
      const isError = answer.reply.status >= SERVER_ERROR;
      loads.ended(performance.now(), exchange, runner, isError);
      run.completed(performance.now(), undefined, !isError);
      return answer;
    } catch (error) {
      const failedAt = performance.now();
      // A runner that asked for a pause gets nothing for that time, which need not be longer.
      const isPaused = !routingState.accepts(failedAt, runner);
      // Whether a runner is reached says nothing about it; probes of the path find out.
      const isUnreached = toFailure(error).codeName === 'runnerUnreachable';
      const isAtFault = !isPaused && !isUnreached && paths.isAtFault(failedAt, runner, now);
      const isConclusive = !exchange.callerGone && isAtFault;
      if (!isConclusive) records.recordInconclusive(runner.id);
      else records.recordFailure(failedAt, runner.id);
      const hasRejected = toFailure(error).codeName === 'runnerFull';
      if (isConclusive && !hasRejected) loads.ended(failedAt, exchange, runner, true);
      throw error;
    } finally {
      this.#balancer.requestEnded(runner);
    }
  }
}

/** Whether nothing was sent to the runner. */
function isUnsent({ codeName }: Failure): boolean {
  return codeName === 'runnerUnreachable' || codeName === 'runnerUnavailable';
}

/** Adds the length, which is known as the response is complete, if the runner did not state it. */
function withLength(headers: readonly string[], length: number): readonly string[] {
  const names = headers.filter((_, index) => index % 2 === 0).map((name) => name.toLowerCase());
  if (names.includes('content-length')) return headers;
  return [...headers, 'content-length', String(length)];
}

/**
 * The failure to send to the caller. If no runner executed the request, the last failure states so;
 * otherwise the outcome is reported as unknown, whatever the last attempt's failure was.
 * @param defaultRetryMs retry delay if the last failure has none, in milliseconds
 */
function callerFailure(
  exchange: Exchange,
  mayHaveRun: boolean,
  lastFailure: Failure,
  defaultRetryMs = RETRY_MS,
): Failure {
  if (!mayHaveRun) {
    const { retryAfterMs = defaultRetryMs } = lastFailure;
    return new Failure(lastFailure.codeName, lastFailure.message, { retryAfterMs });
  }
  const timedOut = exchange.remainingMs(performance.now()) <= 0;
  if (timedOut) return new Failure('timedOut', 'the runner did not answer in time');
  return lastFailure.code.notRun ? new Failure('runnerFailed', lastFailure.message) : lastFailure;
}

async function callRunner(
  exchange: Exchange,
  send: Pick<Dispatch, 'runner' | 'mayAbandon' | 'onReply'>,
  runners: RunnerClient,
  run: Run,
): Promise<Answer> {
  const deadlineMs = exchange.remainingMs(performance.now());
  const { request, signal } = exchange;
  const { runner } = send;
  const dispatch = { ...send, request, deadlineMs, signal };
  const reply = await runners.send(dispatch).catch((error) => {
    const failure = toFailure(error);
    if (failure.codeName === 'runnerFailed') run.interrupted(performance.now());
    if (failure.codeName === 'runnerUnreachable') run.unreached(performance.now(), failure);
    throw error;
  });
  const body = await readBody(reply.body, MAX_ANSWER_BYTES).catch((error: Error) => {
    if (reply.body.errored) run.interrupted(performance.now());
    throw new Failure('runnerFailed', `${runner.id}: ${error.message}`);
  });
  if (reply.notRun) run.notRun();
  if (reply.notRun) throw new Failure('runnerFull', `${runner.id} rejected the request`);
  const isWhole = await run.hasWholeAnswer(reply);
  if (!isWhole) run.interrupted(performance.now());
  if (!isWhole || !reply.genuine || !reply.body.complete) {
    throw new Failure('runnerFailed', `${runner.id}: found an invalid response`);
  }
  return { runner, reply, body };
}
