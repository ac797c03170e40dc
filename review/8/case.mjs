// A full list of the store holds many unreadable entries of another writer: each router that reads the
// list runs out of heap and ends, also when it starts again. See claim.txt.

import { Buffer } from 'node:buffer';
import { fork, spawn } from 'node:child_process';
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import { Agent, createServer, get, request } from 'node:http';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { performance } from 'node:perf_hooks';
import process from 'node:process';
import { clearInterval, clearTimeout, setInterval, setTimeout } from 'node:timers';
import { setTimeout as pause } from 'node:timers/promises';

const hasTrouble = process.env.TROUBLE !== '0';
const folder = process.argv[2];
const root = join(folder, '..', '..');

/** As many machines in as many zones as the site has. */
const ZONES = ['norte', 'norte', 'norte', 'centro', 'centro', 'centro', 'sur', 'sur'];
const PORTS = { front: 8149, ready: 8141, control: 8144, directory: 8143, internal: [7380, 7395] };
/** Time until the platform starts a process again that has ended, in milliseconds. */
const RESTART_MS = 1000;
const HEARTBEAT_MS = 1200;

const RUNNERS = 3;
const RUNNER_SLOTS = 6;
const WORK_MS = 250;
const HOST = 'ficu95.example';
const SERVICE = 'mapa-tiles';

const CLIENTS = 32;
/** Time between the requests of a client, in milliseconds. */
const THINK_MS = 500;
const DEADLINE_MS = 1500;
const LOOKUP_MS = 1000;

/** The entries of the other writer: `value-bytes` of the settings each, with text that is no JSON. */
const ODD_ENTRIES = 48;
const ODD_BYTES = 1_048_576;
const ODD_INTERVAL_MS = 250;

/** The course of the case, in milliseconds after the start of traffic. */
const WRITER_AT = 5000;
const DISCARD_AT = WRITER_AT + ODD_ENTRIES * ODD_INTERVAL_MS + 4000;
const END_AT = DISCARD_AT + 30_000;
const READY_LIMIT_MS = 12_000;
const STABLE_WINDOW_MS = 3000;

/** Limits of the rules. */
const MAX_LOST = 3;
const MAX_ENDS = 3;
const MIN_MACHINES = 2;

const net = `127.${20 + Math.floor(Math.random() * 200)}.${1 + Math.floor(Math.random() * 250)}`;
const temporary = mkdtempSync(join(tmpdir(), 'odd-entries-'));
const startedAt = performance.now();
const lines = [];
let trafficAt = Infinity;
let isOver = false;

function record(text) {
  const since = ((performance.now() - startedAt) / 1000).toFixed(2).padStart(7);
  lines.push(`${since} s  ${text}`);
}

// The store.

const store = fork(join(folder, 'store.mjs'), [`${net}.2`], { cwd: root });
const storePort = await new Promise((resolve) => {
  store.once('message', ({ port }) => resolve(port));
});

function put(key, value) {
  const bytes = typeof value === 'string' ? value : JSON.stringify(value);
  store.send({ put: { key, value: Buffer.from(bytes).toString('base64') } });
}

put('op/config', {
  version: 7,
  routes: [
    {
      name: 'r-hh2b9wu',
      host: HOST,
      'path-prefix': '/puxa403/',
      kind: 'non_idempotent',
      'timeout-ms': DEADLINE_MS,
      'target-latency-ms': 500,
      priority: 2,
      service: SERVICE,
      'max-attempts': 1,
    },
  ],
  services: [{ name: SERVICE, 'health-path': '/health-check', 'max-connections': 110 }],
  limits: {
    'max-header-bytes': 16_384,
    'max-body-bytes': 4_194_304,
    'header-timeout-ms': 3000,
    'idle-timeout-ms': 15_000,
  },
});

// Runners: each keeps the ids of the requests that it got, and answers them whole.

const reached = new Set();
const answeredByRunners = new Set();
const runners = [];

