/** Means of measurements that follow the first ones at once and later ones slowly, and how far they may be off. */

/** How an estimate begins and how long it remembers. */
export interface EstimateOptions {
  /** Measurements that the start value counts as. */
  readonly startWeight: number;
  /** Least weight of one measurement: it is forgotten after about as many as its inverse. */
  readonly leastStep: number;
}

/** An estimate of one figure. */
export class Estimate {
  readonly #options: EstimateOptions;

  #value: number;

  /** Mean squared deviation of the measurements. */
  #variance: number;

  #count = 0;

  /** @param start decides until something was measured; it may be off by all of itself */
  constructor(start: number, options: EstimateOptions) {
    this.#value = start;
    this.#variance = start * start;
    this.#options = options;
  }

  get value(): number {
    return this.#value;
  }

  /** Standard error of the value. */
  get error(): number {
    const { startWeight, leastStep } = this.#options;
    const most = 1 / leastStep;
    const count = Math.max(1, Math.min(most, startWeight + this.#count));
    return Math.sqrt(this.#variance / count);
  }

  add(measured: number): void {
    const { startWeight, leastStep } = this.#options;
    this.#count += 1;
    const step = Math.max(leastStep, 1 / (startWeight + this.#count));
    const off = measured - this.#value;
    this.#value += step * off;
    // One measurement alone says nothing of how far it is off.
    const squared = step === 1 ? measured * measured : off * off;
    this.#variance += step * (squared - this.#variance);
  }
}
