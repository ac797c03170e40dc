/**
 * Measures the slopes of `docs/CAPACITY.md`: cost against size at three or more
 * sizes each. Prints a table with the fitted lines and their residuals.
 *
 *     node build/slopes.cjs
 */

import { performance } from 'node:perf_hooks';

import { Packr } from 'msgpackr';

import { Cell } from '../src/core/cell/cell';
import { LedgerShard } from '../src/core/ledger/shard';
import { KeyRegistry } from '../src/core/registry/keys';
import { SettingsDocuments } from '../src/core/settings/documents';
import { ownersOfKey } from '../src/core/ownership';
import { encode } from '../src/node/peer/codec';
import { policyOf, runnersOf } from '../test/fakes/virtual/bench';
import { Fleet } from '../test/fakes/virtual/fleet';
import { bagmatiWork } from '../test/fakes/virtual/workload';

interface Line {
  readonly base: number;
  readonly slope: number;
  /** Largest distance of a point from the line, as a fraction of its cost. */
  readonly residual: number;
}

type Point = readonly [size: number, cost: number];

/** Fits a line by least squares. */
function fit(points: readonly Point[]): Line {
  const n = points.length;
  const sum = (pick: (point: Point) => number): number =>
    points.reduce((total, point) => total + pick(point), 0);
  const [sx, sy] = [sum(([x]) => x), sum(([, y]) => y)];
  const sxx = sum(([x]) => x * x);
  const sxy = sum(([x, y]) => x * y);
  const slope = (n * sxy - sx * sy) / (n * sxx - sx * sx);
  const base = (sy - slope * sx) / n;
  const residual = Math.max(
    ...points.map(([x, y]) => Math.abs(base + slope * x - y) / Math.max(1e-9, Math.abs(y))),
  );
  return { base, slope, residual };
}

/** Fits a line to the points, prints it as a table row and returns it. */
function print(what: string, unit: string, points: readonly Point[]): Line {
  const line = fit(points);
  const seen = points.map(([x, y]) => `${x}: ${y.toFixed(3)}`).join(', ');
  console.log(
    `| ${what} | ${unit} | ${seen} | ${line.base.toFixed(4)} + ${line.slope.toExponential(2)} × size | ${(100 * line.residual).toFixed(0)} % |`,
  );
  return line;
}

/** Microseconds of one call: the fastest of several rounds, to leave out garbage collection. */
function timePerCall(rounds: number, calls: number, work: (i: number) => void): number {
  let best = Infinity;
  for (let round = 0; round < rounds; round += 1) {
    const began = performance.now();
    for (let i = 0; i < calls; i += 1) work(round * calls + i);
    best = Math.min(best, ((performance.now() - began) * 1000) / calls);
  }
  return best;
}

/** Microseconds that a cell spends on one request in total: arrival, prefill, transfer, first token, end. */
function requestCost(runners: number, teams: number): number {
  const prefill = Math.max(1, Math.round(runners * 0.3));
  const work = { ...bagmatiWork, prefillRunners: prefill, decodeRunners: runners - prefill };
  const cell = new Cell({ policy: policyOf(work) });
  cell.handle(0, { kind: 'runners', runners: runnersOf(work) });
  const busy = (runners - prefill) * 15;
  let now = 0;
  const open: string[] = [];
  const start = (i: number): void => {
    now += 1;
    const id = `r${i}`;
    const arrival = {
      id,
      team: `team-${i % teams}`,
      tier: 'interactive' as const,
      promptTokens: 100,
      maxTokens: 4000,
      deadline: now + 1e6,
      blocks: [i, i + 1],
    };
    cell.handle(now, { kind: 'arrived', arrival });
    cell.handle(now, { kind: 'prefilled', id, cachedTokens: 0, keptUntil: now + 800 });
    cell.handle(now, { kind: 'started', id });
    open.push(id);
  };
  for (let i = 0; i < busy; i += 1) start(i);
  return timePerCall(4, 2000, (i) => {
    start(busy + i);
    const id = open.shift();
    if (id !== undefined) cell.handle(now, { kind: 'finished', id, tokens: 200 });
  });
}

