/** Retry budget of one service at one VM: its share of the retries that the fleet may send. */

/** Limits for the whole fleet. */
export interface RetryBounds {
  /** Retries allowed per first attempt. */
  readonly ratio: number;
  /** Additional retries allowed for the whole fleet in one window. */
  readonly extra: number;
  /** Length of the sliding window in milliseconds. */
  readonly windowMs: number;
}

/** A window of one VM at some time. */
export interface RetryState {
  readonly spent: number;
  readonly allowed: number;
  /** Requests of callers. */
  readonly requests: number;
}

/** Fraction of the limit that is used; the rest covers windows in which the size of the fleet changes. */
const SAFETY_FACTOR = 0.7;

/**
 * Sliding-window retry budget. Each VM limits its retries by its own first attempts and
 * its share of the additional retries, so the sum stays within the fleet's limit without
 * any messages, also while VMs cannot reach each other. Without a limit, a failing service
 * would receive every request several times when it has the least capacity.
 */
export class RetryWindow {
  readonly #bounds: RetryBounds;

  readonly #firstAttempts: number[] = [];

  readonly #retries: number[] = [];

  constructor(bounds: RetryBounds) {
    this.#bounds = bounds;
  }

  /** Records a first attempt. */
  recordFirst(now: number): void {
    this.#expire(now);
    this.#firstAttempts.push(now);
  }

  /** Takes one retry from the budget; false if none is left. */
  trySpend(now: number, vms: number): boolean {
    const { spent, allowed } = this.state(now, vms);
    if (spent + 1 > allowed) return false;
    this.#retries.push(now);
    return true;
  }

  /** What the window holds, for the log. */
  state(now: number, vms: number): RetryState {
    this.#expire(now);
    const { ratio, extra } = this.#bounds;
    const requests = this.#firstAttempts.length;
    const allowed = SAFETY_FACTOR * (ratio * requests + extra / Math.max(1, vms));
    return { spent: this.#retries.length, allowed, requests };
  }

  #expire(now: number): void {
    const since = now - this.#bounds.windowMs;
    while ((this.#firstAttempts[0] ?? Infinity) < since) this.#firstAttempts.shift();
    while ((this.#retries[0] ?? Infinity) < since) this.#retries.shift();
  }
}
