/** Detects a stream whose events arrive so slowly that its pauses are about to exceed the limit. */

/** Mean pause above which a stream is slow, as a part of the longest allowed pause. */
const SLOW_PART = 0.5;
/** Number of events over which the mean is taken. */
const WINDOW_EVENTS = 4;
/** Longest pause of routes that set none. */
const DEFAULT_PAUSE_MS = 500;

/** Monitors the pauses between the events of one stream. */
export class PaceMonitor {
  readonly #limitMs: number;

  #windowStart: { readonly at: number; readonly events: number } | undefined;

  #isSlow = false;

  /** @param pauseMs longest allowed pause, in milliseconds; 0 for the default */
  constructor(pauseMs: number) {
    this.#limitMs = (pauseMs || DEFAULT_PAUSE_MS) * SLOW_PART;
  }

  /** Records the number of events so far. Returns true once, when the stream becomes slow. */
  observe(now: number, events: number): boolean {
    this.#windowStart ??= { at: now, events };
    const count = events - this.#windowStart.events;
    if (this.#isSlow || count < WINDOW_EVENTS) return false;
    const meanMs = (now - this.#windowStart.at) / count;
    this.#windowStart = { at: now, events };
    this.#isSlow = meanMs > this.#limitMs;
    return this.#isSlow;
  }
}
