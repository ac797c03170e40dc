/** Groups of customers; the quota accounts of a group have one owner. */

import { textHash } from '../hash';

/** Number of groups: enough to spread them over the strong VMs, few enough that recomputing all owners is cheap. */
const GROUPS = 16;

function keyOf(group: number): string {
  return `quotas/${group}`;
}

/** The group of a customer; also the key by which the group's owners are ranked. */
export function groupOf(customer: string): string {
  return keyOf(textHash(customer) % GROUPS);
}

/** All groups. */
export const groups: readonly string[] = Array.from({ length: GROUPS }, (_, group) => keyOf(group));
