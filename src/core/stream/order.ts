/** Decides by their ids whether events of one stream follow each other. */

/** Ids that can be compared. */
const NUMBER = /^\d{1,40}$/;

/** Ids in a row, each the one before plus one, from which on a gap between two runs is taken for one. */
const DENSE_IDS = 2;

/** An id that does not rise, or one that leaves out events between two runs. */
export type OrderFault = 'order' | 'gap';

/** Ids of one stream so far. */
export class EventOrder {
  #first: string | undefined;

  #last: string | undefined;

  #ids = 0;

  /** Whether each id so far was the one before plus one. */
  #dense = true;

  get last(): string | undefined {
    return this.#last;
  }

  /**
   * The next event of the stream.
   * @param begins whether it is the first of its run
   * @returns why it does not follow; undefined if it does
   */
  next(id: string, begins: boolean): OrderFault | undefined {
    const step = this.#stepTo(id, begins);
    if (step <= 0n) return 'order';
    // Only between runs: within one, what is left out is the runner's own choice.
    if (begins && step > 1n && this.#dense && this.#ids >= DENSE_IDS) return 'gap';
    this.#dense &&= step === 1n;
    this.#ids += 1;
    this.#first ??= id;
    this.#last = id;
    return undefined;
  }

  /** By how much the id rises. Of ids that are no numbers, a run must not begin with the first or the last. */
  #stepTo(id: string, begins: boolean): bigint {
    if (this.#last === undefined) return 1n;
    if (NUMBER.test(id) && NUMBER.test(this.#last)) return BigInt(id) - BigInt(this.#last);
    return begins && (id === this.#last || id === this.#first) ? 0n : 1n;
  }
}
