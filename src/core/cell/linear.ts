/** Linear cost model with a configured shape and a learnt scale: cost = scale × (base + slope × size). */

/** Weight of the newest observation in the moving average of the scale. */
const NEWEST_WEIGHT = 0.02;
/** Bounds of an observed scale, which limit the effect of a single outlier. */
const MIN_SCALE = 0.05;
const MAX_SCALE = 20;

/**
 * An initial estimate whose scale follows the observed costs.
 *
 * Base and slope are not fitted: under load all batches have about the same size, so
 * the slope of a line through them is arbitrary, and the resulting batch caps swing
 * between one slot and all slots.
 */
export class LinearCost {
  readonly #base: number;

  readonly #slope: number;

  #scale = 1;

  /**
   * @param base initial estimate of the cost at size 0, in milliseconds
   * @param slope initial estimate of the cost of each additional unit, in milliseconds
   */
  constructor(base: number, slope: number) {
    this.#base = base;
    this.#slope = slope;
  }

  /** Records the cost of a given size. */
  observe(size: number, cost: number): void {
    const ratio = cost / (this.#base + this.#slope * size);
    const bounded = Math.min(MAX_SCALE, Math.max(MIN_SCALE, ratio));
    this.#scale += NEWEST_WEIGHT * (bounded - this.#scale);
  }

  /** Estimated cost of a given size, in milliseconds. */
  estimate(size: number): number {
    return this.#scale * (this.#base + this.#slope * size);
  }

  /** Largest size whose estimated cost is at most `cost`. */
  maxSizeWithin(cost: number): number {
    return (cost / this.#scale - this.#base) / this.#slope;
  }
}
