/** Handles plain calls: idempotent calls are retried within a budget, others run at most once. */

import type { IncomingMessage, OutgoingHttpHeaders, ServerResponse } from 'node:http';
import { Agent, request } from 'node:http';
import { pipeline } from 'node:stream/promises';

import type { Logger } from 'pino';

import { RetryBudget } from '../../core/cell/budget';
import type { CodeName } from '../../core/codes';
import { Failure, toFailure } from '../../core/failure';
import { contentIdOf, fingerprintOf } from '../../core/fingerprint';
import { PlainBalancer } from '../../core/plain/balancer';
import { Quarantine } from '../../core/quarantine/quarantine';
import type { PlainService, RunnerSettings } from '../../core/settings/schema';
import { failOnEarlyEnd } from '../../utils/earlyends';
import { abortResponse, isConnectionRefused, readBody } from '../../utils/http';
import type { Metrics } from '../metrics';
import type { RunnerAnswer } from './answerend';
import { isWholeAnswer, statusErrorOf, verdictOf } from './answerend';
import type { Fleet } from './fleet';
import type { LedgerClient, Claim } from './ledger';
import { idempotencyKeyOf } from './model';

/** Dependencies and settings of `PlainHandler`. */
export interface PlainHandlerOptions {
  readonly fleet: Fleet;
  readonly ledger: LedgerClient;
  /** Failure domain of this VM. */
  readonly domain: string;
  /** Largest accepted body, in bytes. */
  readonly bodyBytes: number;
  readonly log: Logger;
  readonly metrics: Metrics;
  /** Called once for each ended call, for the service-level report; `code` is undefined on success. */
  readonly onOutcome: (team: string, service: string, code: CodeName | undefined) => void;
}

/** A call to be forwarded to a runner. */
interface PlainCall {
  readonly req: IncomingMessage;
  readonly res: ServerResponse;
  readonly team: string;
  readonly serviceName: string;
  readonly service: PlainService;
  /** Path and query after the service's name. */
  readonly path: string;
}

/**
 * How one dispatch ended. `refused`: the runner reports, or the refused connection proves,
 * that nothing ran. `lost`: the call may have run; `isBrokenOff` is false if this gateway
 * aborted it on timeout.
 */
type Dispatch =
  | ({ readonly kind: 'answered' } & RunnerAnswer)
  | { readonly kind: 'refused'; readonly leaving: boolean }
  | { readonly kind: 'lost'; readonly error: Error; readonly isBrokenOff: boolean };

/** Bodies up to this size are buffered, so that the call can be sent again; larger ones are streamed once. */
const BUFFERED_BODY_LIMIT_BYTES = 256 * 1024;
/** Delay after which callers should retry if no runner is available, in milliseconds. */
const RETRY_AFTER_MS = 1000;
/** Headers that are not forwarded: hop-by-hop headers (RFC 9110, 7.6.1) and those that only concern the gateway. */
const CONNECTION_HEADERS = new Set([
  'connection',
  'keep-alive',
  'proxy-authenticate',
  'proxy-authorization',
  'te',
  'trailer',
  'transfer-encoding',
  'upgrade',
  'host',
  'authorization',
  'expect',
]);

/** Returns the headers that are forwarded. */
function forwardedHeaders(headers: IncomingMessage['headers']): OutgoingHttpHeaders {
  return Object.fromEntries(
    Object.entries(headers).filter(([name]) => !CONNECTION_HEADERS.has(name)),
  );
}

/** Whether a service's settings declare a call as non-idempotent, so that it may run at most once. */
export function isNonIdempotent(service: PlainService, method: string, path: string): boolean {
  return service.nonIdempotent.some((rule) => {
    const [ruleMethod, prefix = '/'] = rule.split(' ');
    return (ruleMethod === '*' || ruleMethod === method) && path.startsWith(prefix);
  });
}

/** Handles plain calls of callers. */
export class PlainHandler {
  readonly #options: PlainHandlerOptions;

