/**
 * Compares policies where the memory of decode runners binds, under virtual
 * time, and prints the table of `docs/MEASUREMENTS.md`.
 *
 *     node build/memory.cjs [SEEDS]
 */

import { Planner } from '../src/core/memory/planner';
import { planPolicy } from '../src/core/memory/policy';
import { SlotPolicy } from '../test/fakes/memory/baselines';
import type { MemoryResult, PlacementPolicy } from '../test/fakes/memory/bench';
import { MemoryBench } from '../test/fakes/memory/bench';
import type { MemoryFigures } from '../test/fakes/memory/engines';
import {
  fastFigures,
  fastPrefillFigures,
  slowFigures,
  smallMemoryFigures,
} from '../test/fakes/memory/engines';
import { KnownCosts } from '../test/fakes/memory/costs';
import type { MemoryLoad } from '../test/fakes/memory/load';
import { drawMemoryJobs, shiftBursts as bursts } from '../test/fakes/memory/load';

type Policies = Readonly<Record<string, (figures: MemoryFigures) => PlacementPolicy>>;

const planners: Policies = {
  planner: () => new Planner(planPolicy),
  'planner that knows': (figures) => new Planner(planPolicy, new KnownCosts(figures)),
  'planner on other figures': () => new Planner(planPolicy, new KnownCosts(smallMemoryFigures)),
};

const policies: Policies = {
  ...planners,
  'prefill at once': () => new SlotPolicy(Infinity),
  'slots only': () => new SlotPolicy(64),
  'eleven a runner': () => new SlotPolicy(11),
};

interface Case {
  readonly name: string;
  /** Default: `tightFigures`. */
  readonly figures?: MemoryFigures;
  readonly load: MemoryLoad;
  readonly prefill: number;
  readonly decode: number;
}

const UNTIL_MS = 34_000;

/** Engines unlike the one of `tightFigures`, each near what its memory bears, with bursts above. */
const unlike: readonly Case[] = [
  {
    name: 'fast tokens, long answers',
    figures: fastFigures,
    load: { perSecond: 11, bursts, untilMs: UNTIL_MS, output: { mean: 4000, most: 7670 } },
    prefill: 2,
    decode: 5,
  },
  {
    name: 'slow tokens, short answers',
    figures: slowFigures,
    load: { perSecond: 6, bursts, untilMs: UNTIL_MS, output: { mean: 50, most: 120 } },
    prefill: 6,
    decode: 3,
  },
  {
    name: 'fast reading',
    figures: fastPrefillFigures,
    load: { perSecond: 12, bursts, untilMs: UNTIL_MS, output: { mean: 300, most: 700 } },
    prefill: 1,
    decode: 4,
  },
];

const cases: readonly Case[] = [
  { name: 'steady', load: { perSecond: 9, bursts: [], untilMs: UNTIL_MS }, prefill: 2, decode: 4 },
  { name: 'bursts', load: { perSecond: 8, bursts, untilMs: UNTIL_MS }, prefill: 2, decode: 4 },
  {
    name: 'overload',
    load: { perSecond: 16, bursts: [], untilMs: UNTIL_MS },
    prefill: 2,
    decode: 4,
  },
  {
    name: 'one prefill runner',
    load: { perSecond: 8, bursts, untilMs: UNTIL_MS },
    prefill: 1,
    decode: 4,
  },
];

function run(
  { load, prefill, decode, figures = smallMemoryFigures }: Case,
  policy: (figures: MemoryFigures) => PlacementPolicy,
  seed: number,
): MemoryResult {
  return new MemoryBench({
    jobs: drawMemoryJobs(load, seed),
    policy: policy(figures),
    figures,
    prefillRunners: prefill,
    decodeRunners: decode,
  }).run();
}

function median(values: readonly number[]): number {
  const sorted = [...values].sort((a, b) => a - b);
  return sorted[Math.floor(sorted.length / 2)] ?? 0;
}

const seeds = Number(process.argv[2] ?? 5);
console.log(
  '| load | policy | worth | largest tenth | in time, % | late, % | refused, % | failed, % | wasted, % |',
);
console.log('| --- | --- | --- | --- | --- | --- | --- | --- | --- |');
function printRows(each: Case, compared: Policies): void {
  for (const [name, policy] of Object.entries(compared)) {
    const results = Array.from({ length: seeds }, (_, i) => run(each, policy, i + 1));
    const of = (value: (result: MemoryResult) => number): number => median(results.map(value));
    const part = (key: 'inTime' | 'late' | 'refused' | 'failed'): string =>
      (100 * of((result) => result[key] / result.asked)).toFixed(1);
    console.log(
      `| ${each.name} | ${name} | ${of(({ worth }) => worth).toFixed(3)} | ${of(({ worthOfLargest }) => worthOfLargest).toFixed(3)} | ${part('inTime')} | ${part('late')} | ${part('refused')} | ${part('failed')} | ${(100 * of(({ wasted }) => wasted)).toFixed(1)} |`,
    );
  }
}

for (const each of cases) printRows(each, policies);
for (const each of unlike) printRows(each, planners);
