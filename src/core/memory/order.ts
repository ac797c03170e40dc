/** Who of the waiting requests that can still meet their aim goes first. */

import { FairShares } from '../fair';
import type { Demand } from './types';

/** A request and what it will take. */
export interface QueueEntry {
  readonly demand: Demand;
  /** Tokens of memory. */
  readonly size: number;
  /** Memory times the time for which it is held, in tokens times milliseconds. */
  readonly cost: number;
}

/** A way to order requests. */
export interface QueueOrder {
  order(turns: readonly QueueEntry[]): readonly QueueEntry[];
  /** A customer has requests that wait from now on. */
  customerQueued(demand: Demand): void;
  /** A customer's last request that waited is gone. */
  customerDequeued(demand: Demand): void;
  /** A request has a place. */
  reserved(turn: QueueEntry): void;
}

function bySize(a: QueueEntry, b: QueueEntry): number {
  return a.size - b.size;
}

/** Small ones first, whosesoever: in an overload they bring the most answers for the memory. */
export class SmallestFirst implements QueueOrder {
  order(turns: readonly QueueEntry[]): readonly QueueEntry[] {
    return [...turns].sort(bySize);
  }

  customerQueued(): void {}

  customerDequeued(): void {}

  reserved(): void {}
}

/** Requests without a customer, together. */
const NOBODY = '';

function groupOf({ customer }: Demand): string {
  return customer ?? NOBODY;
}

interface Lane {
  readonly group: string;
  readonly turns: QueueEntry[];
  tag: number;
}

/**
 * Customers in turn by the memory and time that they had, and of each the small ones
 * first: a customer that floods, within its quota, took the places of all others. Those
 * with a higher rank have a larger share.
 */
export class FairOrder implements QueueOrder {
  readonly #weights = new Map<string, number>();

  readonly #shares = new FairShares((group) => this.#weights.get(group) ?? 1, 0);

  order(turns: readonly QueueEntry[]): readonly QueueEntry[] {
    const lanes = this.#lanesOf(turns);
    const ordered: QueueEntry[] = [];
    while (ordered.length < turns.length) {
      const lane = leastOf(lanes);
      const turn = lane?.turns.shift();
      if (!lane || !turn) break;
      ordered.push(turn);
      lane.tag += this.#shares.stepOf(lane.group, turn.cost);
    }
    return ordered;
  }

  customerQueued(demand: Demand): void {
    const group = groupOf(demand);
    this.#weights.set(group, 1 / (1 + demand.rank));
    this.#shares.enter(group);
  }

  customerDequeued(demand: Demand): void {
    this.#shares.leave(groupOf(demand));
  }

  reserved({ demand, cost }: QueueEntry): void {
    this.#shares.charge(groupOf(demand), cost);
  }

  #lanesOf(turns: readonly QueueEntry[]): readonly Lane[] {
    const lanes = new Map<string, Lane>();
    for (const turn of [...turns].sort(bySize)) {
      const group = groupOf(turn.demand);
      const lane = lanes.get(group) ?? { group, turns: [], tag: this.#shares.tagOf(group) };
      lane.turns.push(turn);
      lanes.set(group, lane);
    }
    return [...lanes.values()];
  }
}

/** The lane that is behind; among equals the one with the smaller request. */
function leastOf(lanes: readonly Lane[]): Lane | undefined {
  let least: Lane | undefined;
  for (const lane of lanes) {
    const [first] = lane.turns;
    const isBehind = !least || lane.tag < least.tag;
    if (first && isBehind) least = lane;
  }
  return least;
}
