/**
 * Compares scheduling policies of one cell in virtual time and prints the table
 * of `docs/MEASUREMENTS.md`.
 *
 *     node build/policies.cjs [SECONDS] [SEEDS] [POLICY]
 */

import { QueueLimitAdmission } from '../src/core/cell/admission';
import type { CellOptions } from '../src/core/cell/cell';
import { LeastReportedLoad, RoundRobin } from '../src/core/cell/placement';
import { ImmediateStart } from '../src/core/cell/start';
import type { BenchFaults, BenchResult } from '../test/fakes/virtual/bench';
import { Bench } from '../test/fakes/virtual/bench';
import type { Workload } from '../test/fakes/virtual/workload';
import {
  bagmatiWork,
  decodeCapacity,
  doselWork,
  generateJobs,
} from '../test/fakes/virtual/workload';

type Policy = Omit<CellOptions, 'policy'>;

/** Each run creates its own policy because some policies keep state. */
const policies: Readonly<Record<string, () => Policy>> = {
  current: () => ({}),
  'round robin': () => ({
    placement: new RoundRobin(),
    startRule: new ImmediateStart(),
    admission: new QueueLimitAdmission(),
  }),
  'least reported': () => ({
    placement: new LeastReportedLoad(),
    startRule: new ImmediateStart(),
    admission: new QueueLimitAdmission(),
  }),
  'prefill at once': () => ({ startRule: new ImmediateStart() }),
  'no admission': () => ({ admission: new QueueLimitAdmission() }),
};

/** A load as a factor of the decode capacity, with its bursts, cancelled fraction and faults. */
interface Load {
  readonly name: string;
  readonly factor: number;
  readonly burstMs: number;
  readonly cancelled: number;
  readonly faults: BenchFaults;
}

const steady = (factor: number): Load => ({
  name: `steady ${factor}`,
  factor,
  burstMs: 0,
  cancelled: 0,
  faults: {},
});

/** Virtual time at the start of each run that is left out of the results. */
const WARM_UP_MS = 20_000;

function median(values: readonly number[]): number {
  const sorted = [...values].sort((a, b) => a - b);
  return sorted[Math.floor(sorted.length / 2)] ?? 0;
}

/** Median, minimum and maximum as text. */
function spread(values: readonly number[]): string {
  return `${median(values).toFixed(1)} (${Math.min(...values).toFixed(1)}–${Math.max(...values).toFixed(1)})`;
}

function run(
  work: Workload,
  load: Load,
  policy: () => Policy,
  seed: number,
  durationMs: number,
): BenchResult {
  const rate = (decodeCapacity(work) * load.factor) / work.teams.length;
  const arrivals = {
    rates: work.teams.map(() => rate),
    durationMs,
    burstMs: load.burstMs,
    cancelled: load.cancelled,
  };
  const jobs = generateJobs(work, arrivals, seed);
  return new Bench({
    work,
    jobs,
    cell: policy(),
    faults: load.faults,
    warmUpMs: WARM_UP_MS,
    untilMs: durationMs,
  }).run();
}

/** Goodput as a percentage of the upper bound: the requests sent and not cancelled, or the decode capacity if lower. */
function goodputOfBound(
  work: Workload,
  load: Load,
  result: BenchResult,
  durationMs: number,
): number {
  const seconds = (durationMs - WARM_UP_MS) / 1000;
  const bound = Math.min(result.sent - result.cancelled, decodeCapacity(work) * seconds);
  return (100 * result.goodInTime) / bound;
}

function printRow(
  work: Workload,
  load: Load,
  name: string,
  seeds: number,
  durationMs: number,
): void {
  const results = Array.from({ length: seeds }, (_, i) =>
    run(work, load, policies[name] as () => Policy, i + 1, durationMs),
  );
  const goodput = results.map((result) => goodputOfBound(work, load, result, durationMs));
  const wasted = results.map((result) => 100 * result.wasted);
  const lag = Math.max(...results.map(({ refusalLagMs }) => refusalLagMs));
  const p95 = results.map(
    ({ firstTokenMs }) => firstTokenMs[Math.floor(firstTokenMs.length * 0.95)] ?? 0,
  );
  const falseReports = results.reduce(
    (sum, { falseNotRun, unfinished: endsMissing }) => sum + falseNotRun + endsMissing,
    0,
  );
  console.log(
    `| ${work.name} | ${load.name} | ${name} | ${spread(goodput)} | ${spread(wasted)} | ${median(p95).toFixed(0)} | ${lag.toFixed(1)} | ${falseReports} |`,
  );
}

/** Prints the goodput of two teams within their share while a third sends ten times its share, as a percentage of their goodput without it. */
function printFairness(work: Workload, seeds: number, durationMs: number): void {
  const share = (decodeCapacity(work) * 0.9) / work.teams.length;
  const rows = Array.from({ length: seeds }, (_, i) => {
    const goodOf = (rates: readonly number[]): number => {
      const jobs = generateJobs(work, { rates, durationMs, burstMs: 0, cancelled: 0 }, i + 1);
      const { teams } = new Bench({
        work,
        jobs,
        cell: {},
        warmUpMs: WARM_UP_MS,
        untilMs: durationMs,
      }).run();
      const quiet = work.teams.slice(1).map((team) => teams[team] ?? { sent: 0, good: 0 });
      return (
        quiet.reduce((sum, { good }) => sum + good, 0) /
        quiet.reduce((sum, { sent }) => sum + sent, 0)
      );
    };
    const alone = goodOf([1e-9, share, share]);
    const flooded = goodOf([share * 10, share, share]);
    return (100 * flooded) / alone;
  });
  console.log(`| ${work.name} | ${spread(rows)} |`);
}

function main(): void {
  const seconds = Number(process.argv[2] ?? 120);
  const seeds = Number(process.argv[3] ?? 5);
  const selected = process.argv[4];
  const names = Object.keys(policies).filter((name) => selected === undefined || name === selected);
  const durationMs = WARM_UP_MS + seconds * 1000;
  const extraLoads: readonly Load[] = [
    { name: 'bursts 1.2', factor: 1.2, burstMs: 20_000, cancelled: 0, faults: {} },
    { name: 'cancels 1.2', factor: 1.2, burstMs: 0, cancelled: 0.1, faults: {} },
    {
      name: 'runner dies 1',
      factor: 1,
      burstMs: 0,
      cancelled: 0,
      faults: { runnerDiesAt: 60_000 },
    },
    {
      name: 'reports stall 1.2',
      factor: 1.2,
      burstMs: 0,
      cancelled: 0,
      faults: { reportsStopAt: 30_000 },
    },
  ];
  console.log(
    `${seconds} s after ${WARM_UP_MS / 1000} s of warm-up, ${seeds} seeds: median (least–most)\n`,
  );
  console.log(
    '| deployment | load | policy | goodput, % of bound | prefill wasted, % | first token p95, ms | refusal lag, ms | untrue |',
  );
  console.log('| --- | --- | --- | --- | --- | --- | --- | --- |');
  for (const work of [doselWork, bagmatiWork]) {
    for (const load of [0.5, 0.9, 1.2, 2].map(steady)) {
      for (const name of names) printRow(work, load, name, seeds, durationMs);
    }
    for (const load of extraLoads) printRow(work, load, 'current', seeds, durationMs);
  }
  console.log(
    '\n| deployment | goodput within share under a tenfold flood, % of alone |\n| --- | --- |',
  );
  for (const work of [doselWork, bagmatiWork]) printFairness(work, seeds, durationMs);
}

main();
