/** HTTP front end for callers: reads each request completely, resolves its route and dispatches it. */

import type { IncomingMessage, Server } from 'node:http';
import { createServer } from 'node:http';
import type { Socket } from 'node:net';
import { Server as SocketServer } from 'node:net';
import { setImmediate as yieldOnce } from 'node:timers/promises';

import type { Logger } from 'pino';

import { staleConfigFailure } from '../../core/customers/identity';
import { rankOf, runnerPriorityOf } from '../../core/customers/rank';
import { Failure, toFailure } from '../../core/failure';
import type { RouteTable } from '../../core/routing/table';
import { pickTarget } from '../../core/routing/table';
import type { Route } from '../../core/routing/types';

import { CallerResponse } from '../../utils/callerresponse';
import { bootNow } from '../../utils/clock';
import { listenOn, readRequestBody } from '../../utils/http';
import { KeptConnections } from '../../utils/keptconnections';
import { OpenResponses } from '../../utils/responses';
import { LogRateLimiter } from '../loglimiter';
import type { Metrics } from '../metrics';
import { Exchange, sendRefusal } from './exchange';
import type { Authorizer } from './authorizer';
import type { DeliveryBuffers } from './delivery';
import type { RoutingState } from './routingstate';
import type { CallRequest, IngressCodec } from './types';

/** Dependencies of the front end. */
export interface FrontEndContext {
  readonly routingState: RoutingState;
  readonly authorizer: Authorizer;
  readonly codec: IngressCodec;
  readonly buffers: DeliveryBuffers;
  readonly metrics: Metrics;
  readonly log: Logger;
  readonly onRequest: (exchange: Exchange) => Promise<void>;
  readonly onDone: (exchange: Exchange, ms: number) => void;
}

/** Largest request header that is read; the configured limit is enforced on the callers' side. */
const MAX_HEADER_BYTES = 32 * 1024;
/** Limits that apply until a configuration is loaded. */
const DEFAULT_BODY_BYTES = 4 * 1024 * 1024;
const DEFAULT_IDLE_MS = 15_000;
const DEFAULT_HEADER_MS = 10_000;
/** Log lines per second for requests refused at admission. */
const REFUSAL_LINES_PER_S = 20;
/** Retry delay for callers of a VM that has no configuration yet. */
const NO_CONFIG_RETRY_MS = 300;

/** HTTP server that callers connect to. */
export class FrontEnd {
  readonly #context: FrontEndContext;

  readonly #server: Server<typeof IncomingMessage, typeof CallerResponse>;

  readonly #connections: KeptConnections;

  readonly #logBudget: LogRateLimiter;

  readonly #openResponses = new OpenResponses();

  #activeRequests = 0;

