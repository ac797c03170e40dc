/** One caller of a bench run: what it asked, how often it came, what it got. */

import type { MemoryJob } from './load';

/** Time to the first event within which an answer is in time, and longest pause after it, in milliseconds. */
export const TARGET_MS = 900;
export const MAX_GAP_MS = 300;
/** What a late answer is worth, as a part. */
const LATE_WORTH = 0.2;

/** How a caller stands: `away` after a refusal, before it comes back. */
export type CallerState = 'waiting' | 'away' | 'done' | 'refused' | 'left';

/** A caller. */
export class MemoryCaller {
  readonly job: MemoryJob;

  #state: CallerState = 'waiting';

  #tries = 0;

  #triedAt = 0;

  #heldMs = 0;

  #firstEventAt: number | undefined;

  #lastEventAt = 0;

  #paused = false;

  #decode: string | undefined;

  #prefilled = false;

  constructor(job: MemoryJob) {
    this.job = job;
  }

  get state(): CallerState {
    return this.#state;
  }

  get attempts(): number {
    return this.#tries;
  }

  /** Time spent waiting in tries that were refused, in milliseconds. */
  get waitedMs(): number {
    return this.#heldMs;
  }

  get hasEvents(): boolean {
    return this.#firstEventAt !== undefined;
  }

  /** Decode runner that it was sent to last. */
  get decode(): string | undefined {
    return this.#decode;
  }

  /** Whether its prompt was read, and not lost since. */
  get prefilled(): boolean {
    return this.#prefilled;
  }

  startPrefill(): void {
    this.#prefilled = true;
  }

  assignDecode(runner: string): void {
    this.#decode = runner;
  }

  startAttempt(now: number): void {
    this.#tries += 1;
    this.#triedAt = now;
    this.#state = 'waiting';
  }

  /** Takes a refusal; with no try left it is the end. */
  refuse(now: number, mostTries: number): void {
    this.#heldMs += now - this.#triedAt;
    this.#prefilled = false;
    this.#state = this.#tries < mostTries ? 'away' : 'refused';
  }

  disconnect(): void {
    this.#state = 'left';
  }

  /** Takes an event of the stream; true if it is the first. */
  takeEvent(now: number): boolean {
    const first = this.#firstEventAt === undefined;
    this.#firstEventAt ??= now;
    if (!first && now - this.#lastEventAt > MAX_GAP_MS) this.#paused = true;
    this.#lastEventAt = now;
    return first;
  }

  finish(): void {
    this.#state = 'done';
  }

  get inTime(): boolean {
    const firstMs = (this.#firstEventAt ?? Infinity) - this.job.at;
    return this.#state === 'done' && !this.#paused && firstMs <= TARGET_MS;
  }

  /** Worth of what it got. */
  get earned(): number {
    if (this.#state !== 'done') return 0;
    return this.job.worth * (this.inTime ? 1 : LATE_WORTH);
  }
}
