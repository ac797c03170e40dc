/** A VM of the soak: the program that the platform runs, as a process of its own. */

import type { ChildProcess } from 'node:child_process';
import { spawn } from 'node:child_process';
import { createWriteStream, renameSync, writeFileSync } from 'node:fs';
import { join } from 'node:path';

/** Ports of a VM; its address is its own. */
const PORTS = { front: 8149, ready: 8141, control: 8144, directory: 8143 } as const;
const INTERNAL_PORTS = [7380, 7395] as const;
const METRICS_PORT = 9464;
const PROGRAM = 'build/goldcrestdock.cjs';
const SHIM = './scripts/soak/shim.cjs';
/** Port of links and probes between VMs. */
export const PEER_PORT = INTERNAL_PORTS[0];

/** Time in which a process surely has loaded the shim, in milliseconds. */
const LOAD_MS = 2000;

/** Bounds that the soak checks its promises by. */
export const bounds = {
  'grace-s': 8,
  'lease-ms': 3000,
  'config-apply-ms': 2000,
  'retry-budget-ratio': 0.2,
  'budget-window-s': 10,
  'retry-budget-extra': 10,
  'strict-revoke': true,
  'revoke-ms': 5000,
  'quota-window-s': 8,
  'quota-overage': 0.1,
  'quota-slack': 20,
  ttl_max_s: 5,
} as const;

/** Where a VM is and what it is told. */
export interface VmOptions {
  readonly name: string;
  readonly ip: string;
  readonly domain: string;
  /** `HOST:PORT` at which it finds the store. */
  readonly store: string;
  /** Address of the VM that it is told of. */
  readonly seed: string;
  /** Folder of its settings and its log. */
  readonly folder: string;
}

/** One VM; its process may be started again and again. */
export class Vm {
  readonly place: VmOptions;

  /** Processes that ended though nobody asked them to. */
  readonly crashes: string[] = [];

  /** Counts the lives of its process. */
  startCount = 0;

  isPaused = false;

  #process: ChildProcess | undefined;

  /** Where its connections go in place of where it wants. */
  readonly #routes = new Map<string, string>();

  /** Hosts to which its datagrams are lost. */
  readonly #lost = new Set<string>();

  #stepMs = 0;

  #startedAt = 0;

  #asked = false;

  constructor(place: VmOptions) {
    this.place = place;
  }

  get frontAddress(): string {
    return `${this.place.ip}:${PORTS.front}`;
  }

  get directoryAddress(): string {
    return `${this.place.ip}:${PORTS.directory}`;
  }

  get peerAddress(): string {
    return `${this.place.ip}:${PEER_PORT}`;
  }

  get snapshotUrl(): string {
    return `http://${this.place.ip}:${METRICS_PORT}/beliefs`;
  }

  get isUp(): boolean {
    return this.#process !== undefined;
  }

  start(): void {
    if (this.#process) return;
    const { name, folder } = this.place;
    const settings = join(folder, `${name}.json`);
    writeFileSync(settings, JSON.stringify(this.#settings()));
    this.#stepMs = 0;
    this.#tellShim();
    this.#startedAt = Date.now();
    const args = ['--max-old-space-size=90', '-r', SHIM, PROGRAM, 'node'];
    const child = spawn(process.execPath, args, {
      env: { GOLDCRESTDOCK_CONFIG: settings, GOLDCRESTDOCK_SOAK: this.#shimFile },
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    const log = createWriteStream(join(folder, `${name}.log`), { flags: 'a' });
    child.stdout.pipe(log, { end: false });
    child.stderr.pipe(log, { end: false });
    child.once('exit', (code, signal) => this.#ended(code, signal));
    this.#process = child;
    this.#asked = false;
    this.startCount += 1;
  }

  /** Signals that end it are expected to. */
  signal(signal: NodeJS.Signals): void {
    if (signal === 'SIGTERM' || signal === 'SIGKILL') this.#asked = true;
    if (signal === 'SIGSTOP') this.isPaused = true;
    if (signal === 'SIGCONT' || signal === 'SIGKILL') this.isPaused = false;
    this.#process?.kill(signal);
  }

  /** Steps the time of day of its process, to so much before or after the real one. */
  stepClock(stepMs: number): void {
    this.#stepMs = stepMs;
    this.#tellShim();
  }

  /** Has its connections to an address go to another one. */
  redirect(from: string, to: string): void {
    this.#routes.set(from, to);
    this.#tellShim();
  }

  /** Loses its datagrams to a host, or no longer. */
  setDatagramLoss(host: string, isLost: boolean): void {
    if (isLost) this.#lost.add(host);
    else this.#lost.delete(host);
    this.#tellShim();
  }

  /** Resolves once its process is gone. */
  async waitForExit(): Promise<void> {
    const child = this.#process;
    if (!child) return;
    await new Promise((resolve) => {
      child.once('exit', resolve);
    });
  }

  get #shimFile(): string {
    return join(this.place.folder, `${this.place.name}.shim.json`);
  }

  #tellShim(): void {
    const { name, folder } = this.place;
    const text = JSON.stringify({
      stepMs: this.#stepMs,
      routes: Object.fromEntries(this.#routes),
      lost: [...this.#lost],
    });
    // Replaced whole: the process may read it at any moment.
    const fresh = join(folder, `${name}.shim.fresh`);
    writeFileSync(fresh, text);
    renameSync(fresh, this.#shimFile);
    // The signal would end a process that has not loaded the shim yet; that one reads the file anyway.
    const loadsMs = this.#startedAt + LOAD_MS - Date.now();
    if (loadsMs > 0) setTimeout(() => this.#process?.kill('SIGUSR2'), loadsMs).unref();
    else this.#process?.kill('SIGUSR2');
  }

  #ended(code: number | null, signal: NodeJS.Signals | null): void {
    this.#process = undefined;
    this.isPaused = false;
    if (!this.#asked) this.crashes.push(`${this.place.name} ended with ${code ?? signal}`);
  }

  #settings(): unknown {
    const { name, ip, domain, store, seed } = this.place;
    const listen = Object.fromEntries(
      Object.entries(PORTS).map(([what, port]) => [what, `${ip}:${port}`]),
    );
    return {
      'node-name': name,
      role: 'router',
      ip,
      zone: domain,
      listen,
      'internal-port-range': INTERNAL_PORTS,
      seeds: [`${seed}:${PORTS.control}`],
      bounds,
      platform: { address: store },
    };
  }
}
