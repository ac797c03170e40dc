/** A VM of the soak: one router process, started as the platform starts it. */

import type { ChildProcess } from 'node:child_process';
import { spawn } from 'node:child_process';
import { createWriteStream, renameSync, writeFileSync } from 'node:fs';
import { join } from 'node:path';

/** Ports of a VM. All VMs use the same ones, each on its own loopback address. */
const PORTS = { front: 8149, ready: 8141, control: 8144, directory: 8143 } as const;
const INTERNAL_PORTS = [7380, 7395] as const;
const METRICS_PORT = 9464;
const SHIM = './scripts/soak/shim.cjs';
/** Port of all runners. */
export const RUNNER_PORT = 8528;
/** Port of connections and probes between VMs. */
export const PEER_PORT = INTERNAL_PORTS[0];

/** Time between the beginnings of two blocks of a slow VM's event loop. */
export const SLICE_MS = 250;
/** Time after which a started process has certainly loaded the shim. */
const SHIM_LOAD_MS = 2000;

/** Bounds in the VMs' settings; the soak checks the guarantees against them. */
export const bounds = {
  'grace-s': 8,
  'lease-ms': 3000,
  'config-apply-ms': 2000,
  'retry-budget-ratio': 0.2,
  'budget-window-s': 10,
  'retry-budget-extra': 54,
  'strict-revoke': true,
  'revoke-ms': 5000,
  'quota-window-s': 8,
  'quota-overage': 0.1,
  'quota-slack': 20,
  ttl_max_s: 5,
} as const;

/** Addresses and settings of a VM. */
export interface VmOptions {
  readonly name: string;
  readonly ip: string;
  readonly domain: string;
  /** `HOST:PORT` of the store. */
  readonly store: string;
  /** IP address of the VM through which it joins the cluster. */
  readonly seed: string;
  /** Folder of its settings file and its log. */
  readonly folder: string;
  /** File of the program that it runs. */
  readonly program: string;
  /** Whether its settings file stays as it was written at the first start, so that later ones count as first, too. */
  readonly keepsSettings: boolean;
  /** Called when a process gets its first SIGTERM. */
  readonly onStopping: (vm: Vm) => void;
}

/** What becomes of a VM's connections to runners: new ones hang, or open ones are reset and new ones refused. */
export type RunnerCut = 'silent' | 'refuse';

/** One VM; its process can be started repeatedly. */
export class Vm {
  readonly options: VmOptions;

  /** Descriptions of exits that no signal of the soak caused. */
  readonly crashes: string[] = [];

  /** How often its process was started. */
  startCount = 0;

  /** Whether its process is suspended by SIGSTOP. */
  isPaused = false;

  #process: ChildProcess | undefined;

  /** Redirected addresses of outgoing connections, `HOST:PORT` to `HOST:PORT`. */
  readonly #routes = new Map<string, string>();

  /** Hosts to which its datagrams are dropped. */
  readonly #lossyHosts = new Set<string>();

  #runnerCut: { readonly port: number; readonly how: RunnerCut } | undefined;

  #clockStepMs = 0;

  #blockedMs = 0;

  #startedAt = 0;

  #isStopping = false;

  /** Whether its process has logged that it has stopped. */
  #hasStopped = false;

  constructor(options: VmOptions) {
    this.options = options;
  }

  /** `HOST:PORT` for callers' requests. */
  get frontAddress(): string {
    return `${this.options.ip}:${PORTS.front}`;
  }

  /** `HOST:PORT` of the directory at which callers look up addresses. */
  get directoryAddress(): string {
    return `${this.options.ip}:${PORTS.directory}`;
  }

  /** `HOST:PORT` for connections from other VMs. */
  get peerAddress(): string {
    return `${this.options.ip}:${PEER_PORT}`;
  }

  /** URL of its state snapshot. */
  get snapshotUrl(): string {
    return `http://${this.options.ip}:${METRICS_PORT}/beliefs`;
  }

  /** Whether its connections to all runners are cut. */
  get isCutFromRunners(): boolean {
    return this.#runnerCut !== undefined;
  }

  /** Whether its process exists, suspended or not. */
  get isUp(): boolean {
    return this.#process !== undefined;
  }

  /** Time since its process was started, in milliseconds; 0 if it is not up. */
  get upForMs(): number {
    return this.isUp ? Date.now() - this.#startedAt : 0;
  }

