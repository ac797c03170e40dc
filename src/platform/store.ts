/** The one client of the platform's store: ranges, watches and writes. */

import { isUtf8 } from 'node:buffer';

import { z } from 'zod';

import { Failure } from '../core/failure';
import type { Position } from '../core/routing/position';
import type { HttpResponse } from '../utils/http';
import { call } from '../utils/http';
import type { EraReader } from './era';
import { header, path } from './names';

/** An item, or that it is gone. */
export interface Item {
  readonly key: string;
  /** Store revision of its last change. */
  readonly revision: number;
  /** Undefined if the item was deleted. */
  readonly value: string | undefined;
}

/** Items as of a revision. */
export interface Snapshot {
  readonly items: readonly Item[];
  readonly revision: number;
  /** Undefined if the answer named none that can be used. */
  readonly era: number | undefined;
}

/** Writes that take effect together, or not at all. */
export interface Transaction {
  /** Revisions that keys must have; 0 means that there is no such key. */
  readonly expected: readonly { readonly key: string; readonly revision: number }[];
  /** `lease` 0 means none. */
  readonly writes: readonly {
    readonly key: string;
    readonly value: string;
    readonly lease: number;
  }[];
}

const itemSchema = z.object({
  key: z.string(),
  /** Standard base64. */
  value: z.string().optional(),
  revision: z.number(),
  deleted: z.boolean().optional(),
});
const rangeSchema = z.object({
  items: z.array(itemSchema),
  truncated: z.boolean().default(false),
  'as-of': z.number(),
});
const asOfSchema = z.object({ 'as-of': z.number() });
const revisionSchema = z.object({ revision: z.number() });
const leaseSchema = z.object({ lease: z.number() });
const watchSchema = z.object({ events: z.array(itemSchema), 'as-of': z.number() });

/** Time limit of one call, in milliseconds: a live store answers in some, a slow one in hundreds. */
const CALL_LIMIT_MS = 1200;
/** By how much a watch may overrun the wait it asked for, in milliseconds. */
const WATCH_SLACK_MS = 700;
const HTTP_OK = 200;
const HTTP_NOT_FOUND = 404;
const HTTP_GONE = 410;
const HTTP_PRECONDITION = 412;
const HTTP_TOO_MANY = 429;

/** Bytes that are no UTF-8 read as an empty text, which no decoder of entries accepts. */
function textOf(value: string): string {
  const bytes = Buffer.from(value, 'base64');
  return isUtf8(bytes) ? bytes.toString() : '';
}

function toItem({ key, value, revision, deleted }: z.infer<typeof itemSchema>): Item {
  const gone = deleted === true || value === undefined;
  return {
    key,
    revision,
    value: gone ? undefined : textOf(value),
  };
}

/** Calls the store. Each call has a connection of its own, so that one that went silent costs one call. */
export class StoreClient {
  readonly #address: string;

  readonly #eras: EraReader;

  constructor(address: string, eras: EraReader) {
    this.#address = address;
    this.#eras = eras;
  }

  /** The latest era of the store that is known; 0 where it tells none. */
  get era(): number {
    return this.#eras.latest;
  }

  /**
   * Everything below a prefix, of one era. Pages are not a snapshot; the first page's revision is the safe one to go on from.
   * @param limitMs time for each page, in milliseconds
   */
  async range(prefix: string, limitMs = CALL_LIMIT_MS): Promise<Snapshot> {
    const items: Item[] = [];
    let first: { readonly era: number | undefined; readonly revision: number } | undefined;
    let after = '';
    for (;;) {
      const query = new URLSearchParams({ 'path-prefix': prefix });
      if (after !== '') query.set('after', after);
      const { body, era } = await this.#get(`${path.range}?${query}`, limitMs);
      const page = rangeSchema.parse(body);
      first ??= { era, revision: page['as-of'] };
      if (first.era !== era) throw new Failure('platformUnavailable', 'the store came back');
      items.push(...page.items.map(toItem));
      const last = page.items.at(-1);
      if (!page.truncated) return { items, ...first };
      // A partial list would make the missing items look deleted.
      if (!last) throw new Failure('platformUnavailable', 'found a page without items amid a list');
      after = last.key;
    }
  }

