/** Updates of one member that wait to be sent with its next packets. */

import { GossipQueue } from './gossip';
import type { GossipUpdate, Member } from './types';

/** Member updates and gossip updates in one packet, bounded so that it fits one datagram. */
const MEMBERS_PER_PACKET = 5;
const UPDATES_PER_PACKET = 8;
/** Maximum total length of the gossip texts after the first one in a packet, for the same reason. */
const MAX_TEXT_LENGTH = 700;
/** Longest path and text of an update, in characters; a packet of several such updates fits one datagram. */
export const MAX_PATH_CHARS = 300;
export const MAX_TEXT_CHARS = 4000;
/** Each update is sent this many times the logarithm of the fleet size. */
const SENDS_PER_LOG = 3;

function textLengthOf({ text = '' }: GossipUpdate): number {
  return text.length;
}

/** Whether a packet can carry an update. One that cannot would cost all packets that it is in. */
function fits({ path, revision, text = '' }: GossipUpdate): boolean {
  const isShort = path.length <= MAX_PATH_CHARS && text.length <= MAX_TEXT_CHARS;
  return isShort && Number.isSafeInteger(revision);
}

/** Number of times that an update is sent in a fleet of some members. */
function sendCount(fleetSize: number): number {
  return Math.ceil(SENDS_PER_LOG * Math.log2(fleetSize + 1));
}

/** Queued updates about members and about other resources. */
export class Outbox {
  readonly #members = new GossipQueue<Member>();

  readonly #updates = new GossipQueue<GossipUpdate>();

  /** Whether any update about a resource was never sent. */
  get hasUnsentUpdates(): boolean {
    return this.#updates.hasUnsent;
  }

  /** Queues an update about a member. */
  addMember(member: Member, fleetSize: number): void {
    this.#members.add(member.vm, member, sendCount(fleetSize));
  }

  /** Queues an update about a resource; other members find one that fits no packet by comparing digests. */
  addUpdate(update: GossipUpdate, fleetSize: number): void {
    if (!fits(update)) return;
    this.#updates.add(update.path, update, sendCount(fleetSize));
  }

  /** Takes updates about members for one packet. */
  takeMembers(): readonly Member[] {
    return this.#members.take(MEMBERS_PER_PACKET);
  }

  /** Takes updates about resources for some packets of equal content. */
  takeUpdates(packets = 1): readonly GossipUpdate[] {
    return this.#updates.take(UPDATES_PER_PACKET, packets, MAX_TEXT_LENGTH, textLengthOf);
  }
}
