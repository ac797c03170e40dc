/** Logs and counts invalid entries of the store. */

import type { Logger } from 'pino';

import { Failure } from '../../core/failure';
import { InvalidEntries } from '../../core/routing/invalidentries';
import type { Position } from '../../core/routing/position';
import { LogRateLimiter } from '../loglimiter';
import type { RoutingStateListener } from './routingstatelistener';

/** Log lines per second; other writers may leave any number of entries. */
const LINES_PER_S = 20;

/** Reports each invalid entry once, however often it is read. */
export class InvalidEntryReport {
  readonly #log: Logger;

  readonly #listener: Pick<RoutingStateListener, 'onInvalidEntry'>;

  readonly #reported = new InvalidEntries();

  readonly #lines: LogRateLimiter;

  constructor(log: Logger, listener: Pick<RoutingStateListener, 'onInvalidEntry'>) {
    this.#log = log;
    this.#listener = listener;
    this.#lines = new LogRateLimiter(LINES_PER_S, (lines) =>
      log.warn({ lines }, 'Found more invalid entries.'),
    );
  }

  /** Reports that an entry is invalid, unless that was done at this position. */
  report(now: number, id: string, position: Position, detail: string): void {
    if (!this.#reported.record(id, position)) return;
    this.#listener.onInvalidEntry();
    if (!this.#lines.tryAcquire(now)) return;
    const { line } = new Failure('factUnreadable', detail);
    this.#log.warn({ runner: id, ...position }, line);
  }
}
