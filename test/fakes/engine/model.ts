/**
 * Stand-in for a model engine, without sockets or a clock: continuous batching,
 * a prefix cache in limited memory, prefill results that are evicted soon, and
 * KV transfers that share a link. Driven by virtual or real time alike.
 */

import { Link } from './link';

/** Figures of an engine. Times in milliseconds, sizes in tokens. */
export interface EngineFigures {
  readonly slots: number;
  readonly memoryTokens: number;
  readonly prefillBaseMs: number;
  readonly prefillTokenMs: number;
  readonly decodeBaseMs: number;
  readonly decodeSlotMs: number;
  /** How long a finished prefill is kept for a transfer. */
  readonly keepMs: number;
  readonly linkTokensPerMs: number;
  readonly cacheBlocks: number;
  readonly blockTokens: number;
}

/** Figures of a usual engine: about twenty slots, a prefill worth some ten output tokens and more. */
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

/** A prompt to be worked through. */
export interface PrefillJob {
  readonly id: string;
  readonly promptTokens: number;
  readonly blocks: readonly number[];
  /** Smaller goes first. */
  readonly priority: number;
}

/** Tokens to be put out from a KV cache at hand. */
export interface DecodeJob {
  readonly id: string;
  readonly promptTokens: number;
  readonly outputTokens: number;
}

/** What the engine tells. */
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
  done: number;
}

interface Kept {
  readonly tokens: number;
  keptUntil: number;
}

/** One engine in either role. */
export class EngineModel {
  readonly figures: EngineFigures;

  readonly #queue: PrefillJob[] = [];

  readonly #kept = new Map<string, Kept>();

  readonly #cache = new Set<number>();

  readonly #running = new Map<string, Running>();

  readonly #link: Link;

  /** Blocks that came into and left the cache since the last look. */
  readonly #added: number[] = [];

  readonly #removed: number[] = [];

  #prefilling: { job: PrefillJob; doneAt: number; cachedTokens: number } | undefined;

  #stepAt = Infinity;

  #memory = 0;

  constructor(figures: EngineFigures = defaultFigures) {
    this.figures = figures;
    this.#link = new Link(figures.linkTokensPerMs);
  }

  /** Requests that hold memory or wait for it. */
  get held(): readonly string[] {
    const prefilling = this.#prefilling ? [this.#prefilling.job.id] : [];
    const queued = this.#queue.map(({ id }) => id);
    return [...prefilling, ...queued, ...this.#kept.keys(), ...this.#running.keys()];
  }

  get batch(): number {
    return this.#running.size;
  }

  get prefills(): number {
    return this.#queue.length + (this.#prefilling ? 1 : 0);
  }

  get cached(): Iterable<number> {
    return this.#cache;
  }

  takeCacheChanges(): { readonly added: readonly number[]; readonly removed: readonly number[] } {
    return { added: this.#added.splice(0), removed: this.#removed.splice(0) };
  }

  prefill(now: number, job: PrefillJob): void {
    const before = this.#queue.findIndex(({ priority }) => priority > job.priority);
    if (before < 0) this.#queue.push(job);
    else this.#queue.splice(before, 0, job);
    this.#startPrefill(now);
  }

  /** Starts to send a kept prefill over the link; false if it is not kept any more. */
  send(now: number, id: string): boolean {
    const kept = this.#kept.get(id);
    if (!kept) return false;
    kept.keptUntil = Infinity;
    this.#link.start(now, id, kept.tokens);
    return true;
  }

  /** Reserves a slot; false if the engine is full. */
  reserve(job: DecodeJob): boolean {
    const tokens = job.promptTokens + job.outputTokens;
    const full =
      this.#running.size >= this.figures.slots || this.#memory + tokens > this.figures.memoryTokens;
    if (full) return false;
    this.#memory += tokens;
    this.#running.set(job.id, { job, done: -1 });
    return true;
  }

  /** Begins to put out tokens in a reserved slot, once the KV cache has come. */
  decode(now: number, id: string): void {
    const running = this.#running.get(id);
    if (!running) return;
    running.done = 0;
    if (this.#stepAt === Infinity) this.#stepAt = now + this.#stepMs();
  }

  /** Frees all that a request holds here. */
  cancel(now: number, id: string): boolean {
    const known = this.held.includes(id);
    this.#kept.delete(id);
    this.#link.stop(now, id);
    const index = this.#queue.findIndex((job) => job.id === id);
    if (index >= 0) this.#queue.splice(index, 1);
    if (this.#prefilling?.job.id === id) {
      this.#prefilling = undefined;
      this.#startPrefill(now);
    }
    this.#release(id);
    return known;
  }

  /** Time of the next event. */
  next(): number {
    let next = Math.min(this.#prefilling?.doneAt ?? Infinity, this.#stepAt, this.#link.next());
    for (const { keptUntil } of this.#kept.values()) next = Math.min(next, keptUntil);
    return next;
  }

  /** Brings the engine to `now` and tells what happened until then, in order. */
  advance(now: number): readonly EngineEvent[] {
    const events: EngineEvent[] = [];
    for (let at = this.next(); at <= now; at = this.next()) this.#step(at, events);
    return events;
  }

  #step(at: number, events: EngineEvent[]): void {
    if (this.#prefilling && this.#prefilling.doneAt <= at) this.#endPrefill(at, events);
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

  #startPrefill(now: number): void {
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

  #endPrefill(at: number, events: EngineEvent[]): void {
    if (!this.#prefilling) return;
    const { job, cachedTokens } = this.#prefilling;
    const keptUntil = at + this.figures.keepMs;
    this.#prefilling = undefined;
    this.#kept.set(job.id, { tokens: job.promptTokens, keptUntil });
    this.#remember(job.blocks);
    events.push({ kind: 'prefilled', id: job.id, at, cachedTokens, keptUntil });
    this.#startPrefill(at);
  }

  #remember(blocks: readonly number[]): void {
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
    this.#memory -= running.job.promptTokens + running.job.outputTokens;
    this.#running.delete(id);
  }
}
