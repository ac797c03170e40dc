/** Starts the project's program as the deploy file says, and stand-ins around it, for one case. */

import { Buffer } from 'node:buffer';
import { fork, spawn } from 'node:child_process';
import {
  appendFileSync,
  mkdtempSync,
  readFileSync,
  rmSync,
  writeFileSync,
  existsSync,
} from 'node:fs';
import { request } from 'node:http';
import { connect, createServer } from 'node:net';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import process from 'node:process';
import { clearTimeout, setTimeout } from 'node:timers';
import { setTimeout as pause } from 'node:timers/promises';
import { fileURLToPath, URL } from 'node:url';

import { Store } from './store.mjs';

const root = fileURLToPath(new URL('../../', import.meta.url));

/** Exit codes of a script. */
export const HELD = 0;
export const BROKEN = 1;
export const COULD_NOT_RUN = 2;

/** Whether the disruption takes place. */
export const hasTrouble = process.env.TROUBLE !== '0';

function freePort(host) {
  return new Promise((resolve, reject) => {
    const server = createServer();
    server.once('error', reject);
    server.listen(0, host, () => {
      const { port } = server.address();
      server.close(() => resolve(port));
    });
  });
}

/** The run command of the deploy file, in words. */
function runCommand() {
  const text = readFileSync(join(root, 'deploy/system.toml'), 'utf8');
  const command = /^run = "(.*)"$/m.exec(text)?.[1];
  if (command === undefined) throw new Error('the deploy file has no run command');
  return command.split(' ');
}

/** One request of a client; resolves when the channel has nothing more to give. */
export function ask(address, { id, host, path, method = 'POST', headers = {}, body, waitMs }) {
  const [ip, port] = address.split(':');
  const sentAt = Date.now();
  return new Promise((resolve) => {
    const answer = { id, status: 0, whole: false, body: '', headers: {}, ms: 0, end: 'closed' };
    const done = (end) => resolve({ ...answer, end, ms: Date.now() - sentAt });
    const req = request({
      host: ip,
      port,
      method,
      path,
      agent: false,
      headers: {
        host,
        'request-id': id,
        'request-deadline-ms': String(waitMs),
        ...headers,
        ...(body === undefined ? {} : { 'content-length': Buffer.byteLength(body) }),
      },
    });
    const timer = setTimeout(() => {
      done('no answer within the time budget');
      req.destroy();
    }, waitMs);
    req.on('response', (res) => {
      answer.status = res.statusCode;
      answer.headers = res.headers;
      res.on('data', (chunk) => {
        answer.body += chunk;
      });
      res.on('error', () => {});
      res.on('close', () => {
        clearTimeout(timer);
        answer.whole = res.complete;
        done(res.complete ? 'whole' : 'cut');
      });
    });
    req.on('error', (error) => {
      clearTimeout(timer);
      done(`failed: ${error.code ?? error.message}`);
    });
    req.end(body);
  });
}

/** Opens a channel that carries nothing. */
export function openChannel(host, port) {
  const socket = connect({ host, port });
  socket.on('error', () => {});
  return socket;
}

/** Time in which a machine has to become ready, in milliseconds. */
const READY_MS = 15_000;

/** Waits until a machine says that it is ready. */
export async function untilReady({ name, ready }) {
  const until = Date.now() + READY_MS;
  const question = { id: 'ready', host: ready, path: '/v1/readiness', method: 'GET', waitMs: 1000 };
  while (Date.now() < until) {
    const { status } = await ask(ready, question);
    if (status === 200) return;
    await pause(100);
  }
  throw new Error(`${name} did not become ready`);
}

/** What a case has started. `end` ends all of it. */
export class Deployment {
  #children = new Set();

  #record;

  #folder = mkdtempSync(join(tmpdir(), 'review-'));

  #startedAt = Date.now();

  #isEnding = false;

  /** Loopback net of this run, so that two runs beside each other share no address. */
  #net = `127.${1 + (process.pid % 250)}.${1 + (Math.floor(process.pid / 250) % 250)}`;

  store = new Store();

  storeAddress = '';

  /** @param record path of the record */
  constructor(record) {
    this.#record = record;
    writeFileSync(record, '');
  }