  readonly #balancer: PlainBalancer;

  readonly #budget = new RetryBudget();

  /** Calls whose runners crashed while processing them, as observed by this gateway. */
  readonly #quarantine = new Quarantine();

  readonly #agent = new Agent({ keepAlive: true, maxSockets: 256 });

  #openCalls = 0;

  constructor(options: PlainHandlerOptions) {
    this.#options = options;
    this.#balancer = new PlainBalancer(options.domain);
  }

  /** Number of open calls. */
  get size(): number {
    return this.#openCalls;
  }

  /** Closes the connections to runners. */
  close(): void {
    this.#agent.destroy();
  }

  /** Handles any method under `/services/NAME/`. */
  async handle(
    req: IncomingMessage,
    res: ServerResponse,
    team: string,
    serviceName: string,
    path: string,
  ): Promise<void> {
    const service = this.#options.fleet.settings.service(team, serviceName);
    if (service?.kind !== 'plain') {
      throw new Failure('unknownService', `there is no plain service '${serviceName}'`);
    }
    const call: PlainCall = { req, res, team, serviceName, service, path };
    const isOnce = isNonIdempotent(service, req.method ?? 'GET', path);
    this.#openCalls += 1;
    try {
      await (isOnce ? this.#handleOnce(call) : this.#handleIdempotent(call));
      this.#options.onOutcome(team, serviceName, undefined);
    } catch (error) {
      const failure = toFailure(error);
      this.#options.onOutcome(team, serviceName, failure.codeName);
      throw failure;
    } finally {
      this.#openCalls -= 1;
    }
  }

  async #handleIdempotent(call: PlainCall): Promise<void> {
    const { team, req } = call;
    this.#budget.earn(team);
    const length = Number(
      req.headers['content-length'] ?? (req.headers['transfer-encoding'] ? Infinity : 0),
    );
    const body =
      length <= BUFFERED_BODY_LIMIT_BYTES
        ? await readBody(req, BUFFERED_BODY_LIMIT_BYTES)
        : undefined;
    if (length !== Infinity && length > this.#options.bodyBytes) {
      throw new Failure(
        'bodyTooLarge',
        `found a body of ${length} bytes, expected at most ${this.#options.bodyBytes}`,
      );
    }
    const tried = new Set<string>();
    for (;;) {
      this.#refuseQuarantined(call, body, tried.size > 0);
      const runner = this.#choose(call, tried);
      const sent = await this.#dispatch(call, runner, body);
      if (sent.kind === 'answered') {
        await this.#forwardAnswer(call, sent);
        return;
      }
      tried.add(runner.id);
      this.#checkRetry(call, sent, body !== undefined);
    }
  }

