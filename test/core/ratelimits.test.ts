import { RunnerRates } from '../../src/core/ratelimits/rates';
import type { RateNotice, RunnerRate } from '../../src/core/ratelimits/types';
import { runnerOf } from '../fakes/runner';

const runner = runnerOf('a', 'plain');
const none: RateNotice = { kind: 'none' };
const limited = (ratePerS: number): RateNotice => ({ kind: 'limited', ratePerS });

/** The word of an answer to a request that was sent at a time. */
function see(rates: RunnerRates, now: number, sentAt: number, notice: RateNotice): unknown {
  return rates.observe(now, runner, { sentAt, notice, provesEnd: notice.kind === 'none' });
}

describe('the rate limit of a runner', () => {
  test('holds from the first answer that names it to the first that does not', () => {
    const rates = new RunnerRates();
    expect(see(rates, 0, -50, none)).toBeUndefined();
    expect(see(rates, 100, 50, limited(1.4))).toEqual({
      runner: 'a',
      service: 's',
      version: 1,
      ratePerS: 1.4,
    });
    expect(see(rates, 200, 150, limited(1.4))).toBeUndefined();
    expect(rates.ratePerS('a')).toBe(1.4);
    expect(see(rates, 400, 300, none)).toEqual({ runner: 'a', service: 's', version: 2 });
    expect([rates.ratePerS('a'), rates.limited]).toEqual([undefined, []]);
  });

  /* An answer that was made before the limit was named arrives after one that names it. */
  test('does not end with an answer to a request that is older than its last naming', () => {
    const rates = new RunnerRates();
    see(rates, 100, 50, limited(2));
    see(rates, 500, 300, limited(2));
    see(rates, 510, 400, none);
    expect(rates.ratePerS('a')).toBe(2);
  });

  /* Values that are no rate, and failures, which may not name the limit, say nothing. */
  test('stands where an answer says nothing of it', () => {
    const rates = new RunnerRates();
    see(rates, 100, 50, limited(2));
    see(rates, 300, 200, { kind: 'unreadable', text: '-1' });
    rates.observe(400, runner, { sentAt: 350, notice: none, provesEnd: false });
    expect(rates.ratePerS('a')).toBe(2);
  });

  test('is news again only when it has changed by some part', () => {
    const rates = new RunnerRates();
    see(rates, 0, 0, limited(10));
    expect(see(rates, 1000, 900, limited(10.5))).toBeUndefined();
    expect(see(rates, 1100, 1000, limited(5))).toMatchObject({ version: 2, ratePerS: 5 });
    expect(see(rates, 1200, 1100, limited(1))).toBeUndefined();
    expect(see(rates, 1700, 1600, limited(0))).toMatchObject({ version: 3, ratePerS: 0 });
  });

  /* News is told several times and by several ways. What was overtaken changes nothing. */
  test('is that of the latest change, whatever order news comes in', () => {
    const rates = new RunnerRates();
    const told = (version: number, ratePerS?: number): RunnerRate => ({
      runner: 'a',
      service: 's',
      version,
      ratePerS,
    });
    expect(rates.apply(0, told(2))).toBe(true);
    expect(rates.apply(10, told(1, 3))).toBe(false);
    expect(rates.apply(20, told(2, 4))).toBe(true);
    expect(rates.apply(30, told(2, 5))).toBe(false);
    expect(rates.apply(40, told(2, 4))).toBe(false);
    expect(rates.ratePerS('a')).toBe(4);
    expect(see(rates, 60, 50, none)).toMatchObject({ version: 3 });
  });

  test('is remembered for a while once it has ended, and while its runner is listed', () => {
    const rates = new RunnerRates();
    see(rates, 0, 0, limited(2));
    rates.prune(300_000, new Set(['a']));
    expect(rates.ratePerS('a')).toBe(2);
    see(rates, 301_000, 300_500, none);
    rates.prune(350_000, new Set(['a']));
    expect(rates.all).toHaveLength(1);
    rates.prune(362_000, new Set(['a']));
    expect(rates.all).toEqual([]);
  });

  test('takes no room for more runners than any fleet has', () => {
    const rates = new RunnerRates();
    for (let i = 0; i < 12_000; i += 1) {
      rates.observe(i, runnerOf(`r${i}`, 'plain'), {
        sentAt: i,
        notice: limited(1),
        provesEnd: false,
      });
    }
    expect(rates.all).toHaveLength(10_000);
  });
});
