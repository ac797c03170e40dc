/**
 * Membership by probing, after the SWIM protocol (Das, Gupta, Motivala 2002):
 * each period one member is pinged, at first directly and then through others;
 * who does not answer is suspected, and dead unless it refutes that in time.
 * The cost for each member does not grow with their number.
 */

import { match } from 'ts-pattern';

import { GossipQueue } from './gossip';
import { ProbeOrder, sample } from './order';
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
import { isPresent, overrides } from './types';

/** Part of the period that a direct ping has before others are asked to help. */
const DIRECT_PART = 0.4;
/** Members asked to ping on our behalf. */
const HELPERS = 3;
/** Members that get a rumour at once. */
const FANOUT = 3;
/** Member news and rumours in one packet, so that it fits one datagram. */
const NEWS_PER_PACKET = 5;
const RUMOURS_PER_PACKET = 8;
/** Characters of the texts of rumours in one packet beside the first, for the same reason. */
const RUMOUR_CHARACTERS = 700;
/** Each piece of news is sent this many times the logarithm of the fleet. */
const SENDS_PER_LOG = 3;
/** How long dead members are remembered, in milliseconds: news of them may still go round. */
const FORGET_MS = 120_000;
/** Chance in each period to ping a member that is held for dead, so that healed partitions are found. */
const REVIVE_CHANCE = 0.25;

interface Known {
  member: Member;
  since: number;
}

interface Probe {
  readonly seq: number;
  readonly vm: string;
  readonly helpAt: number;
  readonly endAt: number;
  helped: boolean;
  acked: boolean;
}

interface Relay {
  readonly seq: number;
  readonly to: string;
  readonly until: number;
}

function charactersOf({ text = '' }: GossipUpdate): number {
  return text.length;
}

/** When a probe wants attention next. */
function dueOf({ helped, helpAt, endAt }: Probe): number {
  return helped ? endAt : helpAt;
}

/** The membership of one scheduler. */
export class Membership implements Members {
  readonly #options: MembershipOptions;

  readonly #known = new Map<string, Known>();

  readonly #news = new GossipQueue<Member>();

  readonly #rumours = new GossipQueue<GossipUpdate>();

  readonly #relays = new Map<number, Relay>();

  #self: Member;

  readonly #order: ProbeOrder;

  #probe: Probe | undefined;

  #nextProbeAt = 0;

  #expectedWake = Infinity;

  #seq = 0;

  #digest = '';

  #heardAt: number | undefined;

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
    return this.#heardAt;
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

