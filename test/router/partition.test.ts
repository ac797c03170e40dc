import { setTimeout as pause } from 'node:timers/promises';

import type { Cut } from '../fakes/partition';
import { Partition } from '../fakes/partition';
import type { Attempt } from '../fakes/attempts';
import { attempt, attemptedServices, firstVms, statusesOf } from '../fakes/attempts';
import { RouterCluster } from '../fakes/routers';

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

  /** Sends requests to all VMs in turn while some are partitioned, and for a time after it. */
  async function load(cutVms: number, cut: Cut, afterMs = 0): Promise<readonly Attempt[]> {
    const cutAt = performance.now() + BEFORE_MS;
    const attempts: Promise<Attempt>[] = [];
    const timers = [
      setTimeout(() => partition.cut(firstVms(cutVms), cut), BEFORE_MS),
      setTimeout(() => partition.heal(), BEFORE_MS + PARTITION_MS),
    ];
    for (let turn = 0; performance.now() < cutAt + PARTITION_MS + afterMs; turn += 1) {
      attempts.push(attempt(routers, VMS, turn, cutAt));
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
      for (const service of attemptedServices) {
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
      for (const service of attemptedServices) {
        const of = counted.filter((one) => one.service === service);
        expect(medianOf(of.map(({ ms }) => ms))).toBeLessThan(REJECT_MS);
      }
      const after = attempts.filter(({ sentAt }) => sentAt > PARTITION_MS + STABLE_MS);
      expect(statusesOf(after)).toEqual({ 200: after.length });
    },
    30_000,
  );
});
