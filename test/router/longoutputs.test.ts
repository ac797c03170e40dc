import { Planner } from '../../src/core/memory/planner';
import { planPolicy } from '../../src/core/memory/policy';
import type { Demand, MemoryReport, PlanAction } from '../../src/core/memory/types';
import type { Engine } from '../../src/core/routing/types';
import { demandOf } from '../fakes/demand';
import { runnerOf } from '../fakes/runner';

const engine: Engine = {
  slots: 16,
  memoryTokens: 50_000,
  eventTokens: 1,
  keepMs: 1000,
  switchMs: undefined,
};
/** Time between two reports of a runner, in milliseconds. */
const REPORT_MS = 1000;
/** Reports after which the speeds of the runners are known. */
const REPORTS = 20;
/** Tokens that the runners write between two reports: the slow one takes twice as long for one. */
const WRITTEN = { slow: 25, fast: 50 };
/** Time budget of a caller, in milliseconds. */
const BUDGET_MS = 14_000;

describe('a request with a time budget', () => {
  let planner: Planner;

  function reportOf(runner: 'slow' | 'fast', turn: number): MemoryReport {
    const tokens = 100 + WRITTEN[runner] * turn;
    // The slow runner has more free memory, and is chosen by that alone.
    const usedTokens = runner === 'slow' ? tokens : 10_000 + tokens;
    return { runner, usedTokens, runs: [{ request: `run-${runner}`, tokens }] };
  }

  beforeEach(() => {
    planner = new Planner(planPolicy);
    const runners = [
      runnerOf('p', 'prefill'),
      runnerOf('slow', 'decode'),
      runnerOf('fast', 'decode'),
    ];
    planner.handle(0, { kind: 'runners', engine, runners });
    for (let turn = 0; turn < REPORTS; turn += 1) {
      for (const runner of ['slow', 'fast'] as const) {
        const report = reportOf(runner, turn);
        planner.handle(turn * REPORT_MS, { kind: 'reported', report });
      }
    }
  });

  function ask(change: Partial<Demand>): readonly PlanAction[] {
    const now = REPORTS * REPORT_MS;
    const demand = demandOf('q', now, { promptTokens: 500, endsBy: now + BUDGET_MS, ...change });
    return planner.handle(now, { kind: 'asked', demand });
  }

  const grantOf = (decode: string): readonly unknown[] => [
    { kind: 'grant', id: 'q', grant: { prefill: 'p', decode } },
  ];

  // Guards against long answers that are cut off by their callers' time budgets at slow runners.
  test('gets a runner that writes its answer within the budget', () => {
    expect(ask({ maxOutputTokens: 1000 })).toEqual(grantOf('fast'));
  });

  // Guards against slow runners that stay empty.
  test('gets the runner with the most free memory if any writes its answer in time', () => {
    expect(ask({ maxOutputTokens: 100 })).toEqual(grantOf('slow'));
  });

  // Guards against rejections by an estimate of the length.
  test('gets the runner with the most free memory if none writes its answer in time', () => {
    expect(ask({ maxOutputTokens: 5000 })).toEqual(grantOf('slow'));
  });
});
