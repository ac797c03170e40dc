/** Observed speed of one runner of a plain service, by its occupancy. */

/** Ranges of occupancy that are told apart. */
const BINS = 8;
/** Weight of a new response time in the mean of its range, once the range has enough of them. */
const NEW_WEIGHT = 0.05;
/** Responses in a range below which its mean is not used. */
const MIN_RESPONSES = 8;
/** Time after which responses count for half, in milliseconds, so that a range that is avoided is tried again. */
const HALF_LIFE_MS = 20_000;
/** By how much more than all slots fewer slots must serve; less may be chance. */
const MIN_GAIN = 1.1;
/** Response times beyond this factor, or below its inverse, count as this factor. */
const MAX_RATIO = 4;
/** Responses of usual speed that are assumed at the start. */
const ASSUMED_RESPONSES = 8;

interface Bin {
  mean: number;
  count: number;
  at: number;
}

/** Response times relative to the expected ones, by the part of the slots in use. */
export class RunnerSpeed {
  readonly #bins: (Bin | undefined)[] = [];

  #factor = 1;

  #count = ASSUMED_RESPONSES;

  /**
   * Records a response that did not wait for a slot.
   * @param occupancy part of the slots in use, above 0 up to 1
   * @param ratio response time relative to the usual time and the reported slowness
   */
  observe(now: number, occupancy: number, ratio: number): void {
    const bounded = Math.min(MAX_RATIO, Math.max(1 / MAX_RATIO, ratio));
    this.#count += 1;
    this.#factor += (bounded - this.#factor) * Math.max(NEW_WEIGHT, 1 / this.#count);
    const index = binOf(occupancy);
    const bin = this.#bins[index] ?? { mean: bounded, count: 0, at: now };
    this.#bins[index] = bin;
    bin.count = countAt(now, bin) + 1;
    bin.at = now;
    bin.mean += (bounded - bin.mean) * Math.max(NEW_WEIGHT, 1 / bin.count);
  }

  /** Mean response time relative to the expected one. */
  get factor(): number {
    return this.#factor;
  }

  /**
   * The slots with which the runner serves most: fewer than it has if it slows down when it is
   * nearly full. Within a range more slots serve more, so only the last one of each is looked at.
   */
  usableSlots(now: number, slots: number): number {
    const whole = this.#throughput(now, slots, slots);
    if (whole === 0) return slots;
    let best = slots;
    let most = whole * MIN_GAIN;
    for (let range = 1; range < BINS; range += 1) {
      const last = Math.floor((slots * range) / BINS);
      const throughput = last > 0 ? this.#throughput(now, last, slots) : 0;
      if (throughput > most) {
        best = last;
        most = throughput;
      }
    }
    return best;
  }

  /** Requests per usual time with some slots in use; 0 if that is not known. */
  #throughput(now: number, used: number, slots: number): number {
    const bin = this.#bins[binOf(used / slots)];
    return bin && countAt(now, bin) >= MIN_RESPONSES ? used / bin.mean : 0;
  }
}

function binOf(occupancy: number): number {
  return Math.min(BINS, Math.max(1, Math.ceil(occupancy * BINS))) - 1;
}

function countAt(now: number, { count, at }: Bin): number {
  return count * 0.5 ** ((now - at) / HALF_LIFE_MS);
}
