import { LogRateLimiter } from '../../src/node/loglimiter';

describe('the log line budget', () => {
  /* When a fleet of 195 VMs starts, each VM receives the state of all others within a second. The log contains a few of these lines and the number of dropped ones. */
  test('allows a limited number of lines per second and reports how many were dropped', () => {
    const rest: number[] = [];
    const budget = new LogRateLimiter(3, (lines) => rest.push(lines));
    const through = Array.from({ length: 195 }, (_, i) => budget.tryAcquire(i * 5)).filter(Boolean);
    expect(through.length).toBe(3);
    expect(budget.tryAcquire(2000)).toBe(true);
    expect(budget.tryAcquire(5000)).toBe(true);
    expect(rest).toEqual([192]);
  });
});
