/** Decodes a page of the store's entries, or of their changes. */

import { toFailure } from '../core/failure';
import type { Suspect } from '../core/quarantine/types';
import type { RunnerRecord } from '../core/routing/directory';
import type { StoreHistory } from '../core/routing/position';
import { key, singleKeys } from './names';
import { decodeRunner, decodeSuspect, decodeVm } from './records';
import type { Item, Snapshot } from './store';
import type { UnreadableItems } from './unreadable';
import { readItem } from './unreadable';

/** A VM as it is registered. */
export interface ListedVm {
  readonly vm: string;
  readonly address: string;
}

const singles: ReadonlySet<string> = new Set(singleKeys);

/** The entries of a page. */
export class Entries {
  readonly runners: RunnerRecord[] = [];

  readonly suspects: Suspect[] = [];

  readonly vms: ListedVm[] = [];

  /**
   * Ids of the runners that the page lists. An item without a revision tells nothing new of its runner,
   * but that it is listed; an entry that cannot be read names no runner.
   */
  readonly listed: string[] = [];

  /** Keys of the entries of runners, VMs and suspects that cannot be read. */
  readonly unreadable: string[] = [];

  /** Whether there is an item of the configuration without a revision. */
  readonly hasMalformedConfig: boolean;

  readonly #singles: readonly Item[];

  readonly #history: StoreHistory;

  readonly #unreadableItems: UnreadableItems;

  constructor(
    { items, malformedKeys }: Snapshot,
    history: StoreHistory,
    unreadableItems: UnreadableItems,
  ) {
    this.#history = history;
    this.#unreadableItems = unreadableItems;
    this.#singles = items.filter((item) => singles.has(item.key));
    items.forEach((item) => this.#add(item));
    const malformed = malformedKeys.filter((name) => name.startsWith(key.runners));
    this.listed.push(...malformed.map(idOf));
    this.hasMalformedConfig = malformedKeys.includes(key.config);
  }

  /** The items of one of the single keys, oldest first: changes may hold several. Those who use them decode them. */
  itemsOf(name: string): readonly Item[] {
    return this.#singles.filter((item) => item.key === name);
  }

  #add(item: Item): void {
    const { key: name, value } = item;
    if (name.startsWith(key.runners)) this.#addRunner(item);
    else if (value !== undefined && !this.#addOther(item)) this.unreadable.push(name);
  }

  /** Adds the entry of a VM or a suspect; returns false if it cannot be read. */
  #addOther(item: Item): boolean {
    const { key: name } = item;
    if (name.startsWith(key.vms)) {
      return readItem(this.#unreadableItems, item, (text) => {
        this.vms.push(decodeVm(name.slice(key.vms.length), text));
      });
    }
    if (!name.startsWith(key.suspects)) return true;
    return readItem(this.#unreadableItems, item, (text) => {
      this.suspects.push(decodeSuspect(Date.now(), name.slice(key.suspects.length), text));
    });
  }

  /** An entry that cannot be decoded also yields a record, because it may have replaced a runner that was listed under this key. */
  #addRunner(item: Item): void {
    const record = this.#recordOf(item);
    this.runners.push(record);
    if (record.runner) this.listed.push(record.id);
    else if (record.unreadable !== undefined) this.unreadable.push(item.key);
  }

  #recordOf({ key: name, revision, value, unreadable }: Item): RunnerRecord {
    const id = idOf(name);
    const position = this.#history.positionOf(revision);
    if (unreadable !== undefined) {
      return { id, position, runner: undefined, unreadable: `runner ${id}: ${unreadable}` };
    }
    try {
      return { id, position, runner: value === undefined ? undefined : decodeRunner(id, value) };
    } catch (error) {
      return { id, position, runner: undefined, unreadable: toFailure(error).message };
    }
  }
}

function idOf(name: string): string {
  return name.slice(key.runners.length);
}
