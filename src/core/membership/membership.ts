/**
 * Membership by the SWIM protocol (Das, Gupta, Motivala 2002): each period one member is
 * pinged, first directly and then through other members. A member that does not answer
 * is suspected, and declared dead unless it refutes the suspicion in time. The load on
 * each member does not grow with the number of members.
 */

import { match } from 'ts-pattern';

import { ProbeOrder, sample } from './order';
import { Outbox } from './outbox';
import type {
  MemberStatus,
  ListedMember,
  Member,
  Members,
  MembershipAction,
  MembershipEvent,
  MembershipOptions,
  Packet,
  GossipUpdate,
} from './types';
import { hasStatus, isPresent, overrides } from './types';

/** Fraction of the probe period after which other members are asked to ping the target. */
const DIRECT_FRACTION = 0.4;
/** Members asked for an indirect ping. */
const INDIRECT_PROBES = 3;
/** Members that receive a gossip update immediately. */
const FANOUT = 3;
/** How long dead members are remembered, in milliseconds: stale updates about them may still circulate. */
const RETENTION_MS = 120_000;
/** Probability in each period of pinging a member declared dead, so that healed partitions are detected. */
const DEAD_PROBE_PROBABILITY = 0.25;

interface Known {
  member: Member;
  since: number;
}

interface Probe {
  readonly seq: number;
  readonly vm: string;
  readonly indirectAt: number;
  readonly endAt: number;
  isIndirect: boolean;
  isAcked: boolean;
}

interface Relay {
  readonly seq: number;
  readonly to: string;
  readonly until: number;
}

/** Contents of a packet that its kind does not determine; without `rumours` it has the next queued updates. */
type PacketContent = Partial<Pick<Packet, 'target' | 'members' | 'rumours'>>;

/** When a probe has to be checked next. */
function nextCheckAt({ isIndirect, indirectAt, endAt }: Probe): number {
  return isIndirect ? endAt : indirectAt;
}

/** The membership state of one scheduler. */
export class Membership implements Members {
  readonly #options: MembershipOptions;

  readonly #known = new Map<string, Known>();

  readonly #outbox = new Outbox();

  readonly #relays = new Map<number, Relay>();

  #self: Member;

  readonly #order: ProbeOrder;

  #probe: Probe | undefined;

  #nextProbeAt = 0;

  #expectedWake = Infinity;

  #seq = 0;

  #digest = '';

  #lastPacketAt: number | undefined;

  #actions: MembershipAction[] = [];

