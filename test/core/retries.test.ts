import { RetryWindow } from '../../src/core/retries/window';

const bounds = { ratio: 0.2, extra: 56, windowMs: 10_000 };

/** Maximum number of retries that VMs allow in any ten seconds while each of their requests fails once. */
function maxRetries(vms: number, perSecond: number, attempts: number): number {
  const windows = Array.from({ length: vms }, () => new RetryWindow(bounds));
  const spent: number[] = [];
  let most = 0;
  for (let now = 0; now < 30_000; now += 1000 / perSecond) {
    const window = windows[Math.floor(now) % vms] as RetryWindow;
    window.recordFirst(now);
    for (let i = 0; i < attempts; i += 1) if (window.trySpend(now, vms)) spent.push(now);
    most = Math.max(most, spent.filter((at) => at > now - bounds.windowMs).length);
  }
  return most;
}

describe('the retry budget', () => {
  /*
   * A service fails every request, and callers retry at once and often, each retry a new
   * request. The retries of the router must stay within the limit of the fleet, or the
   * service would receive a multiple of its load when it has the least capacity.
   */
  test('bounds the retries of the fleet while everything fails', () => {
    for (const perSecond of [5, 50, 150]) {
      const bound = bounds.ratio * perSecond * 10 + bounds.extra;
      expect(maxRetries(8, perSecond, 3)).toBeLessThanOrEqual(bound);
    }
  });

  test('allows a retry at once in a healthy service', () => {
    const window = new RetryWindow(bounds);
    window.recordFirst(0);
    expect(window.trySpend(10, 8)).toBe(true);
  });

  test('gives a single VM all of the additional retries', () => {
    const spend = (vms: number): number => {
      const window = new RetryWindow(bounds);
      return Array.from({ length: 100 }, (_, i) => window.trySpend(i, vms)).filter(Boolean).length;
    };
    expect(spend(1)).toBe(39);
    expect(spend(8)).toBe(4);
  });
});
