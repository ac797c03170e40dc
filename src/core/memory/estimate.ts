/**
 * Running means that follow the first measurements quickly and later ones slowly, with their
 * standard error.
 */

/** Initial weight and decay of an estimate. */
export interface EstimateOptions {
  /** Number of measurements that the initial value counts as. */
  readonly startWeight: number;
  /**
   * Smallest weight of one measurement; its inverse is about the number of measurements that the
   * mean covers.
   */
  readonly leastStep: number;
}

/** Running mean of one quantity. */
export class Estimate {
  readonly #options: EstimateOptions;

  #value: number;

  /** Mean squared deviation of the measurements. */
  #variance: number;

  #count = 0;

  /**
   * @param start value before the first measurement; its initial error is as large as the value
   *   itself
   */
  constructor(start: number, options: EstimateOptions) {
    this.#value = start;
    this.#variance = start * start;
    this.#options = options;
  }

  /** Current value. */
  get value(): number {
    return this.#value;
  }

  /** Standard error of the value. */
  get error(): number {
    const { startWeight, leastStep } = this.#options;
    const maxCount = 1 / leastStep;
    const count = Math.max(1, Math.min(maxCount, startWeight + this.#count));
    return Math.sqrt(this.#variance / count);
  }

  /** Adds a measurement. */
  add(measured: number): void {
    const { startWeight, leastStep } = this.#options;
    this.#count += 1;
    const step = Math.max(leastStep, 1 / (startWeight + this.#count));
    const deviation = measured - this.#value;
    this.#value += step * deviation;
    // A single measurement carries no information about its deviation.
    const squared = step === 1 ? measured * measured : deviation * deviation;
    this.#variance += step * (squared - this.#variance);
  }
}
