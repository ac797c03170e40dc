import { Planner } from '../../src/core/memory/planner';
import { planPolicy } from '../../src/core/memory/policy';
import { demandOf } from '../fakes/demand';
import { MemoryBench } from '../fakes/memory/bench';
import type { Slowness } from '../fakes/memory/engines';
import { longPromptFigures, smallMemoryFigures } from '../fakes/memory/engines';
import type { MemoryLoad } from '../fakes/memory/load';
import { drawMemoryJobs } from '../fakes/memory/load';
import { runnerOf } from '../fakes/runner';

const PREFILL_RUNNERS = 5;
const DECODE_RUNNERS = 16;
const PROMPT_TOKENS = 13_000;

/** Long prompts with a factor of the tokens that the prefill runners can prefill. */
function longPrompts(factor: number): MemoryLoad {
  const tokensPerSecond = factor * PREFILL_RUNNERS * longPromptFigures.prefillTokensPerMs * 1000;
  return {
    perSecond: tokensPerSecond / PROMPT_TOKENS,
    prompt: { mean: PROMPT_TOKENS, most: 27_500 },
    output: { mean: 400, most: 960 },
    bursts: [],
    untilMs: 24_000,
  };
}

describe('prompts that the prefill runners cannot prefill alone', () => {
  /*
   * The engine's chunks have half of the assumed size. With the assumed pauses, no decode runner
   * prefilled a long prompt, and a tenth of the requests were refused with four fifths of the decode
   * memory free.
   */
  test('are prefilled by decode runners whose measured pauses are short enough', () => {
    const results = [1, 2].map((seed) =>
      new MemoryBench({
        jobs: drawMemoryJobs(longPrompts(1.18), seed),
        policy: new Planner(planPolicy),
        figures: longPromptFigures,
        prefillRunners: PREFILL_RUNNERS,
        decodeRunners: DECODE_RUNNERS,
      }).run(),
    );
    const worth = results.reduce((sum, result) => sum + result.worth / results.length, 0);
    const lost = results.map(({ asked, refused, failed }) => (refused + failed) / asked);
    expect(Math.max(...lost)).toBeLessThan(0.02);
    expect(worth).toBeGreaterThan(0.65);
  });

  /*
   * The prefill runner alone would need 2.4 s for the prompts, and decode runners with idle
   * memory prefill as well. Counted without them, the last requests were refused on arrival.
   */
  test('are not refused on arrival if decode runners prefill them in time', () => {
    const engine = {
      slots: 64,
      memoryTokens: 65_000,
      eventTokens: 7,
      keepMs: 500,
      switchMs: undefined,
    };
    const decode = ['d1', 'd2', 'd3', 'd4'].map((id) => runnerOf(id, 'decode'));
    const planner = new Planner(planPolicy);
    planner.handle(0, { kind: 'runners', engine, runners: [runnerOf('p1', 'prefill'), ...decode] });
    const actions = Array.from({ length: 24 }, (_, i) =>
      planner.handle(0, { kind: 'asked', demand: demandOf(`q${i}`, 0, { gapMs: 300 }) }),
    ).flat();
    expect(actions.filter(({ kind }) => kind === 'refuse')).toEqual([]);
  });
});

describe('runners of different speeds', () => {
  /*
   * Work takes 0.6 to 1.6 of the usual time, by runner. If slow runners got as many prompts as fast
   * ones, their requests would be late.
   */
  test('serve nearly as much as even ones', () => {
    const slownessOf = (index: number): Slowness => {
      const slowness = 0.6 + ((index * 7) % 11) / 10;
      return () => slowness;
    };
    const { worth, failed } = new MemoryBench({
      jobs: drawMemoryJobs({ perSecond: 24, bursts: [], untilMs: 12_000 }, 1),
      policy: new Planner(planPolicy),
      figures: smallMemoryFigures,
      prefillRunners: 4,
      decodeRunners: 12,
      slownessOf,
    }).run();
    expect(failed).toBe(0);
    expect(worth).toBeGreaterThan(0.95);
  });
});
