/** Work-conserving weighted fair queue of entries in groups. */

import { FairShares } from '../fair';

/** Read-only view of the queue. */
export interface QueueView {
  /** Number of entries in all groups. */
  readonly size: number;
  /** Number of entries in one group. */
  sizeOf(group: string): number;
  /** Number of entries that would be served before a new entry of this group, assuming the mean cost per entry. */
  countAhead(group: string): number;
}

/** Weight of the newest entry in the moving average of the cost. */
const NEWEST_WEIGHT = 0.05;

interface GroupQueue<T> {
  readonly name: string;
  readonly entries: T[];
}

/** Weighted fair queue: `peek` returns the next entry, `take` removes it and charges its cost. */
export class FairQueue<T> implements QueueView {
  readonly #groups = new Map<string, GroupQueue<T>>();

  readonly #shares: FairShares;

  #size = 0;

  #meanCost = 0;

  /**
   * @param weightOf weight of a group relative to the others
   * @param credit cost that a group may catch up on after it was idle or below its share
   */
  constructor(weightOf: (group: string) => number, credit: number) {
    this.#shares = new FairShares(weightOf, credit);
  }

  get size(): number {
    return this.#size;
  }

  sizeOf(group: string): number {
    return this.#groups.get(group)?.entries.length ?? 0;
  }

  countAhead(group: string): number {
    const own = this.sizeOf(group);
    const tag = this.#shares.tagOf(group) + this.#shares.stepOf(group, own * this.#meanCost);
    let count = own;
    for (const queue of this.#groups.values()) {
      if (queue.name !== group) count += this.#startsBefore(queue, tag);
    }
    return count;
  }

  /** Appends an entry to its group. */
  push(group: string, entry: T): void {
    this.#groupQueueFor(group).entries.push(entry);
    this.#size += 1;
  }

  /** Puts an entry back at the head of its group. */
  unshift(group: string, entry: T): void {
    this.#groupQueueFor(group).entries.unshift(entry);
    this.#size += 1;
  }

  /** The next entry in scheduling order; undefined if the queue is empty. */
  peek(): T | undefined {
    return this.#next()?.entries[0];
  }

  /** Removes the entry that `peek` returns and charges its cost to its group; undefined if the queue is empty. */
  take(cost: number): T | undefined {
    const queue = this.#next();
    if (!queue) return undefined;
    const entry = queue.entries.shift();
    this.#size -= 1;
    this.#shares.charge(queue.name, cost);
    this.#meanCost += NEWEST_WEIGHT * (cost - this.#meanCost);
    this.#removeIfEmpty(queue);
    return entry;
  }

  /** Removes and returns all entries that match `matches`. */
  removeWhere(matches: (entry: T) => boolean): readonly T[] {
    const removed: T[] = [];
    for (const queue of [...this.#groups.values()]) {
      const kept = queue.entries.filter((entry) => !matches(entry));
      if (kept.length < queue.entries.length) {
        removed.push(...queue.entries.filter(matches));
        queue.entries.splice(0, queue.entries.length, ...kept);
        this.#removeIfEmpty(queue);
      }
    }
    this.#size -= removed.length;
    return removed;
  }

  /** Removes one entry of a group; false if it is not queued there. */
  remove(group: string, entry: T): boolean {
    const queue = this.#groups.get(group);
    const index = queue ? queue.entries.indexOf(entry) : -1;
    if (!queue || index < 0) return false;
    queue.entries.splice(index, 1);
    this.#size -= 1;
    this.#removeIfEmpty(queue);
    return true;
  }

  /** Number of entries of a group whose virtual start time is before `time`. */
  #startsBefore({ name, entries }: GroupQueue<T>, time: number): number {
    if (this.#meanCost <= 0) return entries.length;
    const step = this.#shares.stepOf(name, this.#meanCost);
    const started = Math.ceil((time - this.#shares.tagOf(name)) / step);
    return Math.max(0, Math.min(entries.length, started));
  }

  #groupQueueFor(group: string): GroupQueue<T> {
    const existing = this.#groups.get(group);
    if (existing) return existing;
    const queue: GroupQueue<T> = { name: group, entries: [] };
    this.#groups.set(group, queue);
    this.#shares.enter(group);
    return queue;
  }

  #next(): GroupQueue<T> | undefined {
    let best: GroupQueue<T> | undefined;
    let leastTag = Infinity;
    for (const queue of this.#groups.values()) {
      const tag = this.#shares.tagOf(queue.name);
      if (!best || tag < leastTag) {
        best = queue;
        leastTag = tag;
      }
    }
    return best;
  }

  #removeIfEmpty(queue: GroupQueue<T>): void {
    if (queue.entries.length > 0) return;
    this.#groups.delete(queue.name);
    this.#shares.leave(queue.name);
  }
}
