import { PreviousAttempts } from '../../src/core/memory/attempts';
import type { Demand } from '../../src/core/memory/types';

const demand = (id: string, now: number, promptId: string | undefined): Demand => ({
  id,
  vm: 'vm1',
  customer: undefined,
  rank: 1,
  promptId,
  promptTokens: 5000,
  maxOutputTokens: 1200,
  hintTokens: undefined,
  dueAt: now + 900,
  gapMs: 300,
  lostAt: now + 3600,
  returned: false,
  resuming: false,
  avoid: [],
});

const seen = ({ dueAt, returned }: Demand): readonly unknown[] => [dueAt, returned];

describe('a caller that asks again', () => {
  /*
   * A caller was refused in a burst and comes back under another request id. Its
   * time runs from its first try, and it has no further one; taken for a new
   * caller, it would go before those that can still be served in time.
   */
  test('is known by its prompt', () => {
    const tries = new PreviousAttempts();
    expect(seen(tries.record(0, demand('a/1', 0, 'p')))).toEqual([900, false]);
    expect(seen(tries.record(2000, demand('b/1', 2000, 'p')))).toEqual([900, true]);
    expect(seen(tries.record(2000, demand('c/1', 2000, 'q')))).toEqual([2900, false]);
    expect(seen(tries.record(3000, demand('d/1', 3000, undefined)))).toEqual([3900, false]);
    expect(seen(tries.record(3000, demand('e/1', 3000, undefined)))).toEqual([3900, false]);
  });

  test('is new once it has its answer, or after long', () => {
    const tries = new PreviousAttempts();
    tries.forget(tries.record(0, demand('a/1', 0, 'p')));
    expect(seen(tries.record(5000, demand('b/1', 5000, 'p')))).toEqual([5900, false]);
    expect(seen(tries.record(30_000, demand('c/1', 30_000, 'p')))).toEqual([30_900, false]);
  });
});
