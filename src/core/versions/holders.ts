/** Which VMs keep the origin of a stream for the others. */

import type { Member } from '../membership/types';
import { canOwn } from '../membership/types';
import { rank } from '../rendezvous';

/** Number of VMs that keep an origin, beside the one whose stream it is. */
export const HOLDERS = 3;
/** Number of groups of keys; holders are computed for each group instead of each key. */
export const GROUPS = 256;

/** The group of a key. */
export function groupOf(key: string): number {
  const first = Buffer.from(key, 'base64url')[0] ?? 0;
  return first % GROUPS;
}

/**
 * The VMs that may keep the origins of a group, by rank, without the VM itself: the first of each
 * failure domain before all others. The first `HOLDERS` keep them; those that follow may have been
 * among them before the members changed. The order is the same on all VMs that know the same
 * members.
 */
export function holdersOf(
  group: number,
  members: readonly Member[],
  self: string,
): readonly Member[] {
  const candidates = members
    .filter((member) => member.vm !== self && canOwn(member))
    .map((member) => ({ id: member.vm, weight: 1, member }));
  const ranked = rank(`origins/${group}`, candidates).map(({ member }) => member);
  const chosen: Member[] = [];
  const rest: Member[] = [];
  for (const member of ranked) {
    const isNewDomain = chosen.every(({ domain }) => domain !== member.domain);
    (isNewDomain ? chosen : rest).push(member);
  }
  return [...chosen, ...rest];
}
