/**
 * A quota over all VMs, kept without a coordinator: what a customer may use, or what a
 * runner takes.
 *
 * One VM owns the account and is asked before each run. Owners are worked out
 * from the members, so that two VMs may both take themselves for the owner while VMs
 * cannot reach each other or one was frozen. An owner therefore gives out only the part
 * of the quota that belongs to the VMs that go by it: each VM counts for an equal part,
 * and brings it to one owner at a time. A VM that reaches no other one is its own owner,
 * with its own part. So the parts add up to the quota, whoever can reach whom.
 */

/** How much may run, in some unit. */
export interface Rate {
  readonly ratePerS: number;
  /** What may come at once beside the rate. */
  readonly burst: number;
}

/** By how much all VMs together may be over a quota for a while. */
export interface QuotaBounds {
  readonly windowMs: number;
  /** Part of what the quota allows in a window. */
  readonly overage: number;
  /** Beside it, in the quota's unit. */
  readonly slack: number;
  /**
   * Whether an owner gives out nothing whose part of what may be over does not bear a whole
   * run: many owners with a small part each, one run each, are over together.
   */
  readonly wholeRuns: boolean;
}

/** What an owner says to one run: that it may begin after a wait, or when to ask again. */
export type QuotaDecision =
  | { readonly granted: true; readonly waitMs: number }
  | { readonly granted: false; readonly retryAfterMs: number };

/** Part of what may be over a quota that a new owner gives out at once: it does not know what the last one gave out, and two may follow each other in one window. */
const START_PART = 0.25;
/** Part of what may be over a quota that owners give out for VMs that none of them hears of, each by its own part, so that VMs that died cost little. */
const MISSING_PART = 0.5;
/** What may come at once where a quota names no burst, as a time of its rate in milliseconds: less than an overage of a tenth over the usual window allows. */
const LEAST_BURST_MS = 500;
/** Shortest and longest time after which a caller over its quota may come back, in milliseconds. */
const RETRY_LEAST_MS = 100;
const RETRY_MOST_MS = 4500;

/** The account of one quota at one owner. */
export class QuotaAccount {
  readonly #bounds: QuotaBounds;

  #level = 0;

  #at: number;

  /** Largest part of the quota that this owner had to give out so far. */
  #part = 0;

  /** When the caller refused last may come back. */
  #returnAt = 0;

  constructor(now: number, bounds: QuotaBounds) {
    this.#bounds = bounds;
    this.#at = now;
  }

  /**
   * Takes the size of a run, or says when to ask again.
   * @param part of the quota that belongs to the VMs that go by this owner, from 0 to 1
   * @param mostWaitMs longest time that the run may wait for its turn
   */
  take(now: number, quota: Rate, part: number, size: number, mostWaitMs = 0): QuotaDecision {
    const { rate, need, waitMs } = this.#turn(now, quota, part, size);
    if (waitMs <= mostWaitMs) {
      this.#level -= size;
      return { granted: true, waitMs };
    }
    return { granted: false, retryAfterMs: this.#retryAfter(now, size, need, rate) };
  }

  /** Time until a run of that size could begin, in milliseconds; see `take`. */
  waitMs(now: number, quota: Rate, part: number, size: number): number {
    return this.#turn(now, quota, part, size).waitMs;
  }

  /** Takes back what was taken for a run that did not take place. */
  refund(size: number): void {
    this.#level += size;
  }

  /** Brings the account up to now, and works out when a run could begin. */
  #turn(
    now: number,
    quota: Rate,
    part: number,
    size: number,
  ): { readonly rate: number; readonly need: number; readonly waitMs: number } {
    const own = this.#ownPart(quota, part);
    const rate = (quota.ratePerS / 1000) * own;
    const capacity = Math.max(quota.burst, (quota.ratePerS * LEAST_BURST_MS) / 1000) * own;
    this.#credit(quota, own);
    this.#level = Math.min(capacity, this.#level + (now - this.#at) * rate);
    this.#at = now;
    // A run larger than the most that there ever is would never start: it takes all and leaves a debt.
    const need = Math.min(size, capacity);
    const isTooSmall = this.#bounds.wholeRuns && this.#spareOver(quota) * part < size;
    const lack = isTooSmall ? Infinity : need - this.#level;
    return { rate, need, waitMs: lack > 0 ? lack / rate : 0 };
  }

  /** What the quota allows in a window, and how much more of it may run, in its unit. */
  #window({ ratePerS, burst }: Rate): { readonly allowed: number; readonly over: number } {
    const { windowMs, overage, slack } = this.#bounds;
    const allowed = (ratePerS * windowMs) / 1000 + burst;
    return { allowed, over: overage * allowed + slack };
  }

  /** What may be over beside what is given out for VMs that are missing. */
  #spareOver(quota: Rate): number {
    return this.#window(quota).over * (1 - MISSING_PART);
  }

  /** What an owner gives out for VMs that are missing grows with its part, so that it adds up over owners. */
  #ownPart(quota: Rate, part: number): number {
    const { allowed, over } = this.#window(quota);
    return allowed > 0 ? Math.min(1, part * (1 + (over * MISSING_PART) / allowed)) : part;
  }

  /** Each VM that comes to this owner brings its part of what a new one may give out at once. */
  #credit(quota: Rate, part: number): void {
    if (part <= this.#part) return;
    const { over } = this.#window(quota);
    this.#level += Math.min(quota.burst, over * START_PART) * (part - this.#part);
    this.#part = part;
  }

  /** Callers that are refused come back one after the other, as the quota allows them, not all at once. */
  #retryAfter(now: number, size: number, need: number, rate: number): number {
    if (rate <= 0) return RETRY_MOST_MS;
    const earliest = now + (need - this.#level) / rate;
    const next = Math.max(this.#returnAt + size / rate, earliest);
    this.#returnAt = next > now + RETRY_MOST_MS ? earliest : next;
    return Math.min(RETRY_MOST_MS, Math.max(RETRY_LEAST_MS, this.#returnAt - now));
  }
}
