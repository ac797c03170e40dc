/** The program in its own process, as the platform starts it: the command `node` with a settings file. */

import type { ChildProcess } from 'node:child_process';
import { spawn } from 'node:child_process';
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';

const PROGRAM = 'build/goldcrestdock.cjs';
const PRELOAD = './test/fakes/signalself.cjs';
const PORTS = { front: 8149, ready: 8141, peer: 7380 } as const;

/** How a process ended. */
export interface Exit {
  /** Exit code; null if a signal ended it. */
  readonly code: number | null;
  /** The signal that ended it; null if it exited by itself. */
  readonly signal: NodeJS.Signals | null;
}

/** A moment of the start: when it requires its n-th module or reads the settings, or a time after it was loaded. */
export type Moment = `${number} modules` | 'settings' | `${number} ms`;

/** Settings of the process. */
export interface NodeOptions {
  /** Its IP address, at which nothing else listens. */
  readonly ip: string;
  /** `HOST:PORT` of the store. */
  readonly store: string;
  /** Time that it has to stop, in seconds. */
  readonly graceS: number;
  /** Signals that it receives at a moment of its start. Default: none. */
  readonly early?: { readonly signals: readonly NodeJS.Signals[]; readonly at: Moment };
  /** Options of Node. Default: none */
  readonly flags?: readonly string[];
}

/** A started process. */
export class NodeProcess {
  /** Log lines and errors so far. */
  output = '';

  /** Resolves once it has ended. */
  readonly exited: Promise<Exit>;

  readonly #ip: string;

  readonly #child: ChildProcess;

  constructor({ ip, store, graceS, early, flags = [] }: NodeOptions) {
    this.#ip = ip;
    const folder = mkdtempSync(join(tmpdir(), 'goldcrestdock-node-'));
    const file = join(folder, 'settings.json');
    writeFileSync(file, JSON.stringify(settingsOf(ip, store, graceS)));
    this.#child = spawn(process.execPath, [...flags, '-r', PRELOAD, PROGRAM, 'node'], {
      env: { GOLDCRESTDOCK_CONFIG: file, SIGNAL_SELF: JSON.stringify(early) },
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    for (const stream of [this.#child.stdout, this.#child.stderr]) {
      stream?.setEncoding('utf8').on('data', (text: string) => {
        this.output += text;
      });
    }
    this.exited = new Promise((resolve) => {
      this.#child.once('close', (code, signal) => {
        rmSync(folder, { recursive: true });
        resolve({ code, signal });
      });
    });
  }

  /** `HOST:PORT` for callers' requests. */
  get front(): string {
    return `${this.#ip}:${PORTS.front}`;
  }

  /** Number of log lines that contain a text. */
  lineCount(text: string): number {
    return this.output.split('\n').filter((line) => line.includes(text)).length;
  }

  /** The most memory that it has taken, in bytes. */
  get peakMemoryBytes(): number {
    const status = readFileSync(`/proc/${this.#child.pid}/status`, 'utf8');
    return Number(/VmHWM:\s+(\d+) kB/.exec(status)?.[1]) * 1024;
  }

  /** Sends a signal. */
  signal(signal: NodeJS.Signals): void {
    this.#child.kill(signal);
  }
}

function settingsOf(ip: string, store: string, graceS: number): unknown {
  return {
    'node-name': `vm-${ip}`,
    zone: 'a',
    ip,
    listen: { front: `${ip}:${PORTS.front}`, ready: `${ip}:${PORTS.ready}` },
    'internal-port-range': [PORTS.peer],
    seeds: [],
    bounds: {
      'grace-s': graceS,
      'retry-budget-ratio': 0.2,
      'budget-window-s': 10,
      'retry-budget-extra': 10,
      ttl_max_s: 0.1,
    },
    platform: { address: store },
  };
}
