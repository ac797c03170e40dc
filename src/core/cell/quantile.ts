/** Running estimate of a quantile of a drifting quantity, in constant memory. */

/** Moves up after each value above the estimate and down after each below, in the ratio that balances at the quantile. */
export class RunningQuantile {
  readonly #part: number;

  readonly #step: number;

  #estimate: number;

  /**
   * @param part the quantile, 0.9 for the value that nine in ten stay below
   * @param step movement for each value, in the unit of the values
   * @param start first estimate
   */
  constructor(part: number, step: number, start: number) {
    this.#part = part;
    this.#step = step;
    this.#estimate = start;
  }

  get value(): number {
    return this.#estimate;
  }

  observe(value: number): void {
    this.#estimate += this.#step * (value > this.#estimate ? this.#part : this.#part - 1);
  }
}
