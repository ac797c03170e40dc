/** One HTTP exchange: a request, its deadline, its caller and the response sent so far. */

import type { ServerResponse } from 'node:http';

import type { CodeName } from '../../core/codes';
import { Failure } from '../../core/failure';
import { contentIdOf, partFingerprints } from '../../core/fingerprint';
import { Arrivals } from '../../core/retries/arrivals';
import type { Expectation } from '../../core/plain/loadtable';
import type { Route, Runner } from '../../core/routing/types';
import type { StreamOrigin } from '../../core/versions/types';
import { MAX_TIMER_MS } from '../../utils/clock';
import { abortResponse, errorBody } from '../../utils/http';
import { QuotaCharge } from './charge';
import type { DeliveryBuffers } from './delivery';
import { Delivery } from './delivery';
import type { CallRequest, Continuation, IngressCodec } from './types';

/** Largest part of the remaining time that the retry delay announced to a caller may take. */
const MAX_RETRY_PART = 1 / 3;
/** How long before the route's timeout the response must be complete to count as in time. */
const TIMEOUT_MARGIN_MS = 20;

/** Codes of failures whose messages name the fingerprints under which runners crashed. */
const crashCodes: ReadonlySet<CodeName> = new Set(['quarantined', 'onTrial']);

/** The choice of a runner by its reported load. */
export interface Placement {
  readonly runner: string;
  /** Whether the owner of the service has counted the request at the runner. */
  readonly isCounted: boolean;
  /** What was expected at the time of the choice. */
  readonly expected: Expectation;
  /** Whether all runners that could be chosen were full. */
  readonly areAllFull: boolean;
  /** Age of the runner's newest report, in milliseconds; undefined if there was none. */
  readonly ageMs: number | undefined;
}

/** A request, its route and its response. */
export class Exchange {
  readonly request: CallRequest;

  readonly route: Route;

  /** Scheduling priority; 0 is served first. */
  readonly rank: number;

  /** When the request was read, on the clock of `performance.now`, as all times here. */
  readonly arrivedAt: number;

  #service: string;

  /** The amount reserved from the customer's quota. */
  readonly charge = new QuotaCharge();

  /** Its arrivals at runners. */
  readonly arrivals = new Arrivals();

  /** When the response must be complete. */
  readonly deadlineAt: number;

  readonly #res: ServerResponse;

  readonly #delivery: Delivery;

  readonly #codec: IngressCodec;

  readonly #abort = new AbortController();

  readonly #timer: NodeJS.Timeout | undefined;

  #callerGone = false;

  #fingerprint: string | undefined;

  /** Fingerprints of the request and its prompt parts, by the software version of runners. */
  readonly #fingerprints = new Map<string, readonly string[]>();

  /** Fingerprints for which the request is on trial. */
  readonly trials = new Set<string>();

  #refusal: Failure | undefined;

  readonly #refused = new AbortController();

  /** HTTP status sent, for the log; 0 before that. */
  status = 0;

  /** Failure code, for the log; undefined if a runner's response was passed on without failure. */
  code: string | undefined;

  /** Which crashes the failure is about, for the log; undefined for other failures. */
  detail: string | undefined;

  /** Time from the request to the first chunk of a stream, in milliseconds, for the log; undefined if none was written. */
  firstMs: number | undefined;

  /** Longest time between two chunks of a stream, in milliseconds, for the log. */
  pauseMs = 0;

  #lastWriteAt = 0;

  /**
   * Software version of the runners that began the stream, by which alone it may be continued:
   * what two versions write does not fit together. Undefined while the caller holds no event.
   */
  version: string | undefined;

  /** Software versions of the runners whose events the response contains, for the log. */
  readonly versions = new Set<string>();

  /** Listing of the runner whose events were sent last; undefined before the first. */
  listing: string | undefined;

  #placement: Placement | undefined;

  #heldMs = 0;

  #isSettled = false;

  /** Steps of the request, for the log. */
  readonly trail: string[] = [];

