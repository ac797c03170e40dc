/** The way of a request to a plain service. */

import { Failure, toFailure } from '../../core/failure';
import type { Runner } from '../../core/routing/types';
import { readBody } from '../../utils/http';
import type { Exchange } from './exchange';
import type { BalancerContext } from './plainbalancer';
import { PlainBalancer } from './plainbalancer';
import type { QuotaController } from './quotas';
import type { Run, Runs } from './runs';
import type { Reply, RunnerClient } from './types';

/** What plain requests work with. */
export interface PlainContext extends BalancerContext {
  readonly runners: RunnerClient;
  readonly runs: Runs;
  readonly quotas: Pick<QuotaController, 'cover'>;
  /** Takes one repeat from the budget of the service. */
  readonly takeRetry: (now: number, service: string) => boolean;
}

/** Largest answer that is read whole before it is passed on, in bytes. */
const ANSWER_BYTES = 4 * 1024 * 1024;
/** Runners that a request tries to reach when nothing was sent to the ones before. */
const REACH_TRIES = 3;
const SERVER_ERROR = 500;
/** When a caller may come back after the runners were full or out of reach, in milliseconds. */
const RETRY_MS = 300;

interface Answer {
  readonly reply: Reply;
  readonly body: Buffer;
}

/** Drives plain requests. */
export class PlainHandler {
  readonly #context: PlainContext;

  readonly #choice: PlainBalancer;

  constructor(context: PlainContext) {
    this.#context = context;
    this.#choice = new PlainBalancer(context);
  }

  async run(exchange: Exchange): Promise<void> {
    const { route, service } = exchange;
    const tried: string[] = [];
    let sent = 0;
    let ran = false;
    let last = new Failure('noRunner', `no runner of ${service}`, { retryAfterMs: RETRY_MS });
    let failed: Answer | undefined;
    for (let reach = 0; reach < REACH_TRIES && sent < route.attempts; reach += 1) {
      const now = performance.now();
      const refused = await this.#refusal(now, exchange);
      last = refused ?? last;
      if (refused) break;
      const runner = await this.#choice.choose(now, exchange, tried);
      if (runner instanceof Failure) last = runner;
      if (!runner || runner instanceof Failure || exchange.signal.aborted) break;
      if (sent > 0 && !this.#context.takeRetry(now, service)) break;
      tried.push(runner.id);
      try {
        const answer = await this.#send(exchange, runner);
        const { reply } = answer;
        const again =
          reply.status >= SERVER_ERROR && route.kind === 'repeatable' && sent + 1 < route.attempts;
        exchange.trail.push(`${runner.id} ${reply.status}`);
        if (!again || !this.#choice.hasAlternative(performance.now(), service, tried)) {
          pass(exchange, answer);
          return;
        }
        failed = answer;
        sent += 1;
        ran = true;
        last = new Failure('runnerFailed', `${runner.id} answered ${reply.status}`);
      } catch (error) {
        last = toFailure(error);
        exchange.trail.push(`${runner.id} ${last.codeName}`);
        if (last.codeName !== 'runnerUnreachable') sent += 1;
        ran ||= !last.code.notRun;
        if (!last.code.notRun && route.kind !== 'repeatable') break;
      }
    }
    // No other runner took it after all: the caller gets what there is.
    if (failed && last.code.notRun) pass(exchange, failed);
    else exchange.fail(performance.now(), verdictOf(exchange, ran, last));
  }

  /** Why no runner may have it. Default: one may. */
  async #refusal(now: number, exchange: Exchange): Promise<Failure | undefined> {
    const { runs, quotas } = this.#context;
    return runs.refusal(now, exchange) ?? (await quotas.cover(exchange));
  }

  async #send(exchange: Exchange, runner: Runner): Promise<Answer> {
    const { health, runners, runs } = this.#context;
    const records = health(exchange.service);
    const now = performance.now();
    records.recordDispatch(now, runner.id);
    this.#choice.requestStarted(runner);
    try {
      const run = runs.begin(now, exchange, runner);
      const answer = await exchangeWith(exchange, runner, runners, run);
      records.recordSuccess(runner.id);
      run.completed(performance.now());
      return answer;
    } catch (error) {
      if (exchange.callerGone) records.recordInconclusive(runner.id);
      else records.recordFailure(performance.now(), runner.id);
      throw error;
    } finally {
      this.#choice.requestEnded(runner);
    }
  }
}

function pass(exchange: Exchange, { reply, body }: Answer): void {
  exchange.writeHead(reply.status, withLength(reply.headers, body.length));
  exchange.end(body);
}

/** The answer is whole, so its length is known, also where the runner named none. */
function withLength(headers: readonly string[], length: number): readonly string[] {
  const names = headers.filter((_, index) => index % 2 === 0).map((name) => name.toLowerCase());
  if (names.includes('content-length')) return headers;
  return [...headers, 'content-length', String(length)];
}

/** Requests that no runner had are refused as such; for others the outcome is said to be unknown, whatever the last try says. */
function verdictOf(exchange: Exchange, ran: boolean, last: Failure): Failure {
  if (!ran) {
    const { retryAfterMs = RETRY_MS } = last;
    return new Failure(last.codeName, last.message, { retryAfterMs });
  }
  const timedOut = exchange.remainingMs(performance.now()) <= 0;
  if (timedOut) return new Failure('timedOut', 'the runner did not answer in time');
  return last.code.notRun ? new Failure('runnerFailed', last.message) : last;
}

async function exchangeWith(
  exchange: Exchange,
  runner: Runner,
  runners: RunnerClient,
  run: Run,
): Promise<Answer> {
  const deadlineMs = exchange.remainingMs(performance.now());
  const { request, signal } = exchange;
  const onReply = (reply: Reply): void => run.replied(performance.now(), reply);
  const dispatch = { runner, request, deadlineMs, signal, onReply };
  const reply = await runners.send(dispatch).catch((error) => {
    const { codeName } = toFailure(error);
    if (codeName === 'runnerFailed') run.interrupted(performance.now());
    if (codeName === 'runnerUnreachable') run.notRun();
    throw error;
  });
  const body = await readBody(reply.body, ANSWER_BYTES).catch((error: Error) => {
    if (reply.body.errored) run.interrupted(performance.now());
    throw new Failure('runnerFailed', `${runner.id}: ${error.message}`);
  });
  if (reply.notRun) run.notRun();
  if (reply.notRun) throw new Failure('runnerFull', `${runner.id} turned it away`);
  if (!reply.genuine || !reply.body.complete) {
    throw new Failure('runnerFailed', `${runner.id}: found a broken answer`);
  }
  return { reply, body };
}
