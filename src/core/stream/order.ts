/** Decides by their ids whether events of one stream follow each other. */

/** Ids that can be compared: whole numbers that a double holds exactly. */
const NUMBER = /^\d{1,15}$/;

/** An id that does not rise, or one that leaves out events between two runs. */
export type OrderFault = 'order' | 'gap';

/** Ids of one stream so far. */
export class EventOrder {
  #last: string | undefined;

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
    const step = this.#stepTo(id);
    if (step <= 0) return 'order';
    // Only between runs: within one, what is left out is the runner's own choice.
    if (begins && this.#dense && step > 1) return 'gap';
    this.#dense &&= step === 1;
    this.#last = id;
    return undefined;
  }

  /** By how much the id rises. Ids that are no numbers only have to differ. */
  #stepTo(id: string): number {
    if (this.#last === undefined) return 1;
    if (NUMBER.test(id) && NUMBER.test(this.#last)) return Number(id) - Number(this.#last);
    return id === this.#last ? 0 : 1;
  }
}
