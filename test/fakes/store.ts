/** Stand-in for the platform's store: keys with revisions, watches, leases and injected faults. */

import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import { createServer } from 'node:http';
import type { AddressInfo } from 'node:net';

import pino from 'pino';

import { StoreHistory } from '../../src/core/routing/position';
import { EraReader } from '../../src/platform/era';
import type { Snapshot } from '../../src/platform/store';
import { StoreClient } from '../../src/platform/store';

const silentLog = pino({ level: 'silent' });

interface Item {
  readonly key: string;
  readonly value: string;
  readonly revision: number;
  readonly lease: number;
}

type Change = Item | { readonly key: string; readonly revision: number; readonly deleted: true };

/** A copy of the store's whole state. */
export interface StoreCopy {
  /** Latest revision. */
  readonly revision: number;
  readonly items: ReadonlyMap<string, Item>;
  /** Changes since the last compaction. */
  readonly history: readonly Change[];
  /** Leases that have not expired. */
  readonly leases: readonly number[];
  /** Number of the lease granted last. */
  readonly leaseCount: number;
}

interface Txn {
  readonly expected: readonly { key: string; revision: number }[];
  readonly writes: readonly { key: string; value: string; lease: number }[];
  readonly remove: readonly string[];
}

/** How calls are handled: `well` normally, `silent` without a response, `busy` with status 503; `deaf` executes POST requests, but sends them no response. */
export type StoreFault = 'well' | 'silent' | 'busy' | 'deaf';

/** Most characters of values in one page of a range or one answer to a watch, unless one value has more. */
const PAGE_CHARS = 1_000_000;

/** The first items that fit into one page. */
function pageOf<T extends Change>(items: readonly T[], mostItems: number): readonly T[] {
  let chars = 0;
  const end = items.findIndex((item, index) => {
    chars += 'value' in item ? item.value.length : 0;
    return index > 0 && (index >= mostItems || chars > PAGE_CHARS);
  });
  return end < 0 ? items : items.slice(0, end);
}

/** Server of the store's protocol on a free loopback port. */
export class FakeStore {
  /** Injected fault. */
  fault: StoreFault = 'well';

  /** Most items in one page of a range. */
  pageItems = 3;

  /** Paths of all calls, in order. */
  readonly calls: string[] = [];

  /** Called with the request's `after` key once a page of a range is read, so that a test can change the following pages. */
  onPage: ((after: string) => void) | undefined;

  /** Era of the store, sent in a header of all responses. Default: none is sent. */
  era: string | undefined;

  #revision = 0;

  readonly #items = new Map<string, Item>();

  #history: Change[] = [];

  /** Watches cannot start before this revision, because older history is dropped. */
  #compactedRevision = 0;

  #lastLease = 0;

  readonly #liveLeases = new Set<number>();

  /** Watches that wait: what ends each regularly, and its response. */
  readonly #watches = new Map<() => void, ServerResponse>();

  readonly #server: Server;

