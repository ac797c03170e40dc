import { Planner } from '../../src/core/memory/planner';
import { planPolicy } from '../../src/core/memory/policy';
import { MemoryBench } from '../fakes/memory/bench';
import { longPromptFigures } from '../fakes/memory/engines';
import type { MemoryLoad } from '../fakes/memory/load';
import { drawMemoryJobs } from '../fakes/memory/load';

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
});
