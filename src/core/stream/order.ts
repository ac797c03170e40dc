/** Checks the order of a stream's events by their ids. */

/** Ids that are compared as numbers. */
const NUMBER = /^\d{1,40}$/;

/** Consecutive ids needed before a jump between two runs counts as a gap. */
const DENSE_IDS = 2;

/** `order`: the id does not rise; `gap`: events between two runs are missing. */
export type OrderFault = 'order' | 'gap';

/** The ids of one stream so far. */
export class EventOrder {
  #first: string | undefined;

  #last: string | undefined;

  #ids = 0;

  /** Whether all ids so far are consecutive. */
  #isDense = true;

  /** @param after id of the event that the first one follows; undefined if it is the first of all */
  constructor(after?: string) {
    this.#last = after;
  }

  /** The last id; undefined if there is none. */
  get last(): string | undefined {
    return this.#last;
  }

  /**
   * Adds the next event of the stream.
   * @param isFirstOfRun whether it is the first event of its run
   * @returns undefined if it is in order
   */
  next(id: string, isFirstOfRun: boolean): OrderFault | undefined {
    const increment = this.#incrementTo(id, isFirstOfRun);
    if (increment <= 0n) return 'order';
    // Within a run, a runner may number its events in any steps.
    if (isFirstOfRun && increment > 1n && this.#isDense && this.#ids >= DENSE_IDS) return 'gap';
    this.#isDense &&= increment === 1n;
    this.#ids += 1;
    this.#first ??= id;
    this.#last = id;
    return undefined;
  }

  /** Difference to the last id. Ids that are not numbers count as rising unless a run isFirstOfRun with the first or the last id again. */
  #incrementTo(id: string, isFirstOfRun: boolean): bigint {
    if (this.#last === undefined) return 1n;
    if (NUMBER.test(id) && NUMBER.test(this.#last)) return BigInt(id) - BigInt(this.#last);
    return isFirstOfRun && (id === this.#last || id === this.#first) ? 0n : 1n;
  }
}
