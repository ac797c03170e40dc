/** Stateless helpers around Node's http. */

import type {
  IncomingMessage,
  OutgoingHttpHeaders,
  Server,
  ServerResponse,
  Agent,
} from 'node:http';
import { request } from 'node:http';
import type { Socket } from 'node:net';

import { Failure } from '../core/failure';
import { OpenBodies } from '../core/delivery/openbodies';
import type { Framing } from '../core/stream/answer';
import { GrowingBuffer } from '../core/stream/growingbuffer';
import { limitPieces, limitResponsePieces } from './pieces';

/** Whether a connection was refused, so that nothing was sent. */
export function isConnectionRefused(error: Error): boolean {
  return (error as NodeJS.ErrnoException).code === 'ECONNREFUSED';
}

/** First and last status of a response (RFC 9110, 15). */
const MIN_STATUS = 100;
const MAX_STATUS = 599;

/** Whether a number is a status. The parser passes on any number. */
export function isStatus(status: number): boolean {
  return status >= MIN_STATUS && status <= MAX_STATUS;
}

/** Statuses of responses that end with their headers: 204 and 304. */
const bodiless: ReadonlySet<number> = new Set([204, 304]);
/** The only coding of a transfer that marks the end of a body. */
export const CHUNKED = 'chunked';

/** The codings of a response's transfer; empty if it has none but the length or close of its body. */
export function transferCodingOf({ headers }: IncomingMessage): string {
  const coding = headers['transfer-encoding']?.trim().toLowerCase() ?? '';
  return coding === 'identity' ? '' : coding;
}

/** How the end of the body of a response to a method is marked. */
export function framingOf(message: IncomingMessage, method: string): Framing {
  if (method === 'HEAD' || bodiless.has(message.statusCode ?? 0)) return 'length';
  if (transferCodingOf(message) === CHUNKED) return 'chunked';
  const hasLength = message.headers['content-length'] !== undefined;
  return hasLength ? 'length' : 'close';
}

/** Options of a call. */
export interface CallOptions {
  readonly method: string;
  readonly url: string;
  readonly body?: string;
  readonly headers?: OutgoingHttpHeaders;
  /** Pool of connections to use. Default: Node's global one. */
  readonly agent?: Agent;
  /** Opens the connection to use. Default: one of the pool. */
  readonly createConnection?: () => Socket;
  /** Time within which the whole response must arrive, in milliseconds. */
  readonly timeoutMs: number;
  /** Aborts the call. Default: none. */
  readonly signal?: AbortSignal;
}

/** A complete response. */
export interface HttpResponse {
  readonly status: number;
  readonly headers: IncomingMessage['headers'];
  readonly body: string;
}

function bodyTooLarge(limit: number): Failure {
  return new Failure('bodyTooLarge', `found a body over ${limit} bytes, expected at most that`);
}

/** Most that the bodies take which this process is reading, in bytes. */
const MAX_OPEN_BYTES = 48 * 1024 * 1024;
const openBodies = new OpenBodies<IncomingMessage>(MAX_OPEN_BYTES);

/** Gives up the largest of the bodies that are being read, if they take too much with this one. */
function keepOpen(message: IncomingMessage, { capacity }: GrowingBuffer): void {
  const largest = openBodies.grown(message, capacity);
  if (!largest) return;
  openBodies.ended(largest);
  largest.destroy(new Error('found too many bytes of bodies that are not complete'));
}

/** A buffer for the body of a message, of the length that the message states, if any. */
function bufferFor({ headers }: IncomingMessage, limit: number): GrowingBuffer {
  return new GrowingBuffer(undefined, Math.min(limit, Number(headers['content-length'] ?? 0)));
}

/**
 * Reads a whole body; throws `bodyTooLarge` if it is larger than a limit in bytes. Rejects, with the
 * connection closed, if the process reads too much at once and no other body is larger.
 */
export async function readBody(message: IncomingMessage, limit: number): Promise<Buffer> {
  const body = bufferFor(message, limit);
  try {
    for await (const chunk of message) {
      if (body.length + (chunk as Buffer).length > limit) throw bodyTooLarge(limit);
      body.append(chunk as Buffer);
      keepOpen(message, body);
    }
  } finally {
    openBodies.ended(message);
  }
  return body.bytes;
}

/** Most that is discarded of a body that is too large, in bytes; no caller sends as much before it reads its refusal. */
const MAX_DISCARDED_BYTES = 64 * 1024 * 1024;

/**
 * Reads the body of a request; as `readBody`, but what follows a refused part is received and
 * discarded, so that the caller can read the refusal and use the connection again. A body that goes on
 * without end, or in too many pieces, is destroyed with its connection.
 */
