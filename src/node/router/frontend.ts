/** Listens for callers: reads requests whole, finds their route and hands them on. */

import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import { createServer } from 'node:http';
import type { Socket } from 'node:net';
import { setImmediate as yieldOnce } from 'node:timers/promises';

import type { Logger } from 'pino';

import { Failure, toFailure } from '../../core/failure';
import type { RouteTable } from '../../core/routing/table';
import { pickTarget } from '../../core/routing/table';
import type { Route } from '../../core/routing/types';

import { bootNow } from '../../utils/clock';
import { OpenResponses } from '../../utils/responses';
import { listenOn, readBody } from '../../utils/http';
import { LogRateLimiter } from '../loglimiter';
import type { Metrics } from '../metrics';
import { Exchange, sendRefusal } from './exchange';
import type { Authorizer } from './authorizer';
import type { RoutingState } from './routingstate';
import type { CallRequest, IngressCodec } from './types';

/** What the front works with. */
export interface FrontEndContext {
  readonly knowledge: RoutingState;
  readonly authorizer: Authorizer;
  readonly codec: IngressCodec;
  readonly metrics: Metrics;
  readonly log: Logger;
  readonly onRequest: (exchange: Exchange) => Promise<void>;
  readonly onDone: (exchange: Exchange, ms: number) => void;
}

/** Header bytes that are read; the configured limit is checked by the callers' side. */
const HEADER_BYTES = 32 * 1024;
/** Limits before a configuration is known. */
const BODY_BYTES = 4 * 1024 * 1024;
const IDLE_MS = 15_000;
const HEADER_MS = 10_000;
/** By how much connections are kept longer than callers were told, in milliseconds: a request that crosses the close would be lost. */
const IDLE_SLACK_MS = 1000;
/** Lines of requests refused at the door in a second. */
const REFUSAL_LINES = 20;
/** When a caller may come back to a VM that has no configuration yet, in milliseconds. */
const NO_CONFIG_RETRY_MS = 300;

/** The callers' address. */
export class FrontEnd {
  readonly #context: FrontEndContext;

  readonly #server: Server;

  readonly #lines: LogRateLimiter;

  readonly #answers = new OpenResponses();

  #active = 0;

  #leaving = false;

