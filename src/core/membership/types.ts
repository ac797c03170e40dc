/** Types of the membership protocol: which schedulers exist, as seen by one of them. */

/** State of a member. A member announces `left` itself; `dead` means that it did not answer probes. */
export type MemberState = 'alive' | 'suspect' | 'left' | 'dead';

/** One scheduler and the state that it announces for its VM. */
export interface Member {
  readonly vm: string;
  readonly domain: string;
  /** `HOST:PORT` for peer links and probes. */
  readonly address: string;
  /** Raised only by the member itself, to refute false reports about it. */
  readonly incarnation: number;
  readonly state: MemberState;
  /** Whether the VM accepts no new callers. */
  readonly draining: boolean;
  /** Addresses at which callers reach the gateways of the VM. */
  readonly gateways: readonly string[];
  /** Processor cores of the VM; may be a fraction. */
  readonly cores: number;
  /** Whether the VM's calls to the platform's store fail. */
  readonly storeLost: boolean;
}

/** Identity of this member and its probe settings. */
export interface MembershipOptions {
  readonly vm: string;
  readonly domain: string;
  readonly address: string;
  /** Processor cores of the VM. */
  readonly cores: number;
  /** Probe period in milliseconds. */
  readonly probeMs: number;
  /** Time in which a suspect can refute the suspicion, in milliseconds. */
  readonly suspectMs: number;
  /** Random source, uniform in [0, 1). */
  readonly random: () => number;
  /** Initial incarnation; a restarted process must start above the one that it had before. */
  readonly incarnation: number;
}

/** Read-only view of the members. */
export interface Members {
  readonly self: Member;
  /** All known members, including this one. */
  readonly all: readonly Member[];
  get(vm: string): Member | undefined;
  /** When the last packet from another member arrived; undefined if none has. */
  readonly lastPacketAt: number | undefined;
}

/** Announces that a resource has a new revision. */
export interface GossipUpdate {
  readonly path: string;
  readonly revision: number;
  /** The new content if it is small. Default: the receiver fetches it from the sender. */
  readonly text?: string | undefined;
}

/** The part of a member's state that describes its VM. */
export type MemberStatus = Pick<Member, 'gateways' | 'draining' | 'storeLost'>;

/** Whether a member has a status already. */
export function hasStatus(
  { gateways, draining, storeLost }: Member,
  status: MemberStatus,
): boolean {
  const isSame = draining === status.draining && storeLost === status.storeLost;
  return isSame && gateways.join(' ') === status.gateways.join(' ');
}

/** A UDP datagram of the membership protocol. */
export interface Packet {
  readonly kind: 'ping' | 'ack' | 'probe' | 'news';
  readonly seq: number;
  readonly from: string;
  readonly address: string;
  /** For `probe`: the address that the receiver pings on behalf of the sender. */
  readonly target?: string;
  /** Digest of the sender's settings. */
  readonly digest: string;
  readonly members: readonly Member[];
  readonly rumours: readonly GossipUpdate[];
}

/** An input of the membership protocol. */
export type MembershipEvent =
  | { readonly kind: 'packet'; readonly packet: Packet }
  /** Pings these addresses without adding them as members. */
  | { readonly kind: 'contact'; readonly addresses: readonly string[] }
  | { readonly kind: 'listed'; readonly vms: readonly ListedMember[] }
  /** Members known to another VM; taken over without spreading them further. */
  | { readonly kind: 'synced'; readonly members: readonly Member[] }
  | { readonly kind: 'described'; readonly description: MemberStatus }
  | { readonly kind: 'rumours'; readonly rumours: readonly GossipUpdate[] }
  | { readonly kind: 'leaving' }
  | { readonly kind: 'woke' };

/** An entry of the platform's list of VMs. */
export interface ListedMember {
  readonly vm: string;
  readonly address: string;
  /** Whether the platform lists the VM as leaving. */
  readonly leaving: boolean;
}

/** An output of the membership protocol that the caller carries out. */
export type MembershipAction =
  | { readonly kind: 'send'; readonly to: string; readonly packet: Packet }
  | { readonly kind: 'changed'; readonly member: Member }
  | { readonly kind: 'heard'; readonly rumour: GossipUpdate; readonly address: string }
  /** That member's settings digest differs; it may have newer settings. */
  | { readonly kind: 'differs'; readonly address: string; readonly digest: string };

/** Whether a member counts as present: alive, or suspected but not yet declared dead. */
export function isPresent({ state }: Member): boolean {
  return state === 'alive' || state === 'suspect';
}

const rankOf: Readonly<Record<MemberState, number>> = { alive: 0, suspect: 1, dead: 2, left: 3 };

/** Whether an update about a member takes precedence over its known state. */
export function overrides(update: Member, known: Member): boolean {
  if (update.incarnation !== known.incarnation) return update.incarnation > known.incarnation;
  return rankOf[update.state] > rankOf[known.state];
}

/** Whether a member may own cells, keys and ledger shards. */
export function canOwn(member: Member): boolean {
  return isPresent(member) && !member.draining;
}
