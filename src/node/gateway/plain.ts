/** Plain calls: idempotent ones are tried again within a budget, others run at most once. */

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
import { abortResponse, failOnReset, isConnectionRefused, readBody } from '../../utils/http';
import type { Metrics } from '../metrics';
import type { Fleet } from './fleet';
import type { LedgerClient, Claim } from './ledger';
import { idempotencyKeyOf } from './model';

/** What plain calls work with. */
export interface PlainHandlerOptions {
  readonly fleet: Fleet;
  readonly ledger: LedgerClient;
  readonly domain: string;
  readonly bodyBytes: number;
  readonly log: Logger;
  readonly metrics: Metrics;
  /** Told of every end, for the service-level report. */
  readonly onOutcome: (team: string, service: string, code: CodeName | undefined) => void;
}

/** A call to be passed on. */
interface PlainCall {
  readonly req: IncomingMessage;
  readonly res: ServerResponse;
  readonly team: string;
  readonly serviceName: string;
  readonly service: PlainService;
  /** Path and query behind the service's name. */
  readonly path: string;
}

/** How one dispatch ended. `refused`: the runner said, or the connection proves, that nothing ran. `brokeOff`: it was not given up here. */
type Dispatch =
  | { readonly kind: 'answered'; readonly answer: IncomingMessage }
  | { readonly kind: 'refused'; readonly leaving: boolean }
  | { readonly kind: 'lost'; readonly error: Error; readonly brokeOff: boolean };

