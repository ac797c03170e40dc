/** Callers: they ask for addresses, keep connections until their process is gone, leave, come back, and look at what they get. */

import { randomUUID } from 'node:crypto';
import type { IncomingMessage } from 'node:http';
import { Agent, request } from 'node:http';
import { setTimeout as pause } from 'node:timers/promises';

import { call } from '../../test/fakes/http';
import type { RequestKind, SentRequest } from './requests';
import { digestOf, eventOf, plainAnswer, signatureOf } from './requests';

/** How an attempt ended for its caller: `broken` is an answer that is cut or none, `left` its own leaving. */
export type Outcome = 'served' | 'refused' | 'failed' | 'broken' | 'left';

/** What a caller got. */
export interface CallerAnswer {
  readonly outcome: Outcome;
  readonly status: number;
  readonly ms: number;
  /** When the caller may come back, in milliseconds. Default: not told. */
  readonly retryAfterMs: number | undefined;
  /** What is wrong with an answer that looks whole. Default: nothing. */
  readonly integrityError: string | undefined;
}

/** What is told of callers. */
export interface CallerObserver {
  sent(request: SentRequest, vm: string): void;
  answered(request: SentRequest, vm: string, answer: CallerAnswer): void;
  /** The caller closed its connection before the end. */
  disconnected(request: SentRequest): void;
}

/** Customers and their keys, as they are handed out now. */
export interface KeySource {
  /** A customer and one of its keys. */
  drawKey(): { readonly customer: string; readonly key: string };
}

/** What callers work with. */
export interface CallerContext {
  readonly observer: CallerObserver;
  readonly random: () => number;
  readonly keys: KeySource;
  /** Directory addresses of all VMs. */
  readonly directories: readonly string[];
}

const HOST = 'soak.example';
const DEADLINE_MS: Readonly<Record<RequestKind, number>> = {
  repeatable: 1500,
  once: 1500,
  stream: 6000,
  resumable: 6000,
};
/** How often callers ask for addresses, in milliseconds; some keep an answer thrice as long. */
const LOOKUP_MS = 1000;
const KEPT_LONG_PART = 0.3;
/** Part of the callers that leave before the end. */
const LEAVE_PART = 0.06;
const CALLERS_TRIES = 2;
/** Time beyond its deadline for which a caller waits for an answer, in milliseconds. */
const LATE_MS = 2000;
const kinds: readonly RequestKind[] = ['repeatable', 'once', 'stream', 'resumable'];
/** Path prefix of each kind's route. */
export const routePrefixes: Readonly<Record<RequestKind, string>> = {
  repeatable: '/look/',
  once: '/pay/',
  stream: '/read/',
  resumable: '/note/',
};

/** One group of callers that share their connections and the addresses that they were told. */
export class CallerGroup {
  readonly #context: CallerContext;

  readonly #agent = new Agent({ keepAlive: true, maxSockets: 64 });

  #addresses: readonly string[] = [];

  #askedAt = -Infinity;

  constructor(context: CallerContext) {
    this.#context = context;
  }