/** Microseconds of an arrival, and its cancellation, while all slots are occupied and many teams have queued requests. */
function queuedArrivalCost(teams: number): number {
  const work = { ...bagmatiWork, prefillRunners: 4, decodeRunners: 12 };
  const cell = new Cell({ policy: { ...policyOf(work), queueLimit: 1e6 }, warmUpUntil: 1e12 });
  cell.handle(0, { kind: 'runners', runners: runnersOf(work) });
  const arrive = (i: number): void => {
    const arrival = {
      id: `r${i}`,
      team: `team-${i % teams}`,
      tier: 'batch' as const,
      promptTokens: 100,
      maxTokens: 400,
      deadline: 1e11,
      blocks: [],
    };
    cell.handle(1, { kind: 'arrived', arrival });
  };
  for (let i = 0; i < teams; i += 1) arrive(i);
  return timePerCall(3, 500, (i) => {
    arrive(teams + i);
    cell.handle(1, { kind: 'cancelled', id: `r${teams + i}` });
  });
}

const packr = new Packr({ useRecords: false });
const TAG_BYTES = 16;
/** IPv4 and UDP headers. */
const DATAGRAM_HEADER_BYTES = 28;

/** Cost of the membership protocol on each of `size` schedulers, per second: bytes and packets sent, CPU time in microseconds. */
function membershipCost(size: number): { bytes: number; packets: number; cpuUs: number } {
  const fleet = new Fleet(
    size,
    1,
    (packet) => packr.pack(packet).length + TAG_BYTES + DATAGRAM_HEADER_BYTES,
  );
  // Skips the gossip about the start of the fleet, to measure the steady state.
  fleet.run(120_000);
  const before = fleet.cost;
  const began = performance.now();
  fleet.run(20_000);
  const cpuUs = ((performance.now() - began) * 1000) / 20 / size;
  const after = fleet.cost;
  return {
    bytes: (after.bytes - before.bytes) / 20 / size,
    packets: (after.packets - before.packets) / 20 / size,
    cpuUs,
  };
}

/** Virtual time until another scheduler considers a killed one dead. */
function detectionMs(size: number): number {
  const fleet = new Fleet(size, 2);
  fleet.run(20_000);
  fleet.kill(3);
  return fleet.runUntil(() => fleet.viewOf(0).state('vm3') === 'dead', 60_000);
}

/** Virtual time until a settings revision has reached all schedulers. */
function propagationMs(size: number): number {
  const fleet = new Fleet(size, 3);
  fleet.run(20_000);
  return fleet.timeToSpread('teams/a', 1);
}

/** Heap bytes that the made object retains; exact only with `--expose-gc`. */
function retainedBytes(make: () => unknown): number {
  global.gc?.();
  const before = process.memoryUsage().heapUsed;
  const kept = make();
  global.gc?.();
  const used = process.memoryUsage().heapUsed - before;
  return kept === undefined ? 0 : used;
}

const teamText = (i: number): string =>
  `{ "services": { "deeds": { "kind": "model", "pool": "p${i}", "maxTokens": ${i + 1} }, "registry": { "kind": "plain", "pool": "q" } } }`;

function documentsOf(teams: number): SettingsDocuments {
  const documents = new SettingsDocuments();
  for (let i = 0; i < teams; i += 1) {
    documents.apply({ path: `teams/t${i}`, revision: 1, text: teamText(i) });
  }
  return documents;
}

/** Microseconds of one commit of a ledger shard: parse, apply, serialise. */
function ledgerCost(entries: number): number {
  const shard = LedgerShard.parse(undefined);
  for (let i = 0; i < entries; i += 1) {
    shard.apply({
      kind: 'claim',
      claim: {
        key: `key-number-${i}-of-22`,
        nonce: `nonce-${i}-0123456789012345678901234567`,
        fingerprint: 'f'.repeat(43),
      },
      at: i,
    });
  }
  const text = shard.toString();
  return timePerCall(3, 5, (i) => {
    const read = LedgerShard.parse(text);
    read.apply({ kind: 'claim', claim: { key: `new-${i}`, nonce: 'n', fingerprint: 'f' }, at: 1 });
    read.toString();
  });
}