for (let index = 0; index < RUNNERS; index += 1) {
  const id = `i-${index}f3a91c2`;
  let running = 0;
  const server = createServer((req, res) => {
    const requestId = req.headers['request-id'];
    req.resume();
    if (req.headers['expected-instance'] !== id || requestId === undefined) {
      res.writeHead(421, { 'instance-id': id, 'content-length': 0 });
      res.end();
    } else if (running >= 2 * RUNNER_SLOTS) {
      res.writeHead(503, { 'not-executed': '1', 'content-length': 0 });
      res.end();
    } else {
      running += 1;
      reached.add(requestId);
      setTimeout(() => {
        running -= 1;
        const body = `tile of ${requestId}`;
        if (!res.destroyed) answeredByRunners.add(requestId);
        res.writeHead(200, {
          'request-id': requestId,
          'server-signature': `3e1b.${requestId}`,
          'content-length': body.length,
        });
        res.end(body);
      }, WORK_MS);
    }
  });
  const ip = `${net}.${101 + index}`;
  await new Promise((resolve) => {
    server.listen(8501, ip, resolve);
  });
  const beat = () =>
    put(`servers/${id}`, {
      service: SERVICE,
      address: `${ip}:8501`,
      zone: ZONES[index * 3] ?? ZONES.at(-1),
      version: 'v1',
      slots: RUNNER_SLOTS,
      state: 'ready',
      'cold-remaining-ms': 0,
      sequence: 0,
    });
  beat();
  runners.push({ server, timer: setInterval(beat, HEARTBEAT_MS) });
}

// Routers: the command of the deploy file, started again by the platform after each end.

const deploy = readFileSync(join(root, 'deploy', 'system.toml'), 'utf8');
const [, command] = /^run = "([^"]+)"/m.exec(deploy);
const [program, ...words] = command.split(' ');
const machines = ZONES.map((zone, index) => ({ name: `front-${index + 1}`, zone, ends: [] }));

function startRouter(machine, isFirst) {
  const { name, zone, ip } = machine;
  const settings = {
    'node-name': name,
    role: 'router',
    'machine-class': 'front',
    serves: ['front', 'control', 'directory'],
    ip,
    zone,
    region: 'quito',
    zones: { norte: 'quito', centro: 'quito', sur: 'quito' },
    listen: {
      front: `${ip}:${PORTS.front}`,
      ready: `${ip}:${PORTS.ready}`,
      control: `${ip}:${PORTS.control}`,
      directory: `${ip}:${PORTS.directory}`,
    },
    'internal-port-range': PORTS.internal,
    seeds: machines.slice(0, 3).map((one) => `${one.ip}:${PORTS.control}`),
    bootstrap: isFirst,
    limits: { 'cpu-share': 0.675, cores: 1, 'memory-mb': 200, 'max-fds': 4100 },
    'heartbeat-ms': HEARTBEAT_MS,
    contracts: ['base', 'drain', 'config', 'cost', 'retry', 'recover', 'platform'],
    bounds: {
      'stable-window-ms': STABLE_WINDOW_MS,
      'drain-ms': 2000,
      'grace-s': 8,
      'loss-slack-ms': 200,
      'config-apply-ms': 2000,
      'retry-budget-ratio': 0.2,
      'budget-window-s': 10,
      'retry-budget-extra': 56,
      'recovery-s': 12,
      'lease-ms': 3000,
      ttl_max_s: 5,
    },
    platform: {
      address: `${net}.2:${storePort}`,
      form: 'kv',
      'writes-per-s': 400,
      'reads-per-s': 2000,
      'history-s': 20,
      'value-bytes': 1_048_576,
      'ttl-min-ms': 1000,
    },
  };
  const file = join(temporary, `${name}.json`);
  writeFileSync(file, JSON.stringify(settings));
  const child = spawn(program, words, {
    cwd: root,
    env: { PATH: process.env.PATH, HOME: process.env.HOME, GOLDCRESTDOCK_CONFIG: file },
    stdio: ['ignore', 'ignore', 'pipe'],
  });
  let errors = '';
  child.stderr.on('data', (chunk) => {
    errors = (errors + chunk).slice(0, 20_000);
  });
  Object.assign(machine, { child, startedAt: performance.now() });
  child.once('exit', (code, signal) => {
    if (isOver) return;
    const reason = /FATAL ERROR: [^\n]+/.exec(errors)?.[0] ?? 'no message';
    const ranMs = Math.round(performance.now() - machine.startedAt);
    machine.ends.push({ at: performance.now(), code, signal });
    record(`${name} ended by itself after ${ranMs} ms: code ${code}, ${signal}; ${reason}`);
    setTimeout(() => {
      if (!isOver) startRouter(machine, false);
    }, RESTART_MS);
  });
}

