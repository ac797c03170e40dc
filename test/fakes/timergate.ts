/** Holds back timers, so that a test shows that something ends without waiting for time to pass, on a busy machine too. */

import timersPromises from 'node:timers/promises';

type Run = () => void;

/** Time after which something counts as waiting for a timer, in milliseconds. */
const STUCK_MS = 10_000;

/** Passes on all timers that are set after `install`, except while it is closed. */
export class TimerGate {
  readonly #timeout = globalThis.setTimeout;

  readonly #held: Run[] = [];

  #isClosed = false;

  /** Must be called before the code that sets timers; `jest.restoreAllMocks` undoes it. */
  install(): void {
    const { setInterval: interval } = globalThis;
    const { setTimeout: pause } = timersPromises;
    type Callback = (...args: unknown[]) => void;
    const gated = <T>(set: (run: Run, ms?: number) => T) =>
      ((run: Callback, ms?: number, ...args: unknown[]) =>
        set(() => this.#pass(() => run(...args)), ms)) as never;
    jest.spyOn(globalThis, 'setTimeout').mockImplementation(gated(this.#timeout));
    jest.spyOn(globalThis, 'setInterval').mockImplementation(gated(interval));
    jest.spyOn(timersPromises, 'setTimeout').mockImplementation(async (...args) => {
      const value = await pause(...args);
      await new Promise<void>((resolve) => {
        this.#pass(resolve);
      });
      return value;
    });
  }

  /** Runs something during which no timer fires; throws if it does not end. */
  async whileClosed<T>(run: () => Promise<T>): Promise<T> {
    this.#isClosed = true;
    let stuck: NodeJS.Timeout | undefined;
    const limit = new Promise<never>((_, reject) => {
      stuck = this.#timeout(() => reject(new Error('It waits for a timer.')), STUCK_MS);
    });
    try {
      return await Promise.race([run(), limit]);
    } finally {
      clearTimeout(stuck);
      this.#isClosed = false;
      this.#held.splice(0).forEach((held) => held());
    }
  }

  #pass(run: Run): void {
    if (this.#isClosed) this.#held.push(run);
    else run();
  }
}
