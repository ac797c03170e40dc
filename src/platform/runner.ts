/** HTTP client of the runners. */

import type { ClientRequest, IncomingMessage } from 'node:http';
import { request as httpRequest } from 'node:http';

import { z } from 'zod';

import { Failure, toFailure } from '../core/failure';
import { NO_NOTICE } from '../core/routing/notice';
import type { Runner } from '../core/routing/types';
import type { Framing } from '../core/stream/answer';
import { instanceId } from '../core/routing/types';
import type {
  CacheHandle,
  DecodeDispatch,
  Dispatch,
  OrderOutcome,
  Reply,
  RunnerClient,
  RunnerReport,
} from '../node/router/types';
import type { Dialer } from '../utils/dialer';
import type { CallOptions, HttpResponse } from '../utils/http';
import { call, failOnReset, readBody } from '../utils/http';
import { forwardableHeaders } from './ingress';
import { header, path } from './names';
import { isLeaving, noticeOf } from './notice';
import { rateNoticeOf } from './ratelimit';

/** Connect timeout, in milliseconds. It allows for many round trips and is below the second after which TCP retransmits a lost SYN. */
const CONNECT_TIMEOUT_MS = 350;
/** Connection attempts before a runner counts as unreachable. Nothing has been sent until one succeeds. */
const MAX_CONNECT_ATTEMPTS = 2;
/** Timeout of calls that carry no request: reports, orders and freeing a cache, in milliseconds. */
const CONTROL_CALL_TIMEOUT_MS = 1000;
/** Maximum size of the response to a prefill, in bytes. */
const MAX_PREFILL_RESPONSE_BYTES = 64 * 1024;

const HTTP_OK = 200;
const HTTP_ACCEPTED = 202;
const HTTP_MISDIRECTED_REQUEST = 421;

const prefillSchema = z.object({ 'kv-handle': z.string() });
const bornSchema = z.int().min(0).default(0);
/** Request id, tokens in memory, events generated, priority. */
const runSchema = z.tuple([z.string(), z.number(), z.number()]).rest(z.unknown());
const reportSchema = z.object({
  'kv-used': z.number(),
  runs: z.array(runSchema).default([]),
  born: bornSchema,
});

const orderStateSchema = z.object({
  sequence: z.number(),
  busy: z.boolean().default(false),
  born: bornSchema,
});

const EVENT_STREAM = 'text/event-stream';

const noHeaders: ReadonlySet<string> = new Set();

/** Sends each request over a new connection, so that left-over bytes of another response are never read as part of this one. */
export class PlatformRunnerClient implements RunnerClient {
  readonly #dialer: Dialer;

  constructor(dialer: Dialer) {
    this.#dialer = dialer;
  }

  send(dispatch: Dispatch): Promise<Reply> {
    return this.#exchange(dispatch, []);
  }

  decode(dispatch: DecodeDispatch): Promise<Reply> {
    const { cache, afterEvent } = dispatch;
    const extra: string[] = [];
    if (cache) extra.push(header.cacheSource, `${cache.address}/${cache.handle}`);
    if (afterEvent !== undefined) extra.push(header.lastEvent, afterEvent);
    return this.#exchange(dispatch, extra);
  }

  async prefill(dispatch: Dispatch): Promise<CacheHandle> {
    const { reply, body } = await this.#prefillResponse(dispatch);
    const { address } = dispatch.runner;
    if (reply.status !== HTTP_OK) {
      const name = reply.notRun ? 'runnerFull' : 'runnerFailed';
      throw new Failure(name, `${address} answered the prefill with ${reply.status}`);
    }
    const parsed = prefillSchema.safeParse(JSON.parse(body.toString()));
    if (!parsed.success) throw new Failure('runnerFailed', `${address} sent no cache handle`);
    return { address, handle: parsed.data['kv-handle'] };
  }

