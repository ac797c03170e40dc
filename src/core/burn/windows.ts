/** Counts of good and bad requests over sliding windows, in bounded memory. */

/** Good and bad requests in one window. */
export interface RequestCounts {
  readonly good: number;
  readonly bad: number;
}

/** Length of a window, by its name in reports. */
export const windowMinutes = { '5m': 5, '1h': 60, '6h': 360, '3d': 4320 } as const;

/** Name of a window. */
export type WindowName = keyof typeof windowMinutes;

const MINUTE_MS = 60_000;
/** Minutes in one slot: fine slots for the short windows, coarse ones for the long. */
const FINE_MINUTES = 1;
const COARSE_MINUTES = 30;
const FINE_SLOTS = 61;
const COARSE_SLOTS = 145;

class Ring {
  readonly #minutes: number;

  readonly #good: Float64Array;

  readonly #bad: Float64Array;

  readonly #number: Float64Array;

  constructor(minutes: number, slots: number) {
    this.#minutes = minutes;
    this.#good = new Float64Array(slots);
    this.#bad = new Float64Array(slots);
    this.#number = new Float64Array(slots).fill(-1);
  }

  add(now: number, good: boolean): void {
    const number = Math.floor(now / (this.#minutes * MINUTE_MS));
    const slot = number % this.#good.length;
    if (this.#number[slot] !== number) {
      this.#number[slot] = number;
      this.#good[slot] = 0;
      this.#bad[slot] = 0;
    }
    const counts = good ? this.#good : this.#bad;
    counts[slot] = (counts[slot] ?? 0) + 1;
  }

  sum(now: number, minutes: number): RequestCounts {
    const newest = Math.floor(now / (this.#minutes * MINUTE_MS));
    const oldest = newest - Math.ceil(minutes / this.#minutes) + 1;
    let good = 0;
    let bad = 0;
    this.#number.forEach((number, slot) => {
      if (number < oldest || number > newest) return;
      good += this.#good[slot] ?? 0;
      bad += this.#bad[slot] ?? 0;
    });
    return { good, bad };
  }
}

/** Counts of one team's service. */
export class BurnWindows {
  readonly #fine = new Ring(FINE_MINUTES, FINE_SLOTS);

  readonly #coarse = new Ring(COARSE_MINUTES, COARSE_SLOTS);

  add(now: number, good: boolean): void {
    this.#fine.add(now, good);
    this.#coarse.add(now, good);
  }

  sum(now: number, name: WindowName): RequestCounts {
    const minutes = windowMinutes[name];
    return minutes < FINE_SLOTS ? this.#fine.sum(now, minutes) : this.#coarse.sum(now, minutes);
  }
}

/**
 * Burn rate: 1 uses up the error budget in just the objective's window, 10 in a
 * tenth of it. No requests burn nothing.
 */
export function burnRate({ good, bad }: RequestCounts, target: number): number {
  const all = good + bad;
  return all === 0 ? 0 : bad / all / (1 - target);
}
