/** Detects that a runner has stopped in the middle of a stream without ending its connection. */

import type { Readable } from 'node:stream';
import { setImmediate as yieldOnce, setTimeout as pause } from 'node:timers/promises';

import type { Failure } from '../../core/failure';
import type { RunnerState, SilenceBounds } from '../../core/stream/silence';
import { CHECK_MS, nextStep, retryDelayMs, silenceMsOf } from '../../core/stream/silence';
import { MAX_TIMER_MS } from '../../utils/clock';

/** Delay of a timer from which on this VM counts as busy, in milliseconds: an answer may wait in its sockets. */
const BUSY_MS = 100;

/** What a watch needs of its stream. */
export interface SilenceContext {
  readonly body: Pick<Readable, 'destroy'>;
  readonly bounds: SilenceBounds;
  /** Whether another run could continue the stream. */
  readonly canResume: () => boolean;
  /** What is known of the runner. */
  readonly runnerState: () => Promise<RunnerState>;
  /**
   * Prepares another run up to its send, while this one goes on. Resolves to why none is possible
   * now; undefined if it is prepared.
   */
  readonly prepare: () => Promise<Failure | undefined>;
  /** Why what was prepared must not be sent any more; undefined if it may be. */
  readonly confirm: () => Failure | undefined;
  /** Gives back what was prepared: this run goes on. */
  readonly cancel: () => void;
  /** Called each time that no other run was possible. */
  readonly onRefused: (silentMs: number, failure: Failure) => void;
  /** Called before the run is ended for another one. */
  readonly onReplaced: (silentMs: number, state: RunnerState) => void;
}

/**
 * Watches a stream. If it has been silent for long and its runner does not answer either, another
 * run is prepared; the silent one is ended only once that is done, and goes on if events arrive
 * before. The connections of a runner that lost power never end by themselves: without this,
 * callers disconnected, or waited for the rest of their time budget.
 */
export class SilenceWatch {
  readonly #context: SilenceContext;

  readonly #silenceMs: number;

  #timer: NodeJS.Timeout | undefined;

  #heardAt = 0;

  #isHeld = false;

  #isPreparing = false;

  #isStopped = false;

  constructor(context: SilenceContext) {
    this.#context = context;
    this.#silenceMs = Math.min(MAX_TIMER_MS, silenceMsOf(context.bounds));
  }

  /** The stream is not read until `heard` is called: its events are being passed on. */
  hold(): void {
    this.#isHeld = true;
  }

  /** Events of the stream have arrived, or it is read again. */
  heard(now: number): void {
    this.#isHeld = false;
    this.#heardAt = now;
    if (this.#isPreparing) this.#context.cancel();
    if (this.#timer) this.#timer.refresh();
    else this.#schedule();
  }

  /** Ends the watch; must be called when the response has ended. What is being prepared is not given back. */
  stop(): void {
    this.#isStopped = true;
    clearTimeout(this.#timer);
  }

  #schedule(): void {
    this.#timer = setTimeout(() => {
      this.#timer = undefined;
      if (this.#isHeld) this.#schedule();
      else this.#follow(this.#heardAt).catch(() => undefined);
    }, this.#silenceMs).unref();
  }

  #isSilentSince(heardAt: number): boolean {
    return !this.#isStopped && this.#heardAt === heardAt;
  }

  /** Follows a silence to its end. */
  async #follow(heardAt: number): Promise<void> {
    const { bounds, canResume, onRefused } = this.#context;
    if (!canResume()) return;
    let state = await this.#checkRunner();
    let refusals = 0;
    while (this.#isSilentSince(heardAt)) {
      const step = nextStep(performance.now(), heardAt, state, bounds);
      if (step.kind === 'rest') {
        this.#schedule();
        return;
      }
      if (step.kind === 'wait') {
        await pause(step.ms, undefined, { ref: false });
        state = await this.#checkRunner();
      } else {
        const failure = await this.#prepare();
        if (!this.#isSilentSince(heardAt)) return;
        if (!failure) {
          this.#replace(heardAt, state);
          return;
        }
        refusals += 1;
        onRefused(performance.now() - heardAt, failure);
        const isBudgetSpent = failure.codeName === 'retryBudgetSpent';
        const delayMs = retryDelayMs(refusals, isBudgetSpent, Math.random());
        const delay = pause(delayMs, undefined, { ref: false });
        // A runner that is gone does not come back under its id.
        if (state !== 'gone') state = await this.#checkRunner();
        await delay;
      }
    }
  }

  async #prepare(): Promise<Failure | undefined> {
    this.#isPreparing = true;
    try {
      const failure = await this.#context.prepare();
      // What has arrived is read before the run counts as silent still.
      if (failure) return failure;
      await yieldOnce();
      const changed = this.#context.confirm();
      if (changed) this.#context.cancel();
      return changed;
    } finally {
      this.#isPreparing = false;
    }
  }

  #replace(heardAt: number, state: RunnerState): void {
    this.#context.onReplaced(performance.now() - heardAt, state);
    this.#context.body.destroy(new Error('the stream and its runner are silent'));
  }

  async #checkRunner(): Promise<RunnerState> {
    return Promise.race([this.#context.runnerState(), noAnswer()]);
  }
}

/** Resolves to `unknown` after the time for a check, which begins anew while this VM is busy. */
async function noAnswer(): Promise<RunnerState> {
  let lateMs = Infinity;
  while (lateMs > BUSY_MS) {
    const startedAt = performance.now();
    await pause(CHECK_MS, undefined, { ref: false });
    lateMs = performance.now() - startedAt - CHECK_MS;
  }
  // What has arrived is read before the time counts as over.
  await yieldOnce();
  return 'unknown';
}
