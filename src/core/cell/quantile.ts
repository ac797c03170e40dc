/** Streaming estimate of a quantile of a non-stationary quantity, in constant memory. */

/** Increases the estimate after each value above it and decreases it after each other value, in the ratio whose equilibrium is the quantile. */
export class RunningQuantile {
  readonly #quantile: number;

  readonly #step: number;

  #estimate: number;

  /**
   * @param quantile fraction of the values below the estimate, such as 0.9
   * @param step change of the estimate per value, in the unit of the values
   * @param start initial estimate
   */
  constructor(quantile: number, step: number, start: number) {
    this.#quantile = quantile;
    this.#step = step;
    this.#estimate = start;
  }

  /** Current estimate. */
  get value(): number {
    return this.#estimate;
  }

  /** Updates the estimate with a new value. */
  observe(value: number): void {
    this.#estimate += this.#step * (value > this.#estimate ? this.#quantile : this.#quantile - 1);
  }
}
