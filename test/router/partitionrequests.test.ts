import { setTimeout as pause } from 'node:timers/promises';

import type { Attempt } from '../fakes/attempts';
import { attempt, firstVms, statusesOf } from '../fakes/attempts';
import type { Cut } from '../fakes/partition';
import { Partition } from '../fakes/partition';
import type { CallerAnswer } from '../fakes/routers';
import { LONG_EVENT_COUNT, LONG_PATH, RouterCluster } from '../fakes/routers';
import { seeded } from '../fakes/virtual/workload';

const VMS = 5;
const REQUESTS_PER_S = 60;
/** Duration of a partition, in milliseconds. */
const PARTITION_MS = 3000;
/** Time after a caller left in which its runner is told, in milliseconds. */
const GONE_MS = 500;
/** Duration of the run with requests that may run once, in milliseconds. */
const ONCE_MS = 5000;
/** Time after which a connection is sought in another way as well, in milliseconds, and in how many ways at most. */
const SLOW_MS = 60;
const MAX_WAYS = 5;
/** How long streams run before something happens, in milliseconds. */
const STREAMING_MS = 500;

describe('requests under partitions from runners', () => {
  let partition: Partition;
  let routers: RouterCluster;

  beforeEach(async () => {
    partition = new Partition();
    routers = new RouterCluster({ vms: VMS, runners: 6, prefillRunners: 3, partition });
    await routers.start();
  }, 30_000);
  afterEach(() => routers.stop(), 30_000);

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

  const wholeStream = { status: 200, whole: true, isInOrder: true, events: LONG_EVENT_COUNT };

  /* Streams on lost connections stood still until their callers left. */
  test.each<readonly [Cut, number]>([
    ['hang', 2],
    ['reset', 2],
    ['live', 1],
  ])(
    'continue if they are streams that may be resumed: connections %s',
    async (cut, runs) => {
      const streams = await longStreams(4, async () => partition.cut(['vm1'], cut));
      expect(streams).toEqual(streams.map(() => ({ ...wholeStream, runs })));
    },
    30_000,
  );

  /* The runner is sound and goes on after a moment; giving it up would run the request twice. */
  test('are not given up when runners fall silent for a moment', async () => {
    const streams = await longStreams(4, async () => {
      const silentUntil = performance.now() + 1200;
      for (const runner of routers.runnersOf('decode')) runner.silentUntil = silentUntil;
    });
    expect(streams).toEqual(streams.map(() => ({ ...wholeStream, runs: 1 })));
  }, 30_000);

  /* Each VM in turn is partitioned for a second while the others still ask it to forward. */
  test('are served while the partition moves from VM to VM', async () => {
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
      attempts.push(attempt(routers, VMS, turn, startedAt));
      await pause(1000 / REQUESTS_PER_S);
    }
    partition.heal();
    const plain = (await Promise.all(attempts)).filter(({ service }) => service === 'plain');
    expect(statusesOf(plain)).toEqual({ 200: plain.length });
  }, 30_000);

  /* No VM reaches all runners, and each runner is reached by two or three of the five. */
  test('are served where each VM reaches a part of the runners', async () => {
    firstVms(VMS).forEach((name, vm) => {
      partition.cut([name], 'hang', (address) => (Number(address.split(':')[1]) + vm) % 2 === 0);
    });
    const startedAt = performance.now();
    const attempts: Promise<Attempt>[] = [];
    for (let turn = 0; performance.now() - startedAt < PARTITION_MS; turn += 1) {
      attempts.push(attempt(routers, VMS, turn, startedAt));
      await pause(1000 / REQUESTS_PER_S);
    }
    const done = await Promise.all(attempts);
    expect(statusesOf(done)).toEqual({ 200: done.length });
  }, 30_000);

  /* A VM that has never reached a runner knows them from the other VMs only. */
  test('are served by a VM that starts while partitioned', async () => {
    partition.cut([`vm${VMS + 1}`], 'hang');
    await routers.addVm();
    const answers = await Promise.all(
      Array.from({ length: 10 }, (_, turn) => routers.sendRequest(VMS, '/plain/x', `${turn}`)),
    );
    expect(answers.map(({ status }) => status)).toEqual(answers.map(() => 200));
  });

  /* Connections cost runners and VMs. */
  test('have one connection each where no path is lost', async () => {
    const callCount = (): number => routers.arrivalCount + routers.controlCallCount;
    const before = {
      dials: partition.dialCount,
      calls: callCount(),
      connects: partition.connectMs.length,
    };
    const attempts = await Promise.all(
      Array.from({ length: 100 }, async (_, turn) => {
        await pause(turn * 10);
        return attempt(routers, VMS, turn * 2, 0);
      }),
    );
    expect(statusesOf(attempts)).toEqual({ 200: 100 });
    const extra = partition.dialCount - before.dials - (callCount() - before.calls);
    // All VMs share the processor with this test: other ways begin only where a connection is slow.
    const slow = partition.connectMs.slice(before.connects).filter((ms) => ms > SLOW_MS);
    expect(extra).toBeLessThanOrEqual(slow.length * MAX_WAYS);
  });

  /* Runners would work on for callers that have left. */
  test('end at runners, through other VMs, when their callers leave', async () => {
    partition.cut(['vm1'], 'reset');
    await routers.sendRequest(0, '/model/x', 'finds out that the paths are lost');
    const leftAt = await Promise.all(
      [0, 1, 2].map((index) => routers.leaveAfter(0, `${LONG_PATH}${index}`, 'left', 500 + index)),
    );
    await pause(GONE_MS);
    const closedAt = routers.runnersOf('decode').flatMap(({ abandonedAt }) => abandonedAt);
    expect(closedAt.length).toBe(leftAt.length);
    expect(Math.max(...closedAt) - Math.min(...leftAt)).toBeLessThan(GONE_MS);
  });

  /* Some attempts are under way in the moment of each cut; a second one must not be made for them. */
  test.each([1, 2, 3])(
    'run once at most if they may run once, and never if they are rejected: seed %i',
    async (seed) => {
      const random = seeded(seed);
      const cuts: readonly Cut[] = ['hang', 'reset', 'live'];
      const paths: string[] = [];
      const answers: Promise<CallerAnswer>[] = [];
      const startedAt = performance.now();
      let changeAt = startedAt;
      while (performance.now() - startedAt < ONCE_MS) {
        if (performance.now() >= changeAt) {
          partition.heal();
          const cutVms = firstVms(VMS).filter(() => random() < 0.5);
          partition.cut(cutVms, cuts[Math.floor(random() * cuts.length)] ?? 'hang');
          changeAt = performance.now() + 200 + random() * 1000;
        }
        const path = `/once/${paths.length}`;
        answers.push(routers.sendRequest(paths.length, path, path));
        paths.push(path);
        await pause(1000 / REQUESTS_PER_S);
      }
      partition.heal();
      const statuses = (await Promise.all(answers)).map(({ status }) => status);
      await pause(1000);
      const runsOf = (path: string): number =>
        routers.runnersOf('plain').reduce((sum, { runs }) => sum + (runs.get(path) ?? 0), 0);
      const runs = paths.map(runsOf);
      expect(Math.max(...runs)).toBe(1);
      expect(runs.filter((count, index) => statuses[index] === 503 && count > 0)).toEqual([]);
      expect(runs.filter((count, index) => statuses[index] === 200 && count !== 1)).toEqual([]);
      expect(statuses.filter((status) => status === 200).length).toBeGreaterThan(0);
    },
    30_000,
  );
});