  /** One item as it is now; no items if there is none. */
  async get(key: string): Promise<Snapshot> {
    const target = `${path.key}?${new URLSearchParams({ key })}`;
    const { body, era } = await this.#get(target, CALL_LIMIT_MS);
    if (body === undefined) return { items: [], revision: 0, era };
    const { 'as-of': revision } = asOfSchema.parse(body);
    return { items: [toItem(itemSchema.parse(body))], revision, era };
  }

  /** Changes below a prefix after a revision; undefined if that history is no longer there. */
  async watch(prefix: string, after: number, waitMs: number): Promise<Snapshot | undefined> {
    const query = new URLSearchParams({
      'path-prefix': prefix,
      after: String(after),
      'wait-ms': String(waitMs),
    });
    const { body, era } = await this.#get(`${path.watch}?${query}`, waitMs + WATCH_SLACK_MS);
    if (body === undefined) return undefined;
    const { events, 'as-of': revision } = watchSchema.parse(body);
    return { items: events.map(toItem), revision, era };
  }

  /** Writes one item whatever it was before. */
  async put(key: string, value: string): Promise<void> {
    await this.commit({ expected: [], writes: [{ key, value, lease: 0 }] });
  }

  /** Writes all items if all conditions hold. Gives the position, or undefined if one did not hold. */
  async commit({ expected, writes }: Transaction): Promise<Position | undefined> {
    const encoded = writes.map((write) => ({
      ...write,
      value: Buffer.from(write.value).toString('base64'),
    }));
    const transaction = { expected, writes: encoded, remove: [] };
    const { status, body, era = this.era } = await this.#post(path.txn, transaction);
    if (status === HTTP_PRECONDITION) return undefined;
    if (status !== HTTP_OK) throw new Failure('platformUnavailable', `a write got ${status}`);
    const { revision } = revisionSchema.parse(JSON.parse(body));
    return { era, revision };
  }

  /** A new lease. */
  async grantLease(ttlMs: number): Promise<number> {
    const { status, body } = await this.#post(path.lease, { 'ttl-ms': ttlMs });
    if (status !== HTTP_OK) throw new Failure('platformUnavailable', `a lease got ${status}`);
    return leaseSchema.parse(JSON.parse(body)).lease;
  }

  /** Renews a lease and tells whether it still runs. */
  async renewLease(lease: number): Promise<boolean> {
    const { status } = await this.#post(`${path.keep}${lease}`, {});
    if (status === HTTP_OK) return true;
    if (status === HTTP_NOT_FOUND) return false;
    throw new Failure('platformUnavailable', `a renewal got ${status}`);
  }

  /** Ends a lease and with it its keys. */
  async revokeLease(lease: number): Promise<void> {
    await call({
      method: 'DELETE',
      url: `http://${this.#address}${path.leaseEnd}${lease}`,
      headers: { connection: 'close' },
      timeoutMs: CALL_LIMIT_MS,
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
      timeoutMs: CALL_LIMIT_MS,
    });
    return { ...answer, era: this.#eraOf(answer) };
  }

  /** An answer that turns a call away may come from something before the store, which knows no era. */
  #eraOf({ status, headers }: HttpResponse): number | undefined {
    if (status >= HTTP_TOO_MANY) return undefined;
    return this.#eras.read(headers[header.era]?.toString());
  }

  /** The body is undefined on 404 and 410. */
  async #get(
    target: string,
    timeoutMs: number,
  ): Promise<{ readonly body: unknown; readonly era: number | undefined }> {
    const answer = await call({
      method: 'GET',
      url: `http://${this.#address}${target}`,
      headers: { connection: 'close' },
      timeoutMs,
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
