import { FairOrder } from '../../src/core/memory/order';
import { Planner } from '../../src/core/memory/planner';
import { planPolicy } from '../../src/core/memory/policy';
import { RankTurns } from '../../src/core/memory/ranks';
import type { PlanAction } from '../../src/core/memory/types';
import { RouteTable } from '../../src/core/routing/table';
import { demandOf } from '../fakes/demand';
import { streamRoute } from '../fakes/exchange';
import { MemoryBench } from '../fakes/memory/bench';
import type { MemoryCaller } from '../fakes/memory/caller';
import { smallMemoryFigures } from '../fakes/memory/engines';
import { drawMemoryJobs } from '../fakes/memory/load';
import { runnerOf as runner } from '../fakes/runner';

/** All callers of 1.5 times the capacity in requests of three ranks, with different sizes. */
function playRanks(): readonly MemoryCaller[] {
  return [1, 2, 3].flatMap((seed) => {
    const jobs = drawMemoryJobs({ perSecond: 18, bursts: [], untilMs: 34_000 }, seed).map(
      (job, i) => ({ ...job, rank: i % 3 }),
    );
    const bench = new MemoryBench({
      jobs,
      policy: new Planner(planPolicy),
      figures: smallMemoryFigures,
      prefillRunners: 2,
      decodeRunners: 4,
    });
    bench.run();
    return bench.callers;
  });
}

const shareOf = (
  callers: readonly MemoryCaller[],
  meets: (caller: MemoryCaller) => boolean,
): number => callers.filter(meets).length / callers.length;

describe('a service whose routes have different priorities', () => {
  /* Ranks and the priority header must not change services whose routes have one priority. */
  test('is told from those whose routes have one', () => {
    const routes = [
      { name: 'a', priority: 0, targets: [{ service: 'mixed', weight: 1 }] },
      {
        name: 'b',
        priority: 2,
        targets: ['mixed', 'single'].map((service) => ({ service, weight: 1 })),
      },
      { name: 'c', priority: 2, targets: [{ service: 'single', weight: 1 }] },
    ].map((change) => ({ ...streamRoute, ...change }));
    const limits = { bodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 };
    const table = new RouteTable({ version: 1, routes, services: [], limits });
    const names = ['mixed', 'single', 'none'];
    expect(names.filter((name) => table.hasRanks(name))).toEqual(['mixed']);
  });
});

describe('order by rank', () => {
  const callers = playRanks();
  const ranks = [0, 1, 2].map((rank) => callers.filter(({ job }) => job.rank === rank));
  const served = ranks.map((own) => shareOf(own, ({ state }) => state === 'done'));

  /*
   * Ordered by size alone, each rank lost the same share, and only 0.78 of the most urgent requests
   * were in time.
   */
  test('serves the most urgent requests in time at 1.5 times the capacity', () => {
    const inTime = ranks.map((own) => shareOf(own, (caller) => caller.inTime));
    expect(inTime[0]).toBeGreaterThan(0.95);
    expect(served).toEqual([...served].sort((a, b) => b - a));
    expect(served[2]).toBeGreaterThan(0.5);
  });

  /* Smaller requests took the memory of each one that ended, so that large ones were refused. */
  test('serves the largest requests at least half as often as all of them', () => {
    const sizes = callers.map(({ job }) => job.promptTokens).sort((a, b) => a - b);
    const large = sizes[Math.floor(sizes.length * 0.9)] ?? 0;
    const largest = callers.filter(({ job }) => job.promptTokens >= large);
    const isServed = ({ state }: MemoryCaller): boolean => state === 'done';
    expect(shareOf(largest, isServed)).toBeGreaterThan(0.5 * shareOf(callers, isServed));
  });

  /* Where the routes of a service have one priority, a customer's own priority must not matter. */
  test('is that of sizes where ranks are not distinguished', () => {
    const turns = new RankTurns(planPolicy.order);
    const sizes = [300, 100, 200].map((size, i) => ({
      demand: demandOf(`q${i}`, 0, { rank: i }),
      size,
      cost: size,
    }));
    const order = new FairOrder();
    const idsOf = (): readonly string[] =>
      turns.order(sizes, (own) => order.order(own, false)).entries.map(({ demand: { id } }) => id);
    const single = idsOf();
    turns.distinguish(true);
    expect([single, idsOf()]).toEqual([
      ['q1', 'q2', 'q0'],
      ['q0', 'q1', 'q2'],
    ]);
  });

  /* A flood of urgent requests must not keep less urgent ones out for as long as it lasts. */
  test('leaves less urgent ranks a tenth each of the memory started', () => {
    const turns = new RankTurns(planPolicy.order);
    turns.distinguish(true);
    const waiting = [0, 1, 2].map((rank) => ({
      demand: demandOf(`q${rank}`, 0, { rank }),
      size: 100,
      cost: 100,
    }));
    const starts = Array.from({ length: 120 }, () => {
      const [first] = turns.order(waiting, (own) => own).entries;
      if (first) turns.reserved(first);
      return first?.demand.rank;
    });
    const counts = [0, 1, 2].map((rank) => starts.filter((started) => started === rank).length);
    expect(counts).toEqual([100, 10, 10]);
  });
});

const engine = {
  slots: 64,
  memoryTokens: 65_000,
  eventTokens: 7,
  keepMs: 500,
  switchMs: undefined,
};

/** Refusals in a flood to one prefill runner and a decode runner with memory for eleven requests. */
function refusalsOf(requests: number): readonly PlanAction[] {
  const planner = new Planner(planPolicy);
  const runners = [runner('p1', 'prefill'), runner('d1', 'decode')];
  planner.handle(0, { kind: 'runners', engine, runners });
  return Array.from({ length: requests }, (_, i) =>
    planner.handle(0, { kind: 'asked', demand: demandOf(`r${i}`, 0) }),
  )
    .flat()
    .filter(({ kind }) => kind === 'refuse');
}

describe('a refusal', () => {
  /*
   * Without the reason and the forecast, the log of an overload does not show whether memory,
   * prefill runners or the order of the queue cost the request.
   */
  test('names the rank, the place in the queue, the forecast and the reason', () => {
    expect(refusalsOf(60)[0]).toMatchSnapshot();
  });

  /*
   * Prompts wait for the prefill runner while there is memory for all of them. By the rate at which
   * busy runners free memory, the eighth was refused 2.9 s before its caller would have left.
   */
  test('does not follow from memory rates while memory is idle', () => {
    expect(refusalsOf(11)).toEqual([]);
  });
});
