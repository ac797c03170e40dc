/** Reads from the store's answers which era they are of. */

import type { Logger } from 'pino';

import { Failure } from '../core/failure';
import type { StoreHistory } from '../core/routing/position';

const NUMBER = /^\d{1,9}$/;
/** Characters of what was found that are shown. */
const SHOWN = 20;

/** The eras of answers, against the latest that is known. */
export class EraReader {
  readonly #history: StoreHistory;

  readonly #log: Logger;

  /** Latest era that an answer named. Default: none did. */
  #seen: number | undefined;

  /** What was last found in place of an era; logged once for each change. */
  #complaint = '';

  constructor(history: StoreHistory, log: Logger) {
    this.#history = history;
    this.#log = log;
  }

  /** The latest era that is known, from an answer or from another VM; 0 where none is told. */
  get latest(): number {
    return Math.max(this.#seen ?? 0, this.#history.era ?? 0);
  }

  /**
   * The era of an answer; undefined if it names none that can be used. Throws
   * `eraUnfit` if it is an earlier one: such an answer tells what was lost since.
   */
  read(text: string | undefined): number | undefined {
    const { latest } = this;
    const isUntold = text === undefined && latest === 0;
    const era = isUntold ? 0 : Number(NUMBER.exec(text ?? '')?.[0] ?? NaN);
    if (era >= latest) {
      this.#complaint = '';
      this.#seen = era;
      return era;
    }
    const failure = new Failure(
      'eraUnfit',
      `found era ${text?.slice(0, SHOWN) ?? 'none'}, expected a number from ${latest} on`,
    );
    if (this.#complaint !== failure.message) this.#log.error(failure.line);
    this.#complaint = failure.message;
    if (era < latest) throw failure;
    return undefined;
  }
}
