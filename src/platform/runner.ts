/** Client of the runners. */

import type { ClientRequest, IncomingMessage } from 'node:http';
import { request as httpRequest } from 'node:http';

import { z } from 'zod';

import { Failure, toFailure } from '../core/failure';
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
import { call, failOnReset, readBody } from '../utils/http';
import { forwardableHeaders } from './ingress';
import { header, path } from './names';
import { rateNoticeOf } from './ratelimit';

/** Time for a connection to a runner to come about, in milliseconds: many round trips, and less than the second after which a lost opening packet is sent again. */
const CONNECT_MS = 350;
/** Tries to connect before the runner counts as unreachable; nothing was sent by then. */
const CONNECT_TRIES = 2;
/** Time limit of a report and of freeing a cache, in milliseconds. */
const SIDE_CALL_MS = 1000;
/** Largest answer to a prefill, in bytes. */
const PREFILL_ANSWER_BYTES = 64 * 1024;

const HTTP_OK = 200;
const HTTP_ACCEPTED = 202;
const HTTP_MISDIRECTED = 421;

const prefillSchema = z.object({ 'kv-handle': z.string() });
const bornSchema = z.int().min(0).default(0);
/** Request, tokens in memory, events made, priority. */
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

const none: ReadonlySet<string> = new Set();

/** Sends requests, each over a connection of its own: bytes left over from another answer can then never be read as this one. */
export class PlatformRunnerClient implements RunnerClient {
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
    const { reply, body } = await this.#prefillAnswer(dispatch);
    const { address } = dispatch.runner;
    if (reply.status !== HTTP_OK) {
      const name = reply.notRun ? 'runnerFull' : 'runnerFailed';
      throw new Failure(name, `${address} answered the prefill with ${reply.status}`);
    }
    const parsed = prefillSchema.safeParse(JSON.parse(body.toString()));
    if (!parsed.success) throw new Failure('runnerFailed', `${address} gave no cache handle`);
    return { address, handle: parsed.data['kv-handle'] };
  }

  /** Rejects with `answerLost` if the runner took the request and its answer did not come, unless it was given up here. */
  async #prefillAnswer(
    dispatch: Dispatch,
  ): Promise<{ readonly reply: Reply; readonly body: Buffer }> {
    try {
      const reply = await this.#exchange(dispatch, [header.stage, 'prefill']);
      return { reply, body: await readBody(reply.body, PREFILL_ANSWER_BYTES) };
    } catch (error) {
      const failure = toFailure(error);
      if (dispatch.signal.aborted || failure.codeName === 'runnerUnreachable') throw failure;
      throw new Failure('answerLost', failure.message);
    }
  }

  async freeCache({ address, handle }: CacheHandle): Promise<void> {
    const url = `http://${address}${path.cacheHandle}${encodeURIComponent(handle)}`;
    const headers = { connection: 'close' };
    await call({ method: 'DELETE', url, headers, timeoutMs: SIDE_CALL_MS });
  }

  async report({ id, listing, address }: Runner): Promise<RunnerReport> {
    const url = `http://${address}${path.report}`;
    const headers = { connection: 'close', [header.expectedRunner]: listing };
    const { status, body } = await call({ method: 'GET', url, headers, timeoutMs: SIDE_CALL_MS });
    if (status !== HTTP_OK) throw new Failure('runnerFailed', `${address} reported ${status}`);
    const { born, runs, 'kv-used': usedTokens } = reportSchema.parse(JSON.parse(body));
    // A runner that does not tell its start has a new id with each.
    return {
      runner: born === 0 ? id : instanceId(listing, born),
      bornAt: born,
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
    const report = await call({
      method: 'GET',
      url: `http://${address}${path.report}`,
      headers,
      timeoutMs: SIDE_CALL_MS,
    });
    const { sequence, busy, born } = orderStateSchema.parse(JSON.parse(report.body));
    // Another start of the runner has another stage and knows nothing of this holder.
    if (busy || (born !== 0 && born !== bornAt)) return 'rejected';
    try {
      const { status } = await call({
        method: 'POST',
        url: `http://${address}${path.order}`,
        headers: { ...headers, 'content-type': 'application/json' },
        // The number of orders that were accepted so far: one that is carried out late then changes nothing.
        body: JSON.stringify({
          operation: 'stage',
          stage: role,
          holder,
          'fencing-token': fence,
          expected: sequence,
        }),
        timeoutMs: SIDE_CALL_MS,
      });
      return status === HTTP_OK || status === HTTP_ACCEPTED ? 'accepted' : 'rejected';
    } catch {
      return 'unknown';
    }
  }

  async #exchange(dispatch: Dispatch, extra: readonly string[]): Promise<Reply> {
    for (let tries = 1; ; tries += 1) {
      try {
        const reply = toReply(dispatch, await exchangeOnce(dispatch, extra));
        dispatch.onReply(reply);
        return reply;
      } catch (error) {
        const retry = error instanceof Failure && error.codeName === 'runnerUnreachable';
        if (!retry || tries >= CONNECT_TRIES || dispatch.signal.aborted) throw error;
      }
    }
  }
}

function headersOf({ runner, request, deadlineMs }: Dispatch, extra: readonly string[]): string[] {
  const headers = [...request.headers];
  const hasLast = extra.includes(header.lastEvent);
  const kept = hasLast
    ? forwardableHeaders(headers, undefined, new Set([header.lastEvent]))
    : headers;
  const { length } = request.body;
  const sized = length > 0 || (request.method !== 'GET' && request.method !== 'HEAD');
  return [
    ...kept,
    header.deadline,
    String(Math.max(1, Math.floor(deadlineMs))),
    header.expectedRunner,
    runner.listing,
    ...(request.customer === undefined ? [] : [header.customer, request.customer]),
    ...extra,
    ...(sized ? ['content-length', String(length)] : []),
    'connection',
    'close',
  ];
}

/** One try. Rejects with `runnerUnreachable` if nothing was sent, else with `runnerFailed`. */
function exchangeOnce(dispatch: Dispatch, extra: readonly string[]): Promise<IncomingMessage> {
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
      agent: false,
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

/** Calls back once the connection stands, and ends the request if that takes too long. */
function onConnected(req: ClientRequest, callback: () => void): void {
  const timer = setTimeout(() => req.destroy(new Error('no connection')), CONNECT_MS);
  req.on('socket', (socket) => {
    socket.setNoDelay(true);
    socket.once('connect', () => {
      clearTimeout(timer);
      callback();
    });
  });
  req.on('close', () => clearTimeout(timer));
}

function framingOf(headers: IncomingMessage['headers']): Framing {
  if (headers['transfer-encoding'] !== undefined) return 'chunked';
  return headers['content-length'] === undefined ? 'close' : 'length';
}

/** An answer counts as the runner's if it names this request, is signed and not encoded on the way. */
function toReply({ request }: Dispatch, message: IncomingMessage): Reply {
  const { headers } = message;
  const status = message.statusCode ?? 0;
  const echoed = headers[header.requestId];
  const genuine =
    headers[header.signature] !== undefined &&
    (echoed === undefined || echoed === request.id) &&
    headers['content-encoding'] === undefined;
  return {
    status,
    framing: framingOf(headers),
    isEvents: headers['content-type']?.startsWith(EVENT_STREAM) ?? false,
    headers: forwardableHeaders(message.rawHeaders, headers.connection, none),
    genuine,
    notRun: headers[header.notRun] !== undefined || status === HTTP_MISDIRECTED,
    misdirected: status === HTTP_MISDIRECTED,
    rateNotice: rateNoticeOf(message),
    body: message,
  };
}
