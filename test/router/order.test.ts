import { rankOf } from '../../src/core/customers/rank';
import { Planner } from '../../src/core/memory/planner';
import { planPolicy } from '../../src/core/memory/policy';
import type { QueueEntry, QueueOrder } from '../../src/core/memory/order';
import type { Demand } from '../../src/core/memory/types';
import { FairOrder, SmallestFirst } from '../../src/core/memory/order';
import { MemoryBench } from '../fakes/memory/bench';
import { smallMemoryFigures } from '../fakes/memory/engines';
import type { MemoryJob } from '../fakes/memory/load';
import { drawMemoryJobs } from '../fakes/memory/load';

const CUSTOMERS = 8;
const UNTIL_MS = 34_000;
/** Requests per second of eight customers together, and of one more customer for ten seconds. */
const USUAL = 6;
const FLOOD = 30;
const FLOOD_FROM_MS = 8000;
const FLOOD_MS = 10_000;

const demand: Demand = {
  id: 'q',
  vm: 'vm1',
  customer: undefined,
  rank: 1,
  promptId: undefined,
  promptTokens: 100,
  maxOutputTokens: 0,
  hintTokens: undefined,
  dueAt: 0,
  gapMs: 0,
  lostAt: 0,
  returned: false,
  resuming: false,
  avoid: [],
};

/**
 * Requests of eight customers and a flood of another one, whose prompts have the given share of the
 * usual size.
 */
function jobsOf(seed: number, sizePart: number): readonly MemoryJob[] {
  const usual = drawMemoryJobs({ perSecond: USUAL, bursts: [], untilMs: UNTIL_MS }, seed).map(
    (job, i) => ({ ...job, customer: `c${i % CUSTOMERS}` }),
  );
  const flood = drawMemoryJobs({ perSecond: FLOOD, bursts: [], untilMs: FLOOD_MS }, seed + 1).map(
    (job) => ({
      ...job,
      id: `flood ${job.id}`,
      customer: 'flood',
      at: job.at + FLOOD_FROM_MS,
      promptTokens: Math.round(job.promptTokens * sizePart),
    }),
  );
  return [...usual, ...flood].sort((a, b) => a.at - b.at);
}

/**
 * Shares of the flood's and of the other customers' requests that were served while the flood
 * lasts.
 */
function play(createOrder: () => QueueOrder, sizePart: number): { flood: number; others: number } {
  const sums = { flood: 0, others: 0 };
  const seeds = [1, 2, 3];
  for (const seed of seeds) {
    const bench = new MemoryBench({
      jobs: jobsOf(seed, sizePart),
      policy: new Planner({ ...planPolicy, order: { ...planPolicy.order, createOrder } }),
      figures: smallMemoryFigures,
      prefillRunners: 2,
      decodeRunners: 4,
    });
    bench.run();
    const { flood = 0, ...others } = bench.served;
    sums.flood += flood / seeds.length;
    const parts = Object.values(others);
    sums.others += parts.reduce((sum, part) => sum + part, 0) / parts.length / seeds.length;
  }
  return sums;
}

describe('fair order between customers', () => {
  /*
   * One customer sends five times as much as eight others together, for ten seconds and within its
   * quota. With the smallest requests first regardless of customers, the others lost every seventh
   * answer in time although their load had not changed.
   */
  test('keeps the others in time while one customer floods', () => {
    const fair = play(() => new FairOrder(), 1);
    const bySize = play(() => new SmallestFirst(), 1);
    expect(fair.others).toBeGreaterThan(0.9);
    expect(fair.others).toBeGreaterThan(bySize.others);
    // The flood loses little compared with that: memory must not idle.
    expect(fair.flood).toBeGreaterThan(bySize.flood * 0.8);
  });

  test('helps customers with larger requests than the flood', () => {
    const fair = play(() => new FairOrder(), 0.3);
    const bySize = play(() => new SmallestFirst(), 0.3);
    expect(fair.others).toBeGreaterThan(bySize.others);
  });

  /* Without customers there is nothing to share, and the order must remain that of the sizes. */
  test('is the order of sizes where requests name no customer', () => {
    const jobs = drawMemoryJobs({ perSecond: 12, bursts: [], untilMs: UNTIL_MS }, 5);
    const results = [() => new FairOrder(), () => new SmallestFirst()].map((createOrder) =>
      new MemoryBench({
        jobs,
        policy: new Planner({ ...planPolicy, order: { ...planPolicy.order, createOrder } }),
        figures: smallMemoryFigures,
        prefillRunners: 2,
        decodeRunners: 4,
      }).run(),
    );
    expect(results[0]).toEqual(results[1]);
  });

  /* A customer of priority 0 has twice the share of one of priority 1. */
  test('prefers a customer with a higher priority', () => {
    const order = new FairOrder();
    const entryOf = (customer: string, rank: number, i: number): QueueEntry => ({
      demand: { ...demand, id: `${customer}${i}`, customer, rank: rankOf(rank, 1) },
      size: 100,
      cost: 100,
    });
    const all = [0, 1, 2, 3].flatMap((i) => [entryOf('high', 0, i), entryOf('low', 1, i)]);
    all.slice(0, 2).forEach((entry) => order.customerQueued(entry.demand));
    const ids = order.order(all, false).map(({ demand: { id } }) => id);
    expect(ids.slice(0, 6).filter((id) => id.startsWith('high'))).toHaveLength(4);
  });
});
