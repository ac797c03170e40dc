/**
 * Selects the VMs that read the platform's store on behalf of all others.
 *
 * Every call to the store is counted, and a pending watch counts as one call. If every
 * VM watched it, the calls would grow with VMs times runners: 195 VMs made 156 calls a
 * second while nothing changed, and ten readers make some 14. So a few VMs in each
 * failure domain read the store, and the others receive the state by gossip. A VM that
 * receives nothing from others reads the store itself.
 */

import { rankByCores } from '../ownership';
import type { Member, Members } from './types';
import { isPresent } from './types';

/** Readers in each failure domain. More than one, since a frozen reader still counts as alive for 1.5 s. */
const READERS = 2;
/** Time after its start in which a VM without known members waits for a seed to answer, in milliseconds. It covers a round trip, a busy startup and a short pause. */
const JOIN_MS = 600;

/**
 * Time without a packet from any other VM after which a VM reads the store itself, in
 * milliseconds. A connected VM receives some six packets a second. Probes alone, one
 * every 0.3 s, would take up to a minute to declare the readers dead for a VM that is
 * cut off from 195 others; it would use an old configuration although it reaches the
 * store.
 */
const ISOLATED_MS = 1000;

/** The readers of one failure domain. */
export interface ReaderPlan {
  /** Regular readers. */
  readonly primaries: readonly Member[];
  /** Standby readers, which also read while the store does not answer all primary readers. */
  readonly standbys: readonly Member[];
}

/** The readers of a failure domain; the result is the same on all VMs that know the same members. */
export function readersOf(domain: string, members: readonly Member[]): ReaderPlan {
  const present = members.filter((member) => member.domain === domain && isPresent(member));
  const candidates = rankByCores('store', present);
  const chosen = candidates.slice(0, READERS);
  const reachable = candidates.filter(({ storeLost }) => !storeLost).slice(0, READERS);
  return { primaries: chosen, standbys: reachable.filter((member) => !chosen.includes(member)) };
}

/** Whether a VM has received no packet from others for `ISOLATED_MS`, counted from its start at the earliest. */
export function isIsolated(now: number, startedAt: number, { lastPacketAt }: Members): boolean {
  return now - Math.max(startedAt, lastPacketAt ?? startedAt) > ISOLATED_MS;
}

/** Whether a VM has to read the store: as a reader of its failure domain, or because it knows no other VM. */
export function shouldRead(
  now: number,
  startedAt: number,
  self: Member,
  members: readonly Member[],
): boolean {
  const isAlone = !members.some((member) => member.vm !== self.vm && isPresent(member));
  if (isAlone && now - startedAt < JOIN_MS) return false;
  const { primaries, standbys } = readersOf(self.domain, members);
  return [...primaries, ...standbys].some(({ vm }) => vm === self.vm);
}

/**
 * Addresses that a new VM asks for the full state: those in its failure domain if there
 * are any. All VMs return the same state, and 195 VMs that start together send some
 * 1,500 of these requests; between failure domains traffic is limited and billed.
 */
export function joinTargets(domain: string, present: readonly Member[]): readonly string[] {
  const near = present.filter((member) => member.domain === domain);
  return (near.length > 0 ? near : present).map(({ address }) => address);
}
