import { LogRateLimiter } from '../../src/node/loglimiter';

describe('a budget of lines', () => {
  /* A fleet of 195 starts, and each VM hears of all others within a second. The log gets a few lines and their number. */
  test('lets some through in each second and says how many were left out', () => {
    const rest: number[] = [];
    const budget = new LogRateLimiter(3, (lines) => rest.push(lines));
    const through = Array.from({ length: 195 }, (_, i) => budget.tryAcquire(i * 5)).filter(Boolean);
    expect(through.length).toBe(3);
    expect(budget.tryAcquire(2000)).toBe(true);
    expect(budget.tryAcquire(5000)).toBe(true);
    expect(rest).toEqual([192]);
  });
});
