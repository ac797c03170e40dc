/** Simulated callers: they look up addresses, reuse connections, disconnect early, retry, and verify the answers. */

import { randomUUID } from 'node:crypto';
import type { IncomingMessage } from 'node:http';
import { request } from 'node:http';
import { setTimeout as pause } from 'node:timers/promises';

import type { AddressBook } from './addresses';
import { HOST } from './addresses';
import type { KeptConnection } from './connections';
import { KeptConnections } from './connections';
import { HeldStream } from './heldstream';
import type { RequestKind, SentRequest } from './requests';
import { digestOf, plainAnswer, signatureOf } from './requests';

/** How an attempt ended for its caller: `broken` means a truncated answer or none, `left` that the caller disconnected. */
export type Outcome = 'served' | 'refused' | 'failed' | 'broken' | 'left';

/** The result of one attempt. */
export interface CallerAnswer {
  readonly outcome: Outcome;
  /** HTTP status; 0 without an answer. */
  readonly status: number;
  /** Duration of the attempt. */
  readonly ms: number;
  /** When the caller may retry; undefined if the answer does not say. */
  readonly retryAfterMs: number | undefined;
  /** Time from its last byte to the end of the attempt, in milliseconds; undefined if it was not sent whole. */
  readonly sinceSentMs: number | undefined;
  /** How its connection was kept before; undefined if it is a new one. */
  readonly kept: KeptConnection | undefined;
  /** What is wrong with an answer that looks complete; undefined if nothing is. */
  readonly integrityError: string | undefined;
  /** Number of events that it brought. */
  readonly newEvents: number;
  /** Software versions whose events the caller holds of the stream. */
  readonly versions: readonly string[];
}

/** Receives what callers observe. */
export interface CallerObserver {
  /** A caller is about to send a request to the VM at an address, `HOST:PORT`. */
  sent(request: SentRequest, vm: string): void;
  /** An attempt ended, also by the caller disconnecting. */
  answered(request: SentRequest, vm: string, answer: CallerAnswer): void;
  /** A VM, given by its IP address, closes an idle connection before the time that it announced is over. */
  closedEarly(ip: string, kept: KeptConnection): void;
  /** The caller closed its connection before the end. */
  disconnected(request: SentRequest): void;
}

/** Supplies API keys of customers. */
export interface KeySource {
  /** Draws a customer and one of its keys, valid or revoked. */
  drawKey(): { readonly customer: string; readonly key: string };
}

/** The length of callers' streams, and how often callers take them up again. */
export interface StreamUse {
  /** Draws the number of events. */
  readonly drawEvents: (random: () => number) => number;
  /** Time limit of each attempt, in milliseconds. */
  readonly deadlineMs: number;
  /** Attempts at a stream that may be resumed. */
  readonly maxAttempts: number;
  /** Longest pause before a stream that broke off is taken up again, in milliseconds. */
  readonly maxPauseMs: number;
}

/** Dependencies of callers. */
export interface CallerContext {
  readonly observer: CallerObserver;
  readonly random: () => number;
  readonly keys: KeySource;
  readonly addresses: AddressBook;
  /** Kinds of requests that are drawn with equal probability. */
  readonly kinds: readonly RequestKind[];
  /** How its callers use streams. */
  readonly streams: StreamUse;
}

const PLAIN_DEADLINE_MS = 1500;
/** Streams that end long before the grace period of a stop. */
export const shortStreams: StreamUse = {
  drawEvents: (random) => 5 + Math.floor(random() * 30),
  deadlineMs: 6000,
  maxAttempts: 4,
  maxPauseMs: 50,
};
/** Fraction of attempts whose caller may disconnect before the answer is complete. */
const DISCONNECT_RATIO = 0.06;
/** Time within which it does so. */
const MAX_DISCONNECT_MS = 1000;
/** The same for streams that may be resumed, most of which are taken up again. */
const RESUMABLE_DISCONNECT_RATIO = 0.25;
const MAX_ATTEMPTS = 2;
const MAX_CONNECTIONS = 64;
/** Fraction of idle connections that are used again late in the time for which they are kept, and that part of it. */
const LATE_RATIO = 0.7;
const LATE_PART = 0.15;
const RETRY_MS = 50;
/** How often callers without requests look whether that has changed. */
const IDLE_MS = 100;
/** Fraction of callers that disconnected from a stream and take it up again. */
const RETURN_RATIO = 0.8;
/** Time beyond its deadline for which a caller waits for an answer. */
export const ANSWER_GRACE_MS = 2000;
export const allKinds: readonly RequestKind[] = ['repeatable', 'once', 'stream', 'resumable'];
export const streamKinds: readonly RequestKind[] = ['stream', 'resumable'];
/** Path prefix of the route of each kind of request. */
export const routePrefixes: Readonly<Record<RequestKind, string>> = {
  repeatable: '/look/',
  once: '/pay/',
  stream: '/read/',
  resumable: '/note/',
};

