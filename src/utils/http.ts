/** Small helpers around Node's http, without state. */

import type {
  ClientRequest,
  IncomingMessage,
  OutgoingHttpHeaders,
  Server,
  ServerResponse,
  Agent,
} from 'node:http';
import { request } from 'node:http';

import { Failure } from '../core/failure';

/** Whether nothing listens where a connection was asked for: nothing was sent. */
export function isConnectionRefused(error: Error): boolean {
  return (error as NodeJS.ErrnoException).code === 'ECONNREFUSED';
}

/**
 * Makes a reset fail an answer whose end is the close of its connection; Node reports it as
 * a regular end. Call this when the answer's head arrives.
 */
export function failOnReset(req: ClientRequest, message: IncomingMessage): void {
  req.on('error', (error) => message.destroy(error));
  const { socket } = message;
  // A reset that arrives together with the last bytes is emitted as `end`, not as `error`, but a
  // connection that was reset has no peer address any more.
  const onEnd = (): void => {
    if (socket.remoteAddress === undefined) message.destroy(new Error('reset by the other side'));
  };
  socket.prependListener('end', onEnd);
  // The connection may serve other requests after this one.
  message.once('close', () => socket.off('end', onEnd));
}

/** What to send. */
export interface CallOptions {
  readonly method: string;
  readonly url: string;
  readonly body?: string;
  readonly headers?: OutgoingHttpHeaders;
  /** Pool of connections to use. Default: Node's global one. */
  readonly agent?: Agent;
  /** Time until the whole answer must be there, in milliseconds. */
  readonly timeoutMs: number;
  /** Ends the call early. Default: never. */
  readonly signal?: AbortSignal;
}

/** An answer read to its end. */
export interface HttpResponse {
  readonly status: number;
  readonly headers: IncomingMessage['headers'];
  readonly body: string;
}

/** Reads a body up to a limit in bytes; over it, a `bodyTooLarge` failure is thrown. */
export async function readBody(message: IncomingMessage, limit: number): Promise<Buffer> {
  const chunks: Buffer[] = [];
  let size = 0;
  for await (const chunk of message) {
    size += (chunk as Buffer).length;
    if (size > limit) {
      throw new Failure('bodyTooLarge', `found a body over ${limit} bytes, expected at most that`);
    }
    chunks.push(chunk as Buffer);
  }
  return Buffer.concat(chunks);
}

/** Largest answer read whole, in bytes. */
const ANSWER_LIMIT = 16 * 1024 * 1024;

/** Makes one call and reads the whole answer; rejects on a broken connection or when time is up. */
export function call(options: CallOptions): Promise<HttpResponse> {
  const { method, url, body, headers, agent, timeoutMs, signal } = options;
  const limit = AbortSignal.timeout(timeoutMs);
  const stop = signal ? AbortSignal.any([signal, limit]) : limit;
  return new Promise((resolve, reject) => {
    const req = request(url, { method, headers: headers ?? {}, agent, signal: stop }, (res) => {
      readBody(res, ANSWER_LIMIT)
        .then((text) =>
          resolve({ status: res.statusCode ?? 0, headers: res.headers, body: text.toString() }),
        )
        .catch(reject);
    });
    req.on('error', reject);
    req.end(body);
  });
}

/** Answers with JSON; does nothing if the caller is gone. */
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

/** What a failure looks like on the wire. */
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

/** Turns a failure into its body. `notRun` may be weaker than the code's own. */
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

/**
 * Aborts an answer of which a part was sent, so that it does not look complete. HTTP/1.0
 * callers take the close of the connection for its end, so theirs is reset.
 */
export function abortResponse(res: ServerResponse): void {
  if (res.req.httpVersion === '1.0') res.socket?.resetAndDestroy();
  res.destroy();
}

/**
 * Answers with a failure and, where known, when to come back. Once a part of an
 * answer is out, cutting the connection is the only way left to say that the
 * rest will not come; left open, the caller would wait for ever.
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

/** Starts a server on `HOST:PORT`. */
export function listenOn(server: Server, address: string): Promise<void> {
  const [host, port] = address.split(':');
  return new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(Number(port), host, () => resolve());
  });
}
