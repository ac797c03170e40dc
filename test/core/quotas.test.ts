import type { QuotaBounds } from '../../src/core/quotas/account';
import { QuotaAccount } from '../../src/core/quotas/account';
import { QuotaShare, renewIntervalMs } from '../../src/core/quotas/share';
import { QuotaTallies } from '../../src/core/quotas/tally';

const bounds: QuotaBounds = { windowMs: 4000, overage: 0.5, slack: 5, wholeRuns: true };
const rate = { ratePerS: 1.4, burst: 0 };

/** Number of runs that one owner grants within `ms` milliseconds when asked every 10 ms. */
function grantedIn(ms: number, part: number, account = new QuotaAccount(0, bounds)): number {
  let count = 0;
  for (let now = 0; now < ms; now += 10) {
    if (account.take(now, rate, part, { size: 1 }).granted) count += 1;
  }
  return count;
}

describe('an account of a rate of single runs', () => {
  test('grants runs one at a time, at the rate', () => {
    expect(grantedIn(20_000, 1)).toBe(28);
  });

  test('lets a run wait for its start, and later ones longer', () => {
    const account = new QuotaAccount(0, bounds);
    const waits = Array.from({ length: 3 }, () =>
      account.take(1000, rate, 1, { size: 1, maxWaitMs: 1000 }),
    );
    expect(
      waits.map((verdict) => (verdict.granted ? Math.round(verdict.waitMs) : 'refused')),
    ).toEqual([0, 714, 'refused']);
    expect(Math.round(account.waitMs(1000, rate, 1, 1))).toBe(1429);
  });

  /* None of 195 VMs reaches another. If each granted one run at once on its own small part, the total would far exceed the quota. */
  test('grants nothing on a part that is too small for one run', () => {
    expect(grantedIn(60_000, 1 / 195)).toBe(0);
    expect(grantedIn(60_000, 1 / 4)).toBe(0);
    expect(grantedIn(60_000, 1 / 3)).toBeGreaterThan(0);
    const unrestricted = new QuotaAccount(0, { ...bounds, wholeRuns: false });
    expect(grantedIn(60_000, 1 / 195, unrestricted)).toBeGreaterThan(0);
  });

  /* Guards against a new owner that grants for missing VMs while they count at the previous one. */
  test('grants no more than its part in its first window', () => {
    const fast = { ratePerS: 30, burst: 0 };
    const account = new QuotaAccount(0, bounds);
    const grantedUntil = (from: number): number => {
      let count = 0;
      for (let now = from; now < from + 4000; now += 10) {
        if (account.take(now, fast, 0.5, { size: 1 }).granted) count += 1;
      }
      return count;
    };
    expect([grantedUntil(0), grantedUntil(4000)]).toEqual([59, 77]);
  });

  test('grants nothing at a rate of zero', () => {
    const account = new QuotaAccount(0, bounds);
    expect(account.waitMs(1e6, { ratePerS: 0, burst: 1 }, 0, 1)).toBe(Infinity);
  });
});

describe('the part of an owner', () => {
  /* The path from a VM to its owner is cut, so the VM cannot announce that it uses another one. */
  test('expires for VMs that no longer renew it', () => {
    const share = new QuotaShare(8000);
    const members = { known: 2, present: new Set(['a', 'b']) };
    share.join(0, 'a');
    share.join(0, 'b');
    share.join(3000, 'b');
    expect([share.part(3900, members), share.part(4500, members)]).toEqual([1, 0.5]);
    expect(share.part(8000, members)).toBe(0);
  });

  /* Guards against parts that two owners grant for a whole window of a short-term limit. */
  test.each([
    [4000, 2000],
    [8000, 4000],
    [20_000, 4000],
  ])('expires within half a window of %d ms', (windowMs, leaseMs) => {
    const share = new QuotaShare(windowMs);
    const members = { known: 2, present: new Set(['a', 'b']) };
    share.join(0, 'a');
    share.join(1, 'b');
    expect([share.part(leaseMs, members), share.part(leaseMs + 101, members)]).toEqual([1, 0]);
    expect(renewIntervalMs(members, windowMs)).toBeLessThan(leaseMs / 2);
  });

  test('is that of the VMs that use the owner, until they use another one', () => {
    const share = new QuotaShare(8000);
    const members = { known: 4, present: new Set(['a', 'b', 'c']) };
    for (const vm of ['a', 'b', 'gone']) share.join(0, vm);
    expect(share.part(0, members)).toBe(0.5);
    share.leave('b');
    expect(share.part(0, members)).toBe(0.25);
    expect(share.part(0, { ...members, known: 2 })).toBe(0.5);
  });
});

