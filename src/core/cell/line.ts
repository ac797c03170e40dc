/** A straight line fitted to a fading stream of points: cost = base + slope × size. */

/** Weight that old points keep when a new one comes. */
const FADE = 0.99;
/** Points that the first guess counts for. */
const PRIOR_WEIGHT = 10;

/** Fading least squares, started from a guess. */
export class FittedLine {
  #n = 0;

  #x = 0;

  #y = 0;

  #xx = 0;

  #xy = 0;

  /**
   * @param base guess at the cost of size 0, in milliseconds
   * @param slope guess at the cost of each further unit
   * @param span size up to which the guess is made to hold
   */
  constructor(base: number, slope: number, span: number) {
    for (let i = 0; i < PRIOR_WEIGHT; i += 1) {
      const x = (span * i) / (PRIOR_WEIGHT - 1);
      this.observe(x, base + slope * x);
    }
  }

  observe(x: number, y: number): void {
    this.#n = this.#n * FADE + 1;
    this.#x = this.#x * FADE + x;
    this.#y = this.#y * FADE + y;
    this.#xx = this.#xx * FADE + x * x;
    this.#xy = this.#xy * FADE + x * y;
  }

  get slope(): number {
    const spread = this.#n * this.#xx - this.#x * this.#x;
    if (spread <= 1e-9) return 0;
    return Math.max(0, (this.#n * this.#xy - this.#x * this.#y) / spread);
  }

  get base(): number {
    return Math.max(0, (this.#y - this.slope * this.#x) / this.#n);
  }

  at(x: number): number {
    return this.base + this.slope * x;
  }
}