  constructor(
    now: number,
    request: CallRequest,
    route: Route,
    service: string,
    rank: number,
    res: ServerResponse,
    codec: IngressCodec,
    buffers: DeliveryBuffers,
  ) {
    this.request = request;
    this.route = route;
    this.#service = service;
    this.rank = rank;
    this.arrivedAt = now;
    const limitMs = Math.min(route.timeoutMs, request.deadlineMs ?? route.timeoutMs);
    this.deadlineAt = now + limitMs - TIMEOUT_MARGIN_MS;
    this.#res = res;
    this.#delivery = new Delivery(res, buffers, {
      id: request.id,
      service,
      disconnect: (failure) => this.fail(performance.now(), failure),
    });
    this.#codec = codec;
    // The body, or the response to an earlier request of the connection, may have taken a part of the time.
    const leftMs = Math.min(MAX_TIMER_MS, this.deadlineAt - performance.now());
    if (leftMs > 0) this.#timer = setTimeout(() => this.#abort.abort(), leftMs);
    else this.#abort.abort();
    res.on('close', () => {
      if (!res.writableFinished) this.#callerGone = true;
      this.#abort.abort();
      clearTimeout(this.#timer);
    });
  }

  /** Service that serves the request. */
  get service(): string {
    return this.#service;
  }

  /** The stream that the request continues for its caller; undefined if it is a new request. */
  get continues(): Continuation | undefined {
    return this.route.kind === 'stream' ? this.request.continues : undefined;
  }

  /** Records that events of a runner are about to be sent; the first ones fix the stream's version. */
  sendsEventsOf({ version, listing }: Pick<Runner, 'version' | 'listing'>): void {
    this.version ??= version;
    this.listing = listing;
    this.versions.add(version);
  }

  /** The last choice of a runner by its load; undefined if none was made by load. */
  get placement(): Placement | undefined {
    return this.#placement;
  }

  /** Records the choice of a runner by its load. */
  place(placement: Placement): void {
    this.#placement = placement;
  }

  /** Time for which the request was held because all runners were full, in milliseconds. */
  get heldMs(): number {
    return this.#heldMs;
  }

  /** Adds to the time for which the request was held. */
  held(ms: number): void {
    this.#heldMs += ms;
  }

  /** Fixes what continues the stream. */
  pin({ service, version }: StreamOrigin): void {
    this.#service = service;
    this.version = version;
    this.#fingerprints.clear();
  }

  /** Aborted when the response closes, the caller disconnects or the deadline passes. */
  get signal(): AbortSignal {
    return this.#abort.signal;
  }

  /** Whether the caller disconnected before its response was complete. */
  get callerGone(): boolean {
    return this.#callerGone;
  }

  /** Digest of customer, host, method, target and body: the same for all attempts of one request, whose ids differ. */
  get fingerprint(): string {
    const { customer, host, method, target, body } = this.request;
    const customerPrefix = customer === undefined ? '' : `${customer} `;
    this.#fingerprint ??= contentIdOf(
      `${customerPrefix}${host.toLowerCase()} ${method} ${target}`,
      body,
    );
    return this.#fingerprint;
  }

  /** The request's own fingerprint, then those of its prompt parts at runners of a software version. */
  fingerprintsAt(version: string): readonly string[] {
    const known = this.#fingerprints.get(version);
    if (known) return known;
    const { model, promptParts } = this.request;
    const scope = { service: this.service, model, version };
    const all = [this.fingerprint, ...partFingerprints(scope, promptParts)];
    this.#fingerprints.set(version, all);
    return all;
  }

  /** Why the request must not be sent to runners any more, found out while it waits; undefined if nothing was. */
  get refusal(): Failure | undefined {
    return this.#refusal;
  }

  /** Whether the request, not only its prompt to be prefilled, was sent to a runner. */
  get isSent(): boolean {
    return this.headSent || this.arrivals.counts.runs > 0;
  }

  /** Aborted as `signal` is, and when the request is refused while it waits. */
  get waitSignal(): AbortSignal {
    return AbortSignal.any([this.signal, this.#refused.signal]);
  }

  /** Ends the wait of the request. */
  refuse(failure: Failure): void {
    this.#refusal ??= failure;
    this.#refused.abort();
  }

  /** Ends the request before its deadline if its response has not begun: it is answered as if the deadline had passed. */
  expire(failure: Failure): void {
    if (this.headSent) return;
    this.refuse(failure);
    this.#abort.abort();
  }

  /** Name of the customer that sent the request; undefined where no key is required. */
  get customer(): string | undefined {
    return this.request.customer;
  }

  /** Whether the response was completed, also if its caller has yet to read a part of it, or has failed. */
  get isSettled(): boolean {
    return this.#isSettled;
  }

  /** Whether the status and headers have been sent. */
  get headSent(): boolean {
    return this.#res.headersSent;
  }

  /** Time until the deadline, in milliseconds. */
  remainingMs(now: number): number {
    return Math.max(0, this.deadlineAt - now);
  }

  /**
   * Sends a runner's status and headers.
   * @param headers names and values in alternation
   */
  writeHead(status: number, headers: readonly string[]): void {
    this.status = status;
    this.#res.writeHead(status, headers as string[]);
  }

  /**
   * Sends a chunk of a stream, or buffers it for a slow caller. Resolves when more may be buffered,
   * the caller has disconnected or the deadline has passed.
   */
  async write(chunk: Buffer): Promise<void> {
    const now = performance.now();
    this.#recordTiming(now);
    this.#delivery.write(now, chunk);
    // A caller that stops reading must not hold its reservation at the runner past the deadline.
    await this.#delivery.room(this.signal);
  }

  #recordTiming(now: number): void {
    if (this.firstMs === undefined) this.firstMs = now - this.arrivedAt;
    else this.pauseMs = Math.max(this.pauseMs, now - this.#lastWriteAt);
    this.#lastWriteAt = now;
  }

  /** Completes the response, after a last chunk if one is given. The caller may still have to read a part of it. */
  end(chunk?: Buffer): void {
    this.#isSettled = true;
    this.#delivery.end(performance.now(), chunk);
  }

  /**
   * Ends with an error response of the router. Once part of a runner's response has been sent, the
   * connection is cut instead, which is the only way left to mark the response as incomplete.
   */
  fail(now: number, failure: Failure): void {
    this.#isSettled = true;
    this.code = failure.codeName;
    if (crashCodes.has(failure.codeName)) this.detail = failure.message;
    if (this.#res.headersSent) {
      abortResponse(this.#res);
      return;
    }
    const { retryAfterMs } = failure;
    const maxRetryMs = Math.max(0, this.#callerRemainingMs(now)) * MAX_RETRY_PART;
    const announced =
      retryAfterMs === undefined
        ? failure
        : new Failure(failure.codeName, failure.message, {
            retryAfterMs: Math.min(retryAfterMs, maxRetryMs),
          });
    this.status = announced.code.http;
    sendRefusal(this.#res, announced, this.#codec, this.request.id);
  }

  #callerRemainingMs(now: number): number {
    return (this.request.deadlineMs ?? this.route.timeoutMs) - (now - this.arrivedAt);
  }
}

/** Sends an error response of the router; does nothing if a response has begun or the caller has disconnected. */
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
