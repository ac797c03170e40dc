/** The two deployments at the sizes of today, with everything as a process of its own. */

import type { ChildProcess } from 'node:child_process';
import { spawn } from 'node:child_process';
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { setTimeout as pause } from 'node:timers/promises';

import type { Consortium } from '../../src/core/settings/schema';
import { parseDocument } from '../../src/core/settings/parse';
import { call } from './http';

/** What tells the deployments apart. */
export interface DeploymentSpec {
  readonly name: 'dosel' | 'bagmati';
  /** First two numbers of its loopback addresses. */
  readonly loopbackPrefix: string;
  readonly domains: readonly string[];
  readonly teams: readonly string[];
  readonly operatorToken: string;
  /** VMs to start. */
  readonly vms: number;
}

/** Dosel Urbano Cartografía. */
export const dosel: DeploymentSpec = {
  name: 'dosel',
  loopbackPrefix: '127.10',
  domains: ['quito-norte', 'quito-centro', 'quito-sur'],
  teams: ['crew-norte', 'crew-centro', 'crew-sur'],
  operatorToken: 'dosel-operator-token',
  vms: 3,
};

/** Bagmati Lekhapadhi & Sons. */
export const bagmati: DeploymentSpec = {
  name: 'bagmati',
  loopbackPrefix: '127.20',
  domains: ['putalisadak-hall', 'lalitpur-hall', 'bhaktapur-hall'],
  teams: ['clerks', 'lawyers', 'loan-officers'],
  operatorToken: 'bagmati-operator-token',
  vms: 3,
};

const PEER_KEY = 'example-key-change-me';
/** Time in which everything must be up, in milliseconds. */
const START_LIMIT_MS = 30_000;

/** Runs `look` until it holds; throws after the limit. */
export async function waitUntil(
  what: string,
  look: () => Promise<boolean>,
  limitMs = START_LIMIT_MS,
): Promise<void> {
  const end = Date.now() + limitMs;
  while (!(await look().catch(() => false))) {
    if (Date.now() > end) throw new Error(`${what}: not within ${limitMs} ms`);
    await pause(25);
  }
}

/** A started deployment. */
export class Deployment {
  readonly spec: DeploymentSpec;

  readonly #folder = mkdtempSync(join(tmpdir(), 'goldcrestdock-'));

  readonly #processes = new Map<string, ChildProcess>();

  constructor(spec: DeploymentSpec) {
    this.spec = spec;
  }

  get platformUrl(): string {
    return `http://${this.spec.loopbackPrefix}.9.1:8500`;
  }