  /** Writes a line to the record. */
  note(text) {
    const seconds = ((Date.now() - this.#startedAt) / 1000).toFixed(3).padStart(8);
    appendFileSync(this.#record, `${seconds} s  ${text}\n`);
  }

  async start() {
    if (!existsSync(join(root, 'target/goldcrestdock.cjs'))) throw new Error('nothing is built');
    this.storeAddress = await this.store.start();
  }

  ip(number) {
    return `${this.#net}.${number}`;
  }

  /** Settings of one machine in the format of the users' pages. */
  async machine(name, number, seeds, bounds = {}) {
    const ip = this.ip(number);
    const ports = [];
    for (let count = 0; count < 4; count += 1) ports.push(await freePort(ip));
    const [front, ready, control, directory] = ports.map((port) => `${ip}:${port}`);
    const settings = {
      'node-name': name,
      role: 'router',
      'machine-class': 'front',
      serves: ['front', 'control', 'directory'],
      ip,
      zone: 'a',
      region: 'r',
      zones: { a: 'r' },
      listen: { front, ready, control, directory },
      'internal-port-range': [7380, 7395],
      seeds,
      bootstrap: true,
      'failure-counted': false,
      limits: {
        'cpu-share': 0.675,
        cores: 1,
        'memory-mb': 200,
        'max-fds': 4100,
        'link-mbps': 1000,
        'disk-mb': 0,
      },
      'data-dir': null,
      discovery: 'platform',
      entry: 'directory',
      'heartbeat-ms': 1200,
      contracts: ['base', 'drain', 'config', 'cost', 'retry', 'recover', 'split', 'stream'],
      bounds: {
        'stable-window-ms': 3000,
        'drain-ms': 2000,
        'grace-s': 8,
        'config-apply-ms': 2000,
        'retry-budget-ratio': 0.2,
        'budget-window-s': 10,
        'retry-budget-extra': 56,
        'recovery-s': 12,
        'lease-ms': 3000,
        ttl_max_s: 5,
        ...bounds,
      },
      platform: { address: this.storeAddress, form: 'kv', 'history-s': 20 },
    };
    const file = join(this.#folder, `${name}.json`);
    writeFileSync(file, JSON.stringify(settings));
    return { name, file, settings, front, ready };
  }

  /** Starts the program of a machine. */
  run({ name, file }) {
    const [program, ...args] = runCommand();
    const child = spawn(program === 'node' ? process.execPath : program, args, {
      cwd: root,
      stdio: ['ignore', 'pipe', 'inherit'],
      env: {
        PATH: process.env.PATH,
        HOME: process.env.HOME,
        LANG: process.env.LANG,
        GOLDCRESTDOCK_CONFIG: file,
      },
    });
    child.stdout.on('data', (chunk) => {
      if (process.env.REVIEW_LOG) appendFileSync(process.env.REVIEW_LOG, chunk);
    });
    this.#track(child);
    child.startedAt = Date.now();
    child.on('exit', (code, signal) => {
      const ms = Date.now() - child.startedAt;
      this.note(
        `${name}: the process ended, code ${code}, signal ${signal}, ${ms} ms after its start`,
      );
    });
    this.note(`${name}: started`);
    return child;
  }

  /** Starts the program of a machine again, as the platform does after its process has ended. */
  restart(machine) {
    if (this.#isEnding) return undefined;
    const settings = { ...machine.settings, bootstrap: false };
    writeFileSync(machine.file, JSON.stringify(settings));
    return this.run(machine);
  }

  /** Starts a stand-in that is a process of its own; resolves once it says that it listens. */
  async fork(file, options, onMessage = () => {}) {
    const child = fork(fileURLToPath(new URL(file, import.meta.url)), [JSON.stringify(options)]);
    this.#track(child);
    child.on('message', onMessage);
    await new Promise((resolve, reject) => {
      child.once('message', resolve);
      child.once('exit', () => reject(new Error(`${file} ended`)));
    });
    return child;
  }

  #track(child) {
    this.#children.add(child);
    child.once('exit', () => this.#children.delete(child));
  }

  /** Ends all that was started. */
  async end() {
    this.#isEnding = true;
    const children = [...this.#children];
    const ended = children.map(
      (child) =>
        new Promise((resolve) => {
          child.once('exit', resolve);
        }),
    );
    children.forEach((child) => child.kill('SIGKILL'));
    await Promise.race([Promise.all(ended), pause(3000)]);
    this.store.stop();
    rmSync(this.#folder, { recursive: true, force: true });
  }
}

/** Longest time that a case takes, in milliseconds. */
const LIMIT_MS = 110_000;

/** Runs a case: its result is the exit code; anything that prevents it gives `COULD_NOT_RUN`. */
export async function main(record, run) {
  const deployment = new Deployment(record);
  const finish = async (code) => {
    await deployment.end();
    const meaning = { [HELD]: 'the rule held', [BROKEN]: 'the rule was broken' }[code];
    deployment.note(`result ${code}: ${meaning ?? 'the case could not run'}`);
    process.exit(code);
  };
  const interrupt = () => finish(COULD_NOT_RUN);
  process.once('SIGTERM', interrupt);
  process.once('SIGINT', interrupt);
  setTimeout(interrupt, LIMIT_MS);
  let code = COULD_NOT_RUN;
  try {
    await deployment.start();
    code = await run(deployment);
  } catch (error) {
    deployment.note(`could not run: ${error.stack}`);
  }
  await finish(code);
}