  constructor() {
    this.#server = createServer((req, res) => {
      this.#handle(req, res).catch(() => res.destroy());
    });
  }

  /** Starts listening. */
  async start(): Promise<void> {
    await new Promise<void>((resolve) => {
      this.#server.listen(0, '127.0.0.1', resolve);
    });
  }

  /** Closes the server and its connections. */
  stop(): void {
    this.#server.close();
    this.#server.closeAllConnections();
  }

  /** Address as `host:port`. */
  get address(): string {
    return `127.0.0.1:${(this.#server.address() as AddressInfo).port}`;
  }

  /** Writes a key directly; objects are stored as JSON. Lease 0 means none. */
  put(key: string, value: unknown, lease = 0): void {
    const text = typeof value === 'string' ? value : JSON.stringify(value);
    const bytes = Buffer.isBuffer(value) ? value : Buffer.from(text);
    this.#write(key, bytes.toString('base64'), lease);
    this.#notifyWatches();
  }

  /** Writes a key directly, with a value that need not be base64. */
  putEncoded(key: string, value: string): void {
    this.#write(key, value, 0);
    this.#notifyWatches();
  }

  /** The value of a key as the store sends it; undefined if there is none. */
  encodedOf(key: string): string | undefined {
    return this.#items.get(key)?.value;
  }

  /** The value of a key as text; undefined if there is none. */
  textOf(key: string): string | undefined {
    const item = this.#items.get(key);
    return item && Buffer.from(item.value, 'base64').toString();
  }

  /** Deletes a key directly. */
  remove(key: string): void {
    this.#revision += 1;
    this.#items.delete(key);
    this.#history.push({ key, revision: this.#revision, deleted: true });
    this.#notifyWatches();
  }

  /** Drops the history: watches from an older revision get 410, and their clients have to read all keys again. */
  compact(): void {
    this.#compactedRevision = this.#revision;
    this.#history = [];
    this.#notifyWatches();
  }

  /** Ends the watches that wait in another way than with an answer. */
  breakWatches(end: (res: ServerResponse) => void): void {
    const waiting = [...this.#watches.values()];
    this.#watches.clear();
    waiting.forEach(end);
  }

  /** Copies the whole state. */
  copy(): StoreCopy {
    return {
      revision: this.#revision,
      items: new Map(this.#items),
      history: [...this.#history],
      leases: this.leases,
      leaseCount: this.#lastLease,
    };
  }

  /** Restores the store from an older copy in a new era: acknowledged writes since the copy are lost, and revisions and lease numbers are used a second time. */
  restore({ revision, items, history, leases, leaseCount }: StoreCopy): void {
    this.#lastLease = leaseCount;
    this.era = String(Number(this.era ?? 0) + 1);
    this.#revision = revision;
    this.#items.clear();
    for (const [key, item] of items) this.#items.set(key, item);
    this.#history = [...history];
    this.#liveLeases.clear();
    for (const lease of leases) this.#liveLeases.add(lease);
    this.#server.closeAllConnections();
    this.#notifyWatches();
  }

  /** Expires a lease and deletes its keys. */
  expire(lease: number): void {
    this.#liveLeases.delete(lease);
    for (const { key, lease: itemLease } of [...this.#items.values()]) {
      if (itemLease === lease) this.remove(key);
    }
  }

  /** All keys, in the order in which they were first written. */
  get keys(): readonly string[] {
    return [...this.#items.keys()];
  }

  /** Leases that have not expired. */
  get leases(): readonly number[] {
    return [...this.#liveLeases];
  }

  #write(key: string, value: string, lease: number): void {
    this.#revision += 1;
    const item: Item = { key, value, lease, revision: this.#revision };
    this.#items.set(key, item);
    this.#history.push(item);
  }

  #notifyWatches(): void {
    for (const watch of [...this.#watches.keys()]) watch();
  }

  async #handle(req: IncomingMessage, res: ServerResponse): Promise<void> {
    const url = new URL(req.url ?? '/', 'http://store');
    this.calls.push(url.pathname);
    if (this.era !== undefined) res.setHeader('store-era', this.era);
    if (this.fault === 'silent') return;
    if (this.fault === 'busy') {
      res.writeHead(503).end();
      return;
    }
    const chunks: Buffer[] = [];
    for await (const chunk of req) chunks.push(chunk as Buffer);
    const body = Buffer.concat(chunks).toString();
    const [status, answer] = await this.#answer(url, req.method ?? 'GET', body, res);
    if (this.fault === 'deaf' && req.method === 'POST') return;
    res.writeHead(status, { 'content-type': 'application/json' }).end(JSON.stringify(answer));
  }

  async #answer(
    url: URL,
    method: string,
    body: string,
    res: ServerResponse,
  ): Promise<[number, unknown]> {
    const { pathname: path, searchParams: query } = url;
    const prefix = query.get('path-prefix') ?? '';
    if (path === '/v1/kv-range') return [200, this.#range(prefix, query.get('after') ?? '')];
    if (path === '/v1/kv-key') {
      const item = this.#items.get(query.get('key') ?? '');
      return item ? [200, { ...item, 'as-of': this.#revision }] : [404, {}];
    }
    if (path === '/v1/kv-watch') {
      return this.#watch(prefix, Number(query.get('after')), Number(query.get('wait-ms')), res);
    }
    if (path === '/v1/kv-txn') return this.#commit(JSON.parse(body) as Txn);
    if (path === '/v1/kv-lease') {
      this.#lastLease += 1;
      this.#liveLeases.add(this.#lastLease);
      return [200, { lease: this.#lastLease, 'ttl-ms': 6000 }];
    }
    const lease = Number(path.split('/').at(-1));
    if (method === 'DELETE') this.expire(lease);
    return [this.#liveLeases.has(lease) || method === 'DELETE' ? 200 : 404, {}];
  }

  #range(prefix: string, after: string): unknown {
    const keys = [...this.#items.keys()].filter((key) => key.startsWith(prefix) && key > after);
    const first = keys.sort().slice(0, this.pageItems);
    const items = pageOf(
      first.flatMap((key) => this.#items.get(key) ?? []),
      this.pageItems,
    );
    const answer = {
      items,
      truncated: keys.length > items.length,
      'as-of': this.#revision,
    };
    this.onPage?.(after);
    return answer;
  }

  async #watch(
    prefix: string,
    after: number,
    waitMs: number,
    res: ServerResponse,
  ): Promise<[number, unknown]> {
    const changes = (): Change[] =>
      this.#history.filter(({ key, revision }) => key.startsWith(prefix) && revision > after);
    if (after >= this.#compactedRevision && after <= this.#revision && changes().length === 0) {
      await new Promise<void>((resolve) => {
        const done = (): void => {
          if (this.#watches.delete(done)) resolve();
        };
        this.#watches.set(done, res);
        setTimeout(done, waitMs).unref();
      });
    }
    if (after < this.#compactedRevision || after > this.#revision) return [410, {}];
    return [200, { events: changes(), 'as-of': this.#revision }];
  }

  #commit({ expected, writes, remove }: Txn): [number, unknown] {
    const holds = expected.every(
      ({ key, revision }) => (this.#items.get(key)?.revision ?? 0) === revision,
    );
    if (!holds) return [412, { items: [] }];
    if (writes.some(({ lease }) => lease !== 0 && !this.#liveLeases.has(lease))) return [404, {}];
    for (const { key, value, lease } of writes) this.#write(key, value, lease);
    for (const key of remove) this.remove(key);
    this.#notifyWatches();
    return [200, { revision: this.#revision }];
  }
}

/** Returns a client of the store, by default with an empty record of its history. */
export function clientOf(
  store: FakeStore,
  history = new StoreHistory(),
  log = silentLog,
): StoreClient {
  return new StoreClient(store.address, new EraReader(history, log));
}

/** Reads all items below a prefix, page by page, as of the revision of the first page. */
export async function listOf(client: StoreClient, prefix: string): Promise<Snapshot> {
  const { last, ...first } = await client.range(prefix);
  let after = last;
  let whole: Snapshot = first;
  while (after !== undefined) {
    const page = await client.range(prefix, after);
    whole = {
      ...whole,
      items: [...whole.items, ...page.items],
      malformed: whole.malformed + page.malformed,
      malformedKeys: [...whole.malformedKeys, ...page.malformedKeys],
    };
    after = page.last;
  }
  return whole;
}
