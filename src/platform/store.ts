/** Client of the platform's key-value store: reads, watches, transactions and leases. */

import { isUtf8 } from 'node:buffer';

import { z } from 'zod';

import { Failure, toFailure } from '../core/failure';
import type { Position } from '../core/routing/position';
import type { HttpResponse } from '../utils/http';
import { call } from '../utils/http';
import type { EraReader } from './era';
import { header, key as keys, path } from './names';

/** An entry of the store, or its deletion. */
export interface Item {
  readonly key: string;
  /** Store revision of the last change of this key. */
  readonly revision: number;
  /** Undefined if the item was deleted. */
  readonly value: string | undefined;
  /** Why the value was not decoded; it is empty then. Default: it was */
  readonly unreadable?: string;
}

/** Items of the store at a revision. */
export interface Snapshot {
  readonly items: readonly Item[];
  /** Number of further items that cannot be read. */
  readonly malformed: number;
  /** The keys of those of them that name an entry. */
  readonly malformedKeys: readonly string[];
  readonly revision: number;
  /** Undefined if the response has no valid era. */
  readonly era: number | undefined;
}

/** A part of the items below a prefix. */
export interface Page extends Snapshot {
  /** The key after which the next page begins; undefined if there is none. */
  readonly last: string | undefined;
}

/** Writes and deletions that are applied atomically if all conditions hold. */
export interface Transaction {
  /** Conditions: the revision that each key must have; 0 means that the key must not exist. */
  readonly expected: readonly { readonly key: string; readonly revision: number }[];
  /** Items to write; `lease` 0 means no lease. */
  readonly writes: readonly {
    readonly key: string;
    readonly value: string;
    readonly lease: number;
  }[];
  /** Keys to delete. Default: none. */
  readonly remove?: readonly string[];
}

/** Longest key that the store accepts, in bytes. */
const MAX_KEY_BYTES = 200;

/** Longest value of any item but the configuration, in bytes; runners write some 300. Longer ones of other writers are not decoded. */
const MAX_ENTRY_BYTES = 65_536;

const keySchema = z.object({ key: z.string() });
const namedSchema = z.object({
  key: z.string().refine((key) => Buffer.byteLength(key) <= MAX_KEY_BYTES),
});
const revisionNumber = z.int().min(0);
const itemSchema = namedSchema.extend({
  /** Standard base64. */
  value: z.unknown().optional(),
  revision: revisionNumber,
  deleted: z.unknown().optional(),
});
const rangeSchema = z.object({
  items: z.array(z.unknown()),
  truncated: z.boolean().default(false),
  'as-of': revisionNumber,
});
const asOfSchema = z.object({ 'as-of': revisionNumber });
const revisionSchema = z.object({ revision: z.number() });
const leaseSchema = z.object({ lease: z.number() });
const watchSchema = z.object({ events: z.array(z.unknown()), 'as-of': revisionNumber });

/** Timeout of one call, in milliseconds. A healthy store answers within a few milliseconds, a slow one within hundreds. */
const CALL_TIMEOUT_MS = 1200;
/** Time beyond the requested wait after which a watch is given up, in milliseconds. */
const WATCH_GRACE_MS = 400;
const HTTP_OK = 200;
const HTTP_NOT_FOUND = 404;
const HTTP_GONE = 410;
const HTTP_PRECONDITION_FAILED = 412;
const HTTP_TOO_MANY_REQUESTS = 429;

/** Decodes base64, unless it is longer than the value of a key may be. */
function valueOf(key: string, value: unknown): Pick<Item, 'value' | 'unreadable'> {
  const encoded = typeof value === 'string' ? value : '';
  const length = Buffer.byteLength(encoded, 'base64');
  if (key !== keys.config && length > MAX_ENTRY_BYTES) {
    return {
      value: '',
      unreadable: `found ${length} bytes, expected ${MAX_ENTRY_BYTES} at most`,
    };
  }
  const bytes = Buffer.from(encoded, 'base64');
  return isUtf8(bytes)
    ? { value: bytes.toString() }
    : { value: '', unreadable: 'found bytes that are no UTF-8, expected a text' };
}

