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

describe('a repeated attempt', () => {
  /*
   * A caller was refused in a burst and retries with another request id. Its deadline counts from
   * its first attempt, and it has no further one; taken for a new caller, it would go before
   * requests that can still be served in time.
   */
  test('is detected by its prompt', () => {
    const attempts = new PreviousAttempts();
    expect(seen(attempts.record(0, demand('a/1', 0, 'p')))).toEqual([900, false]);
    expect(seen(attempts.record(2000, demand('b/1', 2000, 'p')))).toEqual([900, true]);
    expect(seen(attempts.record(2000, demand('c/1', 2000, 'q')))).toEqual([2900, false]);
    expect(seen(attempts.record(3000, demand('d/1', 3000, undefined)))).toEqual([3900, false]);
    expect(seen(attempts.record(3000, demand('e/1', 3000, undefined)))).toEqual([3900, false]);
  });

  test('counts as a new request after an answer or after a long time', () => {
    const attempts = new PreviousAttempts();
    attempts.forget(attempts.record(0, demand('a/1', 0, 'p')));
    expect(seen(attempts.record(5000, demand('b/1', 5000, 'p')))).toEqual([5900, false]);
    expect(seen(attempts.record(30_000, demand('c/1', 30_000, 'p')))).toEqual([30_900, false]);
  });
});
