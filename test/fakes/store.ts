/** Stand-in of the platform's store: keys with revisions, watches, leases, and ways to misbehave. */

import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import { createServer } from 'node:http';
import type { AddressInfo } from 'node:net';

import pino from 'pino';

import { StoreHistory } from '../../src/core/routing/position';
import { EraReader } from '../../src/platform/era';
import { StoreClient } from '../../src/platform/store';

const silent = pino({ level: 'silent' });

interface Item {
  readonly key: string;
  readonly value: string;
  readonly revision: number;
  readonly lease: number;
}

type Change = Item | { readonly key: string; readonly revision: number; readonly deleted: true };

/** A copy of all that the store holds. */
export interface StoreCopy {
  readonly revision: number;
  readonly items: ReadonlyMap<string, Item>;
  readonly history: readonly Change[];
  readonly leases: readonly number[];
  /** Number of the lease given last. */
  readonly leaseCount: number;
}

interface Txn {
  readonly expected: readonly { key: string; revision: number }[];
  readonly writes: readonly { key: string; value: string; lease: number }[];
}

/** How it treats calls: `silent` never answers, `busy` answers 503, `deaf` does writes and loses their answers. */
export type StoreFault = 'well' | 'silent' | 'busy' | 'deaf';

/** Items in one page of a range. */
const PAGE = 3;

/** A store on a loopback port. */
export class FakeStore {
  fault: StoreFault = 'well';

  /** Calls by path. */
  readonly calls: string[] = [];

  /** Called after each page of a range, to change what the next one holds. */
  onPage: ((after: string) => void) | undefined;

  /** Number of this life of the store, in all answers. Default: it tells none. */
  era: string | undefined;

  #revision = 0;

  readonly #items = new Map<string, Item>();

  #history: Change[] = [];

  /** Revisions up to this one are no longer told to watches. */
  #forgotten = 0;

  #leases = 0;

  readonly #live = new Set<number>();

  readonly #watches = new Set<() => void>();

  readonly #server: Server;

  constructor() {
    this.#server = createServer((req, res) => {
      this.#handle(req, res).catch(() => res.destroy());
    });
  }

  async start(): Promise<void> {
    await new Promise<void>((resolve) => {
      this.#server.listen(0, '127.0.0.1', resolve);
    });
  }

  stop(): void {
    this.#server.close();
    this.#server.closeAllConnections();
  }

  get address(): string {
    return `127.0.0.1:${(this.#server.address() as AddressInfo).port}`;
  }

  put(key: string, value: unknown, lease = 0): void {
    const text = typeof value === 'string' ? value : JSON.stringify(value);
    const bytes = Buffer.isBuffer(value) ? value : Buffer.from(text);
    this.#write(key, bytes.toString('base64'), lease);
    this.#wake();
  }

  remove(key: string): void {
    this.#revision += 1;
    this.#items.delete(key);
    this.#history.push({ key, revision: this.#revision, deleted: true });
    this.#wake();
  }

  /** Drops the history: watches get 410 and have to read everything again. */
  compact(): void {
    this.#forgotten = this.#revision;
    this.#history = [];
    this.#wake();
  }

  copy(): StoreCopy {
    return {
      revision: this.#revision,
      items: new Map(this.#items),
      history: [...this.#history],
      leases: this.leases,
      leaseCount: this.#leases,
    };
  }

  /** Comes back from an older copy: what was acknowledged since is lost, and revisions and leases' numbers are given out again. */
  restore({ revision, items, history, leases, leaseCount }: StoreCopy): void {
    this.#leases = leaseCount;
    this.era = String(Number(this.era ?? 0) + 1);
    this.#revision = revision;
    this.#items.clear();
    for (const [key, item] of items) this.#items.set(key, item);
    this.#history = [...history];
    this.#live.clear();
    for (const lease of leases) this.#live.add(lease);
    this.#server.closeAllConnections();
    this.#wake();
  }

  /** Lets a lease run out. */
  expire(lease: number): void {
    this.#live.delete(lease);
    for (const { key, lease: held } of [...this.#items.values()]) {
      if (held === lease) this.remove(key);
    }
  }

  get keys(): readonly string[] {
    return [...this.#items.keys()];
  }

  get leases(): readonly number[] {
    return [...this.#live];
  }

  #write(key: string, value: string, lease: number): void {
    this.#revision += 1;
    const item: Item = { key, value, lease, revision: this.#revision };
    this.#items.set(key, item);
    this.#history.push(item);
  }

  #wake(): void {
    for (const watch of [...this.#watches]) watch();
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
    const [status, answer] = await this.#answer(url, req.method ?? 'GET', body);
    if (this.fault === 'deaf' && req.method === 'POST') return;
    res.writeHead(status, { 'content-type': 'application/json' }).end(JSON.stringify(answer));
  }

  async #answer(url: URL, method: string, body: string): Promise<[number, unknown]> {
    const { pathname: path, searchParams: query } = url;
    const prefix = query.get('path-prefix') ?? '';
    if (path === '/v1/kv-range') return [200, this.#range(prefix, query.get('after') ?? '')];
    if (path === '/v1/kv-watch') {
      return this.#watch(prefix, Number(query.get('after')), Number(query.get('wait-ms')));
    }
    if (path === '/v1/kv-txn') return this.#commit(JSON.parse(body) as Txn);
    if (path === '/v1/kv-lease') {
      this.#leases += 1;
      this.#live.add(this.#leases);
      return [200, { lease: this.#leases, 'ttl-ms': 6000 }];
    }
    const lease = Number(path.split('/').at(-1));
    if (method === 'DELETE') this.expire(lease);
    return [this.#live.has(lease) || method === 'DELETE' ? 200 : 404, {}];
  }

  #range(prefix: string, after: string): unknown {
    const keys = [...this.#items.keys()].filter((key) => key.startsWith(prefix) && key > after);
    const page = keys.sort().slice(0, PAGE);
    const answer = {
      items: page.map((key) => this.#items.get(key)),
      truncated: keys.length > PAGE,
      'as-of': this.#revision,
    };
    this.onPage?.(after);
    return answer;
  }

  async #watch(prefix: string, after: number, waitMs: number): Promise<[number, unknown]> {
    const news = (): Change[] =>
      this.#history.filter(({ key, revision }) => key.startsWith(prefix) && revision > after);
    if (after >= this.#forgotten && after <= this.#revision && news().length === 0) {
      await new Promise<void>((resolve) => {
        const done = (): void => {
          this.#watches.delete(done);
          resolve();
        };
        this.#watches.add(done);
        setTimeout(done, waitMs).unref();
      });
    }
    if (after < this.#forgotten || after > this.#revision) return [410, {}];
    return [200, { events: news(), 'as-of': this.#revision }];
  }

  #commit({ expected, writes }: Txn): [number, unknown] {
    const holds = expected.every(
      ({ key, revision }) => (this.#items.get(key)?.revision ?? 0) === revision,
    );
    if (!holds) return [412, { items: [] }];
    if (writes.some(({ lease }) => lease !== 0 && !this.#live.has(lease))) return [404, {}];
    for (const { key, value, lease } of writes) this.#write(key, value, lease);
    this.#wake();
    return [200, { revision: this.#revision }];
  }
}

/** A client of a store that knows nothing of its history yet. */
export function clientOf(
  store: FakeStore,
  history = new StoreHistory(),
  log = silent,
): StoreClient {
  return new StoreClient(store.address, new EraReader(history, log));
}
