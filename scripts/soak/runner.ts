/**
 * Stand-in of a runner on the platform: an engine that prefills or decodes, with memory,
 * cache handles and orders, or an instance of a plain service. Tells a witness what reaches it.
 */

import { randomUUID } from 'node:crypto';
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import { setTimeout as pause } from 'node:timers/promises';

import { closeServer, listen, readBody, sendJson } from '../../test/fakes/http';
import { digestOf, eventOf, eventCountOf, plainAnswer, signatureOf } from './requests';

export type RunnerRole = 'prefill' | 'decode' | 'plain';

/** A request as a runner saw it. */
export interface Arrival {
  readonly requestId: string;
  /** Id of the start of the runner. */
  readonly instanceId: string;
  readonly role: RunnerRole;
  readonly service: string;
  readonly digest: string;
  readonly customer: string | undefined;
  readonly hasKey: boolean;
}

/** An order as a runner saw it. */
export interface Order {
  readonly instanceId: string;
  readonly holder: string;
  readonly fence: number;
}

/** What is told of runners. */
export interface RunnerObserver {
  /** A request came, whether it will run or not. */
  arrived(arrival: Arrival): void;
  /** It runs. */
  began(arrival: Arrival): void;
  /** Its run is over. */
  ended(arrival: Arrival): void;
  ordered(order: Order): void;
}

/** What a runner works with. */
export interface RunnerContext {
  readonly witness: RunnerObserver;
  readonly random: () => number;
  /** Called when its entry in the store has changed. */
  readonly onEntryChange: (runner: SoakRunner) => void;
  /** Takes a cache handle, `HOST:PORT/HANDLE`, from the runner that keeps it; whether it was there. */
  readonly takeCache: (source: string) => boolean;
}

/** How a runner treats requests. Parts are of all requests, from 0 to 1. */
export interface RunnerBehaviour {
  readonly failRatio: number;
  readonly shedRatio: number;
  readonly cutRatio: number;
  readonly hangRatio: number;
  /** Its work takes so many times as long. */
  readonly slowdown: number;
}

/** A runner that does its work. */
export const healthyBehaviour: RunnerBehaviour = {
  failRatio: 0,
  shedRatio: 0,
  cutRatio: 0,
  hangRatio: 0,
  slowdown: 1,
};

/** Figures of all engines and plain instances. */
export const runnerProfile = {
  memoryTokens: 20_000,
  slots: 16,
  eventTokens: 7,
  cacheHoldMs: 500,
  roleSwitchMs: 3000,
  prefillTokenMs: 0.02,
  eventMs: 60,
  plainMs: 30,
  plainSlots: 6,
  plainQueueSlots: 6,
} as const;

/** An answer of a runner. */
class Reply {
  readonly #res: ServerResponse;

  readonly #headers: Readonly<Record<string, string>>;

