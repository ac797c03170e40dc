/** Items of the store that cannot be read, each logged once for each change. */

import type { Logger } from 'pino';

import { Failure, toFailure } from '../core/failure';
import * as names from './names';
import type { Item, Snapshot } from './store';

/** Most items of VMs and suspects that are remembered and logged one by one: other writers may leave any number. */
const MAX_REMEMBERED = 100;

/** Whether there may be any number of items like this one. */
function isOneOfMany(name: string): boolean {
  return name.startsWith(names.key.vms) || name.startsWith(names.key.suspects);
}

/** Revisions at which items could not be read, by key. */
export class UnreadableItems {
  readonly #log: Logger;

  readonly #revisions = new Map<string, number>();

  /** Keys of remembered items that the present list has shown. */
  readonly #listed = new Set<string>();

  #era: number | undefined;

  /** Items of the present list that have no key or no revision. */
  #malformed = 0;

  /** Numbers that the last list brought. */
  #last = { malformed: 0, entries: 0 };

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
    const isFull = this.#revisions.size >= MAX_REMEMBERED;
    if (isFull && isOneOfMany(key) && !this.#revisions.has(key)) return;
    this.#revisions.set(key, revision);
    this.#listed.add(key);
    this.#log.error({ key, revision }, failure.line);
  }

  /** Begins a list of all items. */
  begin(): void {
    this.#listed.clear();
    this.#malformed = 0;
  }

  /** Takes a page of the list, before its items are read. */
  take({ items, malformed }: Snapshot): void {
    this.#malformed += malformed;
    for (const { key } of items) if (this.#revisions.has(key)) this.#listed.add(key);
  }

  /**
   * Ends the list: items that it lacks are forgotten.
   * @param found how many entries of runners, VMs and suspects the list holds that cannot be read, and some of their keys
   */
  end({ entries, keys }: { readonly entries: number; readonly keys: readonly string[] }): void {
    for (const key of this.#revisions.keys()) {
      if (!this.#listed.has(key)) this.#revisions.delete(key);
    }
    const malformed = this.#malformed;
    if (malformed > 0 && malformed !== this.#last.malformed) {
      this.#log.error(
        { items: malformed },
        'Found items of the store without a key or a revision.',
      );
    }
    if (entries > 0 && entries !== this.#last.entries) {
      this.#log.warn({ entries, keys }, 'Found entries that cannot be read.');
    }
    this.#last = { malformed, entries };
  }

  /** Forgets all items if the era is another one: a restored store gives out its revisions again. */
  enter(era: number): void {
    if (era !== this.#era) this.#revisions.clear();
    this.#era = era;
  }
}

/**
 * Reads the value of an item; one that cannot be read is reported, and otherwise ignored.
 * @returns whether it was read
 */
export function readItem(
  unreadableItems: UnreadableItems,
  item: Item,
  read: (value: string) => void,
): boolean {
  const { key, value = '', unreadable } = item;
  try {
    if (unreadable !== undefined) throw new Failure('factUnreadable', `${key}: ${unreadable}`);
    read(value);
    return true;
  } catch (error) {
    unreadableItems.report(item, toFailure(error));
    return false;
  }
}
