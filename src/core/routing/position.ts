/**
 * Where in the history of the store something stands.
 *
 * The store may come back from an older copy of itself. Its revisions go back then
 * and are given out again, so that a revision alone orders nothing; its era, one
 * higher after each return, goes before it.
 */

/** A point in the store's history. */
export interface Position {
  /** How often the store had come back from a copy; 0 where it does not tell. */
  readonly era: number;
  readonly revision: number;
}

/** Before all that a store holds. */
export const START: Position = { era: 0, revision: 0 };

/** Revisions of one era that fit a number beside its era: at 6,100 heartbeats a second they last for five years. */
const REVISIONS = 2 ** 40;

export function isLater(one: Position, other: Position): boolean {
  return one.era === other.era ? one.revision > other.revision : one.era > other.era;
}

export function latest(positions: readonly Position[]): Position {
  return positions.reduce((found, one) => (isLater(one, found) ? one : found), START);
}

/** A position as one whole number in the same order, for what has room for a number only. */
export function ordinalOf({ era, revision }: Position): number {
  return era * REVISIONS + revision;
}

/** Eras that are remembered: the store comes back once in a long while, and twice in a row in a drill. */
const ERAS_MOST = 4;

/**
 * The store's history as one VM knows it: of each of its latest eras, the first
 * revision that was seen of it.
 *
 * A copy holds entries as they were written in eras before. They tell nothing new:
 * runners that have left since stand there as if they were living. They cannot be
 * told by their revision from what was written right after the return, so that all
 * up to the first revision seen of an era counts as of eras before; what is living
 * writes again within a heartbeat, and that is of the new era beyond doubt.
 */
export class StoreHistory {
  /** Latest era first. */
  #starts: readonly Position[] = [];

  /** Starts of the latest eras, the latest first; empty until an answer of the store or another VM told. */
  get starts(): readonly Position[] {
    return this.#starts;
  }

  get era(): number | undefined {
    return this.#starts[0]?.era;
  }

  /**
   * Takes over starts of eras: of those that are new, and earlier ones of those known.
   * @returns whether the latest era was known as another one before
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
      .slice(0, ERAS_MOST);
    return before !== undefined && this.era !== before;
  }

  /** The position of what the store holds at a revision now. */
  positionOf(revision: number): Position {
    const start = this.#starts.find((one) => revision > one.revision);
    return { era: start?.era ?? 0, revision };
  }
}