async function isReady({ ip }) {
  return new Promise((resolve) => {
    const req = get(`http://${ip}:${PORTS.ready}/v1/readiness`, { timeout: 500 }, (res) => {
      res.resume();
      resolve(res.statusCode === 200);
    });
    req.on('timeout', () => req.destroy());
    req.on('error', () => resolve(false));
  });
}

/** Addresses of routers by the directory; undefined if none answers. */
async function lookUp() {
  const seeds = [...machines].sort(() => Math.random() - 0.5).slice(0, 3);
  for (const { ip } of seeds) {
    const url = `http://${ip}:${PORTS.directory}/v1/lookup?name=${HOST}&region=quito&zone=norte`;
    const addresses = await new Promise((resolve) => {
      const req = get(url, { timeout: LOOKUP_MS }, (res) => {
        const chunks = [];
        res.on('data', (chunk) => chunks.push(chunk));
        res.on('error', () => resolve(undefined));
        res.on('end', () => {
          if (res.statusCode !== 200) resolve(undefined);
          else resolve(JSON.parse(Buffer.concat(chunks).toString()).addresses);
        });
      });
      req.on('timeout', () => req.destroy());
      req.on('error', () => resolve(undefined));
    });
    if (addresses?.length > 0) return addresses;
  }
  return undefined;
}

// Clients: each sends one request after the other on one channel, for as long as that is kept.

const requests = [];

function sendOn(agent, address, entry) {
  const [host, port] = address.split(':');
  return new Promise((resolve) => {
    const body = 'b'.repeat(600);
    const req = request({
      agent,
      host,
      port,
      method: 'POST',
      path: '/puxa403/2f',
      headers: {
        host: HOST,
        'request-id': entry.id,
        'request-deadline-ms': DEADLINE_MS,
        'content-length': body.length,
      },
    });
    const timer = setTimeout(() => {
      Object.assign(entry, { outcome: 'time budget' });
      req.destroy();
    }, DEADLINE_MS);
    const end = (outcome) => {
      clearTimeout(timer);
      entry.outcome ??= outcome;
      entry.isKept = req.reusedSocket;
      entry.endedAt = performance.now();
      resolve(entry.outcome);
    };
    req.on('response', (res) => {
      const chunks = [];
      res.on('data', (chunk) => chunks.push(chunk));
      res.on('error', () => end('channel closed'));
      res.on('end', () => {
        const text = Buffer.concat(chunks).toString();
        const isWhole = res.complete && text === `tile of ${entry.id}`;
        end(res.statusCode === 200 && !isWhole ? 'wrong' : String(res.statusCode));
      });
    });
    req.on('error', (error) => {
      entry.error = error.code;
      end(error.code === 'ECONNREFUSED' ? 'no channel' : 'channel closed');
    });
    req.end(body);
  });
}

async function runClient(number) {
  let agent = new Agent({ keepAlive: true, maxSockets: 1 });
  let address;
  for (let count = 0; !isOver; count += 1) {
    if (address === undefined) {
      const addresses = await lookUp();
      address = addresses?.[Math.floor(Math.random() * addresses.length)];
      agent.destroy();
      agent = new Agent({ keepAlive: true, maxSockets: 1 });
    }
    if (address === undefined) {
      requests.push({
        sentAt: performance.now(),
        outcome: 'no address',
        endedAt: performance.now(),
      });
    } else {
      const id = `${number.toString(16)}-${count.toString(16)}-${Math.random().toString(16).slice(2, 10)}`;
      const entry = { id, address, sentAt: performance.now() };
      requests.push(entry);
      const outcome = await sendOn(agent, address, entry);
      if (!/^\d+$/.test(outcome)) address = undefined;
    }
    await pause(THINK_MS * (0.5 + Math.random()));
  }
  agent.destroy();
}

// The rules.

/**
 * Requests on kept channels that reached a runner and whose channels the router closed without an answer,
 * but for those within the time in which a discarded history might count as a disruption of the store.
 * A process that ends by itself counts as running, so its machine is in touch.
 */
function lostRequests(discardedAt) {
  return requests.filter(({ id, isKept, outcome, sentAt }) => {
    const wasClosed = outcome === 'channel closed' && isKept && reached.has(id);
    return (
      wasClosed && !(sentAt >= discardedAt - DEADLINE_MS && sentAt < discardedAt + STABLE_WINDOW_MS)
    );
  });
}

