import { RetryWindow } from '../../src/core/retries';

const bounds = { ratio: 0.2, extra: 56, windowMs: 10_000 };

/** Repeats that VMs allow in any ten seconds while each of their requests fails once. */
function mostRepeats(vms: number, perSecond: number, attempts: number): number {
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
   * A service fails every request, and callers repeat at once and often, each
   * repeat a new request. Ours must stay within the fleet's bound whatever they
   * do, or the service would get its load several times when it bears least.
   */
  test('bounds the repeats of the fleet while everything fails', () => {
    for (const perSecond of [5, 50, 150]) {
      const bound = bounds.ratio * perSecond * 10 + bounds.extra;
      expect(mostRepeats(8, perSecond, 3)).toBeLessThanOrEqual(bound);
    }
  });

  test('allows a repeat in a calm service at once', () => {
    const window = new RetryWindow(bounds);
    window.recordFirst(0);
    expect(window.trySpend(10, 8)).toBe(true);
  });

  test('gives a VM that is alone the whole of the extra', () => {
    const spend = (vms: number): number => {
      const window = new RetryWindow(bounds);
      return Array.from({ length: 100 }, (_, i) => window.trySpend(i, vms)).filter(Boolean).length;
    };
    expect(spend(1)).toBe(39);
    expect(spend(8)).toBe(4);
  });
});