describe('the tally of an owner', () => {
  /* Without the sums of a window, a log of single refusals does not show whether the quota was used. */
  test('reports windows with refusals, once, and no others', () => {
    const tallies = new QuotaTallies(8000);
    tallies.record(0, 'ada', 10, true, 100);
    tallies.record(10, 'ada', 5, false, 90);
    tallies.record(20, 'eve', 5, true, 100);
    expect(tallies.close(7999)).toEqual([]);
    expect(tallies.close(8020)).toEqual([
      { subject: 'ada', ms: 8020, asked: 15, granted: 10, refused: 5, refusals: 1, limit: 90 },
    ]);
    expect(tallies.close(99_000)).toEqual([]);
  });
});

describe('the ranks of a quota', () => {
  const tokens = { ratePerS: 100_000, burst: 100_000 };
  const ranks = [0, 1, 2];

  /** Granted amounts by rank per second of a flood of some seconds, as parts of the rate. */
  function flood(rates: readonly number[], size = 5000): readonly number[] {
    const account = new QuotaAccount(0, { windowMs: 8000, overage: 0, slack: 0, wholeRuns: false });
    const granted = ranks.map(() => 0);
    const seconds = 20;
    const due = ranks.map(() => 0);
    for (let now = 0; now < seconds * 1000; now += 10) {
      // The least urgent requests come first at each moment.
      for (const rank of [...ranks].reverse()) {
        due[rank] = (due[rank] ?? 0) + (rates[rank] ?? 0) / 100;
        while ((due[rank] ?? 0) >= 1) {
          due[rank] = (due[rank] ?? 0) - 1;
          const verdict = account.take(now, tokens, 1, { size, rank });
          if (verdict.granted) granted[rank] = (granted[rank] ?? 0) + size;
        }
      }
    }
    return granted.map((amount) => amount / (tokens.ratePerS * seconds));
  }

  // Guards against a flood of less urgent requests that takes the quota of urgent ones.
  test('grant urgent requests first, and at least a tenth to the others', () => {
    const [first = 0, second = 0, third = 0] = flood([10, 20, 60]);
    expect(first).toBeGreaterThan(0.49);
    expect(second + third).toBeGreaterThan(0.45);
    const [most = 0, ...others] = flood([60, 20, 20]);
    expect(most).toBeGreaterThan(0.85);
    expect(others.reduce((sum, part) => sum + part, 0)).toBeGreaterThan(0.09);
  });

  // Guards against a precedence that leaves a part of the quota unused.
  test('leave nothing unused if only one of them asks, or none is urgent', () => {
    const sums = [
      [0, 0, 60],
      [60, 0, 0],
      [0, 40, 40],
      [2, 10, 60],
    ].map((rates) => flood(rates).reduce((sum, part) => sum + part, 0));
    expect(sums.filter((sum) => sum < 0.95)).toEqual([]);
  });

  // Guards against refusals of requests that cost next to nothing, for the sake of large ones.
  test('grant small requests whatever their rank', () => {
    const account = new QuotaAccount(0, { windowMs: 8000, overage: 0, slack: 0, wholeRuns: false });
    let refused = 0;
    for (let now = 0; now < 10_000; now += 10) {
      account.take(now, tokens, 1, { size: 5000, rank: 1 });
      if (now >= 1000 && !account.take(now, tokens, 1, { size: 200, rank: 2 }).granted) {
        refused += 1;
      }
    }
    expect(refused).toBeLessThan(90);
  });
});