  constructor(options: MembershipOptions) {
    this.#options = options;
    const { vm, domain, address, incarnation, cores } = options;
    this.#order = new ProbeOrder(options.random);
    this.#self = {
      vm,
      domain,
      address,
      incarnation,
      state: 'alive',
      draining: false,
      gateways: [],
      cores,
      storeLost: false,
    };
  }

  get lastPacketAt(): number | undefined {
    return this.#lastPacketAt;
  }

  get self(): Member {
    return this.#self;
  }

  get all(): readonly Member[] {
    return [this.#self, ...[...this.#known.values()].map(({ member }) => member)];
  }

  get(vm: string): Member | undefined {
    return vm === this.#self.vm ? this.#self : this.#known.get(vm)?.member;
  }

  /** Sets the digest of this member's settings, sent with every packet. */
  setDigest(digest: string): void {
    this.#digest = digest;
  }

  /** Processes an event and returns the resulting actions. */
  handle(now: number, event: MembershipEvent): readonly MembershipAction[] {
    this.#actions = [];
    match(event)
      .with({ kind: 'packet' }, ({ packet }) => this.#receive(now, packet))
      .with({ kind: 'contact' }, ({ addresses }) => this.#contact(addresses))
      .with({ kind: 'listed' }, ({ vms }) => this.#list(now, vms))
      .with({ kind: 'synced' }, ({ members }) => this.#sync(now, members))
      .with({ kind: 'described' }, ({ description }) => {
        if (!hasStatus(this.#self, description)) this.#describe(description);
      })
      .with({ kind: 'rumours' }, ({ rumours }) => this.#gossip(rumours))
      .with({ kind: 'leaving' }, () => this.#leave())
      .with({ kind: 'woke' }, () => this.#wake(now))
      .exhaustive();
    return this.#actions;
  }

  /** When the next `woke` event is due. */
  nextWake(): number {
    this.#expectedWake = this.#probe ? nextCheckAt(this.#probe) : this.#nextProbeAt;
    return this.#expectedWake;
  }

  #wake(now: number): void {
    const { probeMs } = this.#options;
    /*
     * A process that was paused finds its probe overdue when it resumes, although the
     * answer may still be unread in its socket. One paused process would then suspect
     * members that are alive, so the probe is dropped instead.
     */
    if (now - this.#expectedWake > probeMs / 2) this.#probe = undefined;
    this.#expire(now);
    this.#checkProbe(now);
    if (!this.#probe && now >= this.#nextProbeAt) this.#startProbe(now);
  }

  #startProbe(now: number): void {
    const { probeMs, random } = this.#options;
    this.#nextProbeAt = now + probeMs;
    this.#probeDead(random());
    const vm = this.#order.next([...this.#known.keys()], (id) => this.#isProbed(id));
    const target = vm === undefined ? undefined : this.#known.get(vm)?.member;
    if (!target) return;
    this.#seq += 1;
    this.#probe = {
      seq: this.#seq,
      vm: target.vm,
      indirectAt: now + probeMs * DIRECT_FRACTION,
      endAt: now + probeMs,
      isIndirect: false,
      isAcked: false,
    };
    this.#send(target.address, 'ping', this.#seq);
  }

  #checkProbe(now: number): void {
    const probe = this.#probe;
    if (!probe) return;
    if (probe.isAcked) {
      this.#probe = undefined;
    } else if (now >= probe.endAt) {
      this.#probe = undefined;
      const member = this.#known.get(probe.vm)?.member;
      if (member?.state === 'alive') this.#applyUpdate(now, { ...member, state: 'suspect' });
    } else if (!probe.isIndirect && now >= probe.indirectAt) {
      probe.isIndirect = true;
      this.#sendIndirectProbes(probe);
    }
  }

  #sendIndirectProbes({ seq, vm }: Probe): void {
    const target = this.#known.get(vm)?.member;
    if (!target) return;
    for (const proxy of this.#sampleAlive(INDIRECT_PROBES, vm)) {
      this.#send(proxy.address, 'probe', seq, { target: target.address });
    }
  }

  /** Random alive members other than `except`. */
  #sampleAlive(count: number, except: string): readonly Member[] {
    const pool = [...this.#known.values()]
      .map(({ member }) => member)
      .filter((m) => m.state === 'alive' && m.vm !== except);
    return sample(pool, count, this.#options.random);
  }

  #isProbed(vm: string): boolean {
    const member = this.#known.get(vm)?.member;
    return member !== undefined && isPresent(member);
  }

  #probeDead(random: number): void {
    if (random >= DEAD_PROBE_PROBABILITY) return;
    const dead = [...this.#known.values()].filter(({ member }) => member.state === 'dead');
    const one = dead[Math.floor((random / DEAD_PROBE_PROBABILITY) * dead.length)];
    if (!one) return;
    this.#seq += 1;
    this.#send(one.member.address, 'ping', this.#seq, { members: [one.member] });
  }

  #expire(now: number): void {
    for (const [vm, { member, since }] of this.#known) {
      if (member.state === 'suspect' && now - since >= this.#options.suspectMs) {
        this.#applyUpdate(now, { ...member, state: 'dead' });
      } else if (
        (member.state === 'dead' || member.state === 'left') &&
        now - since >= RETENTION_MS
      ) {
        this.#known.delete(vm);
      }
    }
    for (const [seq, { until }] of this.#relays) if (until <= now) this.#relays.delete(seq);
  }

  #receive(now: number, packet: Packet): void {
    this.#lastPacketAt = now;
    for (const member of packet.members) this.#applyUpdate(now, member);
    for (const rumour of packet.rumours) {
      this.#actions.push({ kind: 'heard', rumour, address: packet.address });
    }
    if (packet.kind !== 'news' && packet.digest !== this.#digest) {
      const { address, digest } = packet;
      this.#actions.push({ kind: 'differs', address, digest });
    }
    match(packet.kind)
      .with('ping', () => this.#send(packet.address, 'ack', packet.seq))
      .with('ack', () => this.#acknowledge(packet))
      .with('probe', () => this.#relay(now, packet))
      .with('news', () => {})
      .exhaustive();
  }

  #acknowledge({ seq }: Packet): void {
    const relay = this.#relays.get(seq);
    if (relay) {
      this.#relays.delete(seq);
      this.#send(relay.to, 'ack', relay.seq);
    }
    if (this.#probe?.seq === seq) this.#probe.isAcked = true;
  }

  #relay(now: number, { seq, address, target }: Packet): void {
    if (target === undefined) return;
    this.#seq += 1;
    this.#relays.set(this.#seq, { seq, to: address, until: now + this.#options.probeMs });
    this.#send(target, 'ping', this.#seq);
  }

  #applyUpdate(now: number, update: Member): void {
    if (update.vm === this.#self.vm) {
      this.#refute(update);
      return;
    }
    if (this.#store(now, update)) this.#outbox.addMember(update, this.#fleetSize);
  }

  /** Stores an update if it takes precedence; returns whether it did. */
  #store(now: number, update: Member): boolean {
    const known = this.#known.get(update.vm);
    if (known && !overrides(update, known.member)) return false;
    this.#known.set(update.vm, { member: update, since: now });
    this.#actions.push({ kind: 'changed', member: update });
    return true;
  }

  /** Refutes a false report about this member with a higher incarnation. */
  #refute(update: Member): void {
    if (this.#self.state === 'left') return;
    const isFalse = update.state !== 'alive' || update.address !== this.#self.address;
    if (
      update.incarnation < this.#self.incarnation ||
      (update.incarnation === this.#self.incarnation && !isFalse)
    ) {
      return;
    }
    this.#describe({ incarnation: Math.max(update.incarnation, this.#self.incarnation) });
  }

  #describe(change: Partial<MemberStatus & Member>): void {
    const incarnation = (change.incarnation ?? this.#self.incarnation) + 1;
    this.#self = { ...this.#self, ...change, incarnation };
    this.#outbox.addMember(this.#self, this.#fleetSize);
    this.#actions.push({ kind: 'changed', member: this.#self });
  }

  /** Pings the addresses; their answers add them as members under their own names. */
  #contact(addresses: readonly string[]): void {
    for (const address of addresses) {
      this.#seq += 1;
      this.#send(address, 'ping', this.#seq);
    }
  }

  /** Adds members from the list. The list lags behind, so it never overrides the results of probes. */
  #list(now: number, vms: readonly ListedMember[]): void {
    for (const { vm, address, leaving } of vms) {
      if (vm !== this.#self.vm && !leaving && !this.#known.has(vm)) {
        const member: Member = {
          vm,
          domain: '',
          address,
          incarnation: -1,
          state: 'alive',
          draining: true,
          gateways: [],
          cores: 0,
          storeLost: false,
        };
        this.#known.set(vm, { member, since: now });
        this.#seq += 1;
        this.#send(address, 'ping', this.#seq);
      }
    }
  }

  #sync(now: number, members: readonly Member[]): void {
    for (const member of members) {
      if (member.vm === this.#self.vm) this.#refute(member);
      else this.#store(now, member);
    }
  }

  /**
   * Sends updates to a few members immediately, in as many packets as the texts need; later probes
   * carry them on. All of these members get the same packets: an update that went to one only
   * would reach the fleet no faster than the probes. Updates that are left from a time without
   * members wait for the probes, too: they may be thousands.
   */
  #gossip(rumours: readonly GossipUpdate[]): void {
    for (const rumour of rumours) this.#outbox.addUpdate(rumour, this.#fleetSize);
    const targets = this.#sampleAlive(FANOUT, '');
    if (targets.length === 0) return;
    for (let sent = 0; sent < rumours.length && this.#outbox.hasUnsentUpdates; sent += 1) {
      const taken = this.#outbox.takeUpdates(targets.length);
      for (const { address } of targets) this.#send(address, 'news', 0, { rumours: taken });
    }
  }

  #leave(): void {
    this.#describe({ state: 'left', draining: true });
    for (const { address } of this.#sampleAlive(FANOUT, '')) this.#send(address, 'news', 0);
  }

  /** Number of known members, including this one. */
  get #fleetSize(): number {
    return this.#known.size + 1;
  }

  #send(
    to: string,
    kind: Packet['kind'],
    seq: number,
    { target, members = [], rumours = this.#outbox.takeUpdates() }: PacketContent = {},
  ): void {
    const packet: Packet = {
      kind,
      seq,
      from: this.#self.vm,
      address: this.#self.address,
      digest: this.#digest,
      members: [...members, this.#self, ...this.#outbox.takeMembers()],
      rumours,
      ...(target === undefined ? {} : { target }),
    };
    this.#actions.push({ kind: 'send', to, packet });
  }
}
