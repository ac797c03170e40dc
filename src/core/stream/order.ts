/** Checks by their ids that the events of a stream are in order. */

/** Ids that can be compared as numbers. */
const NUMBER = /^\d{1,40}$/;

/** Consecutive ids needed before a jump between two runs counts as a gap. */
const DENSE_IDS = 2;

/** `order`: the id does not rise; `gap`: events between two runs are missing. */
export type OrderFault = 'order' | 'gap';

/** Ids of one stream so far. */
export class EventOrder {
  #first: string | undefined;

  #last: string | undefined;

  #ids = 0;

  /** Whether all ids so far are consecutive. */
  #dense = true;

  get last(): string | undefined {
    return this.#last;
  }

  /**
   * Adds the next event of the stream.
   * @param begins whether it is the first of its run
   * @returns undefined if it is in order
   */
  next(id: string, begins: boolean): OrderFault | undefined {
    const step = this.#stepTo(id, begins);
    if (step <= 0n) return 'order';
    // Within a run, a runner may number its events as it likes.
    if (begins && step > 1n && this.#dense && this.#ids >= DENSE_IDS) return 'gap';
    this.#dense &&= step === 1n;
    this.#ids += 1;
    this.#first ??= id;
    this.#last = id;
    return undefined;
  }

  /** By how much the id rises. A run must not begin with the first or the last id if they are not numbers. */
  #stepTo(id: string, begins: boolean): bigint {
    if (this.#last === undefined) return 1n;
    if (NUMBER.test(id) && NUMBER.test(this.#last)) return BigInt(id) - BigInt(this.#last);
    return begins && (id === this.#last || id === this.#first) ? 0n : 1n;
  }
}
