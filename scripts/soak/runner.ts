/**
 * Stand-in for a runner on the platform: either an engine that prefills or decodes, with KV memory,
 * cache handles and role-change orders, or an instance of a plain service. Reports to an observer
 * what reaches it.
 */

import { randomUUID } from 'node:crypto';
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import { setTimeout as pause } from 'node:timers/promises';

import { closeServer, listen, readBody, sendJson } from '../../test/fakes/http';
import { drawFate } from './fates';
import { KvMemory } from './kvmemory';
import { Reply } from './reply';
import { digestOf, eventOf, eventCountOf, plainAnswer } from './requests';
import type { Arrival, RunnerBehaviour, RunnerObserver, RunnerRole } from './work';
import { healthyBehaviour, runnerProfile } from './work';

/** Dependencies of a runner. */
export interface RunnerContext {
  readonly observer: RunnerObserver;
  readonly random: () => number;
  /** Called when the runner's entry in the store must be updated. */
  readonly onEntryChange: (runner: SoakRunner) => void;
  /** Called when its process has started or ended. */
  readonly onUpChange: (runner: SoakRunner) => void;
  /** Whether plain runners report how long work takes at the moment, beside their counts. */
  readonly reportsSlowness: boolean;
  /** Fraction of answers without a length, which end with their connections. */
  readonly unsizedRatio: number;
  /** Fetches the KV cache of a handle, `HOST:PORT/HANDLE`, from the runner that holds it; returns whether it existed. */
  readonly takeCache: (source: string) => boolean;
}

/** One runner at one address; it can be restarted, as a new instance. */
export class SoakRunner {
  /** Id under which it is registered in the store; the same for all instances. */
  readonly runnerId = `i-${randomUUID().slice(0, 8)}`;

  readonly service: string;

  readonly domain: string;

  /** Version of its software, which its events name. */
  readonly version: string;

  behaviour: RunnerBehaviour = healthyBehaviour;

  /** Factor on the duration of all work at this moment, beside that of its behaviour. */
  momentarySlowdown = 1;

  /** Rate limit that it announces in its answers, in requests per second; undefined if it announces none. */
  ratePerS: number | undefined;

  /** Whether its entry in the store says that it drains. */
  isDraining = false;

  /** Whether its answers announce that it leaves. */
  isLeaving = false;

  /** Time for which it wants no requests of a VM that it rejects, in milliseconds; it rejects everything. Undefined: it does not. */
  pauseMs: number | undefined;

  #role: RunnerRole;

  readonly #context: RunnerContext;

  readonly #observer: RunnerObserver;

  readonly #random: () => number;

  #server: Server | undefined;

  #startedAt = 0;

  #sequence = 0;

  #fence = 0;

  #isSwitchingRole = false;

  readonly #memory = new KvMemory();

  /** Work of this instance in progress, prefills too. */
  readonly #running = new Set<Arrival>();

  #plainRunCount = 0;

  constructor(
    role: RunnerRole,
    service: string,
    domain: string,
    version: string,
    context: RunnerContext,
  ) {
    this.#role = role;
    this.service = service;
    this.domain = domain;
    this.version = version;
    this.#context = context;
    this.#observer = context.observer;
    this.#random = context.random;
  }

  get role(): RunnerRole {
    return this.#role;
  }

  /** Id of the current instance. */
  get instanceId(): string {
    return `${this.runnerId}@${this.#startedAt}`;
  }

  /** Time since the start of the current instance, in milliseconds; 0 if it is not up. */
  get upForMs(): number {
    return this.isUp ? Date.now() - this.#startedAt : 0;
  }

  /** Whether it listens. */
  get isUp(): boolean {
    return this.#server !== undefined;
  }

