/**
 * Stand-ins for engines whose KV memory is exhausted long before their slots. A
 * prefill runner processes prompts one after the other. A decode runner produces a
 * token for each of its requests in a step, prefills local prompts in chunks between
 * steps, and preempts its newest request when outputs exceed the memory.
 */

import type { Schedule } from '../virtual/schedule';

/** Interval at which a preempted request is retried. */
const READMIT_INTERVAL_MS = 50;

/** Parameters of an engine. Times in milliseconds, sizes in tokens. */
export interface MemoryFigures {
  /** KV memory of a decode runner. */
  readonly memoryTokens: number;
  /** Fixed time of a decode step. */
  readonly stepMs: number;
  /** Additional time of a decode step for each request. */
  readonly stepSlotMs: number;
  /** Prefill speed of a prefill runner. */
  readonly prefillTokensPerMs: number;
  /** Fixed time of a prefill. */
  readonly prefillBaseMs: number;
  /** Prompt tokens that a decode runner prefills in one step. */
  readonly chunkTokens: number;
  /** Output tokens in one event of the stream. */
  readonly eventTokens: number;
}

/** An engine whose memory holds about eleven requests, against 64 slots. */
export const smallMemoryFigures: MemoryFigures = {
  memoryTokens: 65_000,
  stepMs: 5.6,
  stepSlotMs: 0.121,
  prefillTokensPerMs: 55.6,
  prefillBaseMs: 60,
  chunkTokens: 512,
  eventTokens: 7,
};

/** An engine that takes about a seventh of the time of `smallMemoryFigures` for a token, with outputs of the same length in events of many tokens. */
export const fastFigures: MemoryFigures = {
  memoryTokens: 90_000,
  stepMs: 0.7,
  stepSlotMs: 0.03,
  prefillTokensPerMs: 55.6,
  prefillBaseMs: 5,
  chunkTokens: 512,
  eventTokens: 59,
};

/** An engine with slow decode and slow prefill, for short outputs. */
export const slowFigures: MemoryFigures = {
  memoryTokens: 65_000,
  stepMs: 20,
  stepSlotMs: 0.4,
  prefillTokensPerMs: 10,
  prefillBaseMs: 60,
  chunkTokens: 128,
  eventTokens: 2,
};

/** An engine for long prompts, whose decode runners prefill few tokens between two output tokens. */
export const longPromptFigures: MemoryFigures = {
  ...smallMemoryFigures,
  memoryTokens: 130_000,
  prefillTokensPerMs: 30,
  chunkTokens: 256,
};

/** An engine with very fast prefill, for short outputs. */
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

/** Receives the events of a stream and its end; `now` in milliseconds. */
export interface EngineListener {
  readonly onEvent: (now: number, id: string) => void;
  readonly onEnd: (now: number, id: string) => void;
}

/** Time of a runner's work at a moment relative to the usual time. */
export type Slowness = (now: number) => number;

const usualSpeed: Slowness = () => 1;

/** A prefill runner. */
export class PrefillEngine {
  readonly #figures: MemoryFigures;

  readonly #slowness: Slowness;

  #busyUntil = 0;

  constructor(figures: MemoryFigures, slowness = usualSpeed) {
    this.#figures = figures;
    this.#slowness = slowness;
  }

  /** Whether no prompt is queued or being processed. */
  isIdle(now: number): boolean {
    return this.#busyUntil <= now;
  }

  /** Queues a prompt and returns the time at which its prefill completes. */
  prefill(now: number, tokens: number): number {
    const startAt = Math.max(now, this.#busyUntil);
    const slowness = this.#slowness(startAt);
    this.#busyUntil = startAt + (slowness * tokens) / this.#figures.prefillTokensPerMs;
    return this.#busyUntil + slowness * this.#figures.prefillBaseMs;
  }
}

interface Running {
  readonly job: EngineJob;
  /** Output tokens produced. */
  produced: number;
  /** Prompt tokens that are still to be prefilled locally. */
  prefillLeft: number;
}

/** A decode runner. */
export class DecodeEngine {
  readonly #figures: MemoryFigures;

