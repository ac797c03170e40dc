/** Runner records for tests. */

import type { Runner } from '../../src/core/routing/types';

/** Returns a runner of service `s` in failure domain `a` that is not leaving, with some fields replaced. */
export function runnerOf(id: string, role: Runner['role'], change: Partial<Runner> = {}): Runner {
  return {
    id,
    listing: id,
    bornAt: 0,
    role,
    version: 'v1',
    service: 's',
    address: `${id}:80`,
    domain: 'a',
    slots: 64,
    leaving: false,
    ...change,
  };
}
