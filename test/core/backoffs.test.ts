import fc from 'fast-check';

import { VmBackoffs } from '../../src/core/memory/backoffs';
import { RunnerBackoffs } from '../../src/core/routing/backoffs';

/** Largest addition to a pause of 3 s. */
const MAX_SPREAD_MS = 600;

describe('the pauses that runners asked a VM for', () => {
  test('last as long as asked, and a little longer by chance', () => {
    const backoffs = new RunnerBackoffs();
    expect(backoffs.record(1000, 'a', 3000, 0)).toBe(3000);
    expect(backoffs.record(1000, 'b', 3000, 0.999)).toBeCloseTo(3000 + MAX_SPREAD_MS, -1);
    expect(backoffs.remainingMs(3999, 'a')).toBe(1);
    expect(backoffs.remainingMs(4000, 'a')).toBe(0);
    expect(backoffs.remainingMs(4000, 'c')).toBe(0);
  });

  test('do not end before the last of them, whatever their order', () => {
    const rejection = fc.record({ at: fc.nat(10_000), ms: fc.nat(10_000) });
    fc.assert(
      fc.property(fc.array(rejection, { minLength: 1 }), fc.nat(25_000), (rejections, now) => {
        const backoffs = new RunnerBackoffs();
        const ends = rejections.map(({ at, ms }) => at + ms);
        for (const { at, ms } of rejections) backoffs.record(at, 'a', ms, 0);
        const remainingMs = Math.max(0, Math.max(...ends) - now);
        expect(backoffs.remainingMs(now, 'a')).toBe(remainingMs);
      }),
    );
  });

  /* The answer to a request that was under way before the pause arrives during it. */
  test('are not ended by answers to requests from before', () => {
    const backoffs = new RunnerBackoffs();
    backoffs.record(1000, 'a', 3000, 0);
    backoffs.accepted(900, 'a');
    expect(backoffs.remainingMs(2000, 'a')).toBe(2000);
  });

  /* All requests that were held back would fill the runner again. */
  test('are followed by one request, and by others once it is accepted or unanswered for a second', () => {
    const backoffs = new RunnerBackoffs();
    backoffs.record(0, 'a', 3000, 0);
    expect(backoffs.isProbing(3000, 'a')).toBe(false);
    backoffs.sent(3000, 'a');
    expect(backoffs.isProbing(3001, 'a')).toBe(true);
    expect(backoffs.isProbing(4000, 'a')).toBe(false);
    backoffs.sent(4000, 'a');
    backoffs.accepted(4000, 'a');
    expect(backoffs.isProbing(4001, 'a')).toBe(false);
  });

  test('are reported with the time that is left', () => {
    const backoffs = new RunnerBackoffs();
    backoffs.record(0, 'a', 1000, 0);
    backoffs.record(0, 'b', 3000, 0);
    expect(backoffs.pending(2000)).toEqual([{ runner: 'b', ms: 1000 }]);
  });

  test('are kept for a bounded number of runners', () => {
    const backoffs = new RunnerBackoffs();
    for (let i = 0; i < 10_001; i += 1) backoffs.record(0, `r${i}`, 3000, 0);
    expect(backoffs.pending(0)).toHaveLength(10_000);
    expect(backoffs.remainingMs(0, 'r10000')).toBe(3000);
  });
});

describe('the pauses that a planner knows', () => {
  test('hold between one runner and one VM', () => {
    const backoffs = new VmBackoffs();
    backoffs.record('vm1', 'a', 3000);
    backoffs.record('vm1', 'a', 2000);
    expect(backoffs.remainingMs(1000, 'a', 'vm1')).toBe(2000);
    expect(backoffs.isOpen(1000, 'a', 'vm2')).toBe(true);
    expect(backoffs.isOpenToAll(1000, 'a')).toBe(false);
    expect(backoffs.accessOf(1000, ['a', 'b'], 'vm1')).toEqual({ openShare: 0.5, openInMs: 0 });
    expect(backoffs.accessOf(1000, ['a'], 'vm1')).toEqual({ openShare: 0, openInMs: 2000 });
    expect(backoffs.accessOf(1000, ['a'], 'vm2')).toEqual({ openShare: 1, openInMs: 0 });
  });

  test('are dropped when their runner is gone, or has accepted a request after them', () => {
    const backoffs = new VmBackoffs();
    backoffs.record('vm1', 'a', 3000);
    backoffs.record('vm1', 'b', 1000);
    backoffs.accepted(999, 'b');
    expect([backoffs.isUnconfirmed(999, 'b'), backoffs.isUnconfirmed(1000, 'b')]).toEqual([
      false,
      true,
    ]);
    backoffs.accepted(1000, 'b');
    expect(backoffs.isUnconfirmed(1000, 'b')).toBe(false);
    backoffs.retain((id) => id !== 'a');
    expect(backoffs.isEmpty).toBe(true);
  });
});