/** A group of callers that share connections and looked-up addresses. */
export class CallerGroup {
  readonly #context: CallerContext;

  readonly #connections: KeptConnections;

  constructor(context: CallerContext) {
    this.#context = context;
    const { observer } = context;
    this.#connections = new KeptConnections(MAX_CONNECTIONS, (ip, kept) =>
      observer.closedEarly(ip, kept),
    );
  }

  /** Sends requests at random times, at a rate that may change, until `until` (epoch milliseconds), and waits for their answers. */
  async run(ratePerS: () => number, until: number): Promise<void> {
    const open = new Set<Promise<void>>();
    while (Date.now() < until) {
      const rate = ratePerS();
      if (rate > 0) {
        const work = this.#sendRequest().finally(() => open.delete(work));
        open.add(work);
        await pause((-Math.log(1 - this.#context.random()) * 1000) / rate);
      } else await pause(IDLE_MS);
    }
    await Promise.all(open);
    this.#connections.destroy();
  }

  /**
   * Sends one request after the other on one connection for as long as its VM keeps it, each after a pause up to
   * the longest that `maxIdleMs` allows by what was announced, until `until` (epoch milliseconds).
   */
  async runIdle(maxIdleMs: (announcedMs: number) => number, until: number): Promise<void> {
    const { random } = this.#context;
    while (Date.now() < until) {
      const address = await this.#context.addresses.pick();
      let announcedMs: number | undefined = 0;
      while (announcedMs !== undefined && Date.now() < until) {
        await this.#sendRequest(address);
        announcedMs = this.#connections.idleAnnouncedMs(address);
        const maxMs = announcedMs === undefined ? IDLE_MS : maxIdleMs(announcedMs);
        const share = random() < LATE_RATIO ? 1 - LATE_PART * random() : random();
        await pause(Math.max(0, Math.min(maxMs * share, until - Date.now())));
      }
    }
    this.#connections.destroy();
  }

  /** Sends one request, with the caller's own retries. */
  async #sendRequest(address?: string): Promise<void> {
    const { random, keys, kinds, streams } = this.#context;
    const kind = kinds[Math.floor(random() * kinds.length)] ?? 'once';
    const isStream = kind === 'stream' || kind === 'resumable';
    const events = isStream ? streams.drawEvents(random) : 0;
    const deadlineMs = isStream ? streams.deadlineMs : PLAIN_DEADLINE_MS;
    const path = `${routePrefixes[kind]}${randomUUID().slice(0, 6)}`;
    const body = `events=${events} ${randomUUID()}`;
    const credentials = keys.drawKey();
    const held = new HeldStream();
    const maxAttempts = kind === 'resumable' ? streams.maxAttempts : MAX_ATTEMPTS;
    for (let attempts = 0; attempts < maxAttempts; attempts += 1) {
      const resumes = kind === 'resumable' ? held.resumption : undefined;
      const id = randomUUID();
      const content = { kind, path, body, events, deadlineMs };
      const sent: SentRequest = { id, resumes, ...content, ...credentials };
      const { outcome, retryAfterMs } = await this.#attempt(sent, held, address);
      const isBroken = outcome === 'broken' || (outcome === 'left' && random() < RETURN_RATIO);
      const mayResume = kind === 'resumable' && isBroken && held.count > 0;
      const mayRetry = kind === 'repeatable' || outcome === 'refused';
      const isEnded = outcome === 'served' || outcome === 'left' || !mayRetry;
      if (isEnded && !mayResume) return;
      const maxPauseMs = mayResume ? streams.maxPauseMs : RETRY_MS;
      await pause(retryAfterMs ?? (maxPauseMs > RETRY_MS ? random() * maxPauseMs : RETRY_MS));
    }
  }

  async #attempt(
    sent: SentRequest,
    held: HeldStream,
    at: string | undefined,
  ): Promise<CallerAnswer> {
    const { observer, random, addresses } = this.#context;
    const address = at ?? (await addresses.pick());
    observer.sent(sent, address);
    const ratio = sent.kind === 'resumable' ? RESUMABLE_DISCONNECT_RATIO : DISCONNECT_RATIO;
    const disconnectMs = random() < ratio ? random() * MAX_DISCONNECT_MS : undefined;
    const began = performance.now();
    const heldBefore = held.count;
    held.beginAttempt();
    const answer = await exchange(this.#connections, address, sent, held, disconnectMs);
    const timed = {
      ...answer,
      // Also of a stream that ended early, which may be taken up again.
      integrityError: answer.integrityError ?? held.error,
      ms: performance.now() - began,
      newEvents: held.count - heldBefore,
      versions: held.versions,
    };
    if (timed.outcome === 'left') observer.disconnected(sent);
    if (timed.status === 0 && timed.outcome === 'broken') addresses.failed(address);
    observer.answered(sent, address, timed);
    return timed;
  }
}

function headersOf(sent: SentRequest): Readonly<Record<string, string>> {
  return {
    host: HOST,
    'request-id': sent.id,
    'request-deadline-ms': String(sent.deadlineMs),
    ...(sent.key === undefined ? {} : { authorization: `Bearer ${sent.key}` }),
    ...(sent.resumes
      ? { resumes: sent.resumes.stream, 'last-event-id': String(sent.resumes.afterEvent) }
      : {}),
    ...(sent.events === 0
      ? {}
      : { 'token-usage': `400,${sent.events * 7}`, 'prompt-prefix': `${sent.body.slice(-8)}:400` }),
  };
}

type ExchangeResult = Omit<CallerAnswer, 'ms' | 'newEvents' | 'versions'>;

const brokenResult: ExchangeResult = {
  outcome: 'broken',
  status: 0,
  retryAfterMs: undefined,
  integrityError: undefined,
  sinceSentMs: undefined,
  kept: undefined,
};

/** Makes one attempt, on a new or a reused connection. */
function exchange(
  agent: KeptConnections,
  address: string,
  sent: SentRequest,
  held: HeldStream,
  disconnectMs: number | undefined,
): Promise<ExchangeResult> {
  const [host = '', port = ''] = address.split(':');
  return new Promise((resolve) => {
    const headers = headersOf(sent);
    const req = request({ host, port, agent, method: 'POST', path: sent.path, headers });
    const disconnect = (): void => {
      req.destroy();
      resolve({ ...brokenResult, outcome: 'left' });
    };
    let sentAt: number | undefined;
    let isEnded = false;
    // An answer that arrived while this process was busy is read first.
    const giveUp = (): void => {
      setImmediate(() => {
        if (!isEnded) disconnect();
      });
    };
    const timer = setTimeout(giveUp, disconnectMs ?? sent.deadlineMs + ANSWER_GRACE_MS);
    const end = (result: ExchangeResult): void => {
      clearTimeout(timer);
      isEnded = true;
      const sinceSentMs = sentAt === undefined ? undefined : performance.now() - sentAt;
      resolve({ ...result, sinceSentMs, kept: agent.keptFor(req) });
    };
    req.once('finish', () => {
      sentAt = performance.now();
    });
    req.on('response', (res) => {
      agent.announced(res);
      collect(sent, held, res, end);
    });
    req.on('error', () => end(brokenResult));
    req.end(sent.body);
  });
}

function collect(
  sent: SentRequest,
  held: HeldStream,
  res: IncomingMessage,
  end: (result: ExchangeResult) => void,
): void {
  const chunks: Buffer[] = [];
  const status = res.statusCode ?? 0;
  const isStream = sent.events > 0 && status === 200;
  res.on('data', (chunk: Buffer) => {
    if (isStream) held.receive(sent, chunk);
    else chunks.push(chunk);
  });
  res.on('error', () => end({ ...brokenResult, status }));
  res.on('end', () => {
    const text = Buffer.concat(chunks).toString();
    if (!res.complete) end({ ...brokenResult, status });
    else if (status >= 200 && status < 300) {
      end({
        ...brokenResult,
        outcome: 'served',
        status,
        integrityError: isStream
          ? streamErrorOf(sent, held, res)
          : integrityErrorOf(sent, res, text),
      });
    } else {
      const seconds = Number(res.headers['retry-after']);
      const retryAfterMs = Number.isFinite(seconds) ? seconds * 1000 : undefined;
      const isRefusal = status === 503 || status === 429;
      end({ ...brokenResult, outcome: isRefusal ? 'refused' : 'failed', status, retryAfterMs });
    }
  });
}

/** What is wrong with a successful answer that is no stream; undefined if nothing is. */
function integrityErrorOf(
  sent: SentRequest,
  res: IncomingMessage,
  text: string,
): string | undefined {
  if (res.headers['request-id'] !== sent.id) return 'the request id does not match';
  if (res.headers['server-signature'] !== signatureOf(text)) return 'the signature is wrong';
  const expected = plainAnswer(sent.id, digestOf(sent.path, sent.body));
  return text === expected ? undefined : 'the body belongs to another request';
}

/** What is wrong with a stream that looks complete; undefined if nothing is. */
function streamErrorOf(
  sent: SentRequest,
  held: HeldStream,
  res: IncomingMessage,
): string | undefined {
  if (res.headers['request-id'] !== sent.id) return 'the request id does not match';
  if (held.error !== undefined) return held.error;
  const isWhole = held.count === sent.events && !held.isTorn;
  return isWhole ? undefined : `the stream ended without an error after event ${held.count}`;
}
