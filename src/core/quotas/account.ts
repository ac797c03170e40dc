/**
 * A quota shared by all VMs, enforced without a coordinator. It limits what a customer may
 * use or the rate at which a runner accepts requests.
 *
 * One VM owns the account and is asked before each run. Each VM determines the owner from
 * the members that it knows, so two VMs may both act as owner while VMs cannot reach each
 * other or after one was paused. An owner therefore grants only the part of the quota
 * that belongs to the VMs that use it as owner: each VM counts for an equal part and
 * contributes it to one owner at a time. A VM that reaches no other one is its own owner
 * with its own part. The parts thus add up to the quota, whichever VMs can reach each
 * other.
 */

import { RankPrecedence } from './urgency';

/** Largest amount in a quota or a charge; far from what a double counts one by one. */
export const MAX_AMOUNT = 1e15;

/** A rate limit in some unit, enforced as a token bucket. */
export interface Rate {
  readonly ratePerS: number;
  /** Amount that may be used at once in addition to the rate. */
  readonly burst: number;
}

/** Bounds on how far all VMs together may temporarily exceed a quota. */
export interface QuotaBounds {
  /** Length of the window in which the excess is measured, in milliseconds. */
  readonly windowMs: number;
  /** Allowed excess as a fraction of what the quota allows in a window. */
  readonly overage: number;
  /** Allowed excess in addition to it, in the quota's unit. */
  readonly slack: number;
  /**
   * Whether an owner grants nothing if its part of the allowed excess is smaller than one
   * run: many owners with a small part each would together exceed the bounds by granting
   * one run each.
   */
  readonly wholeRuns: boolean;
}

/** The owner's decision about one run: granted after a wait, or refused with a time to retry. */
export type QuotaDecision =
  | { readonly granted: true; readonly waitMs: number }
  | { readonly granted: false; readonly retryAfterMs: number };

/** What a quota allows in a window and the allowed excess, in its unit. */
export function allowanceOf(
  { windowMs, overage, slack }: QuotaBounds,
  { ratePerS, burst }: Rate,
): { readonly allowed: number; readonly excess: number } {
  const allowed = (ratePerS * windowMs) / 1000 + burst;
  return { allowed, excess: overage * allowed + slack };
}

/** Fraction of the allowed excess that a new owner grants at once. It does not know what the last owner granted, and two owner changes may fall into one window. */
const INITIAL_GRANT_FRACTION = 0.25;
/** Fraction of the allowed excess that owners grant on behalf of VMs that no owner has contact with, each in proportion to its own part, so that dead VMs reduce the total only a little. */
const MISSING_VM_FRACTION = 0.5;
/** Minimum burst, for quotas that set none, as a time at the quota's rate in milliseconds: less than an overage of a tenth allows over the usual window. */
const MIN_BURST_MS = 500;
/** Minimum and maximum time after which a refused caller may retry, in milliseconds. */
const MIN_RETRY_MS = 100;
const MAX_RETRY_MS = 4500;

/** State of an account for one run. */
interface Refill {
  /** Granted amount per millisecond. */
  readonly rate: number;
  readonly capacity: number;
  /** Balance that the run needs. */
  readonly need: number;
  readonly waitMs: number;
}

/** One run that is charged to a quota. */
export interface QuotaRequest {
  /** In the quota's unit. */
  readonly size: number;
  /** Urgency among the requests of the quota; 0 is the most urgent. Default: 0. */
  readonly rank?: number | undefined;
  /** Maximum time that the run may wait for its start, in milliseconds. Default: 0. */
  readonly maxWaitMs?: number | undefined;
}

/** Token bucket of one quota at one owner. */
export class QuotaAccount {
  readonly #bounds: QuotaBounds;

  /** When this VM became the owner. */
  readonly #startedAt: number;

  #balance = 0;

  #updatedAt: number;

  /** Largest part of the quota that this owner has held so far. */
  #maxPart = 0;

  /** When the last refused caller may retry. */
  #retryAt = 0;

  readonly #precedence = new RankPrecedence();

