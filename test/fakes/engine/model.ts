/**
 * Model of an inference engine, without sockets or a clock: continuous batching, a
 * prefix cache of limited size, prefill results that are evicted after a short time,
 * and KV transfers that share a link. The caller passes the time, virtual or real.
 */

import { Link } from './link';

/** Parameters of an engine. Times in milliseconds, sizes in tokens. */
export interface EngineFigures {
  /** Most requests that decode at once. */
  readonly slots: number;
  /** KV memory for decoding requests. */
  readonly memoryTokens: number;
  /** Fixed time of a prefill. */
  readonly prefillBaseMs: number;
  /** Additional time for each prompt token that is not cached. */
  readonly prefillTokenMs: number;
  /** Fixed time of a decode step. */
  readonly decodeBaseMs: number;
  /** Additional time of a decode step for each decoding request. */
  readonly decodeSlotMs: number;
  /** Time for which a finished prefill is kept for a transfer. */
  readonly keepMs: number;
  /** Rate of KV transfers. */
  readonly linkTokensPerMs: number;
  /** Capacity of the prefix cache, in blocks. */
  readonly cacheBlocks: number;
  readonly blockTokens: number;
}

/** Parameters of a typical engine: 20 slots, and a prefill takes as long as ten or more output tokens. */
export const defaultFigures: EngineFigures = {
  slots: 20,
  memoryTokens: 200_000,
  prefillBaseMs: 20,
  prefillTokenMs: 0.1,
  decodeBaseMs: 12,
  decodeSlotMs: 1,
  keepMs: 800,
  linkTokensPerMs: 50,
  cacheBlocks: 400,
  blockTokens: 256,
};

/** A prompt to prefill. */
export interface PrefillJob {
  readonly id: string;
  readonly promptTokens: number;
  /** Hashes of the prompt's blocks, for the prefix cache. */
  readonly blocks: readonly number[];
  /** Smaller values are scheduled first. */
  readonly priority: number;
}

/** Output tokens to decode from the KV cache of a prompt. */
export interface DecodeJob {
  readonly id: string;
  readonly promptTokens: number;
  readonly outputTokens: number;
}

/** Progress of a request; `at` is the time of the event. */
export type EngineEvent =
  | {
      readonly kind: 'prefilled';
      readonly id: string;
      readonly at: number;
      readonly cachedTokens: number;
      readonly keptUntil: number;
    }
  | { readonly kind: 'evicted'; readonly id: string; readonly at: number }
  | { readonly kind: 'sent'; readonly id: string; readonly at: number }
  | { readonly kind: 'token'; readonly id: string; readonly at: number; readonly index: number }
  | {
      readonly kind: 'finished';
      readonly id: string;
      readonly at: number;
      readonly tokens: number;
    };

interface Running {
  readonly job: DecodeJob;
  /** Tokens decoded; -1 before decoding starts. */
  done: number;
}

interface Kept {
  readonly tokens: number;
  keptUntil: number;
}

/** One engine, for prefill or decode. */
export class EngineModel {
  readonly figures: EngineFigures;

  readonly #queue: PrefillJob[] = [];

  readonly #kept = new Map<string, Kept>();

  readonly #cache = new Set<number>();

  readonly #running = new Map<string, Running>();

  readonly #link: Link;

  /** Blocks added to and removed from the cache since the last `takeCacheChanges`. */
  readonly #added: number[] = [];

  readonly #removed: number[] = [];

  #prefilling: { job: PrefillJob; doneAt: number; cachedTokens: number } | undefined;

  #stepAt = Infinity;

  #usedTokens = 0;

  constructor(figures: EngineFigures = defaultFigures) {
    this.figures = figures;
    this.#link = new Link(figures.linkTokensPerMs);
  }

