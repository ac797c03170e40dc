/** Types of membership: which schedulers are there, as each of them sees it. */

/** How a member is seen. `left` said so itself; `dead` did not answer. */
export type MemberState = 'alive' | 'suspect' | 'left' | 'dead';

/** One scheduler and what it tells of its VM. */
export interface Member {
  readonly vm: string;
  readonly domain: string;
  /** `HOST:PORT` for peer links and probes. */
  readonly address: string;
  /** Raised by the member itself only, to refute what others say of it. */
  readonly incarnation: number;
  readonly state: MemberState;
  /** Whether the VM takes no new callers. */
  readonly draining: boolean;
  /** Callers' addresses of the gateways on the VM. */
  readonly gateways: readonly string[];
  /** Processor cores that the VM has, as a part or a multiple of one. */
  readonly cores: number;
  /** Whether its calls to the platform's store fail. */
  readonly storeLost: boolean;
}

/** Who this member is and how it probes. */
export interface MembershipOptions {
  readonly vm: string;
  readonly domain: string;
  readonly address: string;
  /** Processor cores of the VM. */
  readonly cores: number;
  /** Period of probes in milliseconds. */
  readonly probeMs: number;
  /** Time a suspect has to refute, in milliseconds. */
  readonly suspectMs: number;
  /** Random source: uniform in [0, 1). */
  readonly random: () => number;
  /** Starting incarnation; a restarted process must start above its last life. */
  readonly incarnation: number;
}

/** Read-only view of the members. */
export interface Members {
  readonly self: Member;
  /** All members known, this one included. */
  readonly all: readonly Member[];
  get(vm: string): Member | undefined;
  /** When any other member was heard last. Default: none was. */
  readonly lastPacketAt: number | undefined;
}

/** News that something has a new revision. */
export interface GossipUpdate {
  readonly path: string;
  readonly revision: number;
  /** The news itself where it is small. Default: it has to be fetched from whoever tells. */
  readonly text?: string | undefined;
}

/** What a member tells of its VM. */
export type MemberStatus = Pick<Member, 'gateways' | 'draining' | 'storeLost'>;

/** What goes over UDP. */
export interface Packet {
  readonly kind: 'ping' | 'ack' | 'probe' | 'news';
  readonly seq: number;
  readonly from: string;
  readonly address: string;
  /** For `probe`: the address that the receiver shall ping on behalf of the sender. */
  readonly target?: string;
  /** Digest of the sender's settings. */
  readonly digest: string;
  readonly members: readonly Member[];
  readonly rumours: readonly GossipUpdate[];
}

/** What happened. */
export type MembershipEvent =
  | { readonly kind: 'packet'; readonly packet: Packet }
  /** Says hello to whoever is at these addresses, without taking them for members. */
  | { readonly kind: 'contact'; readonly addresses: readonly string[] }
  | { readonly kind: 'listed'; readonly vms: readonly ListedMember[] }
  /** Members as another one knows them, taken over without telling of them. */
  | { readonly kind: 'synced'; readonly members: readonly Member[] }
  | { readonly kind: 'described'; readonly description: MemberStatus }
  | { readonly kind: 'rumours'; readonly rumours: readonly GossipUpdate[] }
  | { readonly kind: 'leaving' }
  | { readonly kind: 'woke' };

/** A VM from the platform's list. */
export interface ListedMember {
  readonly vm: string;
  readonly address: string;
  readonly leaving: boolean;
}

/** What is to be done. */
export type MembershipAction =
  | { readonly kind: 'send'; readonly to: string; readonly packet: Packet }
  | { readonly kind: 'changed'; readonly member: Member }
  | { readonly kind: 'heard'; readonly rumour: GossipUpdate; readonly address: string }
  /** The settings of that member differ and it may have newer ones. */
  | { readonly kind: 'differs'; readonly address: string };

/** Whether a member is there, as far as is known. */
export function isPresent({ state }: Member): boolean {
  return state === 'alive' || state === 'suspect';
}

const rankOf: Readonly<Record<MemberState, number>> = { alive: 0, suspect: 1, dead: 2, left: 3 };

/** Whether news of a member goes before what is known of it. */
export function overrides(news: Member, known: Member): boolean {
  if (news.incarnation !== known.incarnation) return news.incarnation > known.incarnation;
  return rankOf[news.state] > rankOf[known.state];
}

/** Whether a member may own cells, keys and ledger shards. */
export function canOwn(member: Member): boolean {
  return isPresent(member) && !member.draining;
}
