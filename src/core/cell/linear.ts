/** A cost known by shape and learnt by scale: cost = scale × (base + slope × size). */

/** Weight of the newest observation. */
const WEIGHT = 0.02;
/** Bounds of the scale against a single wild observation. */
const LEAST_SCALE = 0.05;
const MOST_SCALE = 20;

/**
 * A guess whose scale follows the outcomes.
 *
 * Fitting base and slope freely was tried: under load every batch has about the
 * same size, a line through such points has any slope, and batch caps worked out
 * from it swung between one and all slots.
 */
export class LinearCost {
  readonly #base: number;

  readonly #slope: number;

  #scale = 1;

  /**
   * @param base guess at the cost of size 0, in milliseconds
   * @param slope guess at the cost of each further unit
   */
  constructor(base: number, slope: number) {
    this.#base = base;
    this.#slope = slope;
  }

  observe(size: number, cost: number): void {
    const ratio = cost / (this.#base + this.#slope * size);
    const bounded = Math.min(MOST_SCALE, Math.max(LEAST_SCALE, ratio));
    this.#scale += WEIGHT * (bounded - this.#scale);
  }

  estimate(size: number): number {
    return this.#scale * (this.#base + this.#slope * size);
  }

  /** Largest size whose cost is at most this. */
  maxSizeWithin(cost: number): number {
    return (cost / this.#scale - this.#base) / this.#slope;
  }
}
