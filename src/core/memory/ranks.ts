/**
 * Order between the ranks of a service and between size and age, by what has started. Handles loads
 * of up to about twice the capacity, in which small or urgent requests alone would fill the memory.
 */

import type { QueueEntry } from './order';
import type { OrderRules } from './policy';

/** Rank of all requests of a service that does not distinguish ranks. */
const SINGLE_RANK = 0;

/** Waiting requests of one rank. */
interface RankGroup {
  readonly rank: number;
  readonly entries: QueueEntry[];
}

/** Orders the entries of one rank; `byAge` chooses the first one by age. */
export type OrderWithinRank = (
  entries: readonly QueueEntry[],
  byAge: boolean,
) => readonly QueueEntry[];

/** Requests in scheduling order. */
export interface RankedEntries {
  readonly entries: readonly QueueEntry[];
  /** Ids of the requests whose turn is by age. */
  readonly aged: ReadonlySet<string>;
}

/** What each rank has started and is owed. */
export class RankTurns {
  readonly #rules: OrderRules;

  /** Tokens of memory that each waiting rank is owed by more urgent ones. */
  readonly #owed = new Map<number, number>();

  /** Starts of each rank. */
  readonly #starts = new Map<number, number>();

  #byRank = false;

  constructor(rules: OrderRules) {
    this.#rules = rules;
  }

  /** Sets whether ranks are distinguished. */
  distinguish(byRank: boolean): void {
    this.#byRank = byRank;
  }

  /** Whether ranks are distinguished. */
  get isDistinguished(): boolean {
    return this.#byRank;
  }

  /** Whether requests of a more urgent rank have started. */
  isOutranked(rank: number): boolean {
    return [...this.#starts.keys()].some((started) => started < rank);
  }

  /** The rank by which a request is ordered. */
  rankOf({ rank }: { readonly rank: number }): number {
    return this.#byRank ? rank : SINGLE_RANK;
  }

  /**
   * Orders requests by rank. The first request of a rank that is owed its memory comes before more
   * urgent ranks.
   */
  order(entries: readonly QueueEntry[], orderWithin: OrderWithinRank): RankedEntries {
    const groups = this.#groupByRank(entries);
    const owed: QueueEntry[] = [];
    const others: QueueEntry[] = [];
    const aged = new Set<string>();
    for (const { rank, entries: own } of groups) {
      const byAge = this.#isAgeTurn(rank);
      const [first, ...rest] = orderWithin(own, byAge);
      if (first) {
        if (byAge) aged.add(first.demand.id);
        const isOwed = (this.#owed.get(rank) ?? 0) >= first.size;
        (isOwed ? owed : others).push(first);
        others.push(...rest);
      }
    }
    return { entries: [...owed, ...others], aged };
  }

  /** Records that a request got a reservation. */
  reserved({ demand, size }: QueueEntry): void {
    const rank = this.rankOf(demand);
    this.#starts.set(rank, (this.#starts.get(rank) ?? 0) + 1);
    const { lessUrgentShare, maxLessUrgentShare } = this.#rules;
    const lower = [...this.#owed.keys()].filter((other) => other > rank).length;
    const share = Math.min(lessUrgentShare, maxLessUrgentShare / Math.max(1, lower));
    for (const [other, tokens] of this.#owed) {
      if (other > rank) this.#owed.set(other, tokens + size * share);
      if (other === rank) this.#owed.set(other, Math.max(0, tokens - size));
    }
  }

  /** Whether the next start of a rank is by age. */
  #isAgeTurn(rank: number): boolean {
    const { startsPerAged } = this.#rules;
    return (this.#starts.get(rank) ?? 0) % startsPerAged === startsPerAged - 1;
  }

  /** Groups by ascending rank; ranks without a request are owed nothing any more. */
  #groupByRank(entries: readonly QueueEntry[]): readonly RankGroup[] {
    const groups = new Map<number, QueueEntry[]>();
    for (const entry of entries) {
      const rank = this.rankOf(entry.demand);
      const group = groups.get(rank);
      if (group) group.push(entry);
      else groups.set(rank, [entry]);
    }
    for (const rank of this.#owed.keys()) if (!groups.has(rank)) this.#owed.delete(rank);
    for (const rank of groups.keys()) this.#owed.set(rank, this.#owed.get(rank) ?? 0);
    return [...groups]
      .map(([rank, own]) => ({ rank, entries: own }))
      .sort((a, b) => a.rank - b.rank);
  }
}
