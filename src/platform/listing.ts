/**
 * Decides which calls read the entries that the router uses, where the store holds more than one page.
 *
 * The first page is one of the whole store, so that a small store takes one call. Other writers may leave
 * any number of entries: after that page only the prefixes that the router uses are read, one page of
 * each in turn, so that entries under one of them delay none of the others.
 */

import type { Position } from '../core/routing/position';
import type { Entries } from './entries';
import type { SingleKey } from './names';
import { key, singleKeys } from './names';

/** Reads the entry of one key. */
interface KeyCall {
  readonly kind: 'key';
  readonly key: SingleKey;
}

/** Reads a page of the entries below a prefix. */
interface RangeCall {
  readonly kind: 'range';
  readonly prefix: string;
  /** The key after which the page begins; empty for the first page. */
  readonly after: string;
}

export type ListCall = KeyCall | RangeCall;

const PREFIXES = [key.runners, key.vms, key.suspects] as const;

/** Most keys of unreadable entries that are named. */
const MAX_NAMED = 5;

/** Whether all keys below a prefix come before a key. */
function isPassed(prefix: string, last: string): boolean {
  return last > prefix && !last.startsWith(prefix);
}

/** A list of the store while it is read. */
export class Listing {
  /** When the list was begun, in milliseconds. */
  readonly startedAt: number;

  /** The position of the first page: later changes come with the watch. */
  readonly position: Position;

  /** Keys of which the first page shows whether they have an entry. */
  readonly singles: readonly SingleKey[];

  readonly #calls: ListCall[];

  readonly #listed = new Set<string>();

  readonly #unreadable: string[] = [];

  #unreadableCount = 0;

  #callCount = 0;

  #failures = 0;

  /** @param last the last key of the first page; undefined if the store holds no more */
  constructor(startedAt: number, position: Position, last: string | undefined) {
    this.startedAt = startedAt;
    this.position = position;
    this.singles = singleKeys.filter((name) => last === undefined || name <= last);
    this.#calls = last === undefined ? [] : callsAfter(last);
  }

  /** The next call; undefined if all entries were read. */
  get next(): ListCall | undefined {
    return this.#calls[0];
  }

  /** Ids of the listed runners. */
  get listed(): ReadonlySet<string> {
    return this.#listed;
  }

  /** How many calls the list has taken so far. */
  get callCount(): number {
    return this.#callCount;
  }

  /** How many calls have failed; they are made again. */
  get failures(): number {
    return this.#failures;
  }

  /** How many entries could not be read, and some of their keys. */
  get unreadable(): { readonly entries: number; readonly keys: readonly string[] } {
    return { entries: this.#unreadableCount, keys: this.#unreadable };
  }

  /** Records what a page held. */
  take({ listed, unreadable }: Entries): void {
    this.#callCount += 1;
    listed.forEach((id) => this.#listed.add(id));
    this.#unreadableCount += unreadable.length;
    this.#unreadable.push(...unreadable.slice(0, MAX_NAMED - this.#unreadable.length));
  }

  /** Records that the next call has failed. */
  failed(): void {
    this.#failures += 1;
  }

  /**
   * Records that the next call has been answered.
   * @param last the last key of the page that it brought; undefined if no other page follows
   */
  advance(last: string | undefined): void {
    const call = this.#calls.shift();
    if (call?.kind === 'range' && last !== undefined) this.#calls.push({ ...call, after: last });
  }
}

/** The calls that read what the router uses of the entries after a key. */
function callsAfter(last: string): ListCall[] {
  const keys = singleKeys.filter((name) => name > last);
  const prefixes = PREFIXES.filter((prefix) => !isPassed(prefix, last));
  return [
    ...keys.map((name): ListCall => ({ kind: 'key', key: name })),
    ...prefixes.map((prefix): ListCall => ({
      kind: 'range',
      prefix,
      after: last.startsWith(prefix) ? last : '',
    })),
  ];
}
