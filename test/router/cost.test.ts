import {
  MeasuredCosts,
  updatedSlowness,
  localPrefillPauseMs,
  prefillMs,
} from '../../src/core/memory/cost';
import { Estimate } from '../../src/core/memory/estimate';

describe('measured times of an engine', () => {
  test('follow the first measurement at once and later ones slowly', () => {
    const estimate = new Estimate(7, { startWeight: 0, leastStep: 0.02 });
    expect([estimate.value, estimate.error]).toEqual([7, 7]);
    estimate.add(1);
    expect(estimate.value).toBe(1);
    for (let i = 0; i < 200; i += 1) estimate.add(i % 2 === 0 ? 0.9 : 1.1);
    expect(estimate.value).toBeCloseTo(1, 1);
    expect(estimate.error).toBeLessThan(0.1);
    estimate.add(10);
    expect(estimate.value).toBeLessThan(1.3);
  });

  test('are fitted to prefills of different sizes', () => {
    const costs = new MeasuredCosts();
    for (let i = 0; i < 100; i += 1) {
      const tokens = 2000 + 80 * i;
      costs.recordPrefill(tokens, 20 + tokens / 100);
    }
    expect(costs.prefillBaseMs).toBeCloseTo(20, 0);
    expect(costs.prefillTokenMs).toBeCloseTo(0.01, 3);
    expect(prefillMs(costs, 5000)).toBeCloseTo(70, 0);
  });

  /*
   * A runner that is slow for a moment got the first small prompt. Prefill times seemed not to
   * depend on the prompt: all backlogs counted as 0, one runner got every prompt, and since only
   * idle runners are measured, that never ended.
   */
  test('depend on the size of the prompt whatever was measured', () => {
    const costs = new MeasuredCosts();
    costs.recordPrefill(2000, 240);
    costs.recordPrefill(9000, 200);
    expect(costs.prefillTokenMs).toBeGreaterThan(0.01);
  });

  /*
   * A start and an end arrive in the same packet and are handled at the same moment. A token time
   * of 0 would make the expected growth of every request infinite, and no request would get a
   * reservation any more.
   */
  test('ignore a request that seems to take no time', () => {
    const costs = new MeasuredCosts();
    costs.recordTokenTime(0);
    expect(costs.tokenMs).toBe(7);
    costs.recordTokenTime(2);
    expect(costs.tokenMs).toBe(2);
  });

  test('bound the effect of an outlier on the slowness of a runner', () => {
    expect(updatedSlowness(1, 100, 100_000)).toBeCloseTo(2.05, 2);
    expect(updatedSlowness(1, 100, 0)).toBeCloseTo(0.895, 3);
  });

  /*
   * A chunk is prefilled before each token. An event of few tokens waits for few chunks, one of
   * many tokens for the whole prompt.
   */
  test('give the pause that a local prefill causes in the other streams', () => {
    const costs = new MeasuredCosts();
    const pauses = [2, 7, 59].map((eventTokens) =>
      Math.round(localPrefillPauseMs(costs, 5000, eventTokens) - eventTokens * costs.tokenMs),
    );
    expect(pauses).toEqual([37, 129, 180]);
  });

  // Guards against the speed of a local prefill beside few streams that is taken for that beside many.
  test('give no shorter pause after a fast local prefill', () => {
    const costs = new MeasuredCosts();
    const pauseMs = (): number => localPrefillPauseMs(costs, 5000, 59);
    const assumedMs = pauseMs();
    for (let i = 0; i < 20; i += 1) {
      costs.recordLocalPrefill(1000, 5000, 5000 * 1.1 * costs.prefillTokenMs);
    }
    expect(costs.localPrefillTokenMs).toBeLessThan(1.2 * costs.prefillTokenMs);
    expect(pauseMs()).toBeCloseTo(assumedMs);
  });

  /*
   * An engine prefills 256 tokens between two output tokens, not the assumed 512. If that is not
   * measured, long prompts are never prefilled locally; if it is never measured again, a change of
   * the engine is not noticed.
   */
  test('include the token time of streams during a local prefill', () => {
    const costs = new MeasuredCosts();
    const pauseMs = (): number => Math.round(localPrefillPauseMs(costs, 13_000, 7));
    const assumedMs = pauseMs();
    const before = costs.isLocalPrefillMeasured(1000);
    costs.recordLocalPrefill(
      1000,
      13_000,
      13_000 * (2 * costs.prefillTokenMs + costs.tokenMs / 256),
    );
    const byPrefillMs = pauseMs();
    // Streams that are slower than that take precedence when there are enough of them.
    for (let i = 0; i < 100; i += 1) costs.recordSlowedTokens(20, 600);
    expect([assumedMs, byPrefillMs, pauseMs()]).toEqual([178, 114, 188]);
    const later = [2000, 12_000].map((now) => costs.isLocalPrefillMeasured(now));
    expect([before, ...later]).toEqual([false, true, false]);
  });
});
