/**
 * Shares of groups in what is given out one after the other, after start-time fair
 * queueing (Goyal, Vin, Cheng 1996).
 *
 * Each group has a virtual time that grows by cost / weight with each of its entries;
 * the group with the least goes first. A group that was idle starts at the present
 * virtual time less a bounded credit: bursts of a group within its share go before a
 * group that floods, and nobody saves up a claim to starve others.
 */

/** Groups remembered while they are idle. */
const IDLE_LIMIT = 4096;

/** Virtual times of groups. */
export class FairShares {
  readonly #weightOf: (group: string) => number;

  readonly #credit: number;

  readonly #tags = new Map<string, number>();

  readonly #waiting = new Set<string>();

  #virtual = 0;

  /**
   * @param weightOf share of a group against the others
   * @param credit cost that a group may catch up after it was idle or below its share
   */
  constructor(weightOf: (group: string) => number, credit: number) {
    this.#weightOf = weightOf;
    this.#credit = credit;
  }

  /** Virtual time at which the next entry of a group starts; a group that was away has at most its credit. */
  tagOf(group: string): number {
    const tag = this.#tags.get(group) ?? -Infinity;
    if (this.#waiting.has(group)) return tag;
    return Math.max(tag, this.#virtual - this.#credit / this.#weightOf(group));
  }

  /** Virtual time that an entry of a group takes. */
  stepOf(group: string, cost: number): number {
    return cost / this.#weightOf(group);
  }

  /** A group has entries that wait from now on: its claim grows no more by waiting. */
  enter(group: string): void {
    this.#tags.set(group, this.tagOf(group));
    this.#waiting.add(group);
  }

  /** An entry of a group is taken. */
  charge(group: string, cost: number): void {
    const tag = this.tagOf(group);
    this.#virtual = Math.max(this.#virtual, tag);
    this.#tags.set(group, tag + this.stepOf(group, cost));
  }

  /** A group has no more entries that wait. Its time is kept while it is ahead, so that leaving and coming back gains nothing. */
  leave(group: string): void {
    this.#waiting.delete(group);
    if (this.#tags.size - this.#waiting.size > IDLE_LIMIT) this.#forgetIdle();
  }

  #forgetIdle(): void {
    for (const [group, tag] of this.#tags) {
      const isOld = tag <= this.#virtual - this.#credit;
      if (isOld && !this.#waiting.has(group)) this.#tags.delete(group);
    }
  }
}
