/** Delays between attempts that fail, by the key of what is attempted. */

/** Bounds of the delays, in milliseconds. */
export interface RetryDelayBounds {
  /** The delay after the first failure; it doubles with each further one. */
  readonly firstMs: number;
  /** The longest delay. */
  readonly maxMs: number;
}

interface Delay {
  readonly until: number;
  readonly ms: number;
}

/** Share by which a delay may be longer, so that VMs that failed together do not try again together. */
const JITTER = 0.25;

/** Growing delays; a key that has not failed since its last success has none. */
export class RetryDelays {
  readonly #bounds: RetryDelayBounds;

  readonly #delays = new Map<string, Delay>();

  constructor(bounds: RetryDelayBounds) {
    this.#bounds = bounds;
  }

  /** Whether any key has failed since its last success. */
  get isEmpty(): boolean {
    return this.#delays.size === 0;
  }

  /** Records that an attempt failed. Failures during a delay belong to the attempt before it. */
  failed(now: number, key: string, random: number): void {
    const before = this.#delays.get(key);
    if (before && now < before.until) return;
    const { firstMs, maxMs } = this.#bounds;
    const ms = before ? Math.min(maxMs, before.ms * 2) : firstMs;
    this.#delays.set(key, { ms, until: now + ms * (1 + JITTER * random) });
  }

  /** Records that an attempt succeeded. */
  succeeded(key: string): void {
    this.#delays.delete(key);
  }

  /** Whether the next attempt has to wait. */
  isWaiting(now: number, key: string): boolean {
    return now < (this.#delays.get(key)?.until ?? -Infinity);
  }

  /** Forgets all keys but some. */
  retain(isKept: (key: string) => boolean): void {
    for (const key of this.#delays.keys()) if (!isKept(key)) this.#delays.delete(key);
  }
}