/** Bodies up to this size are kept, so that the call can be sent again; larger ones stream through once. */
const KEPT_BODY_BYTES = 256 * 1024;
/** When to come back if no runner is able, in milliseconds. */
const RETRY_AFTER_MS = 1000;
/** Headers that belong to one connection and are not passed on (RFC 9110, 7.6.1). */
const HOP_HEADERS = new Set([
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

function passedOn(headers: IncomingMessage['headers']): OutgoingHttpHeaders {
  return Object.fromEntries(Object.entries(headers).filter(([name]) => !HOP_HEADERS.has(name)));
}

/** Whether a service's settings mark a call as one that may run at most once. */
export function isNonIdempotent(service: PlainService, method: string, path: string): boolean {
  return service.nonIdempotent.some((rule) => {
    const [ruleMethod, prefix = '/'] = rule.split(' ');
    return (ruleMethod === '*' || ruleMethod === method) && path.startsWith(prefix);
  });
}

/** Takes plain calls of callers. */
export class PlainHandler {
  readonly #options: PlainHandlerOptions;

  readonly #balancer: PlainBalancer;

  readonly #budget = new RetryBudget();

  /** Calls that end their runners, as this gateway has seen. */
  readonly #quarantine = new Quarantine();

  readonly #agent = new Agent({ keepAlive: true, maxSockets: 256 });

  #open = 0;

  constructor(options: PlainHandlerOptions) {
    this.#options = options;
    this.#balancer = new PlainBalancer(options.domain);
  }

  get size(): number {
    return this.#open;
  }

  close(): void {
    this.#agent.destroy();
  }

  /** Answers any method under `/services/NAME/`. */
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
    const once = isNonIdempotent(service, req.method ?? 'GET', path);
    this.#open += 1;
    try {
      await (once ? this.#handleOnce(call) : this.#handleIdempotent(call));
      this.#options.onOutcome(team, serviceName, undefined);
    } catch (error) {
      const failure = toFailure(error);
      this.#options.onOutcome(team, serviceName, failure.codeName);
      throw failure;
    } finally {
      this.#open -= 1;
    }
  }

  async #handleIdempotent(call: PlainCall): Promise<void> {
    const { team, req } = call;
    this.#budget.earn(team);
    const length = Number(
      req.headers['content-length'] ?? (req.headers['transfer-encoding'] ? Infinity : 0),
    );
    const body = length <= KEPT_BODY_BYTES ? await readBody(req, KEPT_BODY_BYTES) : undefined;
    if (length !== Infinity && length > this.#options.bodyBytes) {
      throw new Failure(
        'bodyTooLarge',
        `found a body of ${length} bytes, expected at most ${this.#options.bodyBytes}`,
      );
    }
    const tried = new Set<string>();
    for (;;) {
      this.#refuseEnding(call, body, tried.size > 0);
      const runner = this.#choose(call, tried);
      const sent = await this.#dispatch(call, runner, body);
      if (sent.kind === 'answered') {
        await this.#passBack(call, sent.answer);
        return;
      }
      tried.add(runner.id);
      this.#mayRetry(call, sent, body !== undefined);
    }
  }

  /** Throws if runners ended under this very call, whoever sent it. */
  #refuseEnding(call: PlainCall, body: Buffer | undefined, ran: boolean): void {
    if (!body) return;
    const retryAfterMs = this.#quarantine.refusedForMs(Date.now(), contentOf(call, body));
    if (retryAfterMs === undefined) return;
    const detail = 'several runners ended under this call';
    if (ran) throw new Failure('runnerFailed', detail);
    throw new Failure('quarantined', detail, { retryAfterMs });
  }

  /** Runners keep their ids when they start anew, so each end counts. */
  #noteEnd(call: PlainCall, body: Buffer, sent: Dispatch, runner: string): void {
    const now = Date.now();
    const fingerprint = contentOf(call, body);
    if (sent.kind === 'answered') this.#quarantine.recordCompletion(now, fingerprint);
    else if (sent.kind === 'lost' && sent.brokeOff) {
      this.#quarantine.recordCrash(now, fingerprint, `${runner}@${now}`);
    }
  }

  /** A call that was sent may have run; only idempotent calls get here, and each repeat is paid from the budget. */
  #mayRetry(
    { team }: PlainCall,
    sent: Exclude<Dispatch, { kind: 'answered' }>,
    kept: boolean,
  ): void {
    if (!kept) {
      throw new Failure(
        'runnerFailed',
        'the runner was lost, and the body was too large to be kept for another',
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
    this.#refuseEnding(call, body, false);
    const fingerprint = fingerprintOf(`${req.method} ${path}`, body);
    const claim = await this.#options.ledger.claim(team, key, fingerprint);
    if (claim.kind === 'replay') {
      const { status, contentType, body: text } = claim.outcome;
      res.writeHead(status, { 'content-type': contentType, 'goldcrestdock-replay': 'true' });
      res.end(text);
      return;
    }
    await this.#runOnce(call, body, claim.claim);
  }

  /** Only a dispatch of which it is proven that nothing ran is followed by another. */
  async #runOnce(call: PlainCall, body: Buffer, ticket: Claim): Promise<void> {
    const { ledger } = this.#options;
    const tried = new Set<string>();
    for (;;) {
      const runner = this.#chooseOnce(call, tried, ticket);
      if (!ticket.canDispatch()) {
        ledger.withdraw(ticket);
        throw new Failure('ledgerUnavailable', 'the claim is too old to be dispatched', {
          retryAfterMs: RETRY_AFTER_MS,
        });
      }
      const sent = await this.#dispatch(call, runner, body);
      if (sent.kind === 'answered') {
        await this.#settle(call, sent.answer, ticket);
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

  #chooseOnce(call: PlainCall, tried: ReadonlySet<string>, ticket: Claim): RunnerSettings {
    const runners = this.#options.fleet.settings.pool(call.service.pool)?.runners ?? [];
    const runner = this.#balancer.choose(Date.now(), runners, tried);
    if (runner) return runner;
    this.#options.ledger.withdraw(ticket);
    throw new Failure('noRunner', `no runner of pool ${call.service.pool} takes calls`, {
      retryAfterMs: RETRY_AFTER_MS,
    });
  }

  async #settle({ res }: PlainCall, answer: IncomingMessage, ticket: Claim): Promise<void> {
    let body: Buffer;
    try {
      body = await readBody(answer, this.#options.bodyBytes);
    } catch (error) {
      throw new Failure('outcomeUnknown', `the answer broke off: ${toFailure(error).message}`);
    }
    const status = answer.statusCode ?? 502;
    const contentType = answer.headers['content-type'] ?? 'application/octet-stream';
    this.#options.ledger.settle(ticket, { status, contentType, body: body.toString() });
    if (res.destroyed) return;
    res.writeHead(status, passedOn(answer.headers));
    res.end(body);
  }

  async #dispatch(
    call: PlainCall,
    runner: RunnerSettings,
    body: Buffer | undefined,
  ): Promise<Dispatch> {
    this.#balancer.begin(runner.id);
    const sent = await this.#send(call, runner, body);
    const leaving =
      sent.kind === 'answered' && sent.answer.statusCode === 503 && (await saysNotRun(sent.answer));
    if (leaving) {
      this.#balancer.end(Date.now(), runner.id, 'leaving');
      return { kind: 'refused', leaving };
    }
    this.#balancer.end(Date.now(), runner.id, sent.kind === 'answered' ? 'ok' : 'lost');
    if (body) this.#noteEnd(call, body, sent, runner.id);
    return sent;
  }

  #send(
    { req, service, path }: PlainCall,
    { url }: RunnerSettings,
    body: Buffer | undefined,
  ): Promise<Dispatch> {
    return new Promise((resolve) => {
      const headers = passedOn(req.headers);
      // A kept-alive connection that the runner closes at this moment looks like a lost call; a call that may not be repeated opens its own.
      const agent = body === undefined || req.method !== 'GET' ? false : this.#agent;
      const signal = AbortSignal.timeout(service.timeoutMs);
      const out = request(url + path, { method: req.method, headers, agent, signal }, (answer) => {
        failOnReset(out, answer);
        resolve({ kind: 'answered', answer });
      });
      out.on('error', (error) => {
        if (isConnectionRefused(error)) resolve({ kind: 'refused', leaving: false });
        else resolve({ kind: 'lost', error, brokeOff: !signal.aborted });
      });
      if (body === undefined) this.#streamBody(req, out);
      else out.end(body);
    });
  }

  #streamBody(
    req: IncomingMessage,
    out: NodeJS.WritableStream & { destroy(error?: Error): void },
  ): void {
    let left = this.#options.bodyBytes;
    req.on('data', (chunk: Buffer) => {
      left -= chunk.length;
      if (left < 0) out.destroy(new Failure('bodyTooLarge', 'the body is over the limit'));
    });
    pipeline(req, out).catch(() => out.destroy());
  }

  async #passBack({ res }: PlainCall, answer: IncomingMessage): Promise<void> {
    if (res.destroyed) {
      answer.destroy();
      return;
    }
    res.writeHead(answer.statusCode ?? 502, passedOn(answer.headers));
    // The status is out: cutting the connection is the only way left to tell a part from the whole.
    answer.once('error', () => abortResponse(res));
    try {
      await pipeline(answer, res);
    } catch (error) {
      this.#options.log.debug(`An answer broke off. ${(error as Error).message}.`);
    }
  }
}

/** What all attempts of one call have in common. */
function contentOf({ team, serviceName, req, path }: PlainCall, body: Buffer): string {
  return contentIdOf(`${team} ${serviceName} ${req.method} ${path}`, body);
}

/** A 503 counts as "not run" only if the runner says so in its body. */
async function saysNotRun(answer: IncomingMessage): Promise<boolean> {
  if (answer.headers['content-type'] !== 'application/json') return false;
  const text = (await readBody(answer, KEPT_BODY_BYTES)).toString();
  try {
    return (JSON.parse(text) as { not_run?: boolean }).not_run === true;
  } catch {
    return false;
  }
}
