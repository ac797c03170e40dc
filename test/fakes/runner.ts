/** Runners as tests need them. */

import type { Runner } from '../../src/core/routing/types';

/** A runner of service `s` in failure domain `a` that stays. */
export function runnerOf(id: string, role: Runner['role'], change: Partial<Runner> = {}): Runner {
  return {
    id,
    listing: id,
    bornAt: 0,
    role,
    service: 's',
    address: `${id}:80`,
    domain: 'a',
    slots: 64,
    leaving: false,
    ...change,
  };
}
