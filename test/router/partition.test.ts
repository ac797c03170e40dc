import { setTimeout as pause } from 'node:timers/promises';

import type { Cut } from '../fakes/partition';
import { Partition } from '../fakes/partition';
import type { CallerAnswer } from '../fakes/routers';
import { LONG_PATH, RouterCluster } from '../fakes/routers';

const VMS = 5;
const REQUESTS_PER_S = 60;
/** Load before the partition, in milliseconds. */
const BEFORE_MS = 500;
/** Time from the beginning of a partition after which callers are served as at other VMs, in milliseconds. */
const STABLE_MS = 3000;
/** Duration of a partition, in milliseconds. */
const PARTITION_MS = 7000;
/** Time before the end of a partition in which attempts do not count, since they may be answered after it, in milliseconds. */
const MARGIN_MS = 2200;
/** Time in which a request is rejected that is known not to be servable, in milliseconds. */
const REJECT_MS = 50;

/** How long streams run before something happens, in milliseconds. */
const STREAMING_MS = 500;

const services = ['plain', 'model'] as const;

/** A first attempt of a caller. */
interface Attempt extends CallerAnswer {
  readonly service: (typeof services)[number];
  readonly vm: number;
  /** When it was sent, from the beginning of the partition, in milliseconds. */
  readonly sentAt: number;
  readonly ms: number;
}

const namesOf = (count: number): readonly string[] =>
  Array.from({ length: count }, (_, index) => `vm${index + 1}`);

/** Statuses by how many attempts got them. */
function statusesOf(attempts: readonly Attempt[]): Readonly<Record<string, number>> {
  const counts: Record<string, number> = {};
  for (const { status } of attempts) counts[status] = (counts[status] ?? 0) + 1;
  return counts;
}

/** Attempts that are sent, and answered, while a partition has lasted for a while. */
function countedOf(attempts: readonly Attempt[]): readonly Attempt[] {
  return attempts.filter(({ sentAt }) => sentAt > STABLE_MS && sentAt < PARTITION_MS - MARGIN_MS);
}

function medianOf(values: readonly number[]): number {
  return [...values].sort((a, b) => a - b)[Math.floor(values.length / 2)] ?? NaN;
}

