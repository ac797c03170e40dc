/** Retry budget of one service at one VM: its share of what the fleet may send again. */

/** Bounds for the whole fleet. */
export interface RetryBounds {
  /** Repeats allowed for each first attempt. */
  readonly ratio: number;
  /** Repeats allowed beside, for the whole fleet in one window. */
  readonly extra: number;
  readonly windowMs: number;
}

/** Part of the bound that is used; the rest covers windows that straddle a change of the fleet. */
const SAFETY = 0.7;

/**
 * Counts in a sliding window. Each VM keeps to its own first attempts and its
 * share of the extra, so the sum keeps the fleet's bound without a message, also
 * while VMs cannot reach each other. Without a bound, a failing service would
 * get every request several times just when it can bear least.
 */
export class RetryWindow {
  readonly #bounds: RetryBounds;

  readonly #firsts: number[] = [];

  readonly #repeats: number[] = [];

  constructor(bounds: RetryBounds) {
    this.#bounds = bounds;
  }

  recordFirst(now: number): void {
    this.#expire(now);
    this.#firsts.push(now);
  }

  /** Takes one repeat, or says that none is left. */
  trySpend(now: number, vms: number): boolean {
    this.#expire(now);
    const { ratio, extra } = this.#bounds;
    const allowed = SAFETY * (ratio * this.#firsts.length + extra / Math.max(1, vms));
    if (this.#repeats.length + 1 > allowed) return false;
    this.#repeats.push(now);
    return true;
  }

  #expire(now: number): void {
    const since = now - this.#bounds.windowMs;
    while ((this.#firsts[0] ?? Infinity) < since) this.#firsts.shift();
    while ((this.#repeats[0] ?? Infinity) < since) this.#repeats.shift();
  }
}
