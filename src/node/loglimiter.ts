/** Keeps lines of one kind within a number a second, whatever the size of the fleet. */

const WINDOW_MS = 1000;

/** Lets the first lines of each second through and counts the rest. */
export class LogRateLimiter {
  readonly #most: number;

  readonly #onRest: (lines: number) => void;

  #windowAt = -Infinity;

  #lines = 0;

  /** @param onRest says, with the next line after it, how many of a second were left out */
  constructor(most: number, onRest: (lines: number) => void) {
    this.#most = most;
    this.#onRest = onRest;
  }

  /** Whether one more line may be written now. */
  tryAcquire(now: number): boolean {
    if (now - this.#windowAt >= WINDOW_MS) this.#open(now);
    this.#lines += 1;
    return this.#lines <= this.#most;
  }

  #open(now: number): void {
    const rest = this.#lines - this.#most;
    this.#windowAt = now;
    this.#lines = 0;
    if (rest > 0) this.#onRest(rest);
  }
}
