/**
 * Stand-ins for engines whose memory binds long before their slots: a prefill
 * runner reads one prompt after the other; a decode runner makes a token for
 * each of its requests in a step, reads prompts in pieces between, and pushes
 * its newest request out when outputs outgrow the memory.
 */

import type { Schedule } from '../virtual/schedule';

/** How often a request that was pushed out is tried again, in milliseconds. */
const RETAKE_MS = 50;

/** Figures of an engine. Times in milliseconds, sizes in tokens. */
export interface MemoryFigures {
  readonly memoryTokens: number;
  readonly stepMs: number;
  readonly stepSlotMs: number;
  readonly prefillTokensPerMs: number;
  readonly prefillBaseMs: number;
  /** Tokens of a prompt that a decode runner reads in one step. */
  readonly chunkTokens: number;
  readonly eventTokens: number;
}

/** An engine of the size at which memory for eleven requests stands beside 64 slots. */
export const smallMemoryFigures: MemoryFigures = {
  memoryTokens: 65_000,
  stepMs: 5.6,
  stepSlotMs: 0.121,
  prefillTokensPerMs: 55.6,
  prefillBaseMs: 60,
  chunkTokens: 512,
  eventTokens: 7,
};

/** An engine whose tokens take a seventh of that, with as long answers in events of many tokens. */
export const fastFigures: MemoryFigures = {
  memoryTokens: 90_000,
  stepMs: 0.7,
  stepSlotMs: 0.03,
  prefillTokensPerMs: 55.6,
  prefillBaseMs: 5,
  chunkTokens: 512,
  eventTokens: 59,
};

/** An engine of slow tokens and slow reading, with short answers. */
export const slowFigures: MemoryFigures = {
  memoryTokens: 65_000,
  stepMs: 20,
  stepSlotMs: 0.4,
  prefillTokensPerMs: 10,
  prefillBaseMs: 60,
  chunkTokens: 128,
  eventTokens: 2,
};

/** An engine that reads in no time and whose answers are short. */
export const fastPrefillFigures: MemoryFigures = {
  ...smallMemoryFigures,
  prefillTokensPerMs: 200,
  prefillBaseMs: 20,
};

/** A request at an engine. */
export interface EngineJob {
  readonly id: string;
  readonly promptTokens: number;
  readonly outputTokens: number;
}

/** What an engine tells about a request. */
export interface EngineListener {
  readonly onEvent: (now: number, id: string) => void;
  readonly onEnd: (now: number, id: string) => void;
}

/** A prefill runner. */
export class PrefillEngine {
  readonly #figures: MemoryFigures;

  #busyUntil = 0;

  constructor(figures: MemoryFigures) {
    this.#figures = figures;
  }

  /** When a prompt given now will have been read. */
  prefill(now: number, tokens: number): number {
    this.#busyUntil = Math.max(now, this.#busyUntil) + tokens / this.#figures.prefillTokensPerMs;
    return this.#busyUntil + this.#figures.prefillBaseMs;
  }
}

interface Running {
  readonly job: EngineJob;
  made: number;
  /** Prompt tokens that are still to be read here. */
  unread: number;
}

/** A decode runner. */
export class DecodeEngine {
  readonly #figures: MemoryFigures;

  readonly #schedule: Schedule;

  readonly #listener: EngineListener;

  readonly #running = new Map<string, Running>();

  #stepping = false;

  /** Prompt tokens read a second time after a request was pushed out. */
  recomputedTokens = 0;

  constructor(figures: MemoryFigures, schedule: Schedule, listener: EngineListener) {
    this.#figures = figures;
    this.#schedule = schedule;
    this.#listener = listener;
  }

  get usedTokens(): number {
    let used = 0;
    for (const { job, made } of this.#running.values()) used += job.promptTokens + made;
    return used;
  }

  /** Takes a request, or turns it away for want of memory. `read` is what it already has of the prompt. */
  admit(now: number, job: EngineJob, read: number): boolean {
    if (this.usedTokens + job.promptTokens > this.#figures.memoryTokens) return false;
    this.#running.set(job.id, { job, made: 0, unread: job.promptTokens - read });
    if (!this.#stepping) this.#step(now);
    return true;
  }

  cancel(id: string): void {
    this.#running.delete(id);
  }

  #step(now: number): void {
    this.#stepping = this.#running.size > 0;
    if (!this.#stepping) return;
    const { stepMs, stepSlotMs, chunkTokens, prefillTokensPerMs } = this.#figures;
    const reader = [...this.#running.values()].find(({ unread }) => unread > 0);
    const chunk = Math.min(chunkTokens, reader?.unread ?? 0);
    // A decode runner reads at half the speed of a prefill runner.
    const readMs = (2 * chunk) / prefillTokensPerMs;
    const end = now + stepMs + stepSlotMs * this.#running.size + readMs;
    this.#schedule.add(end, () => {
      if (reader) reader.unread -= chunk;
      this.#makeTokens(end);
      this.#pushOut();
      this.#step(end);
    });
  }

  #makeTokens(now: number): void {
    const { eventTokens } = this.#figures;
    for (const entry of [...this.#running.values()]) {
      const { job, unread } = entry;
      if (unread <= 0 && this.#running.has(job.id)) {
        entry.made += 1;
        const ended = entry.made >= job.outputTokens;
        if (ended) this.#running.delete(job.id);
        if (ended || entry.made % eventTokens === 0) this.#listener.onEvent(now, job.id);
        if (ended) this.#listener.onEnd(now, job.id);
      }
    }
  }

  #pushOut(): void {
    while (this.usedTokens > this.#figures.memoryTokens) {
      const newest = [...this.#running.values()].filter(({ unread }) => unread <= 0).at(-1);
      if (!newest) return;
      const { job, made } = newest;
      this.recomputedTokens += job.promptTokens + made;
      // It is read again from the start once there is room; until then it holds nothing.
      this.#running.delete(job.id);
      const again = { ...job, outputTokens: Math.max(1, job.outputTokens - made) };
      this.#retake(again);
    }
  }

  #retake(job: EngineJob): void {
    const at = this.#schedule.now + RETAKE_MS;
    this.#schedule.add(at, () => {
      if (!this.admit(at, job, 0)) this.#retake(job);
    });
  }
}
