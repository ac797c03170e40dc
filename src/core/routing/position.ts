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

/**
 * The store's history as one VM knows it: its era, and the first revision that was
 * seen of it.
 *
 * A copy holds entries as they were written in the era before. They tell nothing
 * new: runners that have left since stand there as if they were living. They cannot
 * be told by their revision from what was written right after the return, so that
 * all up to the first revision seen counts as of the era before; what is living
 * writes again within a heartbeat, and that is of the new era beyond doubt.
 */
export class History {
  #start: Position | undefined;

  /** Era before the present one, as far as this VM knew. */
  #olderEra = 0;

  /** Undefined until an answer of the store or a VM that knows told. */
  get start(): Position | undefined {
    return this.#start;
  }

  get era(): number | undefined {
    return this.#start?.era;
  }

  /**
   * Takes over the start of an era: a later era, or an earlier start of the same.
   * @returns whether the era was known as another one before
   */
  learn(start: Position): boolean {
    const before = this.#start;
    if (!before) {
      this.#start = start;
      this.#olderEra = Math.max(0, start.era - 1);
      return false;
    }
    if (start.era === before.era && start.revision < before.revision) this.#start = start;
    if (start.era <= before.era) return false;
    this.#start = start;
    this.#olderEra = before.era;
    return true;
  }

  /** The position of what the store holds at a revision now. */
  positionOf(revision: number): Position {
    const { era, revision: first } = this.#start ?? START;
    return revision > first ? { era, revision } : { era: this.#olderEra, revision };
  }
}