  constructor(context: FrontEndContext) {
    this.#context = context;
    this.#lines = new LogRateLimiter(REFUSAL_LINES, (lines) =>
      context.log.info({ lines }, 'Refused more at the door.'),
    );
    this.#server = createServer(
      { maxHeaderSize: HEADER_BYTES, keepAliveTimeout: IDLE_MS, requestTimeout: 0 },
      (req, res) => {
        this.#answers.add(req, res);
        this.#handle(req, res).catch((error) => context.log.error(toFailure(error).line));
      },
    );
    this.#server.headersTimeout = HEADER_MS;
    this.#server.on('connection', (socket) => socket.setNoDelay(true));
    this.#server.on('clientError', (error, socket) => {
      if (this.#answers.abortOn(socket)) socket.destroy();
      else rejectMalformed(error, socket as Socket);
    });
  }

  /** Requests that have no final answer yet. */
  get activeRequests(): number {
    return this.#active;
  }

  listen(address: string): Promise<void> {
    return listenOn(this.#server, address);
  }

  /** Goes on serving, but asks callers to take another address for their next request. */
  startDraining(): void {
    this.#leaving = true;
  }

  close(): void {
    this.#server.close();
    this.#server.closeIdleConnections();
  }

  /** Cuts off all answers in progress. */
  cutOff(): void {
    this.#answers.abortAll();
  }

  async #handle(req: IncomingMessage, res: ServerResponse): Promise<void> {
    const now = performance.now();
    this.#applyLimits();
    if (this.#leaving) res.setHeader('connection', 'close');
    this.#active += 1;
    try {
      const exchange = await this.#accept(now, req, res);
      if (!exchange) return;
      await this.#context.onRequest(exchange);
      this.#context.onDone(exchange, performance.now() - now);
    } finally {
      this.#active -= 1;
    }
  }

  /** Undefined if the request was refused. */
  async #accept(
    now: number,
    req: IncomingMessage,
    res: ServerResponse,
  ): Promise<Exchange | undefined> {
    const { codec, knowledge, authorizer: gate } = this.#context;
    try {
      const limit = knowledge.table?.config.limits.bodyBytes ?? BODY_BYTES;
      const body = await readBody(req, limit);
      // A VM that is behind reads requests whose callers have left meanwhile. The close lies right
      // behind the request; the second turn of the loop comes after it was read.
      await yieldOnce();
      await yieldOnce();
      if (req.socket.destroyed) return undefined;
      const table = this.#table();
      const decoded = codec.decode(req, body, table.keyRing !== undefined);
      const route = this.#route(table, decoded);
      const customer = gate.identify(bootNow(), table, route, decoded.credential);
      const request = { ...decoded, customer: customer?.name };
      const { targets } = route;
      const service = pickTarget(targets, Math.random());
      if (service === undefined) throw new Failure('noRunner', `${route.name} names no service`);
      // A customer's rank goes before its route's.
      const rank = customer?.rank ?? route.priority;
      return new Exchange(now, request, route, service, rank, res, codec);
    } catch (error) {
      const failure = toFailure(error);
      const id = codec.idOf(req);
      this.#logRefusal(now, id, failure);
      sendRefusal(res, failure, codec, id);
      return undefined;
    }
  }

  /** Counts it, and writes one line unless there are too many: anybody can send wrong keys. */
  #logRefusal(now: number, request: string | undefined, { codeName, message }: Failure): void {
    const { knowledge, metrics, log } = this.#context;
    metrics.count(`refused.${codeName}`);
    if (!this.#lines.tryAcquire(now)) return;
    const { configVersion, freshness } = knowledge;
    const ageMs = Math.round(freshness.ageMs(bootNow()));
    log.info(
      { request, configVersion, ageMs, code: codeName, detail: message },
      'Refused at the door.',
    );
  }

  #table(): RouteTable {
    const { table } = this.#context.knowledge;
    if (table) return table;
    throw new Failure('noConfig', 'no configuration yet', { retryAfterMs: NO_CONFIG_RETRY_MS });
  }

  #route(table: RouteTable, { host, target }: CallRequest): Route {
    const path = target.split('?')[0] ?? '';
    const route = table.match(host, path);
    if (route) return route;
    const detail = `version ${table.config.version}: ${host}${path}`;
    // Callers do not come back after a 404, so a VM that may be behind does not say it.
    const refused = this.#context.authorizer.staleRefusal(bootNow(), detail);
    throw refused ?? new Failure('unknownRoute', detail);
  }

  #applyLimits(): void {
    const limits = this.#context.knowledge.table?.config.limits;
    if (!limits) return;
    this.#server.keepAliveTimeout = limits.idleTimeoutMs + IDLE_SLACK_MS;
    this.#server.headersTimeout = limits.headerTimeoutMs;
  }
}

const STATUS_LINES: Readonly<Record<string, string>> = {
  HPE_HEADER_OVERFLOW: '431 Request Header Fields Too Large',
  ERR_HTTP_REQUEST_TIMEOUT: '408 Request Timeout',
};

/** What is not HTTP gets one answer and no second chance on that connection. */
function rejectMalformed(error: Error, socket: Socket): void {
  if (!socket.writable) {
    socket.destroy();
    return;
  }
  const { code } = error as NodeJS.ErrnoException;
  const line = STATUS_LINES[code ?? ''] ?? '400 Bad Request';
  if (code === 'ECONNRESET') socket.destroy();
  else socket.end(`HTTP/1.1 ${line}\r\nconnection: close\r\ncontent-length: 0\r\n\r\n`);
}
