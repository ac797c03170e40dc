/**
 * Aborts a step when the other side sends nothing for too long.
 *
 * A suspended runner keeps its connections open: without this timeout the request
 * would hold its slot until its overall time limit. Inactivity for longer than any
 * healthy step takes counts as a lost runner, and the request continues elsewhere.
 */
export class IdleTimeout {
  readonly #controller = new AbortController();

  readonly #signal: AbortSignal;

  #timer: NodeJS.Timeout | undefined;

  /** @param outer aborts the step as well */
  constructor(outer: AbortSignal) {
    this.#signal = AbortSignal.any([outer, this.#controller.signal]);
  }

  /** Aborted on timeout or by the outer signal. */
  get signal(): AbortSignal {
    return this.#signal;
  }

  /** Starts the timer, or restarts it with the duration of the first call; `ms` is in milliseconds. */
  restart(ms: number): void {
    if (this.#timer) this.#timer.refresh();
    else this.#timer = setTimeout(() => this.#controller.abort(), ms);
  }

  /** Stops the timer. */
  stop(): void {
    clearTimeout(this.#timer);
  }
}