  constructor(now: number, bounds: QuotaBounds) {
    this.#bounds = bounds;
    this.#startedAt = now;
    this.#updatedAt = now;
  }

  /**
   * Debits a run, or refuses it with a time to retry.
   * @param part fraction of the quota that belongs to the VMs that use this owner, from 0 to 1
   */
  take(now: number, quota: Rate, part: number, request: QuotaRequest): QuotaDecision {
    const { size, rank = 0, maxWaitMs = 0 } = request;
    this.#precedence.asked(now, rank, size);
    const { rate, capacity, need, waitMs } = this.#refill(now, quota, part, size, rank);
    if (waitMs <= maxWaitMs) {
      this.#balance -= size;
      this.#precedence.granted(now, rank, size, this.#balance, capacity);
      return { granted: true, waitMs };
    }
    return { granted: false, retryAfterMs: this.#retryAfter(now, size, need, rate) };
  }

  /** Time until a run of that size could start, in milliseconds; see `take`. */
  waitMs(now: number, quota: Rate, part: number, size: number): number {
    return this.#refill(now, quota, part, size).waitMs;
  }

  /** Credits a run that did not take place. */
  refund(size: number): void {
    this.#balance += size;
  }

  /** Refills the account up to now and computes when a run could start. */
  #refill(now: number, quota: Rate, part: number, size: number, rank = 0): Refill {
    const own = this.#effectivePart(now, quota, part);
    const rate = (quota.ratePerS / 1000) * own;
    const capacity = Math.max(quota.burst, (quota.ratePerS * MIN_BURST_MS) / 1000) * own;
    this.#creditInitialGrant(quota, own);
    const amount = (now - this.#updatedAt) * rate;
    this.#balance = Math.min(capacity, this.#balance + amount);
    this.#precedence.refill(amount, capacity);
    this.#updatedAt = now;
    // A run larger than the capacity would never start; it takes the whole capacity and leaves the account in debt.
    const kept = this.#precedence.kept(now, rank, size, capacity);
    const need = Math.min(size + kept, capacity);
    const isTooSmall = this.#bounds.wholeRuns && this.#grantableExcess(quota) * part < size;
    const shortfall = isTooSmall ? Infinity : need - this.#balance;
    return { rate, capacity, need, waitMs: shortfall > 0 ? shortfall / rate : 0 };
  }

  /** The allowed excess less the part that is granted for missing VMs. */
  #grantableExcess(quota: Rate): number {
    return allowanceOf(this.#bounds, quota).excess * (1 - MISSING_VM_FRACTION);
  }

  /**
   * The owner's part including what it grants for missing VMs; that grows with its part, so that it
   * adds up over all owners. A new owner grants nothing for missing VMs in its first window, in
   * which the VMs that use it may still count at their previous owner.
   */
  #effectivePart(now: number, quota: Rate, part: number): number {
    if (now - this.#startedAt < this.#bounds.windowMs) return part;
    const { allowed, excess } = allowanceOf(this.#bounds, quota);
    return allowed > 0 ? Math.min(1, part * (1 + (excess * MISSING_VM_FRACTION) / allowed)) : part;
  }

  /** Credits the initial grant for the parts of VMs that have newly joined this owner. */
  #creditInitialGrant(quota: Rate, part: number): void {
    if (part <= this.#maxPart) return;
    const { excess } = allowanceOf(this.#bounds, quota);
    this.#balance +=
      Math.min(quota.burst, excess * INITIAL_GRANT_FRACTION) * (part - this.#maxPart);
    this.#maxPart = part;
  }

  /** Spaces the retries of refused callers at the rate of the quota, so that they do not all retry at once. */
  #retryAfter(now: number, size: number, need: number, rate: number): number {
    if (rate <= 0) return MAX_RETRY_MS;
    const earliest = now + (need - this.#balance) / rate;
    const next = Math.max(this.#retryAt + size / rate, earliest);
    this.#retryAt = next > now + MAX_RETRY_MS ? earliest : next;
    return Math.min(MAX_RETRY_MS, Math.max(MIN_RETRY_MS, this.#retryAt - now));
  }
}