  /** Its entry for the store. */
  entry(address: string): unknown {
    return {
      service: this.service,
      address,
      zone: this.domain,
      version: this.version,
      slots: this.#role === 'plain' ? runnerProfile.plainSlots : runnerProfile.slots,
      state: this.isDraining ? 'draining' : 'ready',
      'cold-remaining-ms': 0,
      sequence: this.#sequence,
      born: this.#startedAt,
      ...(this.#role === 'plain' ? {} : { stage: this.#role }),
    };
  }

  /** Starts a new instance, without the state of the previous one. */
  async start(host: string, port: number): Promise<void> {
    this.#startedAt = Date.now();
    this.#sequence = 0;
    this.#fence = 0;
    this.#isSwitchingRole = false;
    this.#memory.clear();
    this.#plainRunCount = 0;
    this.ratePerS = undefined;
    this.isLeaving = false;
    this.pauseMs = undefined;
    const { server } = await listen((req, res, url) => this.#handle(req, res, url), port, host);
    this.#server = server;
    this.#context.onUpChange(this);
  }

  /** Removes a KV cache for its transfer to another runner; returns whether it existed and had not expired. */
  takeCache(handle: string): boolean {
    return this.#memory.take(handle);
  }

  /** Stops at once: every connection is reset. */
  async crash(): Promise<void> {
    const server = this.#server;
    this.#server = undefined;
    for (const arrival of this.#running) this.#observer.ended(arrival, true);
    this.#running.clear();
    if (server) {
      const closing = closeServer(server);
      this.#context.onUpChange(this);
      await closing;
    }
  }

  get #slowdown(): number {
    return this.behaviour.slowdown * this.momentarySlowdown;
  }

  /** Value of the header `Server-Load`: running, waiting, slots and, if reported, the slowness in percent. */
  #load(): string {
    if (this.#role !== 'plain') return `${this.#memory.running.size},0,${runnerProfile.slots}`;
    const { plainSlots } = runnerProfile;
    const running = Math.min(this.#plainRunCount, plainSlots);
    const counts = `${running},${this.#plainRunCount - running},${plainSlots}`;
    return this.#context.reportsSlowness ? `${counts},${this.#slowdown * 100}` : counts;
  }

  async #handle(req: IncomingMessage, res: ServerResponse, url: URL): Promise<void> {
    const { pathname } = url;
    if (this.isLeaving) res.setHeader('server-leaving', '1');
    if (pathname === '/health') res.writeHead(200, { 'server-load': this.#load() }).end();
    else if (pathname === '/v1/report') this.#sendReport(res);
    else if (pathname === '/v1/order') this.#handleOrder(res, JSON.parse(await readBody(req)));
    else if (pathname.startsWith('/v1/kv-handle/')) {
      this.#memory.take(pathname.split('/').at(-1) ?? '');
      sendJson(res, 200, {});
    } else await this.#serve(req, res, url);
  }

  #sendReport(res: ServerResponse): void {
    sendJson(res, 200, {
      stage: this.#role,
      models: [],
      busy: this.#isSwitchingRole,
      sequence: this.#sequence,
      queued: 0,
      running: this.#memory.running.size,
      'kv-used': this.#memory.usedTokens,
      'kv-total': runnerProfile.memoryTokens,
      'kv-handles': this.#memory.cacheCount,
      born: this.#startedAt,
      runs: [...this.#memory.running].map(([id, tokens]) => [id, tokens, 0, 5]),
    });
  }

  #handleOrder(res: ServerResponse, body: Readonly<Record<string, unknown>>): void {
    const { holder, expected, stage } = body;
    const fence = Number(body['fencing-token']);
    this.#observer.ordered({ instanceId: this.instanceId, holder: String(holder), fence });
    if (fence < this.#fence) sendJson(res, 412, {});
    else if (this.#isSwitchingRole || expected !== this.#sequence) sendJson(res, 409, {});
    else if (stage === this.#role) sendJson(res, 200, {});
    else {
      this.#fence = fence;
      this.#sequence += 1;
      this.#isSwitchingRole = true;
      sendJson(res, 202, {});
      const startedAt = this.#startedAt;
      setTimeout(() => {
        if (this.#startedAt !== startedAt) return;
        this.#role = stage as RunnerRole;
        this.#isSwitchingRole = false;
        this.#context.onEntryChange(this);
      }, runnerProfile.roleSwitchMs).unref();
    }
  }

  async #serve(req: IncomingMessage, res: ServerResponse, { pathname }: URL): Promise<void> {
    const body = await readBody(req);
    const { headers } = req;
    const id = String(headers['request-id'] ?? '');
    const isPrefill = headers['serving-stage'] === 'prefill';
    const priority = headers['request-priority'];
    const arrival: Arrival = {
      requestId: id,
      instanceId: this.instanceId,
      role: isPrefill ? 'prefill' : this.#role,
      service: this.service,
      digest: digestOf(pathname, body),
      customer: headers['tenant-id']?.toString(),
      hasKey: headers.authorization !== undefined,
      priority: priority === undefined ? undefined : Number(priority),
    };
    this.#observer.received(arrival);
    const answer = this.#replyTo(res, id);
    const wrongStage = isPrefill !== (this.#role === 'prefill');
    if (headers['expected-instance'] !== this.runnerId || wrongStage) {
      answer.reject(421);
      return;
    }
    this.#observer.arrived(arrival);
    const { instanceId, isLeaving, pauseMs } = this;
    if (isLeaving || pauseMs !== undefined) {
      const announcement = { requestId: id, instanceId, isLeaving, pauseMs };
      res.once('finish', () => this.#observer.announced(announcement));
    }
    if (pauseMs !== undefined) {
      answer.reject(503, pauseMs);
      return;
    }
    if (this.#random() < this.behaviour.shedRatio || this.#isSwitchingRole) {
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
      const isPrefilled = source !== undefined;
      if (isPrefilled && !this.#context.takeCache(source)) answer.reject(503);
      else {
        const job = { tokens, events: eventCountOf(body), after, isPrefilled };
        await this.#decode(arrival, answer, job, deadline.signal);
      }
    }
    clearTimeout(timer);
  }

  #replyTo(res: ServerResponse, id: string): Reply {
    const { runnerId, ratePerS, instanceId, behaviour } = this;
    const fate = drawFate(this.#random, behaviour, this.#context.unsizedRatio);
    const stop = (): void => {
      if (this.instanceId === instanceId) this.crash().catch(() => undefined);
    };
    return new Reply(res, id, { runnerId, ratePerS, fate, load: () => this.#load(), stop });
  }

  async #prefill(arrival: Arrival, answer: Reply, tokens: number): Promise<void> {
    if (this.#memory.usedTokens + tokens > runnerProfile.memoryTokens) {
      answer.reject(503);
      return;
    }
    this.#reportBegin(arrival);
    const handle = randomUUID().slice(0, 12);
    this.#memory.keep(handle, tokens, Infinity);
    await pause(tokens * runnerProfile.prefillTokenMs * this.#slowdown);
    this.#memory.keep(handle, tokens, Date.now() + runnerProfile.cacheHoldMs);
    this.#reportEnd(arrival);
    if (this.#random() < this.behaviour.failRatio) answer.fail();
    else {
      this.#observer.prefilled(arrival);
      answer.json({ 'kv-handle': handle, tokens, version: 1 });
    }
  }

  async #plain(arrival: Arrival, answer: Reply, signal: AbortSignal): Promise<void> {
    if (this.#plainRunCount >= runnerProfile.plainSlots + runnerProfile.plainQueueSlots) {
      answer.reject(503);
      return;
    }
    this.#plainRunCount += 1;
    this.#reportBegin(arrival);
    const factor = Math.max(1, this.#plainRunCount / runnerProfile.plainSlots);
    await this.#work(runnerProfile.plainMs * factor, signal);
    this.#plainRunCount -= 1;
    this.#reportEnd(arrival);
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
      readonly isPrefilled: boolean;
    },
    signal: AbortSignal,
  ): Promise<void> {
    const neededTokens = job.tokens + job.events * runnerProfile.eventTokens;
    if (
      this.#memory.usedTokens + neededTokens > runnerProfile.memoryTokens ||
      this.#memory.running.size >= runnerProfile.slots
    ) {
      answer.reject(503);
      return;
    }
    this.#reportBegin(arrival);
    this.#memory.running.set(arrival.requestId, neededTokens);
    if (!job.isPrefilled) await this.#work(job.tokens * runnerProfile.prefillTokenMs * 2, signal);
    if (this.#random() < this.behaviour.failRatio) answer.fail();
    else await this.#stream(arrival, answer, job.after, job.events, signal);
    this.#memory.running.delete(arrival.requestId);
    this.#reportEnd(arrival);
  }

  async #stream(
    { digest }: Arrival,
    answer: Reply,
    after: number,
    events: number,
    signal: AbortSignal,
  ): Promise<void> {
    const isReset = this.#random() < this.behaviour.cutRatio;
    const cutsAt = answer.breaksAt(after, events, isReset, this.#random);
    for (let event = after + 1; event <= events && !signal.aborted; event += 1) {
      await this.#work(runnerProfile.eventMs, signal);
      if (event >= cutsAt) {
        const text = eventOf(event, digest, this.version);
        answer.cut(text.slice(0, 1 + this.#random() * text.length));
        return;
      }
      answer.event(eventOf(event, digest, this.version));
    }
    if (signal.aborted) answer.cut();
    else answer.end();
  }

  #reportBegin(arrival: Arrival): void {
    this.#running.add(arrival);
    this.#observer.began(arrival);
  }

  #reportEnd(arrival: Arrival): void {
    if (this.#running.delete(arrival)) this.#observer.ended(arrival, false);
  }

  /** Waits for the duration of some work, or for a minute if it hangs; ends early when the request is aborted. */
  async #work(ms: number, signal: AbortSignal): Promise<void> {
    const isHanging = this.#random() < this.behaviour.hangRatio;
    const durationMs = isHanging ? 60_000 : ms * this.#slowdown;
    await pause(durationMs, undefined, { signal, ref: false }).catch(() => undefined);
  }
}