/** The items that can be read: one that has no key or no revision names no entry. */
function toItems(values: readonly unknown[]): readonly Item[] {
  return values.flatMap((raw) => {
    const parsed = itemSchema.safeParse(raw);
    if (!parsed.success) return [];
    const { key, revision, value, deleted } = parsed.data;
    const isDeleted = deleted === true || value === undefined;
    return [{ key, revision, ...(isDeleted ? { value: undefined } : valueOf(key, value)) }];
  });
}

/** The last key of a page, after which the next one begins; undefined if it has none. */
function lastKeyOf(values: readonly unknown[]): string | undefined {
  const names = values.map((raw) => keySchema.safeParse(raw).data?.key);
  return names.filter((name) => name !== undefined).at(-1);
}

/** The key of an item that cannot be read; empty if it has none. */
function malformedKeyOf(raw: unknown): readonly string[] {
  const named = namedSchema.safeParse(raw);
  return named.success && !itemSchema.safeParse(raw).success ? [named.data.key] : [];
}

function snapshotOf(values: readonly unknown[], at: Pick<Snapshot, 'revision' | 'era'>): Snapshot {
  const items = toItems(values);
  const malformed = values.length - items.length;
  const malformedKeys = malformed === 0 ? [] : values.flatMap(malformedKeyOf);
  return { ...at, items, malformed, malformedKeys };
}

/** Calls the store. Each call uses a new connection, so that a hung connection affects one call only. */
export class StoreClient {
  readonly #address: string;

  readonly #eras: EraReader;

  constructor(address: string, eras: EraReader) {
    this.#address = address;
    this.#eras = eras;
  }

  /** The latest known era of the store; 0 if the store sends none. */
  get era(): number {
    return this.#eras.latest;
  }

  /**
   * Reads a page of the items below a prefix. Throws `platformUnavailable` if the page is not the last
   * one but has no key after which the next one begins.
   * @param after the key after which the page begins; empty for the first page
   * @param limitMs timeout, in milliseconds
   */
  async range(prefix: string, after = '', limitMs = CALL_TIMEOUT_MS): Promise<Page> {
    const query = new URLSearchParams({ 'path-prefix': prefix });
    if (after !== '') query.set('after', after);
    const { body, era } = await this.#get(`${path.range}?${query}`, limitMs);
    const { items, truncated, 'as-of': revision } = rangeSchema.parse(body);
    const last = truncated ? lastKeyOf(items) : undefined;
    // Items that are missing from a partial list would be taken for deleted ones.
    if (truncated && (last === undefined || last === after)) {
      throw new Failure('platformUnavailable', 'found no further key in a page before the last');
    }
    return { ...snapshotOf(items, { revision, era }), last };
  }

  /** Reads one item; `items` is empty if the key does not exist. */
  async get(key: string): Promise<Snapshot> {
    const target = `${path.key}?${new URLSearchParams({ key })}`;
    const { body, era } = await this.#get(target, CALL_TIMEOUT_MS);
    if (body === undefined) return snapshotOf([], { revision: 0, era });
    const { 'as-of': revision } = asOfSchema.parse(body);
    return snapshotOf([body], { revision, era });
  }

  /**
   * Waits for changes below a prefix after a revision; undefined if the store no longer has that history,
   * if the changes are too long for one response, or if the store does not answer in time: a single
   * connection may hang although it is sound.
   * @param waitMs time after which the store answers without changes, in milliseconds
   */
  async watch(prefix: string, after: number, waitMs: number): Promise<Snapshot | undefined> {
    const limit = AbortSignal.timeout(waitMs + WATCH_GRACE_MS);
    try {
      return await this.#changes(prefix, after, waitMs, limit);
    } catch (error) {
      if (limit.aborted || toFailure(error).codeName === 'bodyTooLarge') return undefined;
      throw error;
    }
  }

