/** A small deployment on loopback addresses: the platform's store, routers as separate processes, and their settings. */

import { Buffer } from 'node:buffer';
import { spawn } from 'node:child_process';
import { appendFileSync, mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import http from 'node:http';
import net from 'node:net';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import process from 'node:process';
import { clearTimeout, setTimeout } from 'node:timers';
import { setTimeout as pause } from 'node:timers/promises';
import { URL } from 'node:url';

export { pause };

const FRONT_PORT = 8149;
const READY_PORT = 8141;
const DIRECTORY_PORT = 8143;
const CONTROL_PORT = 8144;
const STORE_PORT = 8142;
const RUNNER_PORT = 8080;
const PAGE_ITEMS = 50;

/** Whether all ports of an address are free. */
async function isFree(ip, ports) {
  for (const port of ports) {
    const server = net.createServer();
    const free = await new Promise((resolve) => {
      server.once('error', () => resolve(false));
      server.listen(port, ip, () => resolve(true));
    });
    await new Promise((resolve) => {
      server.close(resolve);
    });
    if (!free) return false;
  }
  return true;
}

/** The first three numbers of loopback addresses that nobody uses. */
export async function freeNetwork() {
  for (let attempt = 0; attempt < 50; attempt += 1) {
    const draw = () => 16 + Math.floor(Math.random() * 200);
    const network = `127.${draw()}.${draw()}`;
    if (await isFree(`${network}.1`, [STORE_PORT, FRONT_PORT, RUNNER_PORT])) return network;
  }
  throw new Error('found no free loopback addresses');
}

async function bodyOf(message) {
  const chunks = [];
  for await (const chunk of message) chunks.push(chunk);
  return Buffer.concat(chunks);
}

/** The platform's store. It does what the protocol says of a store without disruption. */
export class Store {
  #items = new Map();

  #history = [];

  #revision = 1;

  #lease = 0;

  #leases = new Map();

  #watches = new Set();

  /** Called for each watch that waits, with what cuts it: "A watch that is waiting may be cut." */
  onWaiting;

  #server = http.createServer((req, res) => {
    this.#handle(req, res).catch(() => res.destroy());
  });

  constructor(ip) {
    this.address = `${ip}:${STORE_PORT}`;
    this.ip = ip;
  }

  start() {
    return new Promise((resolve, reject) => {
      this.#server.once('error', reject);
      this.#server.listen(STORE_PORT, this.ip, resolve);
    });
  }

  stop() {
    this.#server.close();
    this.#server.closeAllConnections();
    for (const { timer } of this.#leases.values()) clearTimeout(timer);
  }

  put(key, value, lease = 0) {
    this.#write(key, Buffer.from(JSON.stringify(value)).toString('base64'), lease);
    this.#notify();
  }

  remove(key) {
    if (!this.#items.delete(key)) return;
    this.#revision += 1;
    this.#history.push({ key, revision: this.#revision, deleted: true });
    this.#notify();
  }

  valueOf(key) {
    const item = this.#items.get(key);
    return item && JSON.parse(Buffer.from(item.value, 'base64').toString());
  }

  #write(key, value, lease) {
    this.#revision += 1;
    const created = this.#items.get(key)?.created ?? this.#revision;
    const item = { key, value, revision: this.#revision, created, lease };
    this.#items.set(key, item);
    this.#history.push(item);
    if (this.#history.length > 5000) this.#history.shift();
  }

  #notify() {
    for (const wake of [...this.#watches]) wake();
  }

  #renew(id, ttlMs) {
    clearTimeout(this.#leases.get(id)?.timer);
    this.#leases.set(id, { ttlMs, timer: setTimeout(() => this.#end(id), ttlMs) });
  }

  #end(id) {
    clearTimeout(this.#leases.get(id)?.timer);
    this.#leases.delete(id);
    const keys = [...this.#items.values()].filter(({ lease }) => lease === id);
    for (const { key } of keys) this.remove(key);
  }

  async #handle(req, res) {
    const url = new URL(req.url, 'http://store');
    const body = await bodyOf(req);
    const [status, answer] = await this.#answer(url, body.length > 0 ? JSON.parse(body) : {}, res);
    if (res.destroyed) return;
    res.writeHead(status, { 'content-type': 'application/json' }).end(JSON.stringify(answer));
  }

  async #answer({ pathname, searchParams: query }, body, res) {
    const id = Number(pathname.split('/').at(-1));
    const prefix = query.get('path-prefix') ?? '';
    if (pathname === '/v1/kv-key') {
      const item = this.#items.get(query.get('key'));
      return item ? [200, { ...item, 'as-of': this.#revision }] : [404, {}];
    }
    if (pathname === '/v1/kv-range') {
      const after = query.get('after') ?? '';
      const keys = [...this.#items.keys()].filter((key) => key.startsWith(prefix) && key > after);
      const items = keys
        .sort()
        .slice(0, PAGE_ITEMS)
        .map((key) => this.#items.get(key));
      return [200, { items, truncated: keys.length > PAGE_ITEMS, 'as-of': this.#revision }];
    }
    if (pathname === '/v1/kv-watch') {
      return this.#watch(prefix, Number(query.get('after')), Number(query.get('wait-ms')), res);
    }
    if (pathname === '/v1/kv-txn') return this.#commit(body);
    if (pathname === '/v1/kv-lease') {
      this.#lease += 1;
      this.#renew(this.#lease, body['ttl-ms']);
      return [200, { lease: this.#lease, 'ttl-ms': body['ttl-ms'] }];
    }
    const lease = this.#leases.get(id);
    if (!lease) return [404, {}];
    if (pathname.startsWith('/v1/kv-keep/')) this.#renew(id, lease.ttlMs);
    else this.#end(id);
    return [200, {}];
  }

  async #watch(prefix, after, waitMs, res) {
    if ((this.#history[0]?.revision ?? 0) > after + 1 && this.#history.length >= 5000) {
      return [410, {}];
    }
    const changes = () =>
      this.#history.filter(({ key, revision }) => key.startsWith(prefix) && revision > after);
    if (changes().length === 0) {
      await new Promise((resolve) => {
        const done = () => {
          this.#watches.delete(done);
          resolve();
        };
        this.#watches.add(done);
        setTimeout(done, waitMs);
        res.once('close', done);
        this.onWaiting?.(() => res.destroy());
      });
    }
    return [200, { events: changes(), 'as-of': this.#revision }];
  }

  #commit({ expected = [], writes = [], remove = [] }) {
    const revisionOf = (key) => this.#items.get(key)?.revision ?? 0;
    if (!expected.every(({ key, revision }) => revisionOf(key) === revision)) {
      return [412, { items: expected.flatMap(({ key }) => this.#items.get(key) ?? []) }];
    }
    if (writes.some(({ lease }) => lease && !this.#leases.has(lease))) return [404, {}];
    for (const { key, value, lease = 0 } of writes) this.#write(key, value, lease);
    for (const key of remove) this.remove(key);
    this.#notify();
    return [200, { revision: this.#revision }];
  }
}

/** Bounds of the small deployments. */
export const BOUNDS = {
  'seed-lag-s': 3,
  'addr-reuse-s': 2,
  'stable-window-ms': 3000,
  'ack-ms': 4000,
  'catch-up-s': 4,
  'drain-ms': 2000,
  'grace-s': 8,
  'loss-slack-ms': 200,
  'config-apply-ms': 2000,
  'rollback-slack-ms': 250,
  'max-skew-ms': 5000,
  'retry-budget-ratio': 0.2,
  'budget-window-s': 10,
  'retry-budget-extra': 56,
  'recovery-s': 12,
  'transit-ms': 120,
  'retry-after-s': 7.1,
  'require-fencing': false,
  'lease-ms': 3000,
  'thaw-slack-ms': 300,
  ttl_max_s: 5,
};

/** Sends one request over a new connection, or over one of an agent; resolves to the whole answer. */
export function request(
  to,
  { method = 'GET', path, headers = {}, body, agent = false, signal } = {},
) {
  return new Promise((resolve, reject) => {
    const req = http.request({ ...to, method, path, headers, agent, signal }, (res) => {
      bodyOf(res).then(
        (bytes) => resolve({ status: res.statusCode, headers: res.headers, body: bytes }),
        reject,
      );
    });
    req.on('error', reject);
    req.end(body);
  });
}

/** One router process, with the run command of the deploy file. */
export class Router {
  #child;

  #log = '';

  constructor(deployment, index) {
    const { network, folder } = deployment;
    this.deployment = deployment;
    this.name = `front-a-${index + 1}`;
    this.ip = `${network}.${10 + index}`;
    this.front = { host: this.ip, port: FRONT_PORT };
    this.file = join(folder, `${this.name}.json`);
    this.isFirst = true;
    this.exits = [];
  }

  writeSettings() {
    const { network, store, routers, bounds, limits } = this.deployment;
    const { ip } = this;
    const settings = {
      'node-name': this.name,
      role: 'router',
      'machine-class': 'front',
      serves: ['front', 'control', 'directory'],
      ip,
      zone: 'a',
      region: 'r',
      zones: { a: 'r' },
      listen: {
        front: `${ip}:${FRONT_PORT}`,
        ready: `${ip}:${READY_PORT}`,
        control: `${ip}:${CONTROL_PORT}`,
        directory: `${ip}:${DIRECTORY_PORT}`,
      },
      'internal-port-range': [7380, 7395],
      seeds: routers.slice(0, 3).map((router) => `${router.ip}:${CONTROL_PORT}`),
      bootstrap: this.isFirst,
      'failure-counted': false,
      limits: {
        'cpu-share': 0.675,
        cores: 1,
        'memory-mb': 200,
        'max-fds': 4100,
        'link-mbps': 1000,
        'disk-mb': 0,
        ...limits,
      },
      'data-dir': null,
      discovery: 'platform',
      entry: 'directory',
      'heartbeat-ms': 1200,
      contracts: ['base', 'drain', 'config', 'cost', 'retry', 'recover', 'split', 'stream'],
      'fault-tolerance': { machines: 2, zones: 0, regions: 0 },
      bounds: { ...BOUNDS, ...bounds },
      platform: {
        address: store?.address ?? `${network}.1:${STORE_PORT}`,
        form: 'kv',
        'writes-per-s': 400,
        'reads-per-s': 2000,
        'history-s': 20,
        'value-bytes': 1048576,
        'ttl-min-ms': 1000,
      },
    };
    writeFileSync(this.file, JSON.stringify(settings));
  }

  start() {
    this.writeSettings();
    const { root } = this.deployment;
    const words = [
      '--max-old-space-size=90',
      '--max-semi-space-size=1',
      join(root, 'target/goldcrestdock.cjs'),
      'node',
    ];
    const env = { PATH: process.env.PATH, HOME: process.env.HOME, GOLDCRESTDOCK_CONFIG: this.file };
    const child = spawn('node', words, { cwd: root, env, stdio: ['ignore', 'pipe', 'pipe'] });
    const keep = (text) => {
      this.#log = (this.#log + text).slice(-400_000);
    };
    child.stdout.on('data', keep);
    child.stderr.on('data', keep);
    child.on('exit', (code, signal) => {
      this.exits.push({ code, signal });
      if (this.#child === child) this.#child = undefined;
    });
    this.#child = child;
    this.isFirst = false;
  }

  get pid() {
    return this.#child?.pid;
  }

  get log() {
    return this.#log;
  }

  kill(signal) {
    this.#child?.kill(signal);
  }

  async ended() {
    while (this.#child) await pause(20);
  }

  async isReady() {
    try {
      const { status } = await request(
        { host: this.ip, port: READY_PORT },
        { path: '/v1/readiness' },
      );
      return status === 200;
    } catch {
      return false;
    }
  }

  /** Anonymous and swapped-in memory of the process in MiB, by the system's own count. */
  memoryMb() {
    try {
      const text = readFileSync(`/proc/${this.pid}/status`, 'utf8');
      const of = (name) => Number(new RegExp(`^${name}:\\s+(\\d+)`, 'm').exec(text)?.[1] ?? 0);
      return { anonymous: of('RssAnon') / 1024, resident: of('VmRSS') / 1024 };
    } catch {
      return { anonymous: 0, resident: 0 };
    }
  }
}

/** Store, routers and their folder. */
export class Deployment {
  routers = [];

  constructor(root, network, { bounds = {}, limits = {} } = {}) {
    this.root = root;
    this.network = network;
    this.bounds = bounds;
    this.limits = limits;
    this.folder = mkdtempSync(join(tmpdir(), 'review-'));
    this.store = new Store(`${network}.1`);
    process.once('exit', () => this.routers.forEach((router) => router.kill('SIGKILL')));
  }

  /** @param prepare puts the configuration and runners into the store before the routers start */
  async start(count, prepare) {
    await this.store.start();
    prepare?.(this.store);
    for (let index = 0; index < count; index += 1) this.routers.push(new Router(this, index));
    for (const router of this.routers) router.start();
    await this.allReady();
  }

  async allReady(limitMs = 20_000) {
    const until = Date.now() + limitMs;
    for (const router of this.routers) {
      while (!(await router.isReady())) {
        if (Date.now() > until) {
          throw new Error(`${router.name} is not ready\n${router.log.slice(-2000)}`);
        }
        await pause(100);
      }
    }
  }

  async stop() {
    for (const router of this.routers) router.kill('SIGKILL');
    for (const router of this.routers) await router.ended();
    this.store.stop();
    rmSync(this.folder, { recursive: true, force: true });
  }
}

/** Writes the record of a case, line by line. */
export class Record {
  constructor(file) {
    this.file = file;
    this.startedAt = Date.now();
    writeFileSync(file, '');
  }

  line(text) {
    const at = ((Date.now() - this.startedAt) / 1000).toFixed(3);
    appendFileSync(this.file, `${at} ${text}\n`);
  }
}

/** A runner of a plain service, in this process; it follows the pages on runners and service discovery. */
export class PlainRunner {
  /** Whether its process runs. */
  isUp = false;

  /** When it announced that it leaves, or its entry was removed. */
  leftAt = Infinity;

  /** What the time of day of its machine is ahead, in milliseconds. */
  clockAheadMs = 0;

  #born = 0;

  #server;

  #sockets = new Set();

  /**
   * @param options.workMs time that a request takes
   * @param options.hasBorn whether its entry says when it started
   * @param options.onRequest called for each request that it begins to run, with the time since it left
   * @param options.onLost called for each request that its exit broke off
   */
  constructor(
    deployment,
    index,
    { service, slots = 6, workMs, hasBorn, onRequest, onLost, onLine },
  ) {
    this.id = `i-${index}`;
    this.ip = `${deployment.network}.${100 + index}`;
    this.store = deployment.store;
    this.options = { service, slots, workMs, hasBorn, onRequest, onLost, onLine };
  }

  async start() {
    this.#born = Date.now() + this.clockAheadMs;
    this.#server = http.createServer((req, res) => this.#handle(req, res));
    this.#server.on('connection', (socket) => {
      this.#sockets.add(socket);
      socket.on('error', () => undefined);
      socket.once('close', () => this.#sockets.delete(socket));
    });
    await new Promise((resolve, reject) => {
      this.#server.once('error', reject);
      this.#server.listen(RUNNER_PORT, this.ip, resolve);
    });
    this.isUp = true;
    this.report('ready');
  }

  /** Writes its entry. */
  report(state) {
    const { service, slots, hasBorn, onLine } = this.options;
    this.store.put(`servers/${this.id}`, {
      service,
      address: `${this.ip}:${RUNNER_PORT}`,
      zone: 'a',
      version: 'v1',
      slots,
      state,
      'cold-remaining-ms': 0,
      sequence: 0,
      ...(hasBorn ? { born: this.#born } : {}),
    });
    if (state === 'draining') this.leftAt = Date.now();
    onLine?.(`${this.id} reports ${state}${hasBorn ? `, born at Unix ms ${this.#born}` : ''}`);
  }

  /** Removes its entry without a report of `draining` before. */
  removeEntry() {
    this.store.remove(`servers/${this.id}`);
    this.leftAt = Math.min(this.leftAt, Date.now());
    this.options.onLine?.(`the entry of ${this.id} is removed`);
  }

  /** Its process ends at once. */
  exit() {
    this.isUp = false;
    this.#server?.close();
    for (const socket of this.#sockets) socket.resetAndDestroy();
  }

  #handle(req, res) {
    const id = req.headers['request-id'];
    const expected = req.headers['expected-instance'];
    if (expected !== undefined && expected !== this.id) {
      res.writeHead(421, { 'instance-id': this.id }).end();
      return;
    }
    const { workMs, onRequest, onLost } = this.options;
    onRequest?.(id, this, Date.now() - this.leftAt);
    const server = this.#server;
    let bytes = 0;
    req.on('data', (chunk) => {
      bytes += chunk.length;
    });
    req.on('error', () => undefined);
    req.on('end', () => {
      setTimeout(() => {
        if (!this.isUp || this.#server !== server) {
          onLost?.(id, this);
          return;
        }
        const headers = { 'request-id': id, 'server-signature': `sig-${id}` };
        res.writeHead(200, { ...headers, 'instance-id': this.id });
        res.end(`received ${bytes}`);
      }, workMs);
    });
  }
}

/** The configuration with one non-idempotent route to one plain service. */
export function configOf(service, { budgetMs, targetMs = 500, connections = 110 }) {
  return {
    version: 1,
    routes: [
      {
        name: 'r-one',
        host: 'one.example',
        'path-prefix': '/one/',
        kind: 'non_idempotent',
        'timeout-ms': budgetMs,
        'target-latency-ms': targetMs,
        priority: 2,
        service,
        'max-attempts': 1,
        resumable: false,
      },
    ],
    services: [{ name: service, 'health-path': '/health-check', 'max-connections': connections }],
    limits: {
      'max-header-bytes': 16384,
      'max-body-bytes': 4194304,
      'header-timeout-ms': 3000,
      'idle-timeout-ms': 15000,
    },
  };
}

/** Clients that send one kind of request over kept channels to all routers in turn. */
export class Clients {
  #agents = new Map();

  #pending = [];

  #count = 0;

  /** Outcomes by request id. */
  outcomes = new Map();

  /** When each request was sent. */
  sentAt = new Map();

  constructor(routers, { budgetMs, body = Buffer.from('{}'), onOutcome }) {
    this.routers = routers;
    this.budgetMs = budgetMs;
    this.body = body;
    this.onOutcome = onOutcome;
    for (const router of routers) {
      this.#agents.set(router, new http.Agent({ keepAlive: true, maxFreeSockets: 256 }));
    }
  }

  /** Sends the next request; its channel was kept, or is kept after it. */
  send() {
    const router = this.routers[this.#count % this.routers.length];
    this.#count += 1;
    const id = `q-${this.#count}`;
    const headers = {
      host: 'one.example',
      'request-id': id,
      'request-deadline-ms': String(this.budgetMs),
      'content-length': this.body.length,
    };
    const agent = this.#agents.get(router);
    this.sentAt.set(id, Date.now());
    const options = { ...router.front, method: 'POST', path: `/one/${id}`, headers, agent };
    const answered = new Promise((resolve) => {
      const done = (outcome) => {
        if (this.outcomes.has(id)) return;
        this.outcomes.set(id, outcome);
        this.onOutcome?.(id, router, outcome);
        resolve();
      };
      const req = http.request(options, (res) => {
        res.resume();
        res.on('end', () => done(res.complete ? `status ${res.statusCode}` : 'cut'));
        res.on('error', () => done('cut'));
      });
      req.on('error', ({ code, message }) => done(`closed ${code ?? message}`));
      req.end(this.body);
    });
    this.#pending.push(answered);
    return id;
  }

  /** Sends at a rate that may change until it is 0. */
  async run(rateAt) {
    const startedAt = Date.now();
    let dueMs = 0;
    for (let rate = rateAt(0); rate > 0; rate = rateAt(dueMs)) {
      const waitMs = startedAt + dueMs - Date.now();
      if (waitMs > 0) await pause(waitMs);
      this.send();
      dueMs += 1000 / rate;
    }
  }

  /** Resolves when all requests have ended, or their time is over. */
  async ended() {
    await Promise.race([Promise.all(this.#pending), pause(this.budgetMs + 2000)]);
    this.#agents.forEach((agent) => agent.destroy());
  }

  /** Number of requests by outcome. */
  get counts() {
    const counts = {};
    for (const outcome of this.outcomes.values()) counts[outcome] = (counts[outcome] ?? 0) + 1;
    return counts;
  }
}

/** Runs a case to its exit code: 1 if the rule was broken, 0 if it held, 2 if the case could not run. */
export function runCase(recordFile, play) {
  const record = new Record(recordFile);
  // The routers are ended as this process exits.
  for (const signal of ['SIGINT', 'SIGTERM']) process.once(signal, () => process.exit(2));
  play(record).then(
    (isBroken) => process.exit(isBroken ? 1 : 0),
    (error) => {
      record.line(`could not run: ${error.stack}`);
      process.exit(2);
    },
  );
}
