/** HTTP client of the runners. */

import type { IncomingMessage } from 'node:http';
import { request as httpRequest } from 'node:http';
import type { Socket } from 'node:net';

import VError from 'verror';
import { z } from 'zod';

import { Failure, toFailure } from '../core/failure';
import type { Destination } from '../core/paths/table';
import type { Runner } from '../core/routing/types';
import type { RunnerState } from '../core/stream/silence';
import { MAX_BORN, instanceId } from '../core/routing/types';
import type {
  CacheHandle,
  CallRequest,
  DecodeDispatch,
  Dispatch,
  OrderOutcome,
  Reply,
  RunnerClient,
  RunnerConnector,
  RunnerReport,
  RunnerTarget,
} from '../node/router/types';
import { listOf } from '../node/wire';
import { confirmListening } from '../utils/dialer';
import type { CallOptions, HttpResponse } from '../utils/http';
import { failOnEarlyEnd } from '../utils/earlyends';
import { call, isConnectionRefused, readBody } from '../utils/http';
import { limitResponsePieces } from '../utils/pieces';
import { forwardableHeaders } from './ingress';
import { header, path } from './names';
import { isLeaving } from './notice';
import { MAX_COUNT } from './records';
import { isTo, toReply } from './reply';

/** Timeout of calls that carry no request: reports, orders and freeing a cache, in milliseconds. */
const CONTROL_CALL_TIMEOUT_MS = 1000;
/** Maximum size of the response to a prefill, in bytes. */
const MAX_PREFILL_RESPONSE_BYTES = 64 * 1024;

/** Largest value of the priority header. */
const LEAST_URGENT = 9;

const HTTP_OK = 200;
const HTTP_ACCEPTED = 202;
const HTTP_MISDIRECTED_REQUEST = 421;

const prefillSchema = z.object({ 'kv-handle': z.string() });
const bornSchema = z.int().min(0).max(MAX_BORN).default(0);
/** No runner holds more tokens, nor has it made more events. */
const count = z.number().min(0).max(MAX_COUNT);
/** Request id, tokens in memory, events generated, priority. */
const runSchema = z.tuple([z.string(), count, count]).rest(z.unknown());
const reportSchema = z.object({
  'kv-used': count,
  runs: listOf(runSchema).default([]),
  born: bornSchema,
});

const orderStateSchema = z.object({
  sequence: z.number(),
  busy: z.boolean().default(false),
  born: bornSchema,
});

/** Sends each request over a new connection, so that left-over bytes of another response are never read as part of this one. */
export class PlatformRunnerClient implements RunnerClient {
  readonly #connector: RunnerConnector;

  constructor(connector: RunnerConnector) {
    this.#connector = connector;
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
    if (!isTo(dispatch, reply.body)) {
      throw new Failure('runnerFailed', `${address} answered another request`);
    }
    if (reply.status !== HTTP_OK) {
      const name = reply.notRun ? 'runnerFull' : 'runnerFailed';
      throw new Failure(name, `${address} answered the prefill with ${reply.status}`);
    }
    const parsed = prefillSchema.safeParse(jsonOf(body, address));
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
    const options = { method: 'DELETE', headers: { connection: 'close' } };
    await this.#call({ address, id: undefined }, target, options);
  }

  async report(runner: Runner): Promise<RunnerReport> {
    const { status, headers, body } = await this.#report(runner);
    const { id, listing, address } = runner;
    if (status !== HTTP_OK) throw new Failure('runnerFailed', `${address} answered ${status}`);
    const { born, runs, 'kv-used': usedTokens } = reportSchema.parse(JSON.parse(body));
    // A runner that reports no start time gets a new id at each start.
    return {
      runner: born === 0 ? id : instanceId(listing, born),
      bornAt: born,
      leaving: isLeaving(headers),
      usedTokens,
      runs: runs.map(([request, tokens]) => ({ request, tokens })),
    };
  }