  /** Rejects with `answerLost` if the request was sent but the response was not received, unless the caller aborted the dispatch. */
  async #prefillResponse(
    dispatch: Dispatch,
  ): Promise<{ readonly reply: Reply; readonly body: Buffer }> {
    try {
      const reply = await this.#exchange(dispatch, [header.stage, 'prefill']);
      return { reply, body: await readBody(reply.body, MAX_PREFILL_RESPONSE_BYTES) };
    } catch (error) {
      const failure = toFailure(error);
      if (dispatch.signal.aborted || failure.codeName === 'runnerUnreachable') throw failure;
      throw new Failure('answerLost', failure.message);
    }
  }

  async freeCache({ address, handle }: CacheHandle): Promise<void> {
    const target = `${path.cacheHandle}${encodeURIComponent(handle)}`;
    await this.#call(address, target, { method: 'DELETE', headers: { connection: 'close' } });
  }

  async report({ id, listing, address }: Runner): Promise<RunnerReport> {
    const headers = { connection: 'close', [header.expectedRunner]: listing };
    const report = await this.#call(address, path.report, { method: 'GET', headers });
    const { status, headers: answered, body } = report;
    if (status !== HTTP_OK) throw new Failure('runnerFailed', `${address} answered ${status}`);
    const { born, runs, 'kv-used': usedTokens } = reportSchema.parse(JSON.parse(body));
    // A runner that reports no start time gets a new id at each start.
    return {
      runner: born === 0 ? id : instanceId(listing, born),
      bornAt: born,
      leaving: isLeaving(answered),
      usedTokens,
      runs: runs.map(([request, tokens]) => ({ request, tokens })),
    };
  }

  async order(
    { listing, bornAt, address }: Runner,
    role: 'prefill' | 'decode',
    holder: string,
    fence: number,
  ): Promise<OrderOutcome> {
    const headers = { connection: 'close', [header.expectedRunner]: listing };
    const report = await this.#call(address, path.report, { method: 'GET', headers });
    const { sequence, busy, born } = orderStateSchema.parse(JSON.parse(report.body));
    // Another instance of the runner may have another stage and has no orders from this holder.
    if (busy || (born !== 0 && born !== bornAt)) return 'rejected';
    if (isLeaving(report.headers)) return 'leaving';
    try {
      const { status } = await this.#call(address, path.order, {
        method: 'POST',
        headers: { ...headers, 'content-type': 'application/json' },
        // `expected` is the number of orders accepted so far, so that an order that arrives late has no effect.
        body: JSON.stringify({
          operation: 'stage',
          stage: role,
          holder,
          'fencing-token': fence,
          expected: sequence,
        }),
      });
      return status === HTTP_OK || status === HTTP_ACCEPTED ? 'accepted' : 'rejected';
    } catch {
      return 'unknown';
    }
  }

  /** Makes a call that carries no request of a caller. */
  #call(
    address: string,
    target: string,
    options: Pick<CallOptions, 'method' | 'headers' | 'body'>,
  ): Promise<HttpResponse> {
    return call({
      ...options,
      url: `http://${address}${target}`,
      createConnection: () => this.#dialer.dial(address),
      timeoutMs: CONTROL_CALL_TIMEOUT_MS,
    });
  }

  async #exchange(dispatch: Dispatch, extra: readonly string[]): Promise<Reply> {
    for (let attempts = 1; ; attempts += 1) {
      try {
        const reply = toReply(dispatch, await exchangeOnce(this.#dialer, dispatch, extra));
        dispatch.onReply(reply);
        return reply;
      } catch (error) {
        const retry = error instanceof Failure && error.codeName === 'runnerUnreachable';
        if (!retry || attempts >= MAX_CONNECT_ATTEMPTS || dispatch.signal.aborted) throw error;
      }
    }
  }
}

/** Raw headers to send: those of the caller and the ones that the router sets. */
function headersOf({ runner, request, deadlineMs }: Dispatch, extra: readonly string[]): string[] {
  const headers = [...request.headers];
  const resumesStream = extra.includes(header.lastEvent);
  const forwarded = resumesStream
    ? forwardableHeaders(headers, undefined, new Set([header.lastEvent]))
    : headers;
  const { length } = request.body;
  const hasLength = length > 0 || (request.method !== 'GET' && request.method !== 'HEAD');
  return [
    ...forwarded,
    header.deadline,
    String(Math.max(1, Math.floor(deadlineMs))),
    header.expectedRunner,
    runner.listing,
    ...(request.customer === undefined ? [] : [header.customer, request.customer]),
    ...extra,
    ...(hasLength ? ['content-length', String(length)] : []),
    'connection',
    'close',
  ];
}

/** Makes one attempt. Rejects with `runnerUnreachable` if nothing was sent, otherwise with `runnerFailed`. */
function exchangeOnce(
  dialer: Dialer,
  dispatch: Dispatch,
  extra: readonly string[],
): Promise<IncomingMessage> {
  const { runner, request, signal } = dispatch;
  const [host = '', port = ''] = runner.address.split(':');
  return new Promise((resolve, reject) => {
    let connected = false;
    const fail = (detail: string): void => {
      const name = connected ? 'runnerFailed' : 'runnerUnreachable';
      reject(new Failure(name, `${runner.address}: ${detail}`));
    };
    const req = httpRequest({
      host,
      port,
      method: request.method,
      path: request.target,
      headers: headersOf(dispatch, extra),
      createConnection: () => dialer.dial(runner.address),
      signal,
    });
    onConnected(req, () => {
      connected = true;
    });
    req.on('response', (message) => {
      failOnReset(req, message);
      resolve(message);
    });
    req.on('error', (error) => fail(error.message));
    req.end(request.body);
  });
}

/** Calls back once the connection is established, and destroys the request after the connect timeout. */
function onConnected(req: ClientRequest, callback: () => void): void {
  const timer = setTimeout(() => req.destroy(new Error('connect timeout')), CONNECT_TIMEOUT_MS);
  req.on('socket', (socket) => {
    socket.once('connect', () => {
      clearTimeout(timer);
      callback();
    });
  });
  req.on('close', () => clearTimeout(timer));
}

/** How the end of a response body is marked. */
function framingOf(headers: IncomingMessage['headers']): Framing {
  if (headers['transfer-encoding'] !== undefined) return 'chunked';
  return headers['content-length'] === undefined ? 'close' : 'length';
}

/** A response counts as the runner's if it is signed, carries no other request id and has no content encoding added on the way. */
function toReply({ request }: Dispatch, message: IncomingMessage): Reply {
  const { headers } = message;
  const status = message.statusCode ?? 0;
  const echoed = headers[header.requestId];
  const isToRequest = echoed === undefined || echoed === request.id;
  const genuine =
    headers[header.signature] !== undefined &&
    isToRequest &&
    headers['content-encoding'] === undefined;
  return {
    status,
    framing: framingOf(headers),
    isEvents: headers['content-type']?.startsWith(EVENT_STREAM) ?? false,
    headers: forwardableHeaders(message.rawHeaders, headers.connection, noHeaders),
    genuine,
    notRun: headers[header.notRun] !== undefined || status === HTTP_MISDIRECTED_REQUEST,
    misdirected: status === HTTP_MISDIRECTED_REQUEST,
    rateNotice: rateNoticeOf(message),
    notice: isToRequest ? noticeOf(message) : NO_NOTICE,
    body: message,
  };
}
