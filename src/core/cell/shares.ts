/** Weighted fair queue between groups, work-conserving. */

import { FairShares } from '../fair';

/** Read-only view of who waits. */
export interface QueueView {
  /** Entries waiting in all groups. */
  readonly size: number;
  /** Entries waiting in one group. */
  sizeOf(group: string): number;
  /** Entries that go before a new entry of this group, at the mean cost of an entry. */
  countAhead(group: string): number;
}

/** Weight of the newest entry in the mean cost. */
const MEAN_WEIGHT = 0.05;

interface Lane<T> {
  readonly name: string;
  readonly entries: T[];
}

/** Entries in groups; one entry at a time is offered and then taken. */
export class FairQueue<T> implements QueueView {
  readonly #lanes = new Map<string, Lane<T>>();

  readonly #shares: FairShares;

  #size = 0;

  #meanCost = 0;

  /**
   * @param weightOf share of a group against the others
   * @param credit cost that a group may catch up after it was idle or below its share
   */
  constructor(weightOf: (group: string) => number, credit: number) {
    this.#shares = new FairShares(weightOf, credit);
  }

  get size(): number {
    return this.#size;
  }

  sizeOf(group: string): number {
    return this.#lanes.get(group)?.entries.length ?? 0;
  }

  countAhead(group: string): number {
    const own = this.sizeOf(group);
    const tag = this.#shares.tagOf(group) + this.#shares.stepOf(group, own * this.#meanCost);
    let count = own;
    for (const lane of this.#lanes.values()) {
      if (lane.name !== group) count += this.#startsBefore(lane, tag);
    }
    return count;
  }

  push(group: string, entry: T): void {
    this.#laneFor(group).entries.push(entry);
    this.#size += 1;
  }

  /** Puts an entry back before the others of its group. */
  unshift(group: string, entry: T): void {
    this.#laneFor(group).entries.unshift(entry);
    this.#size += 1;
  }

  /** The entry whose turn it is. */
  peek(): T | undefined {
    return this.#next()?.entries[0];
  }

  /** Takes the entry that `peek` shows and charges its cost to its group. */
  take(cost: number): T | undefined {
    const lane = this.#next();
    if (!lane) return undefined;
    const entry = lane.entries.shift();
    this.#size -= 1;
    this.#shares.charge(lane.name, cost);
    this.#meanCost += MEAN_WEIGHT * (cost - this.#meanCost);
    this.#dropEmpty(lane);
    return entry;
  }

  /** Removes and returns every entry of which `gone` holds. */
  removeWhere(gone: (entry: T) => boolean): readonly T[] {
    const removed: T[] = [];
    for (const lane of [...this.#lanes.values()]) {
      const kept = lane.entries.filter((entry) => !gone(entry));
      if (kept.length < lane.entries.length) {
        removed.push(...lane.entries.filter(gone));
        lane.entries.splice(0, lane.entries.length, ...kept);
        this.#dropEmpty(lane);
      }
    }
    this.#size -= removed.length;
    return removed;
  }

  /** Removes one entry of a group. */
  remove(group: string, entry: T): boolean {
    const lane = this.#lanes.get(group);
    const index = lane ? lane.entries.indexOf(entry) : -1;
    if (!lane || index < 0) return false;
    lane.entries.splice(index, 1);
    this.#size -= 1;
    this.#dropEmpty(lane);
    return true;
  }

  /** Entries of a lane that start before a virtual time. */
  #startsBefore({ name, entries }: Lane<T>, time: number): number {
    if (this.#meanCost <= 0) return entries.length;
    const step = this.#shares.stepOf(name, this.#meanCost);
    const started = Math.ceil((time - this.#shares.tagOf(name)) / step);
    return Math.max(0, Math.min(entries.length, started));
  }

  #laneFor(group: string): Lane<T> {
    const existing = this.#lanes.get(group);
    if (existing) return existing;
    const lane: Lane<T> = { name: group, entries: [] };
    this.#lanes.set(group, lane);
    this.#shares.enter(group);
    return lane;
  }

  #next(): Lane<T> | undefined {
    let best: Lane<T> | undefined;
    let least = Infinity;
    for (const lane of this.#lanes.values()) {
      const tag = this.#shares.tagOf(lane.name);
      if (!best || tag < least) {
        best = lane;
        least = tag;
      }
    }
    return best;
  }

  #dropEmpty(lane: Lane<T>): void {
    if (lane.entries.length > 0) return;
    this.#lanes.delete(lane.name);
    this.#shares.leave(lane.name);
  }
}
