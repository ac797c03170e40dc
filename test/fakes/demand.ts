/** Demands of model requests for tests of the planner. */

import type { Demand } from '../../src/core/memory/types';

/** Returns the demand of a request of `vm1` that arrives at `now` with a prompt of 5000 tokens, with some fields replaced. */
export function demandOf(id: string, now: number, change: Partial<Demand> = {}): Demand {
  return {
    id,
    vm: 'vm1',
    customer: undefined,
    rank: 1,
    promptId: undefined,
    promptTokens: 5000,
    maxOutputTokens: 1200,
    hintTokens: undefined,
    dueAt: now + 900,
    gapMs: 0,
    lostAt: now + 3600,
    returned: false,
    resuming: false,
    avoid: [],
    ...change,
  };
}
