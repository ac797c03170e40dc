/**
 * Positions in the history of the store.
 *
 * The store may be restored from an older copy of itself. Its revisions then go back and
 * are assigned again, so a revision alone gives no order. The era, which grows by one
 * with each restore, takes precedence over the revision.
 */

/** A point in the store's history. */
export interface Position {
  /** Number of times the store was restored from a copy; 0 if the store does not report it. */
  readonly era: number;
  readonly revision: number;
}

/** The position before everything that a store holds. */
export const START: Position = { era: 0, revision: 0 };

/** Revisions of one era that fit into a number together with the era: at 6,100 heartbeats a second they last for five years. */
const REVISIONS_PER_ERA = 2 ** 40;

/** Whether `one` is strictly later than `other`. */
export function isLater(one: Position, other: Position): boolean {
  return one.era === other.era ? one.revision > other.revision : one.era > other.era;
}

/** The latest of some positions; `START` if there are none. */
export function latest(positions: readonly Position[]): Position {
  return positions.reduce((found, one) => (isLater(one, found) ? one : found), START);
}

/** A position as one integer in the same order, for formats that hold only a number. */
export function ordinalOf({ era, revision }: Position): number {
  return era * REVISIONS_PER_ERA + revision;
}

/** Eras that are remembered. A restore is rare; two in a row happen in drills. */
const MAX_ERAS = 4;

/**
 * The store's history as one VM knows it: the first revision seen of each of the latest
 * eras.
 *
 * A restored copy holds entries from earlier eras. They are stale: a runner that has left
 * since is still listed in them. Their revisions do not distinguish them from entries
 * written right after the restore, so every revision up to the first one seen of an era
 * is assigned to earlier eras. Live processes write again within a heartbeat, and those
 * entries certainly belong to the new era.
 */
export class StoreHistory {
  /** Latest era first. */
  #starts: readonly Position[] = [];

  /** Starts of the latest eras, latest first; empty until the store or another VM has reported one. */
  get starts(): readonly Position[] {
    return this.#starts;
  }

  /** The latest known era; undefined if none is known. */
  get era(): number | undefined {
    return this.#starts[0]?.era;
  }

  /**
   * Merges starts of eras: adds new eras and keeps the earliest known start of each.
   * @returns whether the latest era changed; false if none was known before
   */
  apply(starts: readonly Position[]): boolean {
    const before = this.era;
    const first = new Map<number, number>();
    for (const { era, revision } of [...this.#starts, ...starts]) {
      first.set(era, Math.min(revision, first.get(era) ?? Infinity));
    }
    this.#starts = [...first]
      .map(([era, revision]) => ({ era, revision }))
      .sort((a, b) => b.era - a.era)
      .slice(0, MAX_ERAS);
    return before !== undefined && this.era !== before;
  }

  /** The position of an entry that the store holds at a revision now. */
  positionOf(revision: number): Position {
    const start = this.#starts.find((one) => revision > one.revision);
    return { era: start?.era ?? 0, revision };
  }
}
