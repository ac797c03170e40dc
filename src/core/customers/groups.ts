/** Customers in groups, whose accounts have one owner each. */

import { textHash } from '../hash';

/** Groups of customers: so many that strong VMs share them, so few that all owners are worked out anew in no time. */
const GROUPS = 16;

function keyOf(group: number): string {
  return `quotas/${group}`;
}

/** The group of a customer; also what the group's owners are ranked by. */
export function groupOf(customer: string): string {
  return keyOf(textHash(customer) % GROUPS);
}

/** All groups. */
export const groups: readonly string[] = Array.from({ length: GROUPS }, (_, group) => keyOf(group));
