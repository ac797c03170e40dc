/** When one of the readers of the store writes a change that the store lacks. */

/**
 * Time within which one of the readers writes a change, in milliseconds. Each draws its own time,
 * so that the others mostly see the change before they write it again.
 */
const MAX_DELAY_MS = 2000;

/** The delay of one reader's writes of a record. */
export class WriteDelay {
  readonly #random: () => number;

  #writeAt: number | undefined;

  constructor(random: () => number) {
    this.#random = random;
  }

  /**
   * Whether to write now.
   * @param lacksChange whether the store lacks a change, as far as this VM knows
   */
  isDue(now: number, lacksChange: boolean): boolean {
    if (!lacksChange) {
      this.#writeAt = undefined;
      return false;
    }
    this.#writeAt ??= now + this.#random() * MAX_DELAY_MS;
    if (now < this.#writeAt) return false;
    this.#writeAt = now + MAX_DELAY_MS;
    return true;
  }
}