describe('VMs that are partitioned from all runners', () => {
  let partition: Partition;
  let routers: RouterCluster;

  beforeEach(async () => {
    partition = new Partition();
    routers = new RouterCluster({ vms: VMS, runners: 6, prefillRunners: 3, partition });
    await routers.start();
  }, 30_000);
  afterEach(() => routers.stop(), 30_000);

  async function attempt(turn: number, startedAt: number): Promise<Attempt> {
    const service = services[turn % services.length] ?? 'plain';
    const at = performance.now();
    const answer = await routers.sendRequest(turn, `/${service}/steady`, `steady ${turn}`);
    const ms = performance.now() - at;
    return { ...answer, service, vm: turn % VMS, sentAt: at - startedAt, ms };
  }

  /** Sends requests to all VMs in turn while some are partitioned, and for a time after it. */
  async function load(cutVms: number, cut: Cut, afterMs = 0): Promise<readonly Attempt[]> {
    const cutAt = performance.now() + BEFORE_MS;
    const attempts: Promise<Attempt>[] = [];
    const timers = [
      setTimeout(() => partition.cut(namesOf(cutVms), cut), BEFORE_MS),
      setTimeout(() => partition.heal(), BEFORE_MS + PARTITION_MS),
    ];
    for (let turn = 0; performance.now() < cutAt + PARTITION_MS + afterMs; turn += 1) {
      attempts.push(attempt(turn, cutAt));
      await pause(1000 / REQUESTS_PER_S);
    }
    const done = await Promise.all(attempts);
    timers.forEach(clearTimeout);
    return done;
  }

  /* Such a VM tried runners by its own connections only, and rejected requests that every other VM could serve. */
  test.each<readonly [number, Cut]>([
    [2, 'hang'],
    [4, 'hang'],
    [2, 'reset'],
    [4, 'live'],
  ])(
    'serve callers by way of the others: %i of 5, connections %s',
    async (cutVms, cut) => {
      const attempts = await load(cutVms, cut);
      const counted = countedOf(attempts);
      for (const service of services) {
        const of = counted.filter((one) => one.service === service);
        const atCut = of.filter(({ vm }) => vm < cutVms);
        const atOthers = of.filter(({ vm }) => vm >= cutVms);
        expect(atCut.length).toBeGreaterThan(0);
        expect({ service, atCut: statusesOf(atCut), atOthers: statusesOf(atOthers) }).toEqual({
          service,
          atCut: { 200: atCut.length },
          atOthers: { 200: atOthers.length },
        });
      }
    },
    30_000,
  );

  /* Each request was tried at several runners for two seconds before it was rejected. */
  test.each<Cut>(['hang', 'reset'])(
    'reject at once what no VM can serve, and serve again after the partition: connections %s',
    async (cut) => {
      const attempts = await load(VMS, cut, STABLE_MS + 1000);
      const counted = countedOf(attempts);
      expect(statusesOf(counted)).toEqual({ 503: counted.length });
      expect(counted.filter(({ retryAfter }) => retryAfter === undefined)).toEqual([]);
      for (const service of services) {
        const of = counted.filter((one) => one.service === service);
        expect(medianOf(of.map(({ ms }) => ms))).toBeLessThan(REJECT_MS);
      }
      const after = attempts.filter(({ sentAt }) => sentAt > PARTITION_MS + STABLE_MS);
      expect(statusesOf(after)).toEqual({ 200: after.length });
    },
    30_000,
  );

  /** Sends long streams to the first VM; returns the ids of the events that each caller gets, and how often each ran. */
  async function longStreams(
    count: number,
    disturb: () => Promise<void>,
  ): Promise<readonly unknown[]> {
    const paths = Array.from({ length: count }, (_, index) => `${LONG_PATH}${index}`);
    const answers = paths.map((path) => routers.sendRequest(0, path, path));
    await pause(STREAMING_MS);
    await disturb();
    const done = await Promise.all(answers);
    return done.map(({ status, whole, body }, index) => {
      const ids = [...body.matchAll(/^id: (\d+)$/gm)].map(([, id]) => Number(id));
      const isInOrder = ids.every((id, position) => id === position + 1);
      const runs = routers
        .runnersOf('decode')
        .reduce((sum, runner) => sum + (runner.runs.get(paths[index] ?? '') ?? 0), 0);
      return { status, whole, isInOrder, events: ids.length, runs };
    });
  }

  const wholeStream = { status: 200, whole: true, isInOrder: true, events: 300 };

  /* Streams on lost connections stood still until their callers left. */
  test.each<readonly [Cut, number]>([
    ['hang', 2],
    ['reset', 2],
    ['live', 1],
  ])(
    'continue streams that may be resumed: connections %s',
    async (cut, runs) => {
      const streams = await longStreams(4, async () => partition.cut(['vm1'], cut));
      expect(streams).toEqual(streams.map(() => ({ ...wholeStream, runs })));
    },
    30_000,
  );

  /* The runner is sound and goes on after a moment; giving it up would run the request twice. */
  test('are not assumed when runners fall silent for a moment', async () => {
    const streams = await longStreams(4, async () => {
      const silentUntil = performance.now() + 1200;
      for (const runner of routers.runnersOf('decode')) runner.silentUntil = silentUntil;
    });
    expect(streams).toEqual(streams.map(() => ({ ...wholeStream, runs: 1 })));
  }, 30_000);

  /* Each VM in turn is partitioned for a second while the others still ask it to forward. */
  test('serve callers also while the partition moves from VM to VM', async () => {
    const startedAt = performance.now();
    const attempts: Promise<Attempt>[] = [];
    let cutVm = -1;
    for (let turn = 0; performance.now() - startedAt < VMS * 1000; turn += 1) {
      const next = Math.floor((performance.now() - startedAt) / 1000);
      if (next !== cutVm) {
        partition.heal();
        partition.cut([`vm${next + 1}`], next % 2 === 0 ? 'hang' : 'reset');
        cutVm = next;
      }
      attempts.push(attempt(turn, startedAt));
      await pause(1000 / REQUESTS_PER_S);
    }
    partition.heal();
    const plain = (await Promise.all(attempts)).filter(({ service }) => service === 'plain');
    expect(statusesOf(plain)).toEqual({ 200: plain.length });
  }, 30_000);

  /* No VM reaches all runners, and each runner is reached by two or three of the five. */
  test('serve callers where each VM reaches a part of the runners', async () => {
    namesOf(VMS).forEach((name, vm) => {
      partition.cut([name], 'hang', (address) => (Number(address.split(':')[1]) + vm) % 2 === 0);
    });
    const startedAt = performance.now();
    const attempts: Promise<Attempt>[] = [];
    for (let turn = 0; performance.now() - startedAt < STABLE_MS; turn += 1) {
      attempts.push(attempt(turn, startedAt));
      await pause(1000 / REQUESTS_PER_S);
    }
    const done = await Promise.all(attempts);
    expect(statusesOf(done)).toEqual({ 200: done.length });
  }, 30_000);

  /* A VM that has never reached a runner knows them from the other VMs only. */
  test('serve callers from their start', async () => {
    partition.cut([`vm${VMS + 1}`], 'hang');
    await routers.addVm();
    const answers = await Promise.all(
      Array.from({ length: 10 }, (_, turn) => routers.sendRequest(VMS, '/plain/x', `${turn}`)),
    );
    expect(answers.map(({ status }) => status)).toEqual(answers.map(() => 200));
  });

  /* Connections cost runners and VMs; where nothing is lost, each request has one. */
  test('cost nothing where there are none', async () => {
    const before = { dials: partition.dialCount, arrivals: routers.arrivalCount };
    const attempts = await Promise.all(
      Array.from({ length: 100 }, async (_, turn) => {
        await pause(turn * 10);
        return attempt(turn * 2, 0);
      }),
    );
    expect(statusesOf(attempts)).toEqual({ 200: 100 });
    expect(partition.dialCount - before.dials).toBe(routers.arrivalCount - before.arrivals);
  });
});