  handle(now: number, event: MembershipEvent): readonly MembershipAction[] {
    this.#actions = [];
    match(event)
      .with({ kind: 'packet' }, ({ packet }) => this.#receive(now, packet))
      .with({ kind: 'contact' }, ({ addresses }) => this.#contact(addresses))
      .with({ kind: 'listed' }, ({ vms }) => this.#list(now, vms))
      .with({ kind: 'synced' }, ({ members }) => this.#sync(now, members))
      .with({ kind: 'described' }, ({ description }) => this.#describe(description))
      .with({ kind: 'rumours' }, ({ rumours }) => this.#spread(rumours))
      .with({ kind: 'leaving' }, () => this.#leave())
      .with({ kind: 'woke' }, () => this.#wake(now))
      .exhaustive();
    return this.#actions;
  }

  nextWake(): number {
    this.#expectedWake = this.#probe ? dueOf(this.#probe) : this.#nextProbeAt;
    return this.#expectedWake;
  }

  #wake(now: number): void {
    const { probeMs } = this.#options;
    /*
     * A process that was frozen finds its probe long overdue on waking, though
     * the answer may lie unread in its socket. Blaming the member would have one
     * frozen process call the others dead; so the probe is dropped instead.
     */
    if (now - this.#expectedWake > probeMs / 2) this.#probe = undefined;
    this.#expire(now);
    this.#checkProbe(now);
    if (!this.#probe && now >= this.#nextProbeAt) this.#startProbe(now);
  }

  #startProbe(now: number): void {
    const { probeMs, random } = this.#options;
    this.#nextProbeAt = now + probeMs;
    this.#revive(random());
    const vm = this.#order.next([...this.#known.keys()], (id) => this.#isProbed(id));
    const target = vm === undefined ? undefined : this.#known.get(vm)?.member;
    if (!target) return;
    this.#seq += 1;
    this.#probe = {
      seq: this.#seq,
      vm: target.vm,
      helpAt: now + probeMs * DIRECT_PART,
      endAt: now + probeMs,
      helped: false,
      acked: false,
    };
    this.#send(target.address, 'ping', this.#seq);
  }

  #checkProbe(now: number): void {
    const probe = this.#probe;
    if (!probe) return;
    if (probe.acked) {
      this.#probe = undefined;
    } else if (now >= probe.endAt) {
      this.#probe = undefined;
      const member = this.#known.get(probe.vm)?.member;
      if (member?.state === 'alive') this.#learn(now, { ...member, state: 'suspect' });
    } else if (!probe.helped && now >= probe.helpAt) {
      probe.helped = true;
      this.#askHelpers(probe);
    }
  }

  #askHelpers({ seq, vm }: Probe): void {
    const target = this.#known.get(vm)?.member;
    if (!target) return;
    for (const helper of this.#pick(HELPERS, vm)) {
      this.#send(helper.address, 'probe', seq, target.address);
    }
  }

  /** Alive members at random, without one of them. */
  #pick(count: number, except: string): readonly Member[] {
    const pool = [...this.#known.values()]
      .map(({ member }) => member)
      .filter((m) => m.state === 'alive' && m.vm !== except);
    return sample(pool, count, this.#options.random);
  }

  #isProbed(vm: string): boolean {
    const member = this.#known.get(vm)?.member;
    return member !== undefined && isPresent(member);
  }

  #revive(chance: number): void {
    if (chance >= REVIVE_CHANCE) return;
    const dead = [...this.#known.values()].filter(({ member }) => member.state === 'dead');
    const one = dead[Math.floor((chance / REVIVE_CHANCE) * dead.length)];
    if (!one) return;
    this.#seq += 1;
    this.#send(one.member.address, 'ping', this.#seq, undefined, [one.member]);
  }

  #expire(now: number): void {
    for (const [vm, { member, since }] of this.#known) {
      if (member.state === 'suspect' && now - since >= this.#options.suspectMs) {
        this.#learn(now, { ...member, state: 'dead' });
      } else if ((member.state === 'dead' || member.state === 'left') && now - since >= FORGET_MS) {
        this.#known.delete(vm);
      }
    }
    for (const [seq, { until }] of this.#relays) if (until <= now) this.#relays.delete(seq);
  }

  #receive(now: number, packet: Packet): void {
    this.#heardAt = now;
    for (const member of packet.members) this.#learn(now, member);
    for (const rumour of packet.rumours) {
      this.#actions.push({ kind: 'heard', rumour, address: packet.address });
    }
    if (packet.kind !== 'news' && packet.digest !== this.#digest) {
      this.#actions.push({ kind: 'differs', address: packet.address });
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
    if (this.#probe?.seq === seq) this.#probe.acked = true;
  }

  #relay(now: number, { seq, address, target }: Packet): void {
    if (target === undefined) return;
    this.#seq += 1;
    this.#relays.set(this.#seq, { seq, to: address, until: now + this.#options.probeMs });
    this.#send(target, 'ping', this.#seq);
  }

  #learn(now: number, news: Member): void {
    if (news.vm === this.#self.vm) {
      this.#refute(news);
      return;
    }
    if (this.#takeOver(now, news)) this.#news.add(news.vm, news, this.#times());
  }

  /** Tells whether that was news. */
  #takeOver(now: number, news: Member): boolean {
    const known = this.#known.get(news.vm);
    if (known && !overrides(news, known.member)) return false;
    this.#known.set(news.vm, { member: news, since: now });
    this.#actions.push({ kind: 'changed', member: news });
    return true;
  }

  /** What others say of this member is answered with a higher incarnation. */
  #refute(news: Member): void {
    if (this.#self.state === 'left') return;
    const wrong = news.state !== 'alive' || news.address !== this.#self.address;
    if (
      news.incarnation < this.#self.incarnation ||
      (news.incarnation === this.#self.incarnation && !wrong)
    ) {
      return;
    }
    this.#describe({ incarnation: Math.max(news.incarnation, this.#self.incarnation) });
  }

  #describe(change: Partial<MemberStatus & Member>): void {
    const incarnation = (change.incarnation ?? this.#self.incarnation) + 1;
    this.#self = { ...this.#self, ...change, incarnation };
    this.#news.add(this.#self.vm, this.#self, this.#times());
    this.#actions.push({ kind: 'changed', member: this.#self });
  }

  /** Their answers bring them in as members under their own names. */
  #contact(addresses: readonly string[]): void {
    for (const address of addresses) {
      this.#seq += 1;
      this.#send(address, 'ping', this.#seq);
    }
  }

  /** The list only adds members: it lags, so it never overrides what probes say. */
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
      else this.#takeOver(now, member);
    }
  }

  /** Tells a few members at once and more with the probes; as many packets as the texts need. */
  #spread(rumours: readonly GossipUpdate[]): void {
    for (const rumour of rumours) this.#rumours.add(rumour.path, rumour, this.#times());
    const characters = rumours.reduce((sum, { text = '' }) => sum + text.length, 0);
    const packets = 1 + Math.floor(characters / RUMOUR_CHARACTERS);
    const targets = this.#pick(FANOUT, '');
    for (let sent = 0; sent < packets; sent += 1) {
      for (const { address } of targets) this.#send(address, 'news', 0);
    }
  }

  #leave(): void {
    this.#describe({ state: 'left', draining: true });
    for (const { address } of this.#pick(FANOUT, '')) this.#send(address, 'news', 0);
  }

  #times(): number {
    return Math.ceil(SENDS_PER_LOG * Math.log2(this.#known.size + 2));
  }

  #send(
    to: string,
    kind: Packet['kind'],
    seq: number,
    target?: string,
    extra: readonly Member[] = [],
  ): void {
    const packet: Packet = {
      kind,
      seq,
      from: this.#self.vm,
      address: this.#self.address,
      digest: this.#digest,
      members: [...extra, this.#self, ...this.#news.take(NEWS_PER_PACKET)],
      rumours: this.#rumours.take(RUMOURS_PER_PACKET, RUMOUR_CHARACTERS, charactersOf),
      ...(target === undefined ? {} : { target }),
    };
    this.#actions.push({ kind: 'send', to, packet });
  }
}
