import { Planner } from '../../src/core/memory/planner';
import { planPolicy } from '../../src/core/memory/policy';
import type { MemoryResult } from '../fakes/memory/bench';
import { MemoryBench } from '../fakes/memory/bench';
import type { MemoryCaller } from '../fakes/memory/caller';
import { smallMemoryFigures } from '../fakes/memory/engines';
import type { MemoryJob } from '../fakes/memory/load';
import { drawMemoryJobs } from '../fakes/memory/load';
import { PlannerFleet } from '../fakes/memory/plannerfleet';
import { seeded } from '../fakes/virtual/workload';

const VMS = 12;
const SEEDS = [1, 2, 3, 4];
const RANKS = [0, 1, 2];
/** A burst to 1.5 times the capacity of two prefill and four decode runners. */
const LOAD = {
  perSecond: 10,
  bursts: [{ from: 8000, to: 13_000, factor: 1.8 }],
  untilMs: 18_000,
};
const FAULT_MS = 9000;
const HALF = [0, 2, 4, 6, 8, 10];

/** A fault at the peak. */
interface Fault {
  /** VMs that callers do not use from then on. */
  readonly gone?: readonly number[];
  /** When the fault changes something, in milliseconds after it begins. Default: once, at 0. */
  readonly changesAtMs?: readonly number[];
  /** Time in which requests are served as before after each change, by docs/design/urgency.md. */
  readonly recoveryMs: number;
  inject(now: number, bench: MemoryBench, fleet: PlannerFleet): void;
}

interface Outcome {
  /** Requests that arrived at VMs that live, outside of the times of recovery. */
  readonly callers: readonly MemoryCaller[];
  readonly results: readonly MemoryResult[];
  readonly repeatedAsks: number;
}

/** Spreads the requests of each rank over the VMs; a further attempt goes to the next one. */
function vmOf(job: MemoryJob, attempt: number, gone: readonly number[]): string {
  const number = Number.parseInt(job.id.slice('job'.length), 10);
  const isAfterFault = job.at >= FAULT_MS || attempt > 1;
  const open = Array.from({ length: VMS }, (_, vm) => vm).filter(
    (vm) => !isAfterFault || !gone.includes(vm),
  );
  return `vm${open[(Math.floor(number / RANKS.length) + attempt) % open.length]}`;
}

function play({ gone = [], changesAtMs = [0], recoveryMs, inject }: Fault): Outcome {
  const callers: MemoryCaller[] = [];
  const results: MemoryResult[] = [];
  let repeatedAsks = 0;
  const isRecovered = ({ job }: MemoryCaller): boolean =>
    job.at >= FAULT_MS &&
    changesAtMs.every((ms) => job.at < FAULT_MS + ms || job.at >= FAULT_MS + ms + recoveryMs);
  for (const seed of SEEDS) {
    const jobs = drawMemoryJobs(LOAD, seed).map((job, i) => ({ ...job, rank: i % RANKS.length }));
    const fleet = new PlannerFleet(VMS, seeded(seed + 100), () => new Planner(planPolicy));
    const bench = new MemoryBench({
      jobs,
      policy: fleet,
      figures: smallMemoryFigures,
      prefillRunners: 2,
      decodeRunners: 4,
      reportsRuns: true,
      vmOf: (job, attempt) => vmOf(job, attempt, gone),
    });
    bench.at(FAULT_MS, (now) => inject(now, bench, fleet));
    results.push(bench.run());
    repeatedAsks += fleet.repeatedAsks;
    callers.push(...bench.callers.filter(isRecovered));
  }
  return { callers, results, repeatedAsks };
}

function partsByRank(
  callers: readonly MemoryCaller[],
  meets: (caller: MemoryCaller) => boolean,
): readonly number[] {
  return RANKS.map((rank) => {
    const own = callers.filter(({ job }) => job.rank === rank);
    return own.filter(meets).length / own.length;
  });
}

/** Checks the bounds of docs/OVERLOAD.md. */
function check({ callers, results, repeatedAsks }: Outcome): void {
  const sum = (key: 'asked' | 'repeats' | 'refusedBesideIdle'): number =>
    results.reduce((all, one) => all + one[key], 0);
  const [urgent = 0] = partsByRank(callers, ({ inTime }) => inTime);
  const [first = 0, second = 0, third = 0] = partsByRank(callers, ({ state }) => state === 'done');
  expect(urgent).toBeGreaterThanOrEqual(0.95);
  expect(Math.max(second - first, third - first, third - second)).toBeLessThanOrEqual(0.05);
  expect(sum('repeats') + repeatedAsks).toBeLessThan(2 * sum('asked'));
  expect(sum('refusedBesideIdle')).toBe(0);
}

describe('at the peak of a burst, the order by urgency', () => {
  /* Guards against waiting requests that are lost, and a new planner that fills runners twice. */
  test('recovers when the owner of the service is killed', () => {
    const inject: Fault['inject'] = (now, bench, fleet) => {
      fleet.kill(now, [0]);
      bench.loseVms(now, new Set(['vm0']));
    };
    check(play({ gone: [0], recoveryMs: 1500, inject }));
  });

  /* Guards against memory that stays reserved for VMs that are gone, and against a storm of their callers. */
  test('recovers when half of the VMs are killed, the owner among them', () => {
    const inject: Fault['inject'] = (now, bench, fleet) => {
      fleet.kill(now, HALF);
      bench.loseVms(now, new Set(HALF.map((number) => `vm${number}`)));
    };
    check(play({ gone: HALF, recoveryMs: 2500, inject }));
  });

  /* Guards against VMs that wait for an owner that does not answer, and against its old record when it resumes. */
  test('recovers when the owner of the service is frozen for four seconds', () => {
    const inject: Fault['inject'] = (now, bench, fleet) => {
      fleet.freeze(now, 0, true);
      bench.at(now + 4000, (at) => fleet.freeze(at, 0, false));
    };
    check(play({ gone: [0], changesAtMs: [0, 4000], recoveryMs: 2500, inject }));
  });

  /* Guards against two planners that each take the memory of the runners for theirs. */
  test('recovers when the owner of the service is cut off from the other VMs', () => {
    const inject: Fault['inject'] = (now, bench, fleet) => {
      fleet.isolate(now, [0]);
      bench.at(now + 5000, (at) => fleet.isolate(at, []));
    };
    check(play({ changesAtMs: [0, 5000], recoveryMs: 2500, inject }));
  });

  /* Guards against requests that fill the first runners that return, and against repeats of all that ran. */
  test('recovers when all runners restart and return at once', () => {
    const inject: Fault['inject'] = (now, bench) => bench.restartRunners(now, 1000);
    check(play({ recoveryMs: 5000, inject }));
  });
});
