/**
 * Routers on the platform inside the test's own process: real daemons with the real
 * adapter, links and probes between them, a stand-in of the store, and stand-ins of
 * runners that speak the platform's protocol over loopback.
 */

import { randomUUID } from 'node:crypto';
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import { createServer, request } from 'node:http';
import type { AddressInfo } from 'node:net';
import { setTimeout as pause } from 'node:timers/promises';

import pino from 'pino';

import type { Router } from '../../src/node/router/daemon';
import { createRouter } from '../../src/platform/router';
import { waitUntil } from './cluster';
import { entryOf } from './entry';
import { closeServer, listen, readBody, sendJson } from './http';
import { FakeStore } from './store';

/** What a body holds that ends each runner which begins to run it. */
export const CRASH_TEXT = 'ends its runner';

/** Key of a customer under which the fake itself sends requests; where there are customers, one must hold it. */
export const WARMUP_KEY = 'key-of-the-test';

/** Services of the deployment. */
export const services = { model: 'reader', plain: 'desk' } as const;

/** How to start. */
export interface RouterClusterOptions {
  /** Default: 3. */
  readonly vms?: number;
  /** Decode runners, and as many plain ones. Default: 6. */
  readonly runners?: number;
  /** Time after which a runner that ended is back under a new id, in milliseconds. Default: 600. */
  readonly restartMs?: number;
  /** Customers as the configuration holds them. Default: requests need no key. */
  readonly customers?: readonly unknown[];
}

/** Whose a request was, as a runner saw it. */
export interface Arrival {
  readonly path: string;
  readonly stage: string | undefined;
  readonly customer: string | undefined;
  readonly authorization: string | undefined;
}

/** How a caller saw its request end. */
export interface CallerAnswer {
  readonly status: number;
  readonly retryAfter: string | undefined;
  readonly whole: boolean;
}

/** What a runner does. */
type Role = 'prefill' | 'decode' | 'plain';

const LEASE_LAPSE_MS = 400;
const EVENTS = 3;
const EVENT_MS = 10;
/** Time from the beginning of a deadly run to the end of its runner, in milliseconds. */
const DEADLY_MS = 20;

const configOf = (version: number, customers?: readonly unknown[]): unknown => ({
  version,
  ...(customers ? { tenants: customers } : {}),
  routes: [
    {
      name: 'r-model',
      host: 'h.example',
      'path-prefix': '/model/',
      kind: 'streaming',
      service: services.model,
      'timeout-ms': 5000,
      'target-latency-ms': 900,
      'max-attempts': 1,
    },
    {
      name: 'r-plain',
      host: 'h.example',
      'path-prefix': '/plain/',
      kind: 'idempotent',
      service: services.plain,
      'timeout-ms': 3000,
      'max-attempts': 2,
    },
    {
      name: 'r-open',
      host: 'h.example',
      'path-prefix': '/open/',
      kind: 'idempotent',
      service: services.plain,
      'timeout-ms': 3000,
      'allow-anonymous': true,
    },
  ],
  services: [
    {
      name: services.model,
      engine: { slots: 16, 'kv-capacity-tokens': 50_000, stride: 7, 'kv-hold-s': 1 },
    },
    { name: services.plain },
  ],
});

/** A runner on a loopback port. */
export class RunnerServer {
  readonly id = `i-${randomUUID().slice(0, 8)}`;

  /** Steady times at which requests reached it, prefills included. */
  readonly arrivedAt: number[] = [];

  readonly arrivals: Arrival[] = [];

  /** What it names as its rate limit. Default: it names none. */
  rateLimit: string | undefined;

  readonly #role: Role;

  readonly #onEnd: (runner: RunnerServer) => void;

  #server: Server | undefined;

  #address = '';

  #ended = false;

  constructor(role: Role, onEnd: (runner: RunnerServer) => void) {
    this.#role = role;
    this.#onEnd = onEnd;
  }

  get role(): Role {
    return this.#role;
  }

