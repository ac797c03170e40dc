import {
  MeasuredCosts,
  updatedSlowness,
  localPrefillPauseMs,
  prefillMs,
} from '../../src/core/memory/cost';
import { Estimate } from '../../src/core/memory/estimate';

describe('the times of an engine', () => {
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

  test('are read off prefills of different sizes', () => {
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
   * The notes of a start and of an end lie in one packet and are read at one
   * moment. A token that takes no time would make the growth of every request
   * boundless, and nobody would get a place any more.
   */
  test('are not learnt from a request that seems to take no time', () => {
    const costs = new MeasuredCosts();
    costs.recordTokenTime(0);
    expect(costs.tokenMs).toBe(7);
    costs.recordTokenTime(2);
    expect(costs.tokenMs).toBe(2);
  });

  test('bound how far one stray measurement moves a runner', () => {
    expect(updatedSlowness(1, 100, 100_000)).toBeCloseTo(2.05, 2);
    expect(updatedSlowness(1, 100, 0)).toBeCloseTo(0.895, 3);
  });

  /* Pieces are read before each token. An event of few tokens waits for few of them, one of many for the whole prompt. */
  test('give the pause of answers beside a prompt that is read', () => {
    const costs = new MeasuredCosts();
    const pauses = [2, 7, 59].map((eventTokens) =>
      Math.round(localPrefillPauseMs(costs, 5000, eventTokens) - eventTokens * costs.tokenMs),
    );
    expect(pauses).toEqual([37, 129, 180]);
  });
});
