/**
 * Fair shares of groups in a sequence of grants by start-time fair queueing (Goyal, Vin, Cheng
 * 1996).
 *
 * Each group has a virtual time that grows by cost / weight with each of its entries; the group
 * with the smallest one goes first. A group that was idle starts at the current virtual time minus
 * a bounded credit: bursts of a group within its share go before a group that floods, and no group
 * can accumulate a claim that starves the others.
 */

/** Largest number of idle groups whose virtual times are kept. */
const MAX_IDLE_GROUPS = 4096;

/** Virtual times of groups. */
export class FairShares {
  readonly #weightOf: (group: string) => number;

  readonly #credit: number;

  readonly #tags = new Map<string, number>();

  readonly #waiting = new Set<string>();

  #virtual = 0;

  /**
   * @param weightOf share of a group relative to the others
   * @param credit cost that a group may catch up on after it was idle or below its share
   */
  constructor(weightOf: (group: string) => number, credit: number) {
    this.#weightOf = weightOf;
    this.#credit = credit;
  }

  /** Virtual start time of the next entry of a group; an idle group has at most its credit. */
  tagOf(group: string): number {
    const tag = this.#tags.get(group) ?? -Infinity;
    if (this.#waiting.has(group)) return tag;
    return Math.max(tag, this.#virtual - this.#credit / this.#weightOf(group));
  }

  /** Virtual time that an entry of a group takes. */
  stepOf(group: string, cost: number): number {
    return cost / this.#weightOf(group);
  }

  /** Marks a group as having waiting entries; while they wait, its credit does not grow. */
  enter(group: string): void {
    this.#tags.set(group, this.tagOf(group));
    this.#waiting.add(group);
  }

  /** Charges a group for an entry that was taken. */
  charge(group: string, cost: number): void {
    const tag = this.tagOf(group);
    this.#virtual = Math.max(this.#virtual, tag);
    this.#tags.set(group, tag + this.stepOf(group, cost));
  }

  /**
   * Marks a group as having no more waiting entries. Its virtual time is kept while it is ahead, so
   * that leaving and returning gains nothing.
   */
  leave(group: string): void {
    this.#waiting.delete(group);
    if (this.#tags.size - this.#waiting.size > MAX_IDLE_GROUPS) this.#forgetIdle();
  }

  #forgetIdle(): void {
    for (const [group, tag] of this.#tags) {
      const isOld = tag <= this.#virtual - this.#credit;
      if (isOld && !this.#waiting.has(group)) this.#tags.delete(group);
    }
  }
}
