/** Validates the era in responses of the store. */

import type { Logger } from 'pino';

import { Failure } from '../core/failure';
import type { StoreHistory } from '../core/routing/position';

const ERA_PATTERN = /^\d{1,9}$/;
/** Maximum number of characters of an invalid era in a message. */
const MAX_SHOWN_CHARS = 20;

/** Compares the eras of responses with the latest known one. */
export class EraReader {
  readonly #history: StoreHistory;

  readonly #log: Logger;

  /** Latest era in a response so far; undefined if there was none. */
  #latestSeen: number | undefined;

  /** Last logged message about an invalid era, so that a repeated one is not logged again; empty after a valid era. */
  #lastLogged = '';

  constructor(history: StoreHistory, log: Logger) {
    this.#history = history;
    this.#log = log;
  }

  /** The latest era known from a response or from another VM; 0 if there is none. */
  get latest(): number {
    return Math.max(this.#latestSeen ?? 0, this.#history.era ?? 0);
  }

  /**
   * The era of a response; undefined if it is missing or invalid. Throws `eraUnfit` if it
   * is earlier than the latest known one: such a response has state from before the
   * store was restored, some of which no longer exists.
   * @param text value of the era header, if any
   */
  read(text: string | undefined): number | undefined {
    const { latest } = this;
    const hasNoEras = text === undefined && latest === 0;
    const era = hasNoEras ? 0 : Number(ERA_PATTERN.exec(text ?? '')?.[0] ?? NaN);
    if (era >= latest) {
      this.#lastLogged = '';
      this.#latestSeen = era;
      return era;
    }
    const failure = new Failure(
      'eraUnfit',
      `found era ${text?.slice(0, MAX_SHOWN_CHARS) ?? 'none'}, expected a number from ${latest} on`,
    );
    if (this.#lastLogged !== failure.message) this.#log.error(failure.line);
    this.#lastLogged = failure.message;
    if (era < latest) throw failure;
    return undefined;
  }
}