  /** Ids of requests that are queued or hold memory. */
  get held(): readonly string[] {
    const prefilling = this.#prefilling ? [this.#prefilling.job.id] : [];
    const queued = this.#queue.map(({ id }) => id);
    return [...prefilling, ...queued, ...this.#kept.keys(), ...this.#running.keys()];
  }

  /** Number of slots in use. */
  get batch(): number {
    return this.#running.size;
  }

  /** Number of prefills queued or in progress. */
  get prefills(): number {
    return this.#queue.length + (this.#prefilling ? 1 : 0);
  }

  /** Blocks in the prefix cache, least recently used first. */
  get cached(): Iterable<number> {
    return this.#cache;
  }

  /** Returns and clears the changes of the prefix cache since the previous call. */
  takeCacheChanges(): { readonly added: readonly number[]; readonly removed: readonly number[] } {
    return { added: this.#added.splice(0), removed: this.#removed.splice(0) };
  }

  /** Queues a prefill by priority. */
  prefill(now: number, job: PrefillJob): void {
    const index = this.#queue.findIndex(({ priority }) => priority > job.priority);
    if (index < 0) this.#queue.push(job);
    else this.#queue.splice(index, 0, job);
    this.#startNextPrefill(now);
  }

  /** Starts the transfer of a finished prefill; false if it was evicted. */
  send(now: number, id: string): boolean {
    const kept = this.#kept.get(id);
    if (!kept) return false;
    kept.keptUntil = Infinity;
    this.#link.start(now, id, kept.tokens);
    return true;
  }

  /** Reserves a slot and memory; false if the engine lacks either. */
  reserve(job: DecodeJob): boolean {
    const tokens = job.promptTokens + job.outputTokens;
    const full =
      this.#running.size >= this.figures.slots ||
      this.#usedTokens + tokens > this.figures.memoryTokens;
    if (full) return false;
    this.#usedTokens += tokens;
    this.#running.set(job.id, { job, done: -1 });
    return true;
  }

  /** Starts decoding in a reserved slot, once the KV cache was received. */
  decode(now: number, id: string): void {
    const running = this.#running.get(id);
    if (!running) return;
    running.done = 0;
    if (this.#stepAt === Infinity) this.#stepAt = now + this.#stepMs();
  }

  /** Cancels a request and frees its memory; false if it is unknown. */
  cancel(now: number, id: string): boolean {
    const known = this.held.includes(id);
    this.#kept.delete(id);
    this.#link.stop(now, id);
    const index = this.#queue.findIndex((job) => job.id === id);
    if (index >= 0) this.#queue.splice(index, 1);
    if (this.#prefilling?.job.id === id) {
      this.#prefilling = undefined;
      this.#startNextPrefill(now);
    }
    this.#release(id);
    return known;
  }

  /** Time of the next event; `Infinity` when idle. */
  next(): number {
    let next = Math.min(this.#prefilling?.doneAt ?? Infinity, this.#stepAt, this.#link.next());
    for (const { keptUntil } of this.#kept.values()) next = Math.min(next, keptUntil);
    return next;
  }

  /** Advances the engine to `now` and returns the events until then, in order. */
  advance(now: number): readonly EngineEvent[] {
    const events: EngineEvent[] = [];
    for (let at = this.next(); at <= now; at = this.next()) this.#step(at, events);
    return events;
  }

  #step(at: number, events: EngineEvent[]): void {
    if (this.#prefilling && this.#prefilling.doneAt <= at) this.#finishPrefill(at, events);
    for (const id of this.#link.finish(at)) {
      this.#kept.delete(id);
      events.push({ kind: 'sent', id, at });
    }
    for (const [id, { keptUntil }] of this.#kept) {
      if (keptUntil <= at) {
        this.#kept.delete(id);
        events.push({ kind: 'evicted', id, at });
      }
    }
    if (this.#stepAt <= at) this.#decodeStep(at, events);
  }

  #startNextPrefill(now: number): void {
    if (this.#prefilling) return;
    const job = this.#queue.shift();
    if (!job) return;
    const miss = job.blocks.findIndex((block) => !this.#cache.has(block));
    const hits = miss < 0 ? job.blocks.length : miss;
    const cachedTokens = Math.min(job.promptTokens, hits * this.figures.blockTokens);
    const { prefillBaseMs, prefillTokenMs } = this.figures;
    const ms = prefillBaseMs + prefillTokenMs * (job.promptTokens - cachedTokens);
    this.#prefilling = { job, doneAt: now + ms, cachedTokens };
  }

  #finishPrefill(at: number, events: EngineEvent[]): void {
    if (!this.#prefilling) return;
    const { job, cachedTokens } = this.#prefilling;
    const keptUntil = at + this.figures.keepMs;
    this.#prefilling = undefined;
    this.#kept.set(job.id, { tokens: job.promptTokens, keptUntil });
    this.#addToCache(job.blocks);
    events.push({ kind: 'prefilled', id: job.id, at, cachedTokens, keptUntil });
    this.#startNextPrefill(at);
  }

  #addToCache(blocks: readonly number[]): void {
    for (const block of blocks) {
      if (!this.#cache.delete(block)) this.#added.push(block);
      this.#cache.add(block);
    }
    for (const oldest of this.#cache) {
      if (this.#cache.size <= this.figures.cacheBlocks) break;
      this.#cache.delete(oldest);
      this.#removed.push(oldest);
    }
  }

  #active(): readonly Running[] {
    return [...this.#running.values()].filter(({ done }) => done >= 0);
  }

  #stepMs(): number {
    return this.figures.decodeBaseMs + this.figures.decodeSlotMs * this.#active().length;
  }

  #decodeStep(at: number, events: EngineEvent[]): void {
    for (const running of this.#active()) {
      running.done += 1;
      const { id, outputTokens } = running.job;
      events.push({ kind: 'token', id, at, index: running.done - 1 });
      if (running.done >= outputTokens) {
        events.push({ kind: 'finished', id, at, tokens: running.done });
        this.#release(id);
      }
    }
    this.#stepAt = this.#active().length > 0 ? at + this.#stepMs() : Infinity;
  }

  #release(id: string): void {
    const running = this.#running.get(id);
    if (!running) return;
    this.#usedTokens -= running.job.promptTokens + running.job.outputTokens;
    this.#running.delete(id);
  }
}
