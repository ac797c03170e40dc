import { Planner } from '../../src/core/memory/planner';
import { planPolicy } from '../../src/core/memory/policy';
import type { ReportedRun } from '../../src/core/memory/types';
import { demandOf } from '../fakes/demand';
import { runnerOf } from '../fakes/runner';

const MEMORY_TOKENS = 65_000;
const USED_TOKENS = 9000;

/** Reserved share of a runner's memory by its report, just after three requests have ended there. */
function memoryAfter(runs: readonly ReportedRun[]): number {
  const planner = new Planner(planPolicy);
  const engine = {
    slots: 64,
    memoryTokens: MEMORY_TOKENS,
    eventTokens: 7,
    keepMs: 500,
    switchMs: undefined,
  };
  const runners = [runnerOf('p1', 'prefill'), runnerOf('d1', 'decode')];
  planner.handle(0, { kind: 'runners', engine, runners });
  for (const id of ['r1/1', 'r2/1', 'r3/1']) {
    planner.handle(0, { kind: 'asked', demand: demandOf(id, 0) });
    planner.handle(100, { kind: 'released', id, blame: undefined });
  }
  planner.handle(200, {
    kind: 'reported',
    report: { runner: 'd1', usedTokens: USED_TOKENS, runs },
  });
  return planner.load(200).memory;
}

describe('the memory that a runner reports', () => {
  /*
   * Guards against a planner that takes what another one started for requests that have just ended:
   * it prefills prompts for which there is no memory.
   */
  test('counts for requests that the planner does not know, whatever has ended since', () => {
    const ended = memoryAfter([{ request: 'r1', tokens: USED_TOKENS }]);
    const unknown = memoryAfter([{ request: 'x', tokens: USED_TOKENS }]);
    expect(unknown - ended).toBeCloseTo(USED_TOKENS / MEMORY_TOKENS, 2);
  });
});
