/** Scheduling order of the waiting requests that can still meet their deadline. */

import { customerPriorityOf } from '../customers/rank';
import { FairShares } from '../fair';
import type { Demand } from './types';

/** A waiting request and its expected use of memory. */
export interface QueueEntry {
  readonly demand: Demand;
  /** Tokens of memory. */
  readonly size: number;
  /** Memory times the time for which it is held, in token milliseconds. */
  readonly cost: number;
}

/** A scheduling order. */
export interface QueueOrder {
  /**
   * Returns the entries in scheduling order.
   * @param byAge whether the first one is chosen by age instead of size
   */
  order(entries: readonly QueueEntry[], byAge: boolean): readonly QueueEntry[];
  /** A customer without waiting requests got one. */
  customerQueued(demand: Demand): void;
  /** A customer's last waiting request was removed. */
  customerDequeued(demand: Demand): void;
  /** A request got a reservation. */
  reserved(entry: QueueEntry): void;
}

function bySize(a: QueueEntry, b: QueueEntry): number {
  return a.size - b.size;
}

/** Moves the entry with the earliest deadline to the front. */
function moveOldestToFront(entries: QueueEntry[]): void {
  let oldest = 0;
  for (const [i, { demand }] of entries.entries()) {
    if (demand.dueAt < (entries[oldest]?.demand.dueAt ?? Infinity)) oldest = i;
  }
  entries.unshift(...entries.splice(oldest, 1));
}

/**
 * Smallest requests first, regardless of their customers: in an overload they give the most answers
 * for the memory.
 */
export class SmallestFirst implements QueueOrder {
  order(entries: readonly QueueEntry[], byAge: boolean): readonly QueueEntry[] {
    const ordered = [...entries].sort(bySize);
    if (byAge) moveOldestToFront(ordered);
    return ordered;
  }

  customerQueued(): void {}

  customerDequeued(): void {}

  reserved(): void {}
}

/** Group of all requests without a customer. */
const NO_CUSTOMER = '';

function groupOf({ customer }: Demand): string {
  return customer ?? NO_CUSTOMER;
}

interface Lane {
  readonly group: string;
  readonly entries: QueueEntry[];
  tag: number;
}

/**
 * Fair order between customers by the memory and time that they have used; the smallest requests
 * first within each. Without it, a customer that floods the service within its quota displaced all
 * others. Customers with a higher priority have a larger share.
 */
export class FairOrder implements QueueOrder {
  readonly #weights = new Map<string, number>();

  readonly #shares = new FairShares((group) => this.#weights.get(group) ?? 1, 0);

  order(entries: readonly QueueEntry[], byAge: boolean): readonly QueueEntry[] {
    const lanes = this.#groupIntoLanes(entries);
    const first = byAge ? leastLane(lanes) : undefined;
    if (first) moveOldestToFront(first.entries);
    const ordered: QueueEntry[] = [];
    while (ordered.length < entries.length) {
      const lane = leastLane(lanes);
      const entry = lane?.entries.shift();
      if (!lane || !entry) break;
      ordered.push(entry);
      lane.tag += this.#shares.stepOf(lane.group, entry.cost);
    }
    return ordered;
  }

  customerQueued(demand: Demand): void {
    const group = groupOf(demand);
    this.#weights.set(group, 1 / (1 + customerPriorityOf(demand.rank)));
    this.#shares.enter(group);
  }

  customerDequeued(demand: Demand): void {
    this.#shares.leave(groupOf(demand));
  }

  reserved({ demand, cost }: QueueEntry): void {
    this.#shares.charge(groupOf(demand), cost);
  }

  #groupIntoLanes(entries: readonly QueueEntry[]): readonly Lane[] {
    const lanes = new Map<string, Lane>();
    for (const entry of [...entries].sort(bySize)) {
      const group = groupOf(entry.demand);
      const lane = lanes.get(group) ?? { group, entries: [], tag: this.#shares.tagOf(group) };
      lane.entries.push(entry);
      lanes.set(group, lane);
    }
    return [...lanes.values()];
  }
}

/** The lane with the smallest tag; among equal ones the one whose first request is smallest. */
function leastLane(lanes: readonly Lane[]): Lane | undefined {
  let least: Lane | undefined;
  for (const lane of lanes) {
    const [first] = lane.entries;
    const isBehind = !least || lane.tag < least.tag;
    if (first && isBehind) least = lane;
  }
  return least;
}
