/** The two example deployments at full size, with each component in its own process. */

import type { ChildProcess } from 'node:child_process';
import { spawn } from 'node:child_process';
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { setTimeout as pause } from 'node:timers/promises';

import type { Consortium } from '../../src/core/settings/schema';
import { parseDocument } from '../../src/core/settings/parse';
import { call } from './http';

/** Parameters of a deployment. */
export interface DeploymentSpec {
  readonly name: 'dosel' | 'bagmati';
  /** First two octets of its loopback addresses. */
  readonly loopbackPrefix: string;
  /** Failure domains; VMs are assigned to them in turn. */
  readonly domains: readonly string[];
  /** Customers whose settings are written at the start. */
  readonly teams: readonly string[];
  readonly operatorToken: string;
  /** Number of VMs. */
  readonly vms: number;
}

/** Deployment of Dosel Urbano Cartografía. */
export const dosel: DeploymentSpec = {
  name: 'dosel',
  loopbackPrefix: '127.10',
  domains: ['quito-norte', 'quito-centro', 'quito-sur'],
  teams: ['crew-norte', 'crew-centro', 'crew-sur'],
  operatorToken: 'dosel-operator-token',
  vms: 3,
};

/** Deployment of Bagmati Lekhapadhi & Sons. */
export const bagmati: DeploymentSpec = {
  name: 'bagmati',
  loopbackPrefix: '127.20',
  domains: ['putalisadak-hall', 'lalitpur-hall', 'bhaktapur-hall'],
  teams: ['clerks', 'lawyers', 'loan-officers'],
  operatorToken: 'bagmati-operator-token',
  vms: 3,
};

const PEER_KEY = 'example-key-change-me';
/** Time limit for all processes to become ready. */
const START_LIMIT_MS = 30_000;

/** Polls until `condition` is true, counting its errors as false; throws after `limitMs` milliseconds. */
export async function waitUntil(
  what: string,
  condition: () => Promise<boolean>,
  limitMs = START_LIMIT_MS,
): Promise<void> {
  const end = Date.now() + limitMs;
  while (!(await condition().catch(() => false))) {
    if (Date.now() > end) throw new Error(`${what}: condition not met within ${limitMs} ms`);
    await pause(25);
  }
}

/** A deployment and its processes. */
export class Deployment {
  readonly spec: DeploymentSpec;

  readonly #folder = mkdtempSync(join(tmpdir(), 'goldcrestdock-'));

  readonly #processes = new Map<string, ChildProcess>();

  constructor(spec: DeploymentSpec) {
    this.spec = spec;
  }

  /** Base URL of the platform. */
  get platformUrl(): string {
    return `http://${this.spec.loopbackPrefix}.9.1:8500`;
  }

  /** Consortium settings from the deployment's example. */
  get consortium(): Consortium {
    const document = parseDocument('consortium', this.#example('consortium'));
    if (document.kind !== 'consortium') throw new Error('unreachable');
    return document.value;
  }

  /** Address of a VM's gateway for callers, as `host:port`; VMs are counted from 1. */
  callers(vm: number): string {
    return `${this.spec.loopbackPrefix}.0.${vm}:8080`;
  }

  /** Address of a VM's gateway for operators, as `host:port`. */
  operators(vm: number): string {
    return `${this.spec.loopbackPrefix}.0.${vm}:8081`;
  }

  /** Process by name: `platform`, `gateway-1`, `scheduler-1` or a runner's id; undefined if none was started. */
  process(name: string): ChildProcess | undefined {
    return this.#processes.get(name);
  }

  /** Names of all processes started. */
  get names(): readonly string[] {
    return [...this.#processes.keys()];
  }

  /** Starts all processes and waits until they are ready. */
  async start(): Promise<void> {
    const { loopbackPrefix, vms, domains } = this.spec;
    this.#spawn('platform', ['build/fakes.cjs', 'platform', `${loopbackPrefix}.9.1`, '8500']);
    for (const [pool, { runners }] of Object.entries(this.consortium.pools)) {
      for (const { id, url, role } of runners) this.startRunner(pool, id, url, role);
    }
    await waitUntil(
      'platform',
      async () => (await call('GET', `${this.platformUrl}/calls`)).status === 200,
    );
    const list = Array.from({ length: vms }, (_, i) => ({
      id: `vm${i + 1}`,
      address: `${loopbackPrefix}.0.${i + 1}`,
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

  /** Waits until every gateway is ready and lists the addresses of all VMs. */
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

  /** Starts a runner's process under the runner's id. */
  startRunner(pool: string, id: string, url: string, role: string): void {
    const { hostname, port } = new URL(url);
    const args = role === 'plain' ? ['service', hostname, port] : ['engine', hostname, port, id];
    this.#spawn(id, ['build/fakes.cjs', ...args]);
  }

  /** Starts the scheduler of a VM. */
  startScheduler(vm: number, domain: string): void {
    const { loopbackPrefix } = this.spec;
    const config = {
      role: 'scheduler',
      vm: `vm${vm}`,
      domain,
      peer: { host: `${loopbackPrefix}.0.${vm}`, port: 9000 },
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

  /** Starts the gateway of a VM. */
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

  /** Sends a signal to a process; for SIGKILL and SIGTERM waits until the process has exited. */
  async signal(name: string, signal: NodeJS.Signals): Promise<void> {
    const child = this.#processes.get(name);
    if (!child || child.exitCode !== null) return;
    const ended = new Promise<void>((resolve) => {
      child.once('exit', () => resolve());
    });
    child.kill(signal);
    if (signal === 'SIGKILL' || signal === 'SIGTERM') await ended;
  }

  /** Kills all processes, paused ones included, and deletes their configuration files. */
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

  /** Writes the first settings directly to the store, because the operators' tokens that authorize writes are part of them. */
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