  async #changes(
    prefix: string,
    after: number,
    waitMs: number,
    limit: AbortSignal,
  ): Promise<Snapshot | undefined> {
    const query = new URLSearchParams({
      'path-prefix': prefix,
      after: String(after),
      'wait-ms': String(waitMs),
    });
    const timeoutMs = waitMs + 2 * WATCH_GRACE_MS;
    const { body, era } = await this.#get(`${path.watch}?${query}`, timeoutMs, limit);
    if (body === undefined) return undefined;
    const { events, 'as-of': revision } = watchSchema.parse(body);
    return snapshotOf(events, { revision, era });
  }

  /** Writes one item unconditionally and without a lease. */
  async put(key: string, value: string): Promise<void> {
    await this.commit({ expected: [], writes: [{ key, value, lease: 0 }] });
  }

  /** Deletes one item. */
  async remove(key: string): Promise<void> {
    await this.commit({ expected: [], writes: [], remove: [key] });
  }

  /** Writes all items if all conditions hold. Returns the position of the write, or undefined if a condition does not hold. */
  async commit({ expected, writes, remove = [] }: Transaction): Promise<Position | undefined> {
    const encoded = writes.map((write) => ({
      ...write,
      value: Buffer.from(write.value).toString('base64'),
    }));
    const transaction = { expected, writes: encoded, remove };
    const { status, body, era = this.era } = await this.#post(path.txn, transaction);
    if (status === HTTP_PRECONDITION_FAILED) return undefined;
    if (status !== HTTP_OK) throw new Failure('platformUnavailable', `a write failed: ${status}`);
    const { revision } = revisionSchema.parse(JSON.parse(body));
    return { era, revision };
  }

  /** Creates a lease and returns its id. */
  async grantLease(ttlMs: number): Promise<number> {
    const { status, body } = await this.#post(path.lease, { 'ttl-ms': ttlMs });
    if (status !== HTTP_OK) throw new Failure('platformUnavailable', `a grant failed: ${status}`);
    return leaseSchema.parse(JSON.parse(body)).lease;
  }

  /** Renews a lease; false if it has expired. */
  async renewLease(lease: number): Promise<boolean> {
    const { status } = await this.#post(`${path.keep}${lease}`, {});
    if (status === HTTP_OK) return true;
    if (status === HTTP_NOT_FOUND) return false;
    throw new Failure('platformUnavailable', `a lease renewal failed: ${status}`);
  }

  /** Revokes a lease, which deletes its keys. */
  async revokeLease(lease: number): Promise<void> {
    await call({
      method: 'DELETE',
      url: `http://${this.#address}${path.leaseEnd}${lease}`,
      headers: { connection: 'close' },
      timeoutMs: CALL_TIMEOUT_MS,
    });
  }

  async #post(
    target: string,
    body: unknown,
  ): Promise<HttpResponse & { readonly era: number | undefined }> {
    const answer = await call({
      method: 'POST',
      url: `http://${this.#address}${target}`,
      headers: { 'content-type': 'application/json', connection: 'close' },
      body: JSON.stringify(body),
      timeoutMs: CALL_TIMEOUT_MS,
    });
    return { ...answer, era: this.#eraOf(answer) };
  }

  /** Undefined for 429 and 5xx: such a response may come from a proxy in front of the store, which sends no era. */
  #eraOf({ status, headers }: HttpResponse): number | undefined {
    if (status >= HTTP_TOO_MANY_REQUESTS) return undefined;
    return this.#eras.read(headers[header.era]?.toString());
  }

  /** Throws `platformUnavailable` on an unexpected status. The body is undefined on 404 and 410. */
  async #get(
    target: string,
    timeoutMs: number,
    signal?: AbortSignal,
  ): Promise<{ readonly body: unknown; readonly era: number | undefined }> {
    const answer = await call({
      method: 'GET',
      url: `http://${this.#address}${target}`,
      headers: { connection: 'close' },
      timeoutMs,
      ...(signal ? { signal } : {}),
    });
    const { status, body } = answer;
    const era = this.#eraOf(answer);
    if (status === HTTP_GONE || status === HTTP_NOT_FOUND) return { body: undefined, era };
    if (status !== HTTP_OK) {
      throw new Failure('platformUnavailable', `the store answered ${status}`);
    }
    return { body: JSON.parse(body), era };
  }
}
