/**
 * Gives up a step when the other side goes silent.
 *
 * A frozen runner keeps its connections open: the request would wait until its
 * whole time limit and hold its slot meanwhile. Silence for longer than any
 * healthy step takes is treated as loss, and the request goes on elsewhere.
 */
export class IdleTimeout {
  readonly #stop = new AbortController();

  readonly #signal: AbortSignal;

  #timer: NodeJS.Timeout | undefined;

  /** @param outer ends the step too */
  constructor(outer: AbortSignal) {
    this.#signal = AbortSignal.any([outer, this.#stop.signal]);
  }

  get signal(): AbortSignal {
    return this.#signal;
  }

  /** Something must be heard within this time from now, in milliseconds. */
  restart(ms: number): void {
    if (this.#timer) this.#timer.refresh();
    else this.#timer = setTimeout(() => this.#stop.abort(), ms);
  }

  stop(): void {
    clearTimeout(this.#timer);
  }
}