export function readRequestBody(req: IncomingMessage, limit: number): Promise<Buffer> {
  const body = bufferFor(req, limit);
  let received = 0;
  limitPieces(req);
  return new Promise((resolve, reject) => {
    req.on('data', (chunk: Buffer) => {
      received += chunk.length;
      if (received <= limit) {
        body.append(chunk);
        keepOpen(req, body);
      } else reject(bodyTooLarge(limit));
      if (received > limit + MAX_DISCARDED_BYTES) req.destroy();
    });
    req.on('end', () => {
      openBodies.ended(req);
      resolve(body.bytes);
    });
    req.on('error', reject);
    req.on('close', () => {
      openBodies.ended(req);
      reject(new Error('the connection was closed within the request'));
    });
  });
}

/** Maximum size of a response to `call`, in bytes. */
const MAX_RESPONSE_BYTES = 16 * 1024 * 1024;

/** Makes one call and reads the whole response; rejects on a connection error, a timeout or an abort. */
export function call(options: CallOptions): Promise<HttpResponse> {
  const { method, url, body, headers, agent, createConnection, timeoutMs, signal } = options;
  const limit = AbortSignal.timeout(timeoutMs);
  const stop = signal ? AbortSignal.any([signal, limit]) : limit;
  return new Promise((resolve, reject) => {
    const connection = createConnection ? { createConnection } : { agent };
    const requested = { method, headers: headers ?? {}, ...connection, signal: stop };
    let hasResponse = false;
    const req = request(url, requested, (res) => {
      hasResponse = true;
      readBody(res, MAX_RESPONSE_BYTES)
        .then((text) =>
          resolve({ status: res.statusCode ?? 0, headers: res.headers, body: text.toString() }),
        )
        .catch(reject);
    });
    limitResponsePieces(req);
    req.on('error', reject);
    req.on('upgrade', (_message, socket) => {
      socket.destroy();
      reject(new Error('found a switch of protocols, which the call did not ask for'));
    });
    req.on('close', () => {
      if (!hasResponse) reject(new Error('the connection was closed before the response'));
    });
    req.end(body);
  });
}

/** Responds with JSON; does nothing if a response was started or the caller has disconnected. */
export function sendJson(
  res: ServerResponse,
  status: number,
  value: unknown,
  headers: OutgoingHttpHeaders = {},
): void {
  if (res.headersSent || res.destroyed) return;
  res.writeHead(status, { 'content-type': 'application/json', ...headers });
  res.end(`${JSON.stringify(value)}\n`);
}

/** Body of an error response. */
export interface ErrorBody {
  readonly error: {
    readonly code: number;
    readonly name: string;
    readonly message: string;
    /** True only if no runner executed the request. */
    readonly notRun: boolean;
    readonly remedy: string;
    readonly retryAfterMs?: number;
  };
}

/**
 * The response body for a failure.
 * @param notRun whether no runner executed the request; may be false although the code's own value is true
 */
export function errorBody(failure: Failure, notRun = failure.code.notRun): ErrorBody {
  const { code, codeName, message, retryAfterMs } = failure;
  return {
    error: {
      code: code.number,
      name: codeName,
      message,
      notRun,
      remedy: code.remedy,
      ...(retryAfterMs === undefined ? {} : { retryAfterMs }),
    },
  };
}

/** Whether a caller gets no chunks, so that a regular close of the connection may be the end of a response. Node sends chunks to HTTP/1.1 only. */
export function readsUntilClose({ httpVersion }: Pick<IncomingMessage, 'httpVersion'>): boolean {
  return httpVersion !== '1.1';
}

/**
 * Aborts a response that was partly sent, so that it does not look complete: connections whose
 * regular close may be its end are reset.
 */
export function abortResponse(res: ServerResponse): void {
  if (readsUntilClose(res.req)) res.socket?.resetAndDestroy();
  res.destroy();
}

/**
 * Responds with a failure and, if known, the time to retry after. Once a response was partly
 * sent, it is aborted instead: that is the only way left to signal the failure, and a caller
 * on an open connection would wait forever.
 */
export function sendFailure(
  res: ServerResponse,
  failure: Failure,
  notRun = failure.code.notRun,
): void {
  if (res.headersSent) {
    if (!res.writableEnded) abortResponse(res);
    return;
  }
  const { retryAfterMs } = failure;
  const headers: OutgoingHttpHeaders = {};
  if (retryAfterMs !== undefined) headers['retry-after'] = String(Math.ceil(retryAfterMs / 1000));
  sendJson(res, failure.code.http, errorBody(failure, notRun), headers);
}

/** Starts a server on `HOST:PORT`; resolves once it listens. */
export function listenOn(server: Server, address: string): Promise<void> {
  const [host, port] = address.split(':');
  return new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(Number(port), host, () => resolve());
  });
}
