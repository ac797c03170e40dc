/**
 * What a quota keeps for more urgent requests of its customer.
 *
 * Made for a customer that floods with several times its quota: in order of arrival, requests of all
 * ranks were refused alike, and small ones took what large urgent ones needed.
 */

/** Time for which a rank counts as asking after its last request, in milliseconds. */
const ASKING_MS = 2000;
/** Part of the burst that is kept for each more urgent rank that asks, and for all of them at most. */
const KEPT_PER_RANK = 0.25;
const MAX_KEPT = 0.6;
/** Part of the quota that is granted whatever the rank, so that no rank gets nothing. */
const UNRANKED_PART = 0.1;
/**
 * Size relative to the mean at which a request counts as most urgent: refusing it would save next to
 * nothing. Requests to plain services are such ones where quotas are counted in tokens.
 */
const SMALL_PART = 0.1;
/** Part of the burst that is kept for such requests while some ask. */
const KEPT_FOR_SMALL = 0.02;
/** Least urgent rank that is told from others. */
const MAX_RANK = 9;
/** Weight of a request in the mean size. */
const SIZE_WEIGHT = 0.02;

/** Precedence between the ranks of one quota. */
export class RankPrecedence {
  /** When each rank last asked. */
  readonly #askedAt = new Map<number, number>();

  /** When a small request last asked. */
  #smallAskedAt = -Infinity;

  #meanSize = 0;

  /** What may be granted whatever the rank. */
  #unranked = 0;

  /** Records a request. */
  asked(now: number, rank: number, size: number): void {
    this.#meanSize += (size - this.#meanSize) * (this.#meanSize === 0 ? 1 : SIZE_WEIGHT);
    if (this.#isSmall(size)) this.#smallAskedAt = now;
    else this.#askedAt.set(Math.min(MAX_RANK, rank), now);
  }

  /**
   * Adds to what may be granted whatever the rank.
   * @param amount what was added to the account
   * @param capacity capacity of the account
   */
  refill(amount: number, capacity: number): void {
    this.#unranked = Math.min(UNRANKED_PART * capacity, this.#unranked + UNRANKED_PART * amount);
  }

  /** What a request has to leave in the account, given the account's capacity. */
  kept(now: number, rank: number, size: number, capacity: number): number {
    if (this.#isSmall(size)) return 0;
    const forSmall = now - this.#smallAskedAt < ASKING_MS ? KEPT_FOR_SMALL * capacity : 0;
    const outranking = this.#countAsking(now, (other) => other < rank);
    const isUnranked = this.#unranked >= Math.min(size, UNRANKED_PART * capacity);
    if (outranking > 0 && isUnranked) return forSmall;
    const isOutranking = this.#countAsking(now, (other) => other > rank) > 0;
    const forOthers = isOutranking ? Math.max(0, this.#unranked) : 0;
    const forUrgent = Math.min(MAX_KEPT, KEPT_PER_RANK * outranking) * capacity;
    return forSmall + Math.max(forOthers, forUrgent);
  }

  /**
   * Records that a request was granted.
   * @param left what the account has after it
   */
  granted(now: number, rank: number, size: number, left: number, capacity: number): void {
    const outranking = this.#countAsking(now, (other) => other < rank);
    const forUrgent = Math.min(MAX_KEPT, KEPT_PER_RANK * outranking) * capacity;
    if (!this.#isSmall(size) && left < forUrgent) this.#unranked -= size;
  }

  /** Number of ranks that ask, among those that meet a condition. */
  #countAsking(now: number, meets: (rank: number) => boolean): number {
    let count = 0;
    for (const [rank, at] of this.#askedAt) if (now - at < ASKING_MS && meets(rank)) count += 1;
    return count;
  }

  #isSmall(size: number): boolean {
    return size < SMALL_PART * this.#meanSize;
  }
}
