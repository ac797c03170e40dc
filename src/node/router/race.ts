/** Opens a connection in several ways of which the first that succeeds is used, as RFC 8305 does for addresses. */

import { toFailure } from '../../core/failure';
import type { RunnerConnection } from './types';

/** A way to connect to a runner. */
export interface Way {
  /** How long after the first way this one begins at the latest, in milliseconds. */
  readonly delayMs: number;
  /** Opens a connection. An aborted attempt is not needed any more and may still succeed. */
  open(signal: AbortSignal): Promise<RunnerConnection>;
}

/** One race; see `firstConnection`. */
class Race {
  readonly #ways: readonly Way[];

  readonly #controller = new AbortController();

  readonly #resolve: (connection: RunnerConnection) => void;

  readonly #reject: (error: Error) => void;

  #timer: NodeJS.Timeout | undefined;

  #startedCount = 0;

  #failedCount = 0;

  #isOver = false;

  constructor(
    ways: readonly Way[],
    resolve: (connection: RunnerConnection) => void,
    reject: (error: Error) => void,
  ) {
    this.#ways = ways;
    this.#resolve = resolve;
    this.#reject = reject;
  }

  /** Starts the next way, and the one after it when its time has come. */
  next(): void {
    clearTimeout(this.#timer);
    const way = this.#ways[this.#startedCount];
    if (!way || this.#isOver) return;
    this.#startedCount += 1;
    const following = this.#ways[this.#startedCount];
    if (following) {
      const waitMs = following.delayMs - way.delayMs;
      // What arrived while the process was busy is handled before the way counts as slow.
      this.#timer = setTimeout(() => setImmediate(() => this.next()), waitMs);
    }
    way.open(this.#controller.signal).then(
      (connection) => this.#opened(connection),
      (error) => this.#failed(error),
    );
  }

  fail(error: Error): void {
    if (this.#isOver) return;
    this.#end();
    this.#reject(error);
  }

  #opened(connection: RunnerConnection): void {
    if (this.#isOver) {
      connection.socket.destroy();
      return;
    }
    this.#end();
    this.#resolve(connection);
  }

  #failed(error: unknown): void {
    this.#failedCount += 1;
    if (this.#failedCount === this.#ways.length) this.fail(toFailure(error));
    else this.next();
  }

  #end(): void {
    this.#isOver = true;
    clearTimeout(this.#timer);
    this.#controller.abort();
  }
}

/**
 * Starts the ways one after the other, each when its time has come or an earlier one has failed.
 * Resolves with the first connection that is established; others are closed. Rejects with the
 * last error if all ways fail, or when the signal is aborted.
 */
export async function firstConnection(
  ways: readonly Way[],
  signal: AbortSignal,
): Promise<RunnerConnection> {
  signal.throwIfAborted();
  let onAbort = (): void => {};
  try {
    return await new Promise((resolve, reject) => {
      const race = new Race(ways, resolve, reject);
      onAbort = () => race.fail(new Error('aborted'));
      signal.addEventListener('abort', onAbort, { once: true });
      race.next();
    });
  } finally {
    signal.removeEventListener('abort', onAbort);
  }
}
