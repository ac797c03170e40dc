/** Remembers which invalid entries were reported, so that each is reported once however often it is read. */

import type { Position } from './position';
import { isLater } from './position';

/** Most entries that are remembered: other writers may leave any number. */
const MAX_ENTRIES = 1000;

/** Invalid entries by id. */
export class InvalidEntries {
  /** In the order in which they were reported. */
  readonly #positions = new Map<string, Position>();

  /**
   * Records that an entry is invalid as of a position.
   * @returns whether it is to be reported: not if that was done at this position or a later one
   */
  record(id: string, position: Position): boolean {
    const known = this.#positions.get(id);
    if (known && !isLater(position, known)) return false;
    this.#positions.delete(id);
    this.#positions.set(id, position);
    const [oldest] = this.#positions.keys();
    if (this.#positions.size > MAX_ENTRIES && oldest !== undefined) this.#positions.delete(oldest);
    return true;
  }
}