  #report({ id, listing, address }: Runner): Promise<HttpResponse> {
    const headers = { connection: 'close', [header.expectedRunner]: listing };
    return this.#call({ address, id }, path.report, { method: 'GET', headers });
  }

  /** A runner of a plain service has no report; its process runs if it goes on accepting connections. */
  async stateOf(runner: Runner, mayCall = true): Promise<RunnerState> {
    try {
      if (mayCall && runner.role !== 'plain') return await this.#reportedState(runner);
      const { address, id } = runner;
      const target = { address, id, request: undefined, mayAbandon: () => true };
      const limit = AbortSignal.timeout(CONTROL_CALL_TIMEOUT_MS);
      await confirmListening(async () => (await this.#connector.connect(target, limit)).socket);
      return 'running';
    } catch (error) {
      return isRefusal(error as Error) ? 'gone' : 'unknown';
    }
  }

  async #reportedState(runner: Runner): Promise<RunnerState> {
    const { status, body } = await this.#report(runner);
    // Another runner has the address.
    if (status === HTTP_MISDIRECTED_REQUEST) return 'gone';
    if (status !== HTTP_OK) return 'unknown';
    const { born } = reportSchema.parse(JSON.parse(body));
    const isSame = born === 0 || instanceId(runner.listing, born) === runner.id;
    return isSame ? 'running' : 'gone';
  }

  /** Goes by direct connections only: a runner takes orders from two VMs for those of two holders. */
  async order(
    { id, listing, bornAt, address }: Runner,
    role: 'prefill' | 'decode',
    holder: string,
    fence: number,
  ): Promise<OrderOutcome> {
    const headers = { connection: 'close', [header.expectedRunner]: listing };
    const target = { address, id, request: undefined, mayAbandon: undefined };
    const report = await this.#callDirectly(target, path.report, { method: 'GET', headers });
    const { sequence, busy, born } = orderStateSchema.parse(JSON.parse(report.body));
    // Another instance of the runner may have another stage and has no orders from this holder.
    if (busy || (born !== 0 && born !== bornAt)) return 'rejected';
    if (isLeaving(report.headers)) return 'leaving';
    try {
      const { status } = await this.#callDirectly(target, path.order, {
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
  async #call(
    destination: Destination,
    target: string,
    options: ControlCall,
  ): Promise<HttpResponse> {
    const limit = AbortSignal.timeout(CONTROL_CALL_TIMEOUT_MS);
    const { socket } = await this.#connector.connect(
      { ...destination, request: undefined, mayAbandon: () => true },
      limit,
    );
    return callOn(socket, destination, target, options);
  }

  async #callDirectly(
    target: RunnerTarget,
    requestPath: string,
    options: ControlCall,
  ): Promise<HttpResponse> {
    return callOn(await this.#connector.connectDirectly(target), target, requestPath, options);
  }

  async #exchange(dispatch: Dispatch, extra: readonly string[]): Promise<Reply> {
    const { runner, request, deadlineMs, signal, mayAbandon } = dispatch;
    const { id, address } = runner;
    const startedAt = performance.now();
    const connection = await this.#connector.connect(
      { address, id, request: request.id, mayAbandon },
      signal,
    );
    const remainingMs = deadlineMs - (performance.now() - startedAt);
    const sent = { ...dispatch, deadlineMs: remainingMs };
    const reply = toReply(dispatch, await exchangeOn(connection.socket, sent, extra), connection);
    dispatch.onReply(reply);
    return reply;
  }
}

/** Whether an error, or one that caused it, is that nobody listens at the address. */
function isRefusal(error: Error): boolean {
  if (isConnectionRefused(error)) return true;
  const cause = VError.cause(error);
  return cause !== null && isRefusal(cause);
}

/** A call of the router itself. */
type ControlCall = Pick<CallOptions, 'method' | 'headers' | 'body'>;

/** Makes a call over an open connection. */
function callOn(
  socket: Socket,
  { address }: Pick<Destination, 'address'>,
  target: string,
  options: ControlCall,
): Promise<HttpResponse> {
  return call({
    ...options,
    url: `http://${address}${target}`,
    createConnection: () => socket,
    timeoutMs: CONTROL_CALL_TIMEOUT_MS,
  });
}

/** The priority header; none if the request has no priority. */
function priorityOf({ priority }: CallRequest): readonly string[] {
  if (priority === undefined) return [];
  const bounded = Math.min(LEAST_URGENT, Math.max(0, Math.round(priority)));
  return [header.priority, String(bounded)];
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
    ...priorityOf(request),
    ...(request.customer === undefined ? [] : [header.customer, request.customer]),
    ...extra,
    ...(hasLength ? ['content-length', String(length)] : []),
    'connection',
    'close',
  ];
}

/** Sends a request over an open connection. Rejects with `runnerFailed`. */
function exchangeOn(
  socket: Socket,
  dispatch: Dispatch,
  extra: readonly string[],
): Promise<IncomingMessage> {
  const { runner, request, signal } = dispatch;
  return new Promise((resolve, reject) => {
    const req = httpRequest({
      method: request.method,
      path: request.target,
      headers: headersOf(dispatch, extra),
      createConnection: () => socket,
      signal,
    });
    limitResponsePieces(req);
    req.on('response', (message) => {
      failOnEarlyEnd(req, message);
      resolve(message);
    });
    const fail = (detail: string): void =>
      reject(new Failure('runnerFailed', `${runner.address}: ${detail}`));
    req.on('upgrade', (_message, upgraded) => {
      upgraded.destroy();
      fail('found a switch of protocols, which the request did not ask for');
    });
    req.on('error', ({ message }) => fail(message));
    req.on('close', () => fail('the connection was closed before the response'));
    req.end(request.body);
  });
}

/** Parses the response to a prefill, which is JSON unless it was cut: the runner keeps the KV cache then. */
function jsonOf(body: Buffer, address: string): unknown {
  try {
    return JSON.parse(body.toString());
  } catch {
    throw new Failure('answerLost', `${address} ended its answer early`);
  }
}