  constructor(context: FrontEndContext) {
    this.#context = context;
    this.#logBudget = new LogRateLimiter(REFUSAL_LINES_PER_S, (lines) =>
      context.log.info({ lines }, 'Suppressed log lines of refused requests.'),
    );
    this.#server = createServer(
      // How long Node keeps idle connections beyond what it announces depends on its version.
      {
        maxHeaderSize: MAX_HEADER_BYTES,
        requestTimeout: 0,
        keepAliveTimeout: 0,
        ServerResponse: CallerResponse,
      },
      (req, res) => {
        this.#openResponses.add(req, res);
        this.#handle(req, res).catch((error) => context.log.error(toFailure(error).line));
      },
    );
    this.#server.headersTimeout = DEFAULT_HEADER_MS;
    this.#connections = new KeptConnections(
      this.#server,
      () => context.routingState.table?.config.limits.idleTimeoutMs ?? DEFAULT_IDLE_MS,
    );
    this.#server.on('connection', (socket) => socket.setNoDelay(true));
    this.#server.on('clientError', (error, socket) => {
      const reject = (): void => rejectMalformed(error, socket as Socket);
      // Requests before the one whose headers are late are answered first.
      if (isLate(error) && this.#openResponses.afterAll(socket, reject)) return;
      if (!this.#openResponses.resetOn(socket)) reject();
    });
  }

  /** Number of requests whose response is not complete yet. */
  get activeRequests(): number {
    return this.#activeRequests;
  }

  /** @param address `HOST:PORT` */
  listen(address: string): Promise<void> {
    return listenOn(this.#server, address);
  }

  /** Keeps serving, but closes each connection after its response, so that callers send their next request to another address. */
  startDraining(): void {
    this.#connections.leave();
  }

  /** Accepts no new connections. Requests on open ones are still answered. */
  close(): void {
    // `close` of an HTTP server would end idle connections, with requests on their way.
    SocketServer.prototype.close.call(this.#server);
  }

  /** Resets the connections of all responses in progress, so that they cannot look complete. Idle ones end with the process. */
  cutOff(): void {
    this.#openResponses.abortAll();
  }

  async #handle(req: IncomingMessage, res: CallerResponse): Promise<void> {
    const now = performance.now();
    this.#applyLimits();
    if (!(await this.#connections.admit(req, res))) return;
    this.#activeRequests += 1;
    try {
      const exchange = await this.#accept(now, req, res);
      if (!exchange) return;
      await this.#serve(exchange);
      this.#context.onDone(exchange, performance.now() - now);
    } finally {
      this.#activeRequests -= 1;
    }
  }

  /** Serves a request; one that an error leaves without an end is answered 500, or reset if its response has begun. */
  async #serve(exchange: Exchange): Promise<void> {
    const { onRequest, metrics, log } = this.#context;
    try {
      await onRequest(exchange);
    } catch (error) {
      const failure = toFailure(error);
      const { request, service } = exchange;
      log.error({ request: request.id, service, stack: failure.stack }, failure.line);
      metrics.count('requests.failed');
      exchange.trail.push(failure.codeName);
      if (!exchange.isSettled) exchange.fail(performance.now(), failure);
    }
  }

  /** Reads, decodes and authenticates a request. Returns undefined if it was refused or its caller disconnected. */
  async #accept(
    now: number,
    req: IncomingMessage,
    res: CallerResponse,
  ): Promise<Exchange | undefined> {
    const { codec, authorizer, buffers } = this.#context;
    const limit = this.#bodyLimit;
    try {
      const body = await readRequestBody(req, limit);
      // An overloaded VM reads requests whose callers have already disconnected. The close follows
      // the request in the socket's buffer and has been read by the second turn of the event loop.
      await yieldOnce();
      await yieldOnce();
      if (req.socket.destroyed) return undefined;
      const table = this.#requireTable();
      const decoded = codec.decode(req, body, table.keyRing !== undefined);
      const route = this.#routeOf(table, decoded);
      const customer = authorizer.identify(bootNow(), table, route, decoded.credential);
      const { targets } = route;
      const service = pickTarget(targets, Math.random());
      if (service === undefined) throw new Failure('noRunner', `${route.name} names no service`);
      const rank = rankOf(customer?.rank, route.priority);
      const priority = table.hasRanks(service) ? runnerPriorityOf(rank) : undefined;
      const request = { ...decoded, customer: customer?.name, priority };
      return new Exchange(now, request, route, service, rank, res, codec, buffers);
    } catch (error) {
      const failure = this.#refusalOf(toFailure(error), limit);
      const id = codec.idOf(req);
      this.#logRefusal(now, id, failure);
      sendRefusal(res, failure, codec, id);
      return undefined;
    }
  }

  /** Largest body that is read, in bytes. */
  get #bodyLimit(): number {
    return this.#context.routingState.table?.config.limits.bodyBytes ?? DEFAULT_BODY_BYTES;
  }

  /**
   * The refusal for a failure. Callers do not retry after a 413, so a VM that may lack a configuration with a higher limit
   * does not send one.
   * @param limit the limit by which the body was read, in bytes
   */
  #refusalOf(failure: Failure, limit: number): Failure {
    if (failure.codeName !== 'bodyTooLarge') return failure;
    const { message: detail } = failure;
    if (!this.#context.routingState.table) return noConfigFailure();
    if (this.#bodyLimit > limit) return staleConfigFailure(0, detail);
    return this.#context.authorizer.staleRefusal(bootNow(), detail) ?? failure;
  }

  /** Counts a refusal and logs it within the line budget, since anybody can flood the log with invalid keys. */
  #logRefusal(now: number, request: string | undefined, { codeName, message }: Failure): void {
    const { routingState, metrics, log } = this.#context;
    metrics.count(`refused.${codeName}`);
    if (!this.#logBudget.tryAcquire(now)) return;
    const { configVersion, freshness } = routingState;
    const ageMs = Math.round(freshness.ageMs(bootNow()));
    log.info(
      { request, configVersion, ageMs, code: codeName, detail: message },
      'Refused a request at admission.',
    );
  }

  #requireTable(): RouteTable {
    const { table } = this.#context.routingState;
    if (table) return table;
    throw noConfigFailure();
  }

  #routeOf(table: RouteTable, { host, target }: CallRequest): Route {
    const path = target.split('?')[0] ?? '';
    const route = table.match(host, path);
    if (route) return route;
    const detail = `version ${table.config.version}: ${host}${path}`;
    // Callers do not retry after a 404, so a VM whose configuration may be stale does not send one.
    const staleRefusal = this.#context.authorizer.staleRefusal(bootNow(), detail);
    throw staleRefusal ?? new Failure('unknownRoute', detail);
  }

  #applyLimits(): void {
    const limits = this.#context.routingState.table?.config.limits;
    if (!limits) return;
    this.#server.headersTimeout = limits.headerTimeoutMs;
  }
}

function noConfigFailure(): Failure {
  return new Failure('noConfig', 'no configuration yet', { retryAfterMs: NO_CONFIG_RETRY_MS });
}

/** Code of the error that headers were not complete in time. */
const LATE_CODE = 'ERR_HTTP_REQUEST_TIMEOUT';

const STATUS_LINE_BY_ERROR: Readonly<Record<string, string>> = {
  HPE_HEADER_OVERFLOW: '431 Request Header Fields Too Large',
  [LATE_CODE]: '408 Request Timeout',
};

function isLate({ code }: NodeJS.ErrnoException): boolean {
  return code === LATE_CODE;
}

/** Answers input that is not valid HTTP once and closes the connection. */
function rejectMalformed(error: Error, socket: Socket): void {
  if (!socket.writable) {
    socket.destroy();
    return;
  }
  const { code } = error as NodeJS.ErrnoException;
  const line = STATUS_LINE_BY_ERROR[code ?? ''] ?? '400 Bad Request';
  if (code === 'ECONNRESET') socket.destroy();
  else socket.end(`HTTP/1.1 ${line}\r\nconnection: close\r\ncontent-length: 0\r\n\r\n`);
}