  /** Throws if runners crashed while processing the same call, whichever attempt sent it. */
  #refuseQuarantined(call: PlainCall, body: Buffer | undefined, isRepeat: boolean): void {
    if (!body) return;
    const retryAfterMs = this.#quarantine.refusedForMs(Date.now(), callFingerprint(call, body));
    if (retryAfterMs === undefined) return;
    const detail = 'several runners crashed while processing this call';
    if (isRepeat) throw new Failure('runnerFailed', detail);
    throw new Failure('quarantined', detail, { retryAfterMs });
  }

  /** Reports the result to the quarantine. Runners keep their ids across restarts, so the time is added to count each crash. */
  #reportToQuarantine(call: PlainCall, body: Buffer, sent: Dispatch, runner: string): void {
    const now = Date.now();
    const fingerprint = callFingerprint(call, body);
    if (sent.kind === 'answered') this.#quarantine.recordCompletion(now, fingerprint);
    else if (sent.kind === 'lost' && sent.isBrokenOff) {
      this.#quarantine.recordCrash(now, fingerprint, `${runner}@${now}`);
    }
  }

  /**
   * Throws unless the call may be retried. A lost call may have run; only idempotent
   * calls are checked here, and each retry after a loss is charged to the retry budget.
   */
  #checkRetry(
    { team }: PlainCall,
    sent: Exclude<Dispatch, { kind: 'answered' }>,
    isBuffered: boolean,
  ): void {
    if (!isBuffered) {
      throw new Failure(
        'runnerFailed',
        'the runner was lost, and the body was too large to be buffered for a retry',
      );
    }
    if (sent.kind === 'refused') return;
    if (!this.#budget.spend(team)) {
      throw new Failure('retriesSpent', `the runner was lost: ${sent.error.message}`, {
        retryAfterMs: RETRY_AFTER_MS,
      });
    }
    this.#options.metrics.count('plain.retries');
  }

  #choose({ service }: PlainCall, tried: ReadonlySet<string>): RunnerSettings {
    const runners = this.#options.fleet.settings.pool(service.pool)?.runners ?? [];
    const runner = this.#balancer.choose(Date.now(), runners, tried);
    if (runner) return runner;
    const codeName = tried.size > 0 ? 'runnerFailed' : 'noRunner';
    throw new Failure(codeName, `no runner of pool ${service.pool} takes calls`, {
      retryAfterMs: RETRY_AFTER_MS,
    });
  }

  async #handleOnce(call: PlainCall): Promise<void> {
    const { req, res, team, path } = call;
    const key = idempotencyKeyOf(req);
    if (key === undefined) throw new Failure('keyRequired', 'found no Idempotency-Key header');
    const body = await readBody(req, this.#options.bodyBytes);
    this.#refuseQuarantined(call, body, false);
    const fingerprint = fingerprintOf(`${req.method} ${path}`, body);
    const result = await this.#options.ledger.claim(team, key, fingerprint);
    if (result.kind === 'replay') {
      const { status, contentType, body: text } = result.outcome;
      res.writeHead(status, { 'content-type': contentType, 'goldcrestdock-replay': 'true' });
      res.end(text);
      return;
    }
    await this.#runOnce(call, body, result.claim);
  }

  /** Dispatches again only if the previous dispatch provably did not run. */
  async #runOnce(call: PlainCall, body: Buffer, claim: Claim): Promise<void> {
    const { ledger } = this.#options;
    const tried = new Set<string>();
    for (;;) {
      const runner = this.#chooseOnce(call, tried, claim);
      if (!claim.canDispatch()) {
        ledger.withdraw(claim);
        throw new Failure('ledgerUnavailable', 'the claim is too old to be dispatched', {
          retryAfterMs: RETRY_AFTER_MS,
        });
      }
      const sent = await this.#dispatch(call, runner, body);
      if (sent.kind === 'answered') {
        await this.#settle(call, sent, claim);
        return;
      }
      if (sent.kind === 'lost') {
        throw new Failure(
          'outcomeUnknown',
          `the runner was lost after the call was sent: ${sent.error.message}`,
        );
      }
      tried.add(runner.id);
    }
  }

  #chooseOnce(call: PlainCall, tried: ReadonlySet<string>, claim: Claim): RunnerSettings {
    const runners = this.#options.fleet.settings.pool(call.service.pool)?.runners ?? [];
    const runner = this.#balancer.choose(Date.now(), runners, tried);
    if (runner) return runner;
    this.#options.ledger.withdraw(claim);
    throw new Failure('noRunner', `no runner of pool ${call.service.pool} takes calls`, {
      retryAfterMs: RETRY_AFTER_MS,
    });
  }

  async #settle({ res }: PlainCall, received: RunnerAnswer, claim: Claim): Promise<void> {
    const { answer } = received;
    let body: Buffer;
    try {
      body = received.body ?? (await readBody(answer, this.#options.bodyBytes));
    } catch (error) {
      throw new Failure(
        'outcomeUnknown',
        `the answer was interrupted: ${toFailure(error).message}`,
      );
    }
    if (!(await isWholeAnswer(received))) {
      throw new Failure('outcomeUnknown', 'the runner was lost within its answer');
    }
    const status = answer.statusCode ?? 502;
    const contentType = answer.headers['content-type'] ?? 'application/octet-stream';
    this.#options.ledger.settle(claim, { status, contentType, body: body.toString() });
    if (res.destroyed) return;
    res.writeHead(status, forwardedHeaders(answer.headers));
    res.end(body);
  }

  async #dispatch(
    call: PlainCall,
    runner: RunnerSettings,
    body: Buffer | undefined,
  ): Promise<Dispatch> {
    this.#balancer.begin(runner.id);
    const received = await this.#send(call, runner, body);
    const sent: Dispatch =
      received.kind === 'answered' ? { ...received, ...(await verdictOf(received)) } : received;
    if (sent.kind === 'refused' && sent.leaving) {
      this.#balancer.end(Date.now(), runner.id, 'leaving');
      return sent;
    }
    this.#balancer.end(Date.now(), runner.id, sent.kind === 'answered' ? 'ok' : 'lost');
    if (body) this.#reportToQuarantine(call, body, sent, runner.id);
    return sent;
  }

  #send(
    { req, service, path }: PlainCall,
    { url }: RunnerSettings,
    body: Buffer | undefined,
  ): Promise<Dispatch> {
    return new Promise((resolve) => {
      const headers = forwardedHeaders(req.headers);
      const { method = 'GET' } = req;
      // If the runner closes a kept-alive connection at this moment, the call looks lost; a call that cannot be repeated therefore opens a new connection.
      const agent = body === undefined || method !== 'GET' ? false : this.#agent;
      const signal = AbortSignal.timeout(service.timeoutMs);
      const out = request(url + path, { method, headers, agent, signal }, (answer) => {
        failOnEarlyEnd(out, answer);
        const error = statusErrorOf(answer);
        if (error) resolve({ kind: 'lost', error, isBrokenOff: false });
        else resolve({ kind: 'answered', answer, method, url });
        if (error) out.destroy();
      });
      out.on('upgrade', (_message, socket) => {
        socket.destroy();
        const error = new Error('found a switch of protocols, which the call did not ask for');
        resolve({ kind: 'lost', error, isBrokenOff: true });
      });
      out.on('error', (error) => {
        if (isConnectionRefused(error)) resolve({ kind: 'refused', leaving: false });
        else resolve({ kind: 'lost', error, isBrokenOff: !signal.aborted });
      });
      if (body === undefined) this.#streamBody(req, out);
      else out.end(body);
    });
  }

  #streamBody(
    req: IncomingMessage,
    out: NodeJS.WritableStream & { destroy(error?: Error): void },
  ): void {
    let bytesLeft = this.#options.bodyBytes;
    req.on('data', (chunk: Buffer) => {
      bytesLeft -= chunk.length;
      if (bytesLeft < 0) out.destroy(new Failure('bodyTooLarge', 'the body is over the limit'));
    });
    pipeline(req, out).catch(() => out.destroy());
  }

  async #forwardAnswer({ res }: PlainCall, received: RunnerAnswer): Promise<void> {
    const { answer, body } = received;
    if (res.destroyed) {
      answer.destroy();
      return;
    }
    res.writeHead(answer.statusCode ?? 502, forwardedHeaders(answer.headers));
    if (body) {
      res.end(body);
      return;
    }
    // The status was already sent; only a closed connection can show the caller that the body is incomplete.
    answer.once('error', () => abortResponse(res));
    try {
      await pipeline(answer, res, { end: false });
      if (await isWholeAnswer(received)) res.end();
      else abortResponse(res);
    } catch (error) {
      this.#options.log.debug(`An answer was interrupted. ${(error as Error).message}.`);
    }
  }
}

/** Content hash of a call; the same for all attempts. */
function callFingerprint({ team, serviceName, req, path }: PlainCall, body: Buffer): string {
  return contentIdOf(`${team} ${serviceName} ${req.method} ${path}`, body);
}
