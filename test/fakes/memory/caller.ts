/** One caller in the simulation: its request, its attempts and its outcome. */

import type { MemoryJob } from './load';

/** Target for the time to the first event; a later response is not in time. */
export const TARGET_MS = 900;
/** Longest gap between events of a response that is in time. */
export const MAX_GAP_MS = 300;
/** Fraction of its value that a late response earns. */
const LATE_FRACTION = 0.2;

/** State of a caller: `away` between a refusal and the next attempt, `left` after it disconnected. */
export type CallerState = 'waiting' | 'away' | 'done' | 'refused' | 'left';

/** A caller and the state of its request. Times in milliseconds. */
export class MemoryCaller {
  /** The request; without the part of the answer that was received if its run was lost. */
  job: MemoryJob;

  #state: CallerState = 'waiting';

  #attempts = 0;

  #attemptedAt = 0;

  #waitedMs = 0;

  #firstEventAt: number | undefined;

  #lastEventAt = 0;

  #exceededGap = false;

  #decode: string | undefined;

  #prefilled = false;

  #runs = 0;

  #hasRunEvents = false;

  constructor(job: MemoryJob) {
    this.job = job;
  }

  /** Current state. */
  get state(): CallerState {
    return this.#state;
  }

  /** Attempts so far. */
  get attempts(): number {
    return this.#attempts;
  }

  /** Time spent waiting in attempts that were refused. */
  get waitedMs(): number {
    return this.#waitedMs;
  }

  /** Whether an event was received. */
  get hasEvents(): boolean {
    return this.#firstEventAt !== undefined;
  }

  /** Decode runner to which the request was sent last; undefined before that. */
  get decode(): string | undefined {
    return this.#decode;
  }

  /** Whether the current attempt has started its prefill. */
  get prefilled(): boolean {
    return this.#prefilled;
  }

  /** Runs at runners so far: prefills, and decodes that prefill the prompt themselves. */
  get runs(): number {
    return this.#runs;
  }

  /** Records the start of a run. */
  startRun(): void {
    this.#runs += 1;
  }

  /** Records that the runners of the current run are gone, after some tokens of output. */
  loseRun(produced: number): void {
    this.job = {
      ...this.job,
      promptTokens: this.job.promptTokens + produced,
      outputTokens: this.job.outputTokens - produced,
    };
    this.#prefilled = false;
    this.#decode = undefined;
    this.#hasRunEvents = false;
  }

  /** Records the start of a prefill. */
  startPrefill(): void {
    this.#prefilled = true;
  }

  /** Records the decode runner. */
  assignDecode(runner: string): void {
    this.#decode = runner;
  }

  /** Starts an attempt. */
  startAttempt(now: number): void {
    this.#attempts += 1;
    this.#attemptedAt = now;
    this.#state = 'waiting';
  }

  /** Records a refusal, which is final once `maxAttempts` are used up. */
  refuse(now: number, maxAttempts: number): void {
    this.#waitedMs += now - this.#attemptedAt;
    this.#prefilled = false;
    this.#state = this.#attempts < maxAttempts ? 'away' : 'refused';
  }

  /** Records that the caller disconnected. */
  disconnect(): void {
    this.#state = 'left';
  }

  /** Records an event of the stream; true if it is the first of its run. */
  takeEvent(now: number): boolean {
    const first = this.#firstEventAt === undefined;
    this.#firstEventAt ??= now;
    if (!first && now - this.#lastEventAt > MAX_GAP_MS) this.#exceededGap = true;
    this.#lastEventAt = now;
    const isFirstOfRun = !this.#hasRunEvents;
    this.#hasRunEvents = true;
    return isFirstOfRun;
  }

  /** Records the end of the stream. */
  finish(): void {
    this.#state = 'done';
  }

  /** Whether the response is complete and met the target for the first event and for gaps. */
  get inTime(): boolean {
    const firstMs = (this.#firstEventAt ?? Infinity) - this.job.at;
    return this.#state === 'done' && !this.#exceededGap && firstMs <= TARGET_MS;
  }

  /** Value earned by the response. */
  get earned(): number {
    if (this.#state !== 'done') return 0;
    return this.job.worth * (this.inTime ? 1 : LATE_FRACTION);
  }
}
