/** Converts the settings of a pool to the runners and the policy of a cell. */

import type { Consortium, Pool } from '../settings/schema';
import type { CellPolicy, Runner } from './types';

/** Runners of a pool. A runner without a configured link has a link of its own, named after it. */
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

/** Policy of a pool, including the weights of all teams. */
export function policyOf(pool: Pool, consortium: Consortium): CellPolicy {
  const shares = Object.fromEntries(
    Object.entries(consortium.teams).map(([team, { weight }]) => [team, weight]),
  );
  return { ...pool.policy, shares };
}