  /** Starts its process with the real clock; does nothing if it is up. */
  start(): void {
    if (this.#process) return;
    const { name, folder } = this.options;
    const settings = join(folder, `${name}.json`);
    writeFileSync(settings, JSON.stringify(this.#settings()));
    this.#clockStepMs = 0;
    this.#blockedMs = 0;
    this.#updateShim();
    this.#startedAt = Date.now();
    const args = ['--max-old-space-size=90', '-r', SHIM, this.options.program, 'node'];
    const child = spawn(process.execPath, args, {
      env: { GOLDCRESTDOCK_CONFIG: settings, GOLDCRESTDOCK_SOAK: this.#shimFile },
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    const log = createWriteStream(join(folder, `${name}.log`), { flags: 'a' });
    child.stdout.pipe(log, { end: false });
    child.stderr.pipe(log, { end: false });
    this.#hasStopped = false;
    child.stdout.on('data', (lines: Buffer) => {
      if (lines.includes('"Stopped."')) this.#hasStopped = true;
    });
    child.once('exit', (code, signal) => this.#onExit(code, signal));
    this.#process = child;
    this.#isStopping = false;
    this.startCount += 1;
  }

  /** Sends a signal to its process. An exit after SIGTERM or SIGKILL is expected. */
  signal(signal: NodeJS.Signals): void {
    const isFirstStop = signal === 'SIGTERM' && !this.#isStopping && this.isUp;
    if (isFirstStop) this.options.onStopping(this);
    if (signal === 'SIGTERM' || signal === 'SIGKILL') this.#isStopping = true;
    if (signal === 'SIGSTOP') this.isPaused = true;
    if (signal === 'SIGCONT' || signal === 'SIGKILL') this.isPaused = false;
    this.#process?.kill(signal);
  }

  /** Sets the offset of its process's wall clock from the real one, in milliseconds. */
  stepClock(stepMs: number): void {
    this.#clockStepMs = stepMs;
    this.#updateShim();
  }

  /** Blocks its event loop for part of each `SLICE_MS`, in milliseconds; 0 ends that. A new process begins without. */
  block(blockedMs: number): void {
    this.#blockedMs = blockedMs;
    this.#updateShim();
  }

  /** Redirects its outgoing connections from one `HOST:PORT` to another. */
  redirect(from: string, to: string): void {
    this.#routes.set(from, to);
    this.#updateShim();
  }

  /** Sets whether its datagrams to a host are dropped. */
  setDatagramLoss(host: string, isLost: boolean): void {
    if (isLost) this.#lossyHosts.add(host);
    else this.#lossyHosts.delete(host);
    this.#updateShim();
  }

  /** Cuts its connections to all runners, which listen on one port; undefined ends that. */
  cutFromRunners(how: RunnerCut | undefined): void {
    this.#runnerCut = how && { port: RUNNER_PORT, how };
    this.#updateShim();
  }

  /** Stops its process as the platform does: SIGTERM, then SIGKILL after the grace period. Resolves once it has exited. */
  async terminate(): Promise<void> {
    this.signal('SIGTERM');
    const kill = setTimeout(() => {
      if (this.#hasStopped) this.crashes.push(`${this.options.name} stopped and did not exit`);
      this.signal('SIGKILL');
    }, bounds['grace-s'] * 1000);
    await this.waitForExit();
    clearTimeout(kill);
  }

  /** Resolves once its process has exited. */
  async waitForExit(): Promise<void> {
    const child = this.#process;
    if (!child) return;
    await new Promise((resolve) => {
      child.once('exit', resolve);
    });
  }

  get #shimFile(): string {
    return join(this.options.folder, `${this.options.name}.shim.json`);
  }

  #updateShim(): void {
    const { name, folder } = this.options;
    const text = JSON.stringify({
      stepMs: this.#clockStepMs,
      block: { everyMs: SLICE_MS, forMs: this.#blockedMs },
      routes: Object.fromEntries(this.#routes),
      lost: [...this.#lossyHosts],
      cut: this.#runnerCut,
    });
    // Replaced atomically: the process may read the file at any moment.
    const temporary = join(folder, `${name}.shim.fresh`);
    writeFileSync(temporary, text);
    renameSync(temporary, this.#shimFile);
    // Before the shim is loaded, SIGUSR2 would terminate the process. A signal deferred until then is
    // enough: the shim also reads the file when it loads.
    const untilLoadedMs = this.#startedAt + SHIM_LOAD_MS - Date.now();
    const child = this.#process;
    if (untilLoadedMs > 0) setTimeout(() => child?.kill('SIGUSR2'), untilLoadedMs).unref();
    else child?.kill('SIGUSR2');
  }

  #onExit(code: number | null, signal: NodeJS.Signals | null): void {
    this.#process = undefined;
    this.isPaused = false;
    if (!this.#isStopping) this.crashes.push(`${this.options.name} exited with ${code ?? signal}`);
  }

  #settings(): unknown {
    const { name, ip, domain, store, seed } = this.options;
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
      bootstrap: this.startCount === 0 || this.options.keepsSettings,
      bounds,
      platform: { address: store },
    };
  }
}
