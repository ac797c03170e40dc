/** Stand-in for the platform's metadata store: keys with revisions, watches, transactions and leases. */

import { Buffer } from 'node:buffer';
import { createServer } from 'node:http';
import { clearTimeout, setTimeout } from 'node:timers';
import { URL } from 'node:url';

/** Time that an answer takes, in milliseconds, as on the sheets. */
const ANSWER_MS = 4;

function send(res, status, body) {
  setTimeout(() => {
    res.writeHead(status, { 'content-type': 'application/json' });
    res.end(JSON.stringify(body));
  }, ANSWER_MS);
}

async function bodyOf(req) {
  const chunks = [];
  for await (const chunk of req) chunks.push(chunk);
  const text = Buffer.concat(chunks).toString();
  return text === '' ? {} : JSON.parse(text);
}

/** A store without faults. */
export class Store {
  #revision = 10;

  #items = new Map();

  #changes = [];

  #leases = new Map();

  #leaseCount = 0;

  #watches = new Set();

  #server = createServer((req, res) => {
    this.#answer(req, res).catch(() => res.destroy());
  });

  /** Listens on a free port; resolves to `HOST:PORT`. */
  start() {
    return new Promise((resolve) => {
      this.#server.listen(0, '127.0.0.1', () => {
        resolve(`127.0.0.1:${this.#server.address().port}`);
      });
    });
  }

  stop() {
    this.#server.close();
    this.#server.closeAllConnections();
  }

  /** Writes a value as the operator or a runner does. */
  put(key, value) {
    this.#write(key, Buffer.from(JSON.stringify(value)).toString('base64'), 0);
    this.#wake();
  }

  #write(key, value, lease) {
    this.#revision += 1;
    const { created = this.#revision } = this.#items.get(key) ?? {};
    const item = { key, value, revision: this.#revision, created, lease };
    this.#items.set(key, item);
    this.#changes.push(item);
  }

  #remove(key) {
    if (!this.#items.delete(key)) return;
    this.#revision += 1;
    this.#changes.push({ key, revision: this.#revision, deleted: true });
  }

  #wake() {
    for (const watch of this.#watches) watch();
  }

  async #answer(req, res) {
    const { pathname, searchParams } = new URL(req.url, 'http://store');
    if (req.method === 'GET') this.#read(pathname, searchParams, res);
    else this.#change(pathname, await bodyOf(req), res);
  }

  #read(pathname, query, res) {
    const prefix = query.get('path-prefix') ?? '';
    if (pathname === '/v1/kv-key') {
      const item = this.#items.get(query.get('key'));
      if (item) send(res, 200, { ...item, 'as-of': this.#revision });
      else send(res, 404, { 'as-of': this.#revision });
    } else if (pathname === '/v1/kv-range') {
      const after = query.get('after') ?? '';
      const items = [...this.#items.values()]
        .filter(({ key }) => key.startsWith(prefix) && key > after)
        .sort((a, b) => (a.key < b.key ? -1 : 1));
      send(res, 200, { items, truncated: false, 'as-of': this.#revision });
    } else if (pathname === '/v1/kv-watch') {
      this.#watch(prefix, Number(query.get('after')), Number(query.get('wait-ms')), res);
    } else send(res, 404, {});
  }

  #watch(prefix, after, waitMs, res) {
    const events = () =>
      this.#changes.filter(({ key, revision }) => revision > after && key.startsWith(prefix));
    let isDone = false;
    const look = (isOver = false) => {
      if (isDone || (!isOver && events().length === 0)) return;
      isDone = true;
      this.#watches.delete(look);
      send(res, 200, { events: events(), 'as-of': this.#revision });
    };
    this.#watches.add(look);
    setTimeout(() => look(true), waitMs);
    look();
  }

  #change(pathname, body, res) {
    const id = Number(pathname.split('/').at(-1));
    if (pathname === '/v1/kv-txn') this.#transact(body, res);
    else if (pathname === '/v1/kv-lease') {
      this.#leaseCount += 1;
      this.#renew(this.#leaseCount, body['ttl-ms']);
      send(res, 200, { lease: this.#leaseCount, 'ttl-ms': body['ttl-ms'] });
    } else if (pathname.startsWith('/v1/kv-keep/')) {
      const lease = this.#leases.get(id);
      if (lease) this.#renew(id, lease.ttlMs);
      send(res, lease ? 200 : 404, {});
    } else if (pathname.startsWith('/v1/kv-lease-end/')) {
      this.#end(id);
      send(res, 200, {});
    } else send(res, 404, {});
  }

  #transact({ expected = [], writes = [], remove = [] }, res) {
    const revisionOf = (key) => this.#items.get(key)?.revision ?? 0;
    if (expected.some(({ key, revision }) => revisionOf(key) !== revision)) {
      send(res, 412, { items: expected.flatMap(({ key }) => this.#items.get(key) ?? []) });
      return;
    }
    if (writes.some(({ lease = 0 }) => lease !== 0 && !this.#leases.has(lease))) {
      send(res, 404, {});
      return;
    }
    for (const { key, value, lease = 0 } of writes) this.#write(key, value, lease);
    for (const key of remove) this.#remove(key);
    this.#wake();
    send(res, 200, { revision: this.#revision });
  }

  #renew(id, ttlMs) {
    clearTimeout(this.#leases.get(id)?.timer);
    const timer = setTimeout(() => this.#end(id), ttlMs);
    timer.unref();
    this.#leases.set(id, { ttlMs, timer });
  }

  #end(id) {
    clearTimeout(this.#leases.get(id)?.timer);
    this.#leases.delete(id);
    for (const { key, lease } of [...this.#items.values()]) if (lease === id) this.#remove(key);
    this.#wake();
  }
}
