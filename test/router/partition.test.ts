import { setTimeout as pause } from 'node:timers/promises';

import type { Cut } from '../fakes/partition';
import { Partition } from '../fakes/partition';
import type { Attempt } from '../fakes/attempts';
import { attempt, attemptedServices, firstVms, statusesOf } from '../fakes/attempts';
import { RouterCluster } from '../fakes/routers';

const VMS = 5;
const REQUESTS_PER_S = 30;
/** Load before the partition, in milliseconds. */
const BEFORE_MS = 500;
/** Time from the beginning of a partition after which callers are served as at other VMs, in milliseconds. */
const STABLE_MS = 3000;
/** Duration of a partition, in milliseconds. */
const PARTITION_MS = 7000;
/** Time before the end of a partition in which attempts do not count, since they may be answered after it, in milliseconds. */
const MARGIN_MS = 2200;
/**
 * Time in which a request is rejected that is known not to be servable, in milliseconds, beyond
 * that of one without a route: on a slow machine, any answer takes longer than this.
 */
const REJECT_MS = 50;
/** Path without a route. */
const UNROUTED_PATH = '/unrouted/';
/** One request without a route is sent for each of so many others. */
const UNROUTED_TURNS = 6;

type Timing = Pick<Attempt, 'sentAt' | 'ms'>;

/** What callers sent. */
interface Load {
  readonly attempts: readonly Attempt[];
  /** Requests without a route. */
  readonly unrouted: readonly Timing[];
}

/** Attempts that are sent, and answered, while a partition has lasted for a while. */
function countedOf<T extends Timing>(attempts: readonly T[]): readonly T[] {
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

  /** Sends a request without a route. */
  async function askUnrouted(turn: number, startedAt: number): Promise<Timing> {
    const at = performance.now();
    await routers.sendRequest(turn, UNROUTED_PATH, 'unrouted');
    return { sentAt: at - startedAt, ms: performance.now() - at };
  }

  /** Sends requests to all VMs in turn while some are partitioned, and for a time after it. */
  async function load(cutVms: number, cut: Cut, afterMs = 0): Promise<Load> {
    const cutAt = performance.now() + BEFORE_MS;
    const attempts: Promise<Attempt>[] = [];
    const unrouted: Promise<Timing>[] = [];
    const timers = [
      setTimeout(() => partition.cut(firstVms(cutVms), cut), BEFORE_MS),
      setTimeout(() => partition.heal(), BEFORE_MS + PARTITION_MS),
    ];
    for (let turn = 0; performance.now() < cutAt + PARTITION_MS + afterMs; turn += 1) {
      attempts.push(attempt(routers, VMS, turn, cutAt));
      if (turn % UNROUTED_TURNS === 0) unrouted.push(askUnrouted(turn, cutAt));
      await pause(1000 / REQUESTS_PER_S);
    }
    const done = await Promise.all(attempts);
    timers.forEach(clearTimeout);
    return { attempts: done, unrouted: await Promise.all(unrouted) };
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
      const { attempts } = await load(cutVms, cut);
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
      const { attempts, unrouted } = await load(VMS, cut, STABLE_MS + 1000);
      const counted = countedOf(attempts);
      expect(statusesOf(counted)).toEqual({ 503: counted.length });
      expect(counted.filter(({ retryAfter }) => retryAfter === undefined)).toEqual([]);
      const unroutedMs = medianOf(countedOf(unrouted).map(({ ms }) => ms));
      for (const service of attemptedServices) {
        const of = counted.filter((one) => one.service === service);
        expect(medianOf(of.map(({ ms }) => ms)) - unroutedMs).toBeLessThan(REJECT_MS);
      }
      const after = attempts.filter(({ sentAt }) => sentAt > PARTITION_MS + STABLE_MS);
      expect(statusesOf(after)).toEqual({ 200: after.length });
    },
    30_000,
  );
});
