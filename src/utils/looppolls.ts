/** Tells how long signals may have waited for the event loop to handle them. */

/** Period of the timer, in milliseconds: signals seem to have waited for up to that long in an idle process. */
const PERIOD_MS = 50;

/** Observes when the event loop polls, which is when it notices signals. */
export class LoopPolls {
  #timer: NodeJS.Timeout | undefined;

  #polledAt = -Infinity;

  /** Starts observing; does not keep the process alive. */
  start(now: number): void {
    this.#polledAt = now;
    this.#timer ??= setInterval(() => this.#willPoll(performance.now()), PERIOD_MS).unref();
  }

  /** Stops observing. */
  stop(): void {
    clearInterval(this.#timer);
    this.#timer = undefined;
  }

  /** The earliest time at which a signal can have arrived that is being handled; the present time if the polls are not observed. */
  signalledAfter(now: number): number {
    return this.#timer ? Math.min(now, this.#polledAt) : now;
  }

  /** Timers run before the loop polls. The handlers of all signals that the poll finds run before immediates. */
  #willPoll(now: number): void {
    setImmediate(() => {
      this.#polledAt = now;
    });
  }
}