/** Total size of the messages between gateway and scheduler for one model request. */
function messageBytes(): number {
  const id = '10.10.10.10:8080~0123456789abcdef01';
  const blocks = Array.from({ length: 12 }, () => 2 ** 47);
  const common = { pool: 'language-eu', id };
  const messages = [
    {
      kind: 'arrive',
      ...common,
      team: 'team-0123',
      tier: 'interactive',
      promptTokens: 3000,
      maxTokens: 400,
      dueInMs: 1300,
      blocks,
    },
    { kind: 'prefill', id, runner: 'language-eu-0123' },
    { kind: 'prefilled', ...common, cachedTokens: 512, keptMs: 800 },
    { kind: 'decode', id, runner: 'language-eu-0456', source: 'language-eu-0123' },
    { kind: 'started', ...common },
    { kind: 'finished', ...common, tokens: 305 },
  ];
  return messages.reduce((sum, message) => sum + encode(message).length, 0);
}

function main(): void {
  console.log('| what | unit | size: cost | fit | residual |\n| --- | --- | --- | --- | --- |');
  print(
    'whole life of a request in a cell, by runners',
    'µs',
    [16, 64, 128, 256].map((n) => [n, requestCost(n, 100)]),
  );
  print(
    'whole life of a request in a cell of 16, by teams',
    'µs',
    [1, 400, 1600].map((n) => [n, requestCost(16, n)]),
  );
  print(
    'arrival with that many teams waiting',
    'µs',
    [1, 100, 400, 1600].map((n) => [n, queuedArrivalCost(n)]),
  );
  const sizes = [8, 32, 128, 400];
  const costs = sizes.map((n) => membershipCost(n));
  print(
    'membership on each scheduler, by schedulers',
    'bytes/s sent',
    sizes.map((n, i) => [n, costs[i]?.bytes ?? 0]),
  );
  print(
    'membership on each scheduler, by schedulers',
    'packets/s sent',
    sizes.map((n, i) => [n, costs[i]?.packets ?? 0]),
  );
  print(
    'membership core on each scheduler, by schedulers',
    'µs/s',
    sizes.map((n, i) => [n, costs[i]?.cpuUs ?? 0]),
  );
  print(
    'time to find a dead scheduler, by schedulers',
    'ms',
    [8, 32, 128].map((n) => [n, detectionMs(n)]),
  );
  print(
    'time of settings to all, by log2 of schedulers',
    'ms',
    [16, 64, 256].map((n) => [Math.log2(n), propagationMs(n)]),
  );
  print(
    'settings in memory, by teams',
    'KB',
    [200, 800, 1600].map((n) => [n, retainedBytes(() => documentsOf(n)) / 1024]),
  );
  print(
    'request keys in memory, by keys',
    'KB',
    [2000, 8000, 16000].map((n) => [
      n,
      retainedBytes(() => {
        const keys = new KeyRegistry(1e6);
        for (let i = 0; i < n; i += 1) {
          keys.attempt(0, `team/key-${i}`, 'f'.repeat(43), '10.0.0.1:8080', `id-${i}`);
        }
        return keys;
      }) / 1024,
    ]),
  );
  print(
    'one commit of a ledger shard, by entries',
    'µs',
    [500, 2000, 5000].map((n) => [n, ledgerCost(n)]),
  );
  const members = (n: number): Parameters<typeof ownersOfKey>[1] =>
    Array.from({ length: n }, (_, i) => ({
      vm: `vm${i}`,
      domain: 'x',
      address: '',
      incarnation: 0,
      state: 'alive' as const,
      draining: false,
      gateways: [],
      cores: 1,
      storeLost: false,
    }));
  print(
    'working out the owners of one key, by schedulers',
    'µs',
    [50, 200, 790].map((n) => {
      const list = members(n);
      return [n, timePerCall(3, 50, (i) => ownersOfKey(`k${i}`, list))];
    }),
  );
  console.log(
    `\nBytes between gateway and scheduler for each model request: ${messageBytes()} in 6 messages.`,
  );
}

main();
