/** Rate limit for log lines of one kind, so that their number does not grow with the fleet. */

const WINDOW_MS = 1000;

/** Allows the first lines of each one-second window and counts the lines that are suppressed. */
export class LogRateLimiter {
  readonly #maxLines: number;

  readonly #onSuppressed: (lines: number) => void;

  #windowStart = -Infinity;

  #lines = 0;

  /**
   * @param maxLines lines allowed in each one-second window
   * @param onSuppressed receives the number of suppressed lines of a window when the next window opens
   */
  constructor(maxLines: number, onSuppressed: (lines: number) => void) {
    this.#maxLines = maxLines;
    this.#onSuppressed = onSuppressed;
  }

  /** Counts a line and returns whether it may be written; `now` is in milliseconds. */
  tryAcquire(now: number): boolean {
    if (now - this.#windowStart >= WINDOW_MS) this.#openWindow(now);
    this.#lines += 1;
    return this.#lines <= this.#maxLines;
  }

  #openWindow(now: number): void {
    const suppressed = this.#lines - this.#maxLines;
    this.#windowStart = now;
    this.#lines = 0;
    if (suppressed > 0) this.#onSuppressed(suppressed);
  }
}
