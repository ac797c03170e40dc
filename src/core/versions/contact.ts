/** Decides whether some VMs would know of a software version that the rest of the fleet uses. */

import type { Member } from '../membership/types';
import { isPresent } from '../membership/types';
import { HOLDERS } from './holders';

/** The answers of other VMs to one question. */
export interface FleetAnswers {
  /** Number of VMs that were asked, and of those that have answered. */
  readonly asked: number;
  readonly answered: number;
  /** Number of VMs that can be asked. */
  readonly candidates: number;
}

/** Numbers of VMs, the asking one included. */
export interface FleetPresence {
  /** Those that are known and have not left. */
  readonly known: number;
  readonly present: number;
}

/** What a VM knows of its contact with the rest of the fleet. */
export interface FleetContact extends FleetAnswers, FleetPresence {
  /** Whether it has read the store lately, and since most of the VMs were present. */
  readonly isCurrent: boolean;
}

/** Counts the members of a fleet. */
export function presenceOf(members: readonly Member[]): FleetPresence {
  const known = members.filter(({ state }) => state !== 'left');
  return { known: known.length, present: known.filter(isPresent).length };
}

/**
 * Whether the asking VM and those that answered would know of another version. A part of the fleet
 * that is cut off does not learn what the rest uses, and takes seconds to notice that it is cut off:
 * those that count as present have to answer. So most of the VMs that were asked have to, and most
 * of the fleet, of which in a large one a few stand for the rest. Where most of the fleet is known
 * to be gone, the store has to be read.
 */
export function isInContact(contact: FleetContact): boolean {
  const { asked, answered, candidates, known, present, isCurrent } = contact;
  if (candidates === 0) return isCurrent || known <= 1;
  const hasMostAnswers = (answered + 1) * 2 > asked + 1;
  const isMajority = present * 2 > known;
  const required = isMajority ? Math.min(Math.floor(known / 2), HOLDERS) : 1;
  return hasMostAnswers && answered >= required && (isMajority || isCurrent);
}
