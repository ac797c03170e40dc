import { RunnerRates } from '../../src/core/ratelimits/rates';
import type { RateNotice, RunnerRate } from '../../src/core/ratelimits/types';
import { runnerOf } from '../fakes/runner';

const runner = runnerOf('a', 'plain');
const none: RateNotice = { kind: 'none' };
const limited = (ratePerS: number): RateNotice => ({ kind: 'limited', ratePerS });

/** Records an answer to a request that was sent at a time. */
function see(rates: RunnerRates, now: number, sentAt: number, notice: RateNotice): unknown {
  return rates.observe(now, runner, { sentAt, notice, provesEnd: notice.kind === 'none' });
}

describe('the rate limit of a runner', () => {
  test('is in force from the first answer that reports it to the first one that does not', () => {
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

  /* An answer that was made before the limit came into force arrives after one that reports the limit. */
  test('does not end with an answer to a request that is older than the last report', () => {
    const rates = new RunnerRates();
    see(rates, 100, 50, limited(2));
    see(rates, 500, 300, limited(2));
    see(rates, 510, 400, none);
    expect(rates.ratePerS('a')).toBe(2);
  });

  /* Unreadable values, and failures, which may lack the limit, do not change it. */
  test('stays in force if an answer does not prove its end', () => {
    const rates = new RunnerRates();
    see(rates, 100, 50, limited(2));
    see(rates, 300, 200, { kind: 'unreadable', text: '-1' });
    rates.observe(400, runner, { sentAt: 350, notice: none, provesEnd: false });
    expect(rates.ratePerS('a')).toBe(2);
  });

  test('is spread again only if it has changed by more than a minimum', () => {
    const rates = new RunnerRates();
    see(rates, 0, 0, limited(10));
    expect(see(rates, 1000, 900, limited(10.5))).toBeUndefined();
    expect(see(rates, 1100, 1000, limited(5))).toMatchObject({ version: 2, ratePerS: 5 });
    expect(see(rates, 1200, 1100, limited(1))).toBeUndefined();
    expect(see(rates, 1700, 1600, limited(0))).toMatchObject({ version: 3, ratePerS: 0 });
  });

  /* Updates arrive several times and over several paths. Outdated ones change nothing. */
  test('is that of the latest change, in whatever order updates arrive', () => {
    const rates = new RunnerRates();
    const update = (version: number, ratePerS?: number): RunnerRate => ({
      runner: 'a',
      service: 's',
      version,
      ratePerS,
    });
    expect(rates.apply(0, update(2))).toBe(true);
    expect(rates.apply(10, update(1, 3))).toBe(false);
    expect(rates.apply(20, update(2, 4))).toBe(true);
    expect(rates.apply(30, update(2, 5))).toBe(false);
    expect(rates.apply(40, update(2, 4))).toBe(false);
    expect(rates.ratePerS('a')).toBe(4);
    expect(see(rates, 60, 50, none)).toMatchObject({ version: 3 });
  });

  test('is kept for a minute after it has ended, and while its runner is listed', () => {
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

  test('is kept for a bounded number of runners', () => {
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