  constructor(res: ServerResponse, id: string, listing: string, ratePerS: number | undefined) {
    this.#res = res;
    this.#headers = {
      'request-id': id,
      'server-signature': listing,
      ...(ratePerS === undefined ? {} : { 'server-limit': String(ratePerS) }),
    };
  }

  /** It has not run and never will. */
  reject(status: number): void {
    this.#res.writeHead(status, { ...this.#headers, 'not-executed': '1' }).end();
  }

  fail(): void {
    this.#res.writeHead(500, this.#headers).end('failed');
  }

  json(value: unknown): void {
    this.#res.writeHead(200, { ...this.#headers, 'content-type': 'application/json' });
    this.#res.end(JSON.stringify(value));
  }

  text(text: string): void {
    const headers = { ...this.#headers, 'server-signature': signatureOf(text) };
    this.#res.writeHead(200, headers).end(text);
  }

  event(text: string): void {
    if (!this.#res.headersSent) {
      this.#res.writeHead(200, { ...this.#headers, 'content-type': 'text/event-stream' });
    }
    this.#res.write(text);
  }

  end(): void {
    if (!this.#res.headersSent) this.event('');
    this.#res.end();
  }

  /** Breaks off, after a last part if there is one. */
  cut(last = ''): void {
    if (last !== '') this.event(last);
    this.#res.socket?.resetAndDestroy();
  }
}

interface Kept {
  readonly tokens: number;
  readonly until: number;
}

/** One runner at one address; it may be started again. */
export class SoakRunner {
  readonly runnerId = `i-${randomUUID().slice(0, 8)}`;

  readonly service: string;

  readonly domain: string;

  behaviour: RunnerBehaviour = healthyBehaviour;

  /** Requests a second that it names in its answers. Default: none. */
  ratePerS: number | undefined;

  isDraining = false;

  #role: RunnerRole;

  readonly #context: RunnerContext;

  readonly #witness: RunnerObserver;

  readonly #random: () => number;

  #server: Server | undefined;

  #bornAt = 0;

  #sequence = 0;

  #fence = 0;

  #isChanging = false;

  readonly #kept = new Map<string, Kept>();

  /** Tokens in memory by request. */
  readonly #runs = new Map<string, number>();

  #plainRuns = 0;

  constructor(role: RunnerRole, service: string, domain: string, context: RunnerContext) {
    this.#role = role;
    this.service = service;
    this.domain = domain;
    this.#context = context;
    this.#witness = context.witness;
    this.#random = context.random;
  }

  get role(): RunnerRole {
    return this.#role;
  }

  /** Id of this start. */
  get id(): string {
    return `${this.runnerId}@${this.#bornAt}`;
  }

  get isUp(): boolean {
    return this.#server !== undefined;
  }

  /** What it writes of itself to the store. */
  entry(address: string): unknown {
    return {
      service: this.service,
      address,
      zone: this.domain,
      version: 'v1',
      slots: this.#role === 'plain' ? runnerProfile.plainSlots : runnerProfile.slots,
      state: this.isDraining ? 'draining' : 'ready',
      'cold-remaining-ms': 0,
      sequence: this.#sequence,
      born: this.#bornAt,
      ...(this.#role === 'plain' ? {} : { stage: this.#role }),
    };
  }

  async start(host: string, port: number): Promise<void> {
    this.#bornAt = Date.now();
    this.#sequence = 0;
    this.#fence = 0;
    this.#isChanging = false;
    this.#kept.clear();
    this.#runs.clear();
    this.#plainRuns = 0;
    this.ratePerS = undefined;
    const { server } = await listen((req, res, url) => this.#handle(req, res, url), port, host);
    this.#server = server;
  }

  /** Gives a kept cache away; whether it was there. */
  takeCache(handle: string): boolean {
    const kept = this.#kept.get(handle);
    this.#kept.delete(handle);
    return kept !== undefined && kept.until >= Date.now();
  }

  /** Ends at once: every connection is reset. */
  async crash(): Promise<void> {
    const server = this.#server;
    this.#server = undefined;
    if (server) await closeServer(server);
  }

  get #usedTokens(): number {
    const now = Date.now();
    for (const [handle, { until }] of this.#kept) if (until < now) this.#kept.delete(handle);
    const kept = [...this.#kept.values()].reduce((sum, { tokens }) => sum + tokens, 0);
    return [...this.#runs.values()].reduce((sum, tokens) => sum + tokens, kept);
  }

  async #handle(req: IncomingMessage, res: ServerResponse, url: URL): Promise<void> {
    const { pathname } = url;
    if (pathname === '/v1/report') this.#report(res);
    else if (pathname === '/v1/order') this.#order(res, JSON.parse(await readBody(req)));
    else if (pathname.startsWith('/v1/kv-handle/')) {
      this.#kept.delete(pathname.split('/').at(-1) ?? '');
      sendJson(res, 200, {});
    } else await this.#serve(req, res, url);
  }

  #report(res: ServerResponse): void {
    sendJson(res, 200, {
      stage: this.#role,
      models: [],
      busy: this.#isChanging,
      sequence: this.#sequence,
      queued: 0,
      running: this.#runs.size,
      'kv-used': this.#usedTokens,
      'kv-total': runnerProfile.memoryTokens,
      'kv-handles': this.#kept.size,
      born: this.#bornAt,
      runs: [...this.#runs].map(([id, tokens]) => [id, tokens, 0, 5]),
    });
  }

  #order(res: ServerResponse, body: Readonly<Record<string, unknown>>): void {
    const { holder, expected, stage } = body;
    const fence = Number(body['fencing-token']);
    this.#witness.ordered({ instanceId: this.id, holder: String(holder), fence });
    if (fence < this.#fence) sendJson(res, 412, {});
    else if (this.#isChanging || expected !== this.#sequence) sendJson(res, 409, {});
    else if (stage === this.#role) sendJson(res, 200, {});
    else {
      this.#fence = fence;
      this.#sequence += 1;
      this.#isChanging = true;
      sendJson(res, 202, {});
      const born = this.#bornAt;
      setTimeout(() => {
        if (this.#bornAt !== born) return;
        this.#role = stage as RunnerRole;
        this.#isChanging = false;
        this.#context.onEntryChange(this);
      }, runnerProfile.roleSwitchMs).unref();
    }
  }

  async #serve(req: IncomingMessage, res: ServerResponse, { pathname }: URL): Promise<void> {
    const body = await readBody(req);
    const { headers } = req;
    const id = String(headers['request-id'] ?? '');
    const isPrefill = headers['serving-stage'] === 'prefill';
    const arrival: Arrival = {
      requestId: id,
      instanceId: this.id,
      role: isPrefill ? 'prefill' : this.#role,
      service: this.service,
      digest: digestOf(pathname, body),
      customer: headers['tenant-id']?.toString(),
      hasKey: headers.authorization !== undefined,
    };
    const answer = new Reply(res, id, this.runnerId, this.ratePerS);
    const wrongStage = isPrefill !== (this.#role === 'prefill');
    if (headers['expected-instance'] !== this.runnerId || wrongStage) {
      answer.reject(421);
      return;
    }
    this.#witness.arrived(arrival);
    if (this.#random() < this.behaviour.shedRatio || this.#isChanging) {
      answer.reject(503);
      return;
    }
    const deadline = new AbortController();
    const timer = setTimeout(() => deadline.abort(), Number(headers['request-deadline-ms'] ?? 1e6));
    res.once('close', () => deadline.abort());
    const tokens = Number(String(headers['token-usage'] ?? '0,0').split(',')[0]);
    if (isPrefill) await this.#prefill(arrival, answer, tokens);
    else if (this.#role === 'plain') await this.#plain(arrival, answer, deadline.signal);
    else {
      const source = headers['kv-source']?.toString();
      const after = Number(headers['last-event-id'] ?? 0);
      const isRead = source !== undefined;
      if (isRead && !this.#context.takeCache(source)) answer.reject(503);
      else {
        const job = { tokens, events: eventCountOf(body), after, isRead };
        await this.#decode(arrival, answer, job, deadline.signal);
      }
    }
    clearTimeout(timer);
  }

  async #prefill(arrival: Arrival, answer: Reply, tokens: number): Promise<void> {
    if (this.#usedTokens + tokens > runnerProfile.memoryTokens) {
      answer.reject(503);
      return;
    }
    this.#witness.began(arrival);
    const handle = randomUUID().slice(0, 12);
    this.#kept.set(handle, { tokens, until: Infinity });
    await pause(tokens * runnerProfile.prefillTokenMs * this.behaviour.slowdown);
    this.#kept.set(handle, { tokens, until: Date.now() + runnerProfile.cacheHoldMs });
    this.#witness.ended(arrival);
    if (this.#random() < this.behaviour.failRatio) answer.fail();
    else answer.json({ 'kv-handle': handle, tokens, version: 1 });
  }

  async #plain(arrival: Arrival, answer: Reply, signal: AbortSignal): Promise<void> {
    if (this.#plainRuns >= runnerProfile.plainSlots + runnerProfile.plainQueueSlots) {
      answer.reject(503);
      return;
    }
    this.#plainRuns += 1;
    this.#witness.began(arrival);
    const factor =
      Math.max(1, this.#plainRuns / runnerProfile.plainSlots) * this.behaviour.slowdown;
    await this.#work(runnerProfile.plainMs * factor, signal);
    this.#plainRuns -= 1;
    this.#witness.ended(arrival);
    if (this.#random() < this.behaviour.failRatio) answer.fail();
    else if (this.#random() < this.behaviour.cutRatio) answer.cut();
    else answer.text(plainAnswer(arrival.requestId, arrival.digest));
  }

  async #decode(
    arrival: Arrival,
    answer: Reply,
    job: {
      readonly tokens: number;
      readonly events: number;
      readonly after: number;
      readonly isRead: boolean;
    },
    signal: AbortSignal,
  ): Promise<void> {
    const need = job.tokens + job.events * runnerProfile.eventTokens;
    if (
      this.#usedTokens + need > runnerProfile.memoryTokens ||
      this.#runs.size >= runnerProfile.slots
    ) {
      answer.reject(503);
      return;
    }
    this.#witness.began(arrival);
    this.#runs.set(arrival.requestId, need);
    if (!job.isRead) await this.#work(job.tokens * runnerProfile.prefillTokenMs * 2, signal);
    if (this.#random() < this.behaviour.failRatio) answer.fail();
    else await this.#stream(arrival, answer, job.after, job.events, signal);
    this.#runs.delete(arrival.requestId);
    this.#witness.ended(arrival);
  }

  async #stream(
    { digest }: Arrival,
    answer: Reply,
    after: number,
    events: number,
    signal: AbortSignal,
  ): Promise<void> {
    const cutsAt =
      this.#random() < this.behaviour.cutRatio ? after + 1 + this.#random() * events : Infinity;
    for (let event = after + 1; event <= events && !signal.aborted; event += 1) {
      await this.#work(runnerProfile.eventMs, signal);
      if (event >= cutsAt) {
        answer.cut(eventOf(event, digest).slice(0, 5));
        return;
      }
      answer.event(eventOf(event, digest));
    }
    if (signal.aborted) answer.cut();
    else answer.end();
  }

  /** Works for a time, or for ever where it falls silent, until the request has left. */
  async #work(ms: number, signal: AbortSignal): Promise<void> {
    const isMute = this.#random() < this.behaviour.hangRatio;
    const forMs = isMute ? 60_000 : ms * this.behaviour.slowdown;
    await pause(forMs, undefined, { signal, ref: false }).catch(() => undefined);
  }
}
