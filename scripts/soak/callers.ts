/** Simulated callers: they look up addresses, reuse connections, disconnect early, retry, and verify the answers. */

import { randomUUID } from 'node:crypto';
import type { IncomingMessage } from 'node:http';
import { Agent, request } from 'node:http';
import { setTimeout as pause } from 'node:timers/promises';

import { call } from '../../test/fakes/http';
import type { RequestKind, SentRequest } from './requests';
import { digestOf, eventOf, plainAnswer, signatureOf } from './requests';

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
  /** What is wrong with an answer that looks complete; undefined if nothing is. */
  readonly integrityError: string | undefined;
}

/** Receives what callers observe. */
export interface CallerObserver {
  /** A caller is about to send a request to the VM at an address, `HOST:PORT`. */
  sent(request: SentRequest, vm: string): void;
  /** An attempt ended, also by the caller disconnecting. */
  answered(request: SentRequest, vm: string, answer: CallerAnswer): void;
  /** The caller closed its connection before the end. */
  disconnected(request: SentRequest): void;
}

/** Supplies API keys of customers. */
export interface KeySource {
  /** Draws a customer and one of its keys, valid or revoked. */
  drawKey(): { readonly customer: string; readonly key: string };
}

/** Dependencies of callers. */
export interface CallerContext {
  readonly observer: CallerObserver;
  readonly random: () => number;
  readonly keys: KeySource;
  /** `HOST:PORT` of the directories of all VMs. */
  readonly directories: readonly string[];
}

const HOST = 'soak.example';
const DEADLINE_MS: Readonly<Record<RequestKind, number>> = {
  repeatable: 1500,
  once: 1500,
  stream: 6000,
  resumable: 6000,
};
/** How often callers look up addresses. */
const LOOKUP_INTERVAL_MS = 1000;
/** Probability that a caller accepts addresses three times as old. */
const SLOW_LOOKUP_RATIO = 0.3;
/** Fraction of attempts whose caller may disconnect before the answer is complete. */
const DISCONNECT_RATIO = 0.06;
const MAX_ATTEMPTS = 2;
/** Time beyond its deadline for which a caller waits for an answer. */
const ANSWER_GRACE_MS = 2000;
const kinds: readonly RequestKind[] = ['repeatable', 'once', 'stream', 'resumable'];
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

  readonly #agent = new Agent({ keepAlive: true, maxSockets: 64 });

  #addresses: readonly string[] = [];

  #lookedUpAt = -Infinity;

  constructor(context: CallerContext) {
    this.#context = context;
  }

  /** Sends requests at random times until `until` (epoch milliseconds), and waits for their answers. */
  async run(ratePerS: number, until: number): Promise<void> {
    const open = new Set<Promise<void>>();
    while (Date.now() < until) {
      const work = this.#sendRequest().finally(() => open.delete(work));
      open.add(work);
      await pause((-Math.log(1 - this.#context.random()) * 1000) / ratePerS);
    }
    await Promise.all(open);
    this.#agent.destroy();
  }

  /** Sends one request, with the caller's own retries. */
  async #sendRequest(): Promise<void> {
    const { random, keys } = this.#context;
    const kind = kinds[Math.floor(random() * kinds.length)] ?? 'once';
    const isStream = kind === 'stream' || kind === 'resumable';
    const events = isStream ? 5 + Math.floor(random() * 30) : 0;
    const path = `${routePrefixes[kind]}${randomUUID().slice(0, 6)}`;
    const body = `events=${events} ${randomUUID()}`;
    const credentials = keys.drawKey();
    for (let attempts = 0; attempts < MAX_ATTEMPTS; attempts += 1) {
      const sent: SentRequest = { id: randomUUID(), kind, path, body, events, ...credentials };
      const { outcome, retryAfterMs } = await this.#attempt(sent);
      const mayRetry = kind === 'repeatable' || outcome === 'refused';
      if (outcome === 'served' || outcome === 'left' || !mayRetry) return;
      await pause(retryAfterMs ?? 50);
    }
  }

  async #attempt(sent: SentRequest): Promise<CallerAnswer> {
    const { observer, random } = this.#context;
    const address = await this.#pickAddress();
    observer.sent(sent, address);
    const disconnectMs = random() < DISCONNECT_RATIO ? random() * 600 : undefined;
    const began = performance.now();
    const answer = await exchange(this.#agent, address, sent, disconnectMs);
    const timed = { ...answer, ms: performance.now() - began };
    if (timed.outcome === 'left') observer.disconnected(sent);
    observer.answered(sent, address, timed);
    return timed;
  }

  async #pickAddress(): Promise<string> {
    const { random, directories } = this.#context;
    const maxAgeMs = random() < SLOW_LOOKUP_RATIO ? LOOKUP_INTERVAL_MS * 3 : LOOKUP_INTERVAL_MS;
    if (performance.now() - this.#lookedUpAt > maxAgeMs) {
      this.#lookedUpAt = performance.now();
      const directory = directories[Math.floor(random() * directories.length)] ?? '';
      const url = `http://${directory}/v1/lookup?name=${HOST}&region=r&zone=a`;
      const answer = await Promise.race([
        call('GET', url).catch(() => undefined),
        pause(LOOKUP_INTERVAL_MS, undefined, { ref: false }),
      ]);
      const addresses =
        (answer?.body as { addresses?: readonly string[] } | undefined)?.addresses ?? [];
      if (addresses.length > 0) this.#addresses = addresses;
    }
    return this.#addresses[Math.floor(random() * this.#addresses.length)] ?? '127.0.0.1:9';
  }
}