function served(from, to) {
  const sent = requests.filter(({ sentAt }) => sentAt >= from && sentAt < to);
  const good = sent.filter(({ outcome }) => outcome === '200');
  return `${good.length} of ${sent.length} served`;
}

async function finish(code, verdict) {
  isOver = true;
  record(verdict);
  for (const { child } of machines) child?.kill('SIGKILL');
  for (const { server, timer } of runners) {
    clearInterval(timer);
    server.close();
    server.closeAllConnections();
  }
  store.kill('SIGKILL');
  writeFileSync(join(folder, 'record.txt'), `${lines.join('\n')}\n`);
  process.stdout.write(`${verdict}\n`);
  await pause(200);
  rmSync(temporary, { recursive: true, force: true });
  process.exit(code);
}

// The course.

machines.forEach((machine, index) => {
  Object.assign(machine, { ip: `${net}.${11 + index}` });
});
machines.forEach((machine) => startRouter(machine, true));
record(
  `started ${machines.length} routers, ${RUNNERS} runners and a store; trouble: ${hasTrouble}`,
);
for (;;) {
  const ready = await Promise.all(machines.map(isReady));
  if (ready.every(Boolean)) break;
  if (performance.now() - startedAt > READY_LIMIT_MS) {
    await finish(2, 'could not run: not all are ready');
  }
  await pause(200);
}
// In touch from here on, and the first configuration known everywhere.
await pause(STABLE_WINDOW_MS);
trafficAt = performance.now();
record('all routers are ready; traffic starts');
for (let number = 0; number < CLIENTS; number += 1) runClient(number);

await pause(WRITER_AT);
const early = requests.filter(({ outcome }) => outcome !== undefined);
const earlyGood = early.filter(({ outcome }) => outcome === '200');
if (earlyGood.length < 0.9 * early.length || early.length < 50) {
  await finish(
    2,
    `could not run: ${earlyGood.length} of ${early.length} served before the trouble`,
  );
}
record(`before the writer: ${served(trafficAt, performance.now() - DEADLINE_MS)}`);
const odd = 'not an entry '.repeat(ODD_BYTES / 8).slice(0, ODD_BYTES);
const writerAt = performance.now();
for (let index = 0; index < ODD_ENTRIES; index += 1) {
  if (hasTrouble) put(`servers/z-${String(index).padStart(4, '0')}`, odd);
  await pause(Math.max(0, writerAt + (index + 1) * ODD_INTERVAL_MS - performance.now()));
}
if (hasTrouble) record(`another writer has left ${ODD_ENTRIES} entries of ${ODD_BYTES} bytes`);
record(`while it wrote: ${served(writerAt, performance.now() - DEADLINE_MS)}`);
await pause(Math.max(0, trafficAt + DISCARD_AT - performance.now()));
const discardedAt = performance.now();
store.send({ discardHistory: true });
record('the store discards its history');
for (let at = 0; at < END_AT - DISCARD_AT; at += 5000) {
  const from = performance.now();
  await pause(5000);
  record(
    `5 s from ${Math.round((from - discardedAt) / 1000)} s after that on: ${served(from, from + 5000 - DEADLINE_MS)}`,
  );
}

const lost = lostRequests(discardedAt);
for (const { id, address, sentAt, endedAt, error } of lost) {
  const router = machines.find(({ ip }) => address.startsWith(`${ip}:`)).name;
  const at = ((sentAt - startedAt) / 1000).toFixed(2);
  const byRunner = answeredByRunners.has(id) ? ', which answered it' : '';
  record(
    `lost: ${id}, sent to ${router} on a kept channel at ${at} s, reached a runner${byRunner}; closed after ${Math.round(endedAt - sentAt)} ms (${error})`,
  );
}
const outcomes = {};
for (const { outcome = 'open' } of requests) outcomes[outcome] = (outcomes[outcome] ?? 0) + 1;
record(`outcomes: ${JSON.stringify(outcomes)}`);
for (const { name, ends } of machines) record(`${name} ended by itself ${ends.length} times`);
const failing = machines.filter(({ ends }) => ends.length >= MAX_ENDS).length;
const isBroken = lost.length > MAX_LOST || failing >= MIN_MACHINES;
const summary = `LOST: ${lost.length} requests (${MAX_LOST} allowed); ${failing} of ${machines.length} routers ended by themselves ${MAX_ENDS} times or more`;
await finish(isBroken ? 1 : 0, `${isBroken ? 'broken' : 'held'}. ${summary}`);
