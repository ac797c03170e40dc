/** Items of the store that cannot be read, each logged once for each change. */

import type { Logger } from 'pino';

import type { Failure } from '../core/failure';
import type { Item } from './store';

/** Revisions at which items could not be read, by key. */
export class UnreadableItems {
  readonly #log: Logger;

  readonly #revisions = new Map<string, number>();

  #era: number | undefined;

  /** Items of the last list that have no key or no revision. */
  #malformed = 0;

  constructor(log: Logger) {
    this.#log = log;
  }

  /** Whether an item could not be read at its revision. */
  has({ key, revision }: Item): boolean {
    return this.#revisions.get(key) === revision;
  }

  /** Logs that an item cannot be read, unless it has not changed since it was logged. */
  report(item: Item, failure: Failure): void {
    if (this.has(item)) return;
    const { key, revision } = item;
    this.#revisions.set(key, revision);
    this.#log.error({ key, revision }, failure.line);
  }

  /**
   * Takes a list of all items: those that it lacks are forgotten.
   * @param malformed number of items in it that have no key or no revision
   */
  retain(items: readonly Item[], malformed: number): void {
    const listed = new Set(items.map(({ key }) => key));
    for (const key of this.#revisions.keys()) if (!listed.has(key)) this.#revisions.delete(key);
    if (malformed > 0 && malformed !== this.#malformed) {
      this.#log.error(
        { items: malformed },
        'Found items of the store without a key or a revision.',
      );
    }
    this.#malformed = malformed;
  }

  /** Forgets all items if the era is another one: a restored store gives out its revisions again. */
  enter(era: number): void {
    if (era !== this.#era) this.#revisions.clear();
    this.#era = era;
  }
}
