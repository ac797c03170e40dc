/** One request on its way: its clock, its caller and what was sent back so far. */

import { once } from 'node:events';
import type { ServerResponse } from 'node:http';

import { Failure } from '../../core/failure';
import { contentIdOf } from '../../core/fingerprint';
import type { Route } from '../../core/routing/types';
import { abortResponse, errorBody } from '../../utils/http';
import { QuotaCharge } from './charge';
import type { CallRequest, IngressCodec } from './types';

/** Largest part of the time left that a caller may be told to stay away. */
const RETRY_PART = 1 / 3;
/** By how much an answer must beat the route's timeout to count as in time, in milliseconds. */
const TIMEOUT_MARGIN_MS = 20;

/** A request, its route and its answer. */
export class Exchange {
  readonly request: CallRequest;

  readonly route: Route;

  readonly service: string;

  /** 0 first. */
  readonly rank: number;

  readonly arrivedAt: number;

  /** What it took of its customer's quota. */
  readonly charge = new QuotaCharge();

  /** When the request must have its final answer. */
  readonly deadlineAt: number;

  readonly #res: ServerResponse;

  readonly #codec: IngressCodec;

  readonly #abort = new AbortController();

  readonly #timer: NodeJS.Timeout;

  #callerGone = false;

  #fingerprint: string | undefined;

  /** Status sent, for the log. */
  status = 0;

  /** Code of the router's own answer, for the log. */
  code: string | undefined;

  /** Time from the request to the first part of a stream, for the log. Default: none was written. */
  firstMs: number | undefined;

  /** Longest time between two parts of a stream, in milliseconds, for the log. */
  pauseMs = 0;

  #writtenAt = 0;

  /** What happened on the way, for the log. */
  readonly trail: string[] = [];

  constructor(
    now: number,
    request: CallRequest,
    route: Route,
    service: string,
    rank: number,
    res: ServerResponse,
    codec: IngressCodec,
  ) {
    this.request = request;
    this.route = route;
    this.service = service;
    this.rank = rank;
    this.arrivedAt = now;
    const limitMs = Math.min(route.timeoutMs, request.deadlineMs ?? route.timeoutMs);
    this.deadlineAt = now + limitMs - TIMEOUT_MARGIN_MS;
    this.#res = res;
    this.#codec = codec;
    this.#timer = setTimeout(() => this.#abort.abort(), Math.max(1, limitMs - TIMEOUT_MARGIN_MS));
    res.on('close', () => {
      if (!res.writableFinished) this.#callerGone = true;
      this.#abort.abort();
      clearTimeout(this.#timer);
    });
  }

  /** Aborted when the caller left or time is up. */
  get signal(): AbortSignal {
    return this.#abort.signal;
  }

  get callerGone(): boolean {
    return this.#callerGone;
  }

  /** The same for all attempts of one request, whatever their ids: customer, host, method, target and body. */
  get fingerprint(): string {
    const { customer, host, method, target, body } = this.request;
    const whose = customer === undefined ? '' : `${customer} `;
    this.#fingerprint ??= contentIdOf(`${whose}${host.toLowerCase()} ${method} ${target}`, body);
    return this.#fingerprint;
  }

  /** Name of the customer whose request it is. Default: nobody's. */
  get customer(): string | undefined {
    return this.request.customer;
  }

  get headSent(): boolean {
    return this.#res.headersSent;
  }

  /** Time left, in milliseconds. */
  remainingMs(now: number): number {
    return Math.max(0, this.deadlineAt - now);
  }

  /** Starts an answer with a runner's status and headers. */
  writeHead(status: number, headers: readonly string[]): void {
    this.status = status;
    this.#res.writeHead(status, headers as string[]);
  }

  /** Passes a part of a stream on; resolves once the caller takes more, or has left, or time is up. */
  async write(chunk: Buffer): Promise<void> {
    this.#notePace(performance.now());
    if (this.#res.destroyed || this.#res.write(chunk)) return;
    // A caller that stops reading must not keep its place at the runner past the deadline.
    await once(this.#res, 'drain', { signal: this.signal }).catch(() => undefined);
  }

  #notePace(now: number): void {
    if (this.firstMs === undefined) this.firstMs = now - this.arrivedAt;
    else this.pauseMs = Math.max(this.pauseMs, now - this.#writtenAt);
    this.#writtenAt = now;
  }

  end(chunk?: Buffer): void {
    this.#res.end(chunk);
  }

  /**
   * Ends with an answer of the router's own. Once a part of a runner's answer is
   * out, cutting the connection is the only way left to say that it is incomplete.
   */
  fail(now: number, failure: Failure): void {
    this.code = failure.codeName;
    if (this.#res.headersSent) {
      abortResponse(this.#res);
      return;
    }
    const { retryAfterMs } = failure;
    const limitMs = Math.max(0, this.#deadlineLeft(now)) * RETRY_PART;
    const told =
      retryAfterMs === undefined
        ? failure
        : new Failure(failure.codeName, failure.message, {
            retryAfterMs: Math.min(retryAfterMs, limitMs),
          });
    this.status = told.code.http;
    sendRefusal(this.#res, told, this.#codec, this.request.id);
  }

  #deadlineLeft(now: number): number {
    return (this.request.deadlineMs ?? this.route.timeoutMs) - (now - this.arrivedAt);
  }
}

/** Answers with a failure of the router's own; does nothing if an answer has begun or the caller is gone. */
export function sendRefusal(
  res: ServerResponse,
  failure: Failure,
  codec: IngressCodec,
  id: string | undefined,
): void {
  if (res.headersSent || res.destroyed) return;
  const body = `${JSON.stringify(errorBody(failure))}\n`;
  res.writeHead(failure.code.http, {
    'content-type': 'application/json',
    'content-length': Buffer.byteLength(body),
    ...codec.refusalHeaders(failure, id),
  });
  res.end(body);
}
