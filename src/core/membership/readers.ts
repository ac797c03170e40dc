/**
 * Which VMs read the platform's store for all others.
 *
 * The store counts each call, a waiting watch as one. Where every VM watched it,
 * the calls grew with VMs times runners: 195 VMs made 156 a second on a calm day,
 * and ten readers make some 14. A few in each failure domain read, and all others
 * hear of it from VM to VM. A VM that hears no other one reads for itself.
 */

import { rankByCores } from '../ownership';
import type { Member, Members } from './types';
import { isPresent } from './types';

/** Readers in each failure domain: one that freezes counts as alive for a second and a half. */
const READERS = 2;
/** Time after its start in which a VM that knows no other waits for an answer of a seed, in milliseconds: a round trip and a busy start, and little of a pause. */
const JOIN_MS = 600;

/**
 * Silence of all others after which a VM reads for itself, in milliseconds. It is
 * probed and answered some six times a second. By probes alone, one in 0.3 s, a VM
 * that is cut off from 195 others would take up to a minute to find the readers dead,
 * and go on with an old configuration although it reaches the store.
 */
const ISOLATED_MS = 1000;

/** Who reads in one failure domain. */
export interface ReaderPlan {
  /** Readers as long as the store answers them. */
  readonly primaries: readonly Member[];
  /** Read as well while the store does not answer all of the chosen. */
  readonly standbys: readonly Member[];
}

/** The readers of a failure domain, decided alike by all who know the same members. */
export function readersOf(domain: string, members: readonly Member[]): ReaderPlan {
  const present = members.filter((member) => member.domain === domain && isPresent(member));
  const ranked = rankByCores('store', present);
  const chosen = ranked.slice(0, READERS);
  const answered = ranked.filter(({ storeLost }) => !storeLost).slice(0, READERS);
  return { primaries: chosen, standbys: answered.filter((member) => !chosen.includes(member)) };
}

/** Whether a VM hears nothing of others, as far back as its start. */
export function isIsolated(
  now: number,
  startedAt: number,
  { lastPacketAt: heardAt }: Members,
): boolean {
  return now - Math.max(startedAt, heardAt ?? startedAt) > ISOLATED_MS;
}

/** Whether a VM is to read the store for others, or because it knows none. */
export function shouldRead(
  now: number,
  startedAt: number,
  self: Member,
  members: readonly Member[],
): boolean {
  const isAlone = !members.some((member) => member.vm !== self.vm && isPresent(member));
  if (isAlone && now - startedAt < JOIN_MS) return false;
  const { primaries: chosen, standbys: deputies } = readersOf(self.domain, members);
  return [...chosen, ...deputies].some(({ vm }) => vm === self.vm);
}

/**
 * Addresses of whom a new VM asks for all that is known: those of its failure
 * domain, if there are any. All tell the same, and 195 VMs that start ask some
 * 1,500 times; between failure domains that costs rate and money.
 */
export function joinTargets(domain: string, present: readonly Member[]): readonly string[] {
  const near = present.filter((member) => member.domain === domain);
  return (near.length > 0 ? near : present).map(({ address }) => address);
}
