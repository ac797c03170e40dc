/** Notices a stream whose events come so far apart that its pauses will be over the limit. */

/** Part of the longest allowed pause that the mean pause may reach. */
const SLOW_PART = 0.5;
/** Events over which the mean is taken. */
const EVENTS = 4;
/** Longest pause of streams that set none, in milliseconds. */
const PAUSE_MS = 500;

/** Pace of one stream. */
export class PaceMonitor {
  readonly #limitMs: number;

  #from: { readonly at: number; readonly events: number } | undefined;

  #told = false;

  /** @param pauseMs longest allowed pause; 0 if none is set */
  constructor(pauseMs: number) {
    this.#limitMs = (pauseMs || PAUSE_MS) * SLOW_PART;
  }

  /** Takes note of the events so far; true once, when they are slow. */
  observe(now: number, events: number): boolean {
    this.#from ??= { at: now, events };
    const count = events - this.#from.events;
    if (this.#told || count < EVENTS) return false;
    const meanMs = (now - this.#from.at) / count;
    this.#from = { at: now, events };
    this.#told = meanMs > this.#limitMs;
    return this.#told;
  }
}