  readonly #schedule: Schedule;

  readonly #listener: EngineListener;

  readonly #slowness: Slowness;

  readonly #running = new Map<string, Running>();

  #stepping = false;

  /** Tokens that have to be prefilled again after a preemption. */
  recomputedTokens = 0;

  constructor(
    figures: MemoryFigures,
    schedule: Schedule,
    listener: EngineListener,
    slowness = usualSpeed,
  ) {
    this.#slowness = slowness;
    this.#figures = figures;
    this.#schedule = schedule;
    this.#listener = listener;
  }

  /** Memory in use. */
  get usedTokens(): number {
    let used = 0;
    for (const { job, produced } of this.#running.values()) used += job.promptTokens + produced;
    return used;
  }

  /** Running requests with their memory. */
  get runs(): readonly { readonly request: string; readonly tokens: number }[] {
    return [...this.#running.values()].map(({ job, produced }) => ({
      request: job.id,
      tokens: job.promptTokens + produced,
    }));
  }

  /** Admits a request; false if the memory does not suffice. `prefilledTokens` of its prompt need no local prefill. */
  admit(now: number, job: EngineJob, prefilledTokens: number): boolean {
    if (this.usedTokens + job.promptTokens > this.#figures.memoryTokens) return false;
    this.#running.set(job.id, {
      job,
      produced: 0,
      prefillLeft: job.promptTokens - prefilledTokens,
    });
    if (!this.#stepping) this.#step(now);
    return true;
  }

  /** Output tokens of a request so far. */
  producedOf(id: string): number {
    return this.#running.get(id)?.produced ?? 0;
  }

  /** Removes a request and frees its memory. */
  cancel(id: string): void {
    this.#running.delete(id);
  }

  #step(now: number): void {
    this.#stepping = this.#running.size > 0;
    if (!this.#stepping) return;
    const { stepMs, stepSlotMs, chunkTokens, prefillTokensPerMs } = this.#figures;
    const prefilling = [...this.#running.values()].find(({ prefillLeft }) => prefillLeft > 0);
    const chunk = Math.min(chunkTokens, prefilling?.prefillLeft ?? 0);
    // A decode runner prefills at half the speed of a prefill runner.
    const prefillMs = (2 * chunk) / prefillTokensPerMs;
    const workMs = stepMs + stepSlotMs * this.#running.size + prefillMs;
    const end = now + this.#slowness(now) * workMs;
    this.#schedule.add(end, () => {
      if (prefilling) prefilling.prefillLeft -= chunk;
      this.#produceTokens(end);
      this.#preempt();
      this.#step(end);
    });
  }

  #produceTokens(now: number): void {
    const { eventTokens } = this.#figures;
    for (const entry of [...this.#running.values()]) {
      const { job, prefillLeft } = entry;
      if (prefillLeft <= 0 && this.#running.has(job.id)) {
        entry.produced += 1;
        const ended = entry.produced >= job.outputTokens;
        if (ended) this.#running.delete(job.id);
        if (ended || entry.produced % eventTokens === 0) this.#listener.onEvent(now, job.id);
        if (ended) this.#listener.onEnd(now, job.id);
      }
    }
  }

  #preempt(): void {
    while (this.usedTokens > this.#figures.memoryTokens) {
      const newest = [...this.#running.values()]
        .filter(({ prefillLeft }) => prefillLeft <= 0)
        .at(-1);
      if (!newest) return;
      const { job, produced } = newest;
      this.recomputedTokens += job.promptTokens + produced;
      // It is prefilled again from the start once there is free memory; until then it holds none.
      this.#running.delete(job.id);
      const remainder = { ...job, outputTokens: Math.max(1, job.outputTokens - produced) };
      this.#readmit(remainder);
    }
  }

  #readmit(job: EngineJob): void {
    const at = this.#schedule.now + READMIT_INTERVAL_MS;
    this.#schedule.add(at, () => {
      if (!this.admit(at, job, 0)) this.#readmit(job);
    });
  }
}