  get consortium(): Consortium {
    const document = parseDocument('consortium', this.#example('consortium'));
    if (document.kind !== 'consortium') throw new Error('unreachable');
    return document.value;
  }

  /** Callers' address of a VM, counted from 1. */
  callers(vm: number): string {
    return `${this.spec.loopbackPrefix}.0.${vm}:8080`;
  }

  operators(vm: number): string {
    return `${this.spec.loopbackPrefix}.0.${vm}:8081`;
  }

  /** Process by name: `platform`, `gateway-1`, `scheduler-1`, or a runner's id. */
  process(name: string): ChildProcess | undefined {
    return this.#processes.get(name);
  }

  get names(): readonly string[] {
    return [...this.#processes.keys()];
  }

  /** Starts everything and waits until it serves. */
  async start(): Promise<void> {
    const { loopbackPrefix: net, vms, domains } = this.spec;
    this.#spawn('platform', ['build/fakes.cjs', 'platform', `${net}.9.1`, '8500']);
    for (const [pool, { runners }] of Object.entries(this.consortium.pools)) {
      for (const { id, url, role } of runners) this.startRunner(pool, id, url, role);
    }
    await waitUntil(
      'platform',
      async () => (await call('GET', `${this.platformUrl}/calls`)).status === 200,
    );
    const list = Array.from({ length: vms }, (_, i) => ({
      id: `vm${i + 1}`,
      address: `${net}.0.${i + 1}`,
      leaving: false,
    }));
    await call('PUT', `${this.platformUrl}/vms`, { vms: list });
    await this.#seed();
    for (let vm = 1; vm <= vms; vm += 1) {
      this.startScheduler(vm, domains[(vm - 1) % domains.length] as string);
      this.startGateway(vm, domains[(vm - 1) % domains.length] as string);
    }
    await this.ready();
  }

  /** Waits until every VM serves and knows all others. */
  async ready(): Promise<void> {
    const { vms } = this.spec;
    for (let vm = 1; vm <= vms; vm += 1) {
      await waitUntil(`gateway ${vm}`, async () => {
        const ready = await call('GET', `http://${this.callers(vm)}/readyz`);
        const { body } = await call('GET', `http://${this.callers(vm)}/v1/addresses`);
        return ready.status === 200 && (body as { addresses: string[] }).addresses.length === vms;
      });
    }
  }

  startRunner(pool: string, id: string, url: string, role: string): void {
    const { hostname, port } = new URL(url);
    const args = role === 'plain' ? ['service', hostname, port] : ['engine', hostname, port, id];
    this.#spawn(id, ['build/fakes.cjs', ...args]);
  }

  startScheduler(vm: number, domain: string): void {
    const { loopbackPrefix: net } = this.spec;
    const config = {
      role: 'scheduler',
      vm: `vm${vm}`,
      domain,
      peer: { host: `${net}.0.${vm}`, port: 9000 },
      platform: this.platformUrl,
      peerKey: PEER_KEY,
      log: process.env.GOLDCRESTDOCK_LOG ?? 'error',
      probeMs: 300,
      suspectMs: 600,
    };
    this.#spawn(`scheduler-${vm}`, [
      'build/goldcrestdock.cjs',
      'scheduler',
      this.#file(`scheduler-${vm}`, config),
    ]);
  }

  startGateway(vm: number, domain: string): void {
    const host = `${this.spec.loopbackPrefix}.0.${vm}`;
    const config = {
      role: 'gateway',
      vm: `vm${vm}`,
      domain,
      listen: { host, port: 8080 },
      operator: { host, port: 8081 },
      scheduler: `${host}:9000`,
      platform: this.platformUrl,
      peerKey: PEER_KEY,
      log: process.env.GOLDCRESTDOCK_LOG ?? 'error',
      addressTtlMs: 1000,
    };
    this.#spawn(`gateway-${vm}`, [
      'build/goldcrestdock.cjs',
      'gateway',
      this.#file(`gateway-${vm}`, config),
    ]);
  }

  /** Sends a signal and, for those that end a process, waits for its end. */
  async signal(name: string, signal: NodeJS.Signals): Promise<void> {
    const child = this.#processes.get(name);
    if (!child || child.exitCode !== null) return;
    const ended = new Promise<void>((resolve) => {
      child.once('exit', () => resolve());
    });
    child.kill(signal);
    if (signal === 'SIGKILL' || signal === 'SIGTERM') await ended;
  }

  async stop(): Promise<void> {
    for (const name of this.names) {
      this.#processes.get(name)?.kill('SIGCONT');
    }
    await Promise.all(this.names.map((name) => this.signal(name, 'SIGKILL')));
    rmSync(this.#folder, { recursive: true, force: true });
  }

  #spawn(name: string, args: readonly string[]): void {
    const child = spawn(process.execPath, [...args], { stdio: ['ignore', 'ignore', 'inherit'] });
    this.#processes.set(name, child);
  }

  #file(name: string, config: object): string {
    const path = join(this.#folder, `${name}.json`);
    writeFileSync(path, JSON.stringify(config));
    return path;
  }

  #example(name: string): string {
    return readFileSync(join('examples', this.spec.name, `${name}.jsonc`), 'utf8');
  }

  /** The first settings are written straight to the store: without operators' tokens nobody could write them. */
  async #seed(): Promise<void> {
    const put = async (path: string, text: string): Promise<void> => {
      const envelope = JSON.stringify({ revision: 1, nonce: 'seed', text });
      await call(
        'PUT',
        `${this.platformUrl}/v1/kv/${encodeURIComponent(`settings/${path}`)}?cas=0`,
        envelope,
      );
    };
    await put('consortium', this.#example('consortium'));
    for (const team of this.spec.teams) await put(`teams/${team}`, this.#example(team));
  }
}