  get entry(): unknown {
    const service = this.#role === 'plain' ? services.plain : services.model;
    const stage = this.#role === 'plain' ? {} : { stage: this.#role };
    return entryOf({ service, address: this.#address, ...stage });
  }

  async start(): Promise<void> {
    const { server, port } = await listen((req, res, url) => this.#handle(req, res, url));
    this.#server = server;
    this.#address = `127.0.0.1:${port}`;
  }

  async stop(): Promise<void> {
    this.#ended = true;
    if (this.#server) await closeServer(this.#server);
  }

  async #handle(req: IncomingMessage, res: ServerResponse, { pathname }: URL): Promise<void> {
    if (pathname === '/v1/report') {
      sendJson(res, 200, { 'kv-used': 0, runs: [] });
      return;
    }
    const body = await readBody(req);
    if (pathname.startsWith('/v1/')) {
      sendJson(res, 200, {});
      return;
    }
    this.arrivedAt.push(performance.now());
    const { 'tenant-id': customer, 'serving-stage': stage, authorization } = req.headers;
    this.arrivals.push({
      path: pathname,
      stage: stage?.toString(),
      customer: customer?.toString(),
      authorization,
    });
    const headers = {
      'request-id': req.headers['request-id'] ?? '',
      'server-signature': `by ${this.id}`,
      ...(this.rateLimit === undefined ? {} : { 'server-limit': this.rateLimit }),
    };
    if (req.headers['serving-stage'] === 'prefill') {
      res.writeHead(200, { ...headers, 'content-type': 'application/json' });
      res.end(JSON.stringify({ 'kv-handle': randomUUID(), tokens: 100, version: 1 }));
      return;
    }
    res.writeHead(200, headers);
    if (body.includes(CRASH_TEXT)) {
      res.flushHeaders();
      await pause(DEADLY_MS);
      this.#end();
      return;
    }
    for (let event = 1; event <= EVENTS; event += 1) {
      await pause(EVENT_MS);
      res.write(`id: ${event}\ndata: x\n\n`);
    }
    res.end();
  }

  /** The process is gone: every connection is reset, and nothing listens any more. */
  #end(): void {
    if (this.#ended) return;
    this.#ended = true;
    this.#server?.close();
    this.#server?.closeAllConnections();
    this.#onEnd(this);
  }
}

/** A port that is free now. */
async function freePort(): Promise<number> {
  const server = createServer();
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const { port } = server.address() as AddressInfo;
  await closeServer(server);
  return port;
}

interface Vm {
  readonly name: string;
  readonly front: string;
  readonly peer: string;
  readonly ready: string;
  router: Router;
}

/** A started deployment. */
export class RouterCluster {
  readonly store = new FakeStore();

  /** Runners that ended under a request, in order. */
  readonly crashed: string[] = [];

  readonly #options: Required<Omit<RouterClusterOptions, 'customers'>>;

  #customers: readonly unknown[] | undefined;

  #version = 1;

  readonly #runners: RunnerServer[] = [];

  readonly #vms: Vm[] = [];

  #stopping = false;

  constructor({
    vms = 3,
    runners = 6,
    restartMs: backMs = 600,
    customers,
  }: RouterClusterOptions = {}) {
    this.#options = { vms, runners, restartMs: backMs };
    this.#customers = customers;
  }

  /** Requests that reached runners, prefills included. */
  get arrivalCount(): number {
    return this.#runners.reduce((sum, { arrivedAt: reachedAt }) => sum + reachedAt.length, 0);
  }

  async start(): Promise<void> {
    const { vms, runners } = this.#options;
    await this.store.start();
    this.store.put('op/config', configOf(this.#version, this.#customers));
    await this.#add('prefill');
    for (let i = 0; i < runners; i += 1) {
      await this.#add('decode');
      await this.#add('plain');
    }
    for (let i = 0; i < vms; i += 1) this.#vms.push(await this.#startVm(`vm${i + 1}`));
    await this.#settled();
  }

  /** Runners that do one thing. */
  runnersOf(role: Role): readonly RunnerServer[] {
    return this.#runners.filter((runner) => runner.role === role);
  }

  /** What reached the runners. */
  get arrivals(): readonly Arrival[] {
    return this.#runners.flatMap(({ arrivals }) => arrivals);
  }

  /** The operator writes a configuration with other customers. */
  configure(customers: readonly unknown[]): void {
    this.#customers = customers;
    this.#version += 1;
    this.store.put('op/config', configOf(this.#version, customers));
  }

  async stop(): Promise<void> {
    this.#stopping = true;
    await Promise.all(this.#vms.map(({ router }) => router.stop()));
    await Promise.all(this.#runners.map((runner) => runner.stop()));
    this.store.stop();
  }

  /** Stops all VMs, and starts them anew with nothing but the store to know things from. */
  async restart(): Promise<void> {
    await Promise.all(this.#vms.map(({ router }) => router.stop()));
    for (const one of this.#vms) {
      one.router = this.#routerOf(one.name, one.front, one.peer, one.ready);
      await one.router.start();
    }
    await this.#settled();
  }

  /** One more VM, that knows nothing yet. */
  async addVm(): Promise<void> {
    this.#vms.push(await this.#startVm(`vm${this.#vms.length + 1}`));
    await this.#settled();
  }

  /** Sends one request to a VM, by turns, under an id of its own. */
  async sendRequest(
    turn: number,
    path: string,
    body: string,
    sent: Readonly<Record<string, string | string[]>> = {},
  ): Promise<CallerAnswer> {
    const vm = this.#vms[turn % this.#vms.length];
    const headers = {
      host: 'h.example',
      'request-id': randomUUID(),
      'request-deadline-ms': '5000',
      connection: 'close',
      ...(path.startsWith('/model/')
        ? { 'token-usage': '100,50', 'prompt-prefix': `${body.length}:100` }
        : {}),
      ...sent,
    };
    return fetchRaw(vm?.front ?? '', path, headers, body);
  }

  async #startVm(name: string): Promise<Vm> {
    const [front, peer, ready] = (await Promise.all([freePort(), freePort(), freePort()])).map(
      (port) => `127.0.0.1:${port}`,
    ) as [string, string, string];
    const router = this.#routerOf(name, front, peer, ready);
    await router.start();
    return { name, front, peer, ready, router };
  }

  #routerOf(name: string, front: string, peer: string, ready: string): Router {
    const seed = this.#vms[0]?.peer;
    return createRouter(
      {
        router: {
          vm: name,
          domain: 'a',
          listen: { front, ready, directory: undefined, metrics: undefined },
          peer,
          seeds: seed === undefined ? [] : [seed],
          peerKey: 'test-key-test-key',
          cores: 1,
          retries: { ratio: 0.2, extra: 100, windowMs: 10_000 },
          ages: { keyMs: 4700, finalMs: 2000 },
          quotas: { windowMs: 8000, overage: 0.1, slack: 0, wholeRuns: false },
          rateLimits: { windowMs: 4000, overage: 0.5, slack: 5, wholeRuns: true },
          graceMs: 1000,
          leaseMs: 3000,
          addressTtlMs: 1000,
        },
        store: this.store.address,
      },
      pino({ level: 'silent' }),
    );
  }

  /** Every VM serves both services. */
  async #settled(): Promise<void> {
    for (let turn = 0; turn < this.#vms.length; turn += 1) {
      for (const path of ['/model/warm', '/plain/warm']) {
        await waitUntil(`VM ${turn} serves ${path}`, async () => {
          const body = `warm ${randomUUID()}`;
          const { status, whole } = await this.sendRequest(turn, path, body, this.#warmHeaders);
          return status === 200 && whole;
        });
      }
    }
  }

  get #warmHeaders(): Readonly<Record<string, string>> {
    return this.#customers ? { authorization: `Bearer ${WARMUP_KEY}` } : {};
  }

  async #add(role: Role): Promise<void> {
    const runner = new RunnerServer(role, (ended) => this.#onEnd(ended));
    await runner.start();
    this.#runners.push(runner);
    this.store.put(`servers/${runner.id}`, runner.entry);
  }

  /** Its lease runs out, and it is back under a new id. */
  #onEnd(runner: RunnerServer): void {
    this.crashed.push(runner.id);
    const { restartMs: backMs } = this.#options;
    setTimeout(() => this.store.remove(`servers/${runner.id}`), LEASE_LAPSE_MS).unref();
    setTimeout(() => {
      if (!this.#stopping) this.#add(runner.role).catch(() => undefined);
    }, backMs).unref();
  }
}

/** One request whose answer may break off. */
function fetchRaw(
  address: string,
  path: string,
  headers: Readonly<Record<string, string | string[]>>,
  body: string,
): Promise<CallerAnswer> {
  const [host = '', port = ''] = address.split(':');
  return new Promise((resolve) => {
    const options = { host, port, path, method: 'POST', headers, agent: false };
    const req = request(options, (res) => {
      const end = (whole: boolean): void =>
        resolve({ status: res.statusCode ?? 0, retryAfter: res.headers['retry-after'], whole });
      res.resume();
      res.on('end', () => end(res.complete));
      res.on('error', () => end(false));
    });
    req.on('error', () => resolve({ status: 0, retryAfter: undefined, whole: false }));
    req.end(body);
  });
}