function headersOf(sent: SentRequest): Readonly<Record<string, string>> {
  return {
    host: HOST,
    'request-id': sent.id,
    'request-deadline-ms': String(DEADLINE_MS[sent.kind]),
    ...(sent.key === undefined ? {} : { authorization: `Bearer ${sent.key}` }),
    ...(sent.events === 0
      ? {}
      : { 'token-usage': `400,${sent.events * 7}`, 'prompt-prefix': `${sent.body.slice(-8)}:400` }),
  };
}

type ExchangeResult = Omit<CallerAnswer, 'ms'>;

const brokenResult: ExchangeResult = {
  outcome: 'broken',
  status: 0,
  retryAfterMs: undefined,
  integrityError: undefined,
};

/** Makes one attempt, on a new or a reused connection. */
function exchange(
  agent: Agent,
  address: string,
  sent: SentRequest,
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
    const timer = setTimeout(disconnect, disconnectMs ?? DEADLINE_MS[sent.kind] + ANSWER_GRACE_MS);
    const end = (result: ExchangeResult): void => {
      clearTimeout(timer);
      resolve(result);
    };
    req.on('response', (res) => collect(sent, res, end));
    req.on('error', () => end(brokenResult));
    req.end(sent.body);
  });
}

function collect(
  sent: SentRequest,
  res: IncomingMessage,
  end: (result: ExchangeResult) => void,
): void {
  const chunks: Buffer[] = [];
  const status = res.statusCode ?? 0;
  res.on('data', (chunk: Buffer) => chunks.push(chunk));
  res.on('error', () => end({ ...brokenResult, status }));
  res.on('end', () => {
    const text = Buffer.concat(chunks).toString();
    if (!res.complete) end({ ...brokenResult, status });
    else if (status >= 200 && status < 300) {
      end({
        ...brokenResult,
        outcome: 'served',
        status,
        integrityError: integrityErrorOf(sent, res, text),
      });
    } else {
      const seconds = Number(res.headers['retry-after']);
      const retryAfterMs = Number.isFinite(seconds) ? seconds * 1000 : undefined;
      const isRefusal = status === 503 || status === 429;
      end({ ...brokenResult, outcome: isRefusal ? 'refused' : 'failed', status, retryAfterMs });
    }
  });
}

/** What is wrong with a successful answer; undefined if nothing is. */
function integrityErrorOf(
  sent: SentRequest,
  res: IncomingMessage,
  text: string,
): string | undefined {
  if (res.headers['request-id'] !== sent.id) return 'the request id does not match';
  const digest = digestOf(sent.path, sent.body);
  if (sent.events === 0) {
    if (res.headers['server-signature'] !== signatureOf(text)) return 'the signature is wrong';
    return text === plainAnswer(sent.id, digest)
      ? undefined
      : 'the body belongs to another request';
  }
  const expected = Array.from({ length: sent.events }, (_, i) => eventOf(i + 1, digest)).join('');
  if (text === expected) return undefined;
  return `the stream ended without an error, but differs: found ${text.length} bytes, expected ${expected.length}`;
}
