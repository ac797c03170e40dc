/**
 * Stand-in for the platform: key-value over Consul's HTTP protocol (compare-and-swap,
 * sessions as leases, blocking queries as watches) and a lagging list of VMs.
 * Faults: outage, slowness, answers lost after the write took effect, an older state.
 */

import type { Server, ServerResponse } from 'node:http';
import { randomUUID } from 'node:crypto';
import { setTimeout as pause } from 'node:timers/promises';

import { closeServer, listen, readBody, readJson, sendJson } from './http';

interface Entry {
  readonly value: string;
  readonly index: number;
  readonly session: string | undefined;
}

interface Watch {
  readonly prefix: string;
  readonly wake: () => void;
}

/** Faults that can be set while it runs. */
export interface PlatformFaults {
  /** Every call is dropped. */
  outage: boolean;
  /** Added to each answer, in milliseconds. */
  delayMs: number;
  /** The next writes take effect but their answers are lost. */
  loseWriteAnswers: number;
}

/** A started platform. */
export class PlatformServer {
  readonly faults: PlatformFaults = { outage: false, delayMs: 0, loseWriteAnswers: 0 };

  /** Calls by kind: `read`, `write`, `watch`, `session`, `list`. */
  readonly calls: Record<string, number> = {};

  port = 0;

  #entries = new Map<string, Entry>();

  readonly #sessions = new Map<string, NodeJS.Timeout>();

  readonly #watches = new Set<Watch>();

  #vms: readonly { id: string; address: string; leaving: boolean }[] = [];

  #index = 1;

  #server: Server | undefined;

  #host = '127.0.0.1';

  get url(): string {
    return `http://${this.#host}:${this.port}`;
  }

  async start(port?: number, host = '127.0.0.1'): Promise<this> {
    const { server, port: bound } = await listen(
      async (req, res, url) => {
        const { pathname } = url;
        if (pathname === '/fault') {
          Object.assign(this.faults, await readJson(req));
          sendJson(res, 200, {});
          return;
        }
        if (pathname === '/calls') {
          sendJson(res, 200, this.calls);
          return;
        }
        if (pathname === '/vms' && req.method === 'PUT') {
          this.setVms(((await readJson(req)).vms ?? []) as never);
          sendJson(res, 200, {});
          return;
        }
        if (this.faults.outage) {
          res.destroy();
          return;
        }
        const body = await readBody(req);
        await pause(this.faults.delayMs);
        if (pathname.startsWith('/v1/kv/') && req.method === 'GET') await this.#read(res, url);
        else if (pathname.startsWith('/v1/kv/')) this.#write(req.method ?? '', res, url, body);
        else if (pathname.startsWith('/v1/session/')) this.#session(res, pathname, body);
        else if (pathname === '/v1/catalog/nodes') this.#list(res);
        else sendJson(res, 404, {});
      },
      port,
      host,
    );
    this.#host = host;
    this.#server = server;
    this.port = bound;
    return this;
  }