  /** Sends requests at random times until the end, and waits for their answers. */
  async run(perS: number, until: number): Promise<void> {
    const open = new Set<Promise<void>>();
    while (Date.now() < until) {
      const work = this.#request().finally(() => open.delete(work));
      open.add(work);
      await pause((-Math.log(1 - this.#context.random()) * 1000) / perS);
    }
    await Promise.all(open);
    this.#agent.destroy();
  }

  /** One request, with its caller's tries. */
  async #request(): Promise<void> {
    const { random, keys } = this.#context;
    const kind = kinds[Math.floor(random() * kinds.length)] ?? 'once';
    const isStream = kind === 'stream' || kind === 'resumable';
    const events = isStream ? 5 + Math.floor(random() * 30) : 0;
    const path = `${routePrefixes[kind]}${randomUUID().slice(0, 6)}`;
    const body = `events=${events} ${randomUUID()}`;
    const whose = keys.drawKey();
    for (let tries = 0; tries < CALLERS_TRIES; tries += 1) {
      const sent: SentRequest = { id: randomUUID(), kind, path, body, events, ...whose };
      const { outcome, retryAfterMs } = await this.#attempt(sent);
      const mayRepeat = kind === 'repeatable' || outcome === 'refused';
      if (outcome === 'served' || outcome === 'left' || !mayRepeat) return;
      await pause(retryAfterMs ?? 50);
    }
  }

  async #attempt(sent: SentRequest): Promise<CallerAnswer> {
    const { observer: witness, random } = this.#context;
    const address = await this.#address();
    witness.sent(sent, address);
    const leavesMs = random() < LEAVE_PART ? random() * 600 : undefined;
    const began = performance.now();
    const answer = await exchange(this.#agent, address, sent, leavesMs);
    const whole = { ...answer, ms: performance.now() - began };
    if (whole.outcome === 'left') witness.disconnected(sent);
    witness.answered(sent, address, whole);
    return whole;
  }

  async #address(): Promise<string> {
    const { random, directories } = this.#context;
    const keptMs = random() < KEPT_LONG_PART ? LOOKUP_MS * 3 : LOOKUP_MS;
    if (performance.now() - this.#askedAt > keptMs) {
      this.#askedAt = performance.now();
      const directory = directories[Math.floor(random() * directories.length)] ?? '';
      const url = `http://${directory}/v1/lookup?name=${HOST}&region=r&zone=a`;
      const answer = await Promise.race([
        call('GET', url).catch(() => undefined),
        pause(LOOKUP_MS, undefined, { ref: false }),
      ]);
      const told = (answer?.body as { addresses?: readonly string[] } | undefined)?.addresses ?? [];
      if (told.length > 0) this.#addresses = told;
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

type Ended = Omit<CallerAnswer, 'ms'>;

const broken: Ended = {
  outcome: 'broken',
  status: 0,
  retryAfterMs: undefined,
  integrityError: undefined,
};

/** One attempt on a connection that may be an old one. */
function exchange(
  agent: Agent,
  address: string,
  sent: SentRequest,
  leavesMs: number | undefined,
): Promise<Ended> {
  const [host = '', port = ''] = address.split(':');
  return new Promise((resolve) => {
    const headers = headersOf(sent);
    const req = request({ host, port, agent, method: 'POST', path: sent.path, headers });
    const leave = (): void => {
      req.destroy();
      resolve({ ...broken, outcome: 'left' });
    };
    const leaving = setTimeout(leave, leavesMs ?? DEADLINE_MS[sent.kind] + LATE_MS);
    const end = (ended: Ended): void => {
      clearTimeout(leaving);
      resolve(ended);
    };
    req.on('response', (res) => collect(sent, res, end));
    req.on('error', () => end(broken));
    req.end(sent.body);
  });
}

function collect(sent: SentRequest, res: IncomingMessage, end: (ended: Ended) => void): void {
  const chunks: Buffer[] = [];
  const status = res.statusCode ?? 0;
  res.on('data', (chunk: Buffer) => chunks.push(chunk));
  res.on('error', () => end({ ...broken, status }));
  res.on('end', () => {
    const text = Buffer.concat(chunks).toString();
    if (!res.complete) end({ ...broken, status });
    else if (status >= 200 && status < 300) {
      end({ ...broken, outcome: 'served', status, integrityError: faultOf(sent, res, text) });
    } else {
      const told = Number(res.headers['retry-after']);
      const retryAfterMs = Number.isFinite(told) ? told * 1000 : undefined;
      const isRefusal = status === 503 || status === 429;
      end({ ...broken, outcome: isRefusal ? 'refused' : 'failed', status, retryAfterMs });
    }
  });
}

/** What is wrong with a success; undefined if nothing is. */
function faultOf(sent: SentRequest, res: IncomingMessage, text: string): string | undefined {
  if (res.headers['request-id'] !== sent.id) return 'the answer is to another request';
  const digest = digestOf(sent.path, sent.body);
  if (sent.events === 0) {
    if (res.headers['server-signature'] !== signatureOf(text)) return 'the signature does not fit';
    return text === plainAnswer(sent.id, digest) ? undefined : 'the answer is of another request';
  }
  const wanted = Array.from({ length: sent.events }, (_, i) => eventOf(i + 1, digest)).join('');
  if (text === wanted) return undefined;
  return `looks complete with ${text.length} of ${wanted.length} bytes`;
}
