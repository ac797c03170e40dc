/** Detects that a runner has stopped in the middle of a stream without ending its connection. */

import type { Readable } from 'node:stream';
import { setImmediate as yieldOnce, setTimeout as pause } from 'node:timers/promises';

/** Multiple of the longest allowed pause between events after which a stream counts as silent. */
const SILENCE_PAUSES = 2;
/** Silence of streams whose routes allow short pauses or set none, in milliseconds: longer than a preempted request usually waits. */
const MIN_SILENCE_MS = 600;
/**
 * Time that the runner of a silent stream has to answer a check, in milliseconds: its callers
 * disconnect some two seconds after the last event, and another run needs the rest of that time.
 */
const CHECK_MS = 400;
/** Delay of a timer from which on this VM counts as busy, in milliseconds: an answer may wait in its sockets. */
const BUSY_MS = 100;

/** Period at which another run is asked for again while the retry budget allows none, in milliseconds. */
const HOLD_RETRY_MS = 100;

/** What a watch needs of its stream. */
export interface SilenceContext {
  readonly body: Pick<Readable, 'destroy'>;
  /** Longest pause between events that the route allows, in milliseconds; 0 if it sets none. */
  readonly gapMs: number;
  /** Whether another run could continue the stream. */
  readonly canResume: () => boolean;
  /** Sets aside the other run; false if the retry budget allows none now. */
  readonly holdRun: () => boolean;
  /** Whether the runner's process runs. */
  readonly isRunning: () => Promise<boolean>;
  /** Called before the stream is ended. */
  readonly onStalled: (silentMs: number) => void;
}

/**
 * Ends a stream that has been silent for long, if its runner does not answer either and another
 * run can continue it. The connections of a runner that lost power never end by themselves:
 * without this, callers disconnected, or waited for the rest of their time budget.
 */
export class SilenceWatch {
  readonly #context: SilenceContext;

  readonly #silenceMs: number;

  #timer: NodeJS.Timeout | undefined;

  #heardAt = 0;

  #isStopped = false;

  constructor(context: SilenceContext) {
    this.#context = context;
    this.#silenceMs = Math.max(MIN_SILENCE_MS, SILENCE_PAUSES * context.gapMs);
  }

  /** Events of the stream have arrived. */
  heard(now: number): void {
    this.#heardAt = now;
    if (this.#timer) this.#timer.refresh();
    else this.#schedule();
  }

  /** Ends the watch; must be called when the response has ended. */
  stop(): void {
    this.#isStopped = true;
    clearTimeout(this.#timer);
  }

  #schedule(): void {
    this.#timer = setTimeout(() => {
      this.#check(this.#heardAt).catch(() => undefined);
    }, this.#silenceMs).unref();
  }

  async #check(heardAt: number): Promise<void> {
    const { body, canResume, onStalled } = this.#context;
    this.#timer = undefined;
    if (!canResume()) return;
    let next = await this.#checkRunner(heardAt);
    while (next === 'wait') {
      await pause(HOLD_RETRY_MS, undefined, { ref: false });
      next = await this.#checkRunner(heardAt);
    }
    if (next === 'none') return;
    onStalled(performance.now() - heardAt);
    body.destroy(new Error('the stream and its runner are silent'));
  }

  /** What to do: `end` the stream, `wait` for the retry budget, or nothing. */
  async #checkRunner(heardAt: number): Promise<'end' | 'wait' | 'none'> {
    const { isRunning, holdRun } = this.#context;
    const isAlive = await Promise.race([isRunning(), noAnswer()]);
    if (this.#isStopped || this.#heardAt !== heardAt) return 'none';
    if (isAlive) {
      this.#schedule();
      return 'none';
    }
    return holdRun() ? 'end' : 'wait';
  }
}

/** Resolves to false after the time for a check, which begins anew while this VM is busy. */
async function noAnswer(): Promise<false> {
  let lateMs = Infinity;
  while (lateMs > BUSY_MS) {
    const startedAt = performance.now();
    await pause(CHECK_MS, undefined, { ref: false });
    lateMs = performance.now() - startedAt - CHECK_MS;
  }
  // What has arrived is read before the time counts as over.
  await yieldOnce();
  return false;
}
