/** What a cell takes from the settings of its pool. */

import type { Consortium, Pool } from '../settings/schema';
import type { CellPolicy, Runner } from './types';

/** Runners of a pool; a runner without a link of its own name leaves by itself. */
export function runnersOf(pool: Pool): readonly Runner[] {
  return pool.runners.map(({ id, role, domain, slots, memoryTokens, link }) => ({
    id,
    role,
    domain,
    slots,
    memoryTokens,
    link: link ?? id,
  }));
}

/** Policy of a pool, with the weights of all teams. */
export function policyOf(pool: Pool, consortium: Consortium): CellPolicy {
  const shares = Object.fromEntries(
    Object.entries(consortium.teams).map(([team, { weight }]) => [team, weight]),
  );
  return { ...pool.policy, shares };
}
