/** Counts of good and bad requests over sliding windows, in bounded memory, for burn rates of service level objectives. */

/** Number of good and bad requests in one window. */
export interface RequestCounts {
  readonly good: number;
  readonly bad: number;
}

/** Length of each window in minutes, by its name in reports. */
export const windowMinutes = { '5m': 5, '1h': 60, '6h': 360, '3d': 4320 } as const;

/** Name of a window. */
export type WindowName = keyof typeof windowMinutes;

const MINUTE_MS = 60_000;
/** Minutes per slot: fine slots for short windows, coarse slots for long ones. */
const FINE_MINUTES = 1;
const COARSE_MINUTES = 30;
/** Numbers of slots: each covers the longest window of its resolution and the current slot. */
const FINE_SLOTS = 61;
const COARSE_SLOTS = 145;

/** RingBuffer buffer of counts, one slot per fixed number of minutes. */
class RingBuffer {
  readonly #slotMinutes: number;

  readonly #good: Float64Array;

  readonly #bad: Float64Array;

  /** Number of the time slot that each element counts; -1 if it is unused. */
  readonly #slotNumbers: Float64Array;

  constructor(minutes: number, slots: number) {
    this.#slotMinutes = minutes;
    this.#good = new Float64Array(slots);
    this.#bad = new Float64Array(slots);
    this.#slotNumbers = new Float64Array(slots).fill(-1);
  }

  add(now: number, good: boolean): void {
    const number = Math.floor(now / (this.#slotMinutes * MINUTE_MS));
    const slot = number % this.#good.length;
    if (this.#slotNumbers[slot] !== number) {
      this.#slotNumbers[slot] = number;
      this.#good[slot] = 0;
      this.#bad[slot] = 0;
    }
    const counts = good ? this.#good : this.#bad;
    counts[slot] = (counts[slot] ?? 0) + 1;
  }

  sum(now: number, minutes: number): RequestCounts {
    const newest = Math.floor(now / (this.#slotMinutes * MINUTE_MS));
    const oldest = newest - Math.ceil(minutes / this.#slotMinutes) + 1;
    let good = 0;
    let bad = 0;
    this.#slotNumbers.forEach((number, slot) => {
      if (number < oldest || number > newest) return;
      good += this.#good[slot] ?? 0;
      bad += this.#bad[slot] ?? 0;
    });
    return { good, bad };
  }
}

/** Counts of good and bad requests of one team's service. Times are in milliseconds. */
export class BurnWindows {
  readonly #fine = new RingBuffer(FINE_MINUTES, FINE_SLOTS);

  readonly #coarse = new RingBuffer(COARSE_MINUTES, COARSE_SLOTS);

  /** Counts a request. */
  add(now: number, good: boolean): void {
    this.#fine.add(now, good);
    this.#coarse.add(now, good);
  }

  /** Counts in the window that ends now. */
  sum(now: number, name: WindowName): RequestCounts {
    const minutes = windowMinutes[name];
    return minutes < FINE_SLOTS ? this.#fine.sum(now, minutes) : this.#coarse.sum(now, minutes);
  }
}

/**
 * Burn rate of the error budget: 1 uses up the budget in exactly the objective's window, 10
 * in a tenth of it. Without requests it is 0.
 */
export function burnRate({ good, bad }: RequestCounts, target: number): number {
  const total = good + bad;
  return total === 0 ? 0 : bad / total / (1 - target);
}