  async stop(): Promise<void> {
    for (const timer of this.#sessions.values()) clearTimeout(timer);
    for (const watch of this.#watches) watch.wake();
    if (this.#server) await closeServer(this.#server);
  }

  setVms(vms: readonly { id: string; address: string; leaving: boolean }[]): void {
    this.#vms = vms;
  }

  /** The whole state, to bring an older one back later. */
  snapshot(): ReadonlyMap<string, Entry> {
    return new Map(this.#entries);
  }

  restore(entries: ReadonlyMap<string, Entry>): void {
    this.#entries = new Map(entries);
    this.#wake('');
  }

  /** Writes behind the back of the system, as a careless operator would. */
  writeDirectly(key: string, value: string): void {
    this.#put(key, value, undefined);
  }

  #count(kind: string): void {
    this.calls[kind] = (this.calls[kind] ?? 0) + 1;
  }

  async #read(res: ServerResponse, url: URL): Promise<void> {
    const key = decodeURIComponent(url.pathname.slice('/v1/kv/'.length));
    const recurse = url.searchParams.has('recurse');
    const since = Number(url.searchParams.get('index') ?? 0);
    const waitMs = Number.parseFloat(url.searchParams.get('wait') ?? '0') * 1000;
    this.#count(since > 0 ? 'watch' : 'read');
    const matches = (): [string, Entry][] =>
      [...this.#entries].filter(([name]) => (recurse ? name.startsWith(key) : name === key));
    const newest = (): number => Math.max(0, ...matches().map(([, { index }]) => index));
    if (since > 0 && newest() <= since) await this.#wait(key, waitMs);
    const found = matches();
    res.setHeader('x-consul-index', String(Math.max(1, newest())));
    if (found.length === 0) {
      sendJson(res, 404, []);
      return;
    }
    sendJson(
      res,
      200,
      found.map(([name, { value, index, session }]) => ({
        Key: name,
        Value: Buffer.from(value).toString('base64'),
        ModifyIndex: index,
        ...(session === undefined ? {} : { Session: session }),
      })),
    );
  }

  #write(method: string, res: ServerResponse, url: URL, body: string): void {
    this.#count('write');
    const key = decodeURIComponent(url.pathname.slice('/v1/kv/'.length));
    const now = this.#entries.get(key);
    const cas = url.searchParams.get('cas');
    const acquire = url.searchParams.get('acquire');
    const held = acquire !== null && now?.session !== undefined && now.session !== acquire;
    const lapsed = acquire !== null && !this.#sessions.has(acquire);
    const ok = !held && !lapsed && (cas === null || Number(cas) === (now?.index ?? 0));
    if (ok && method === 'DELETE') this.#entries.delete(key);
    else if (ok) this.#put(key, body, acquire ?? now?.session);
    if (this.faults.loseWriteAnswers > 0) {
      this.faults.loseWriteAnswers -= 1;
      res.destroy();
      return;
    }
    sendJson(res, 200, ok);
  }

  #put(key: string, value: string, session: string | undefined): void {
    this.#index += 1;
    this.#entries.set(key, { value, index: this.#index, session });
    this.#wake(key);
  }

  #session(res: ServerResponse, path: string, body: string): void {
    this.#count('session');
    const [, , , verb, id = ''] = path.split('/');
    if (verb === 'create') {
      const ttlMs = Number.parseFloat((JSON.parse(body) as { TTL: string }).TTL) * 1000;
      const created = randomUUID();
      this.#arm(created, ttlMs);
      sendJson(res, 200, { ID: created });
    } else if (verb === 'renew') {
      const ttlMs = Number.parseFloat((JSON.parse(body) as { TTL: string }).TTL) * 1000;
      const known = this.#sessions.has(id);
      if (known) this.#arm(id, ttlMs);
      sendJson(res, known ? 200 : 404, []);
    } else {
      this.#end(id);
      sendJson(res, 200, true);
    }
  }

  #arm(id: string, ttlMs: number): void {
    clearTimeout(this.#sessions.get(id));
    const timer = setTimeout(() => this.#end(id), ttlMs);
    timer.unref();
    this.#sessions.set(id, timer);
  }

  #end(id: string): void {
    clearTimeout(this.#sessions.get(id));
    this.#sessions.delete(id);
    for (const [key, entry] of this.#entries) {
      if (entry.session === id) this.#put(key, entry.value, undefined);
    }
  }

  #list(res: ServerResponse): void {
    this.#count('list');
    sendJson(
      res,
      200,
      this.#vms.map(({ id, address, leaving }) => ({
        Node: id,
        Address: address,
        Meta: { leaving: String(leaving) },
      })),
    );
  }

  #wait(prefix: string, ms: number): Promise<void> {
    return new Promise((resolve) => {
      const watch: Watch = {
        prefix,
        wake: () => {
          this.#watches.delete(watch);
          resolve();
        },
      };
      this.#watches.add(watch);
      setTimeout(watch.wake, ms).unref();
    });
  }

  #wake(key: string): void {
    for (const watch of this.#watches) {
      if (key === '' || key.startsWith(watch.prefix) || watch.prefix.startsWith(key)) watch.wake();
    }
  }
}
