/** The VMs of the router: who lives, links to them, and what they tell each other. */

import type { Logger } from 'pino';

import { setTimeout as pause } from 'node:timers/promises';

import type { MemberStatus, Member, Members, GossipUpdate } from '../../core/membership/types';
import { isPresent, canOwn } from '../../core/membership/types';
import { addressesNear, rankByCores } from '../../core/ownership';
import { toFailure } from '../../core/failure';
import { LogRateLimiter } from '../loglimiter';
import type { Metrics } from '../metrics';
import { PeerLink } from '../peer/link';
import { PROTOCOL_VERSION } from '../peer/messages';
import type { Peer } from '../peer/server';
import { PeerServer } from '../peer/server';
import type { FreshnessExchange } from '../scheduler/members';
import { MembershipDriver } from '../scheduler/members';
import type { RouterSettings } from './types';

/** What the fleet tells the router. */
export interface FleetListener {
  /** A call of another VM. `push` calls back to it. */
  onCall(
    vm: string,
    method: string,
    params: unknown,
    push: (method: string, params: unknown) => void,
  ): Promise<unknown>;
  /** A VM is gone and its requests with it. */
  onVmLost(vm: string): void;
  /** The membership changed. */
  onMembersChange(): void;
  /** Another VM knows other things than this one. */
  onDigestDiffers(address: string): void;
  /** Another VM tells news. */
  onUpdate(rumour: GossipUpdate, address: string): void;
}

/** Period of membership probes, in milliseconds: a dead VM is found in about a second and a half. */
const PROBE_MS = 300;
/** Time that a suspect has to answer, in milliseconds. */
const SUSPECT_MS = 800;
/** VMs that may plan a service to which links are kept: the owner and the next. */
const WARM_OWNERS = 2;
/** Time for which a VM that did not answer a call is passed over as an owner, in milliseconds. */
const SHUNNED_MS = 1500;

/** Time after which a link that is not used is closed, in milliseconds: VMs exchange news with all others, one after the other, and each link costs both a descriptor. */
const IDLE_LINK_MS = 8000;
/** Period of looking for such links, in milliseconds. */
const REAP_MS = 2000;
/** Lines of changed members in a second; all of a fleet that starts would make their square. */
const MEMBER_LINES = 3;
/** Time for which changes of members are gathered before others are told of them, in milliseconds. */
const GATHER_MS = 50;

interface OpenLink {
  readonly link: PeerLink;
  usedAt: number;
}

/** Members and links. */
export class RouterFleet {
  readonly #settings: RouterSettings;

  readonly #log: Logger;

  readonly #listener: FleetListener;

  readonly #members: MembershipDriver;

  readonly #server: PeerServer;

  readonly #links = new Map<string, OpenLink>();

  /** Links that other VMs opened to this one, by VM. */
  readonly #callers = new Map<string, Peer>();

  /** Addresses of VMs that may plan a service, to which links are kept. */
  readonly #warm = new Set<string>();

  readonly #lines: LogRateLimiter;

  #reaper: NodeJS.Timeout | undefined;

  #gathering = false;

  readonly #shunned = new Map<string, number>();

  /** Owners by key, until the membership changes. */
  readonly #ranking = new Map<string, readonly Member[]>();

  /** Callers' addresses by failure domain, until the membership changes. */
  readonly #addresses = new Map<string, readonly string[]>();

  constructor(
    settings: RouterSettings,
    proofs: FreshnessExchange,
    metrics: Metrics,
    log: Logger,
    listener: FleetListener,
  ) {
    this.#settings = settings;
    this.#log = log;
    this.#listener = listener;
    this.#lines = new LogRateLimiter(MEMBER_LINES, (lines) =>
      log.info({ lines, present: this.alive.length }, 'More members changed.'),
    );
    const { vm, domain, peer, peerKey, cores } = settings;
    const [host = '', port = '0'] = peer.split(':');
    this.#members = new MembershipDriver({
      membership: {
        vm,
        domain,
        address: peer,
        cores,
        probeMs: PROBE_MS,
        suspectMs: SUSPECT_MS,
        random: Math.random,
        incarnation: Date.now(),
      },
      host,
      port: Number(port),
      key: peerKey,
      log,
      metrics,
      proofs,
      listener: {
        onChange: (member) => this.#changed(member),
        onUpdate: (rumour, address) => listener.onUpdate(rumour, address),
        onDigestDiffers: (address) => listener.onDigestDiffers(address),
      },
    });
    this.#server = new PeerServer({
      host,
      port: Number(port),
      key: peerKey,
      vm,
      log,
      handler: {
        onOpen: (from) => this.#callers.set(from.vm, from),
        onMessage: () => {},
        onClose: (from) => this.#linkClosed(from),
        onCall: (from, method, params) =>
          listener.onCall(from.vm, method, params, (name, value) => this.#push(from, name, value)),
      },
    });
  }

  async start(): Promise<void> {
    await this.#server.listen();
    await this.#members.start();
    this.contact(this.#settings.seeds);
    this.#reaper = setInterval(() => this.#reap(performance.now()), REAP_MS);
  }

  async stop(): Promise<void> {
    this.#members.stop();
    clearInterval(this.#reaper);
    for (const { link } of this.#links.values()) link.close();
    await this.#server.close();
  }

  get members(): Members {
    return this.#members.members;
  }

  get self(): Member {
    return this.members.self;
  }

  get all(): readonly Member[] {
    return this.#members.members.all;
  }

  /** VMs that live, this one included. */
  get alive(): readonly Member[] {
    return this.all.filter(isPresent);
  }

  /** Says hello to addresses at which other VMs may be. */
  contact(addresses: readonly string[]): void {
    const others = addresses.filter((address) => address !== this.#settings.peer);
    this.#members.handle({ kind: 'contact', addresses: others });
  }

  /** Takes over the members that another VM knows. */
  sync(members: readonly Member[]): void {
    this.#members.handle({ kind: 'synced', members });
  }

  /** VMs that the store names; what probes say of them goes first. */
  addListed(vms: readonly { readonly vm: string; readonly address: string }[]): void {
    const known = new Set(this.all.map(({ address }) => address));
    const fresh = vms.filter(({ address }) => !known.has(address));
    if (fresh.length === 0) return;
    this.#members.handle({
      kind: 'listed',
      vms: fresh.map(({ vm, address }) => ({ vm, address, leaving: false })),
    });
  }

  /** Tells the others of this VM. */
  describe(description: MemberStatus): void {
    this.#members.handle({ kind: 'described', description });
  }

  /** What this VM knows, in short, for others to compare. */
  setDigest(digest: string): void {
    this.#members.members.setDigest(digest);
  }

  leave(): void {
    this.#members.handle({ kind: 'leaving' });
  }

  gossip(rumours: readonly GossipUpdate[]): void {
    if (rumours.length > 0) this.#members.handle({ kind: 'rumours', rumours });
  }

  /** Addresses for callers in a failure domain, of VMs that live and stay. */
  callerAddresses(domain: string): readonly string[] {
    const known = this.#addresses.get(domain);
    if (known) return known;
    const addresses = addressesNear(domain, this.all);
    this.#addresses.set(domain, addresses);
    return addresses;
  }

  /** VMs that may plan a key, by falling claim; those that did not answer lately come last. */
  ownersOf(now: number, key: string): readonly Member[] {
    const owners = this.#ranked(key);
    const isShunned = ({ vm }: Member): boolean => (this.#shunned.get(vm) ?? 0) > now;
    return [...owners.filter((m) => !isShunned(m)), ...owners.filter(isShunned)];
  }

  /** Opens links to the VMs that may plan a key before they are needed: a request that had to wait for one would lose its time. */
  warm(now: number, key: string): void {
    const owners = this.ownersOf(now, key).slice(0, WARM_OWNERS);
    const others = owners.filter(({ vm }) => vm !== this.#settings.vm);
    for (const { address } of others) {
      this.#warm.add(address);
      this.#linkTo(now, address);
    }
  }

  /** Forgets to which VMs links are kept; they are named anew. */
  clearWarm(): void {
    this.#warm.clear();
  }

  /** Worked out once for each membership: a fleet of 65 costs 65 hashes. */
  #ranked(key: string): readonly Member[] {
    const known = this.#ranking.get(key);
    if (known) return known;
    const owners = rankByCores(key, this.all.filter(canOwn));
    this.#ranking.set(key, owners);
    return owners;
  }

  deprioritize(now: number, vm: string): void {
    this.#shunned.set(vm, now + SHUNNED_MS);
  }

  /** Calls another VM; a link that is being opened is waited for. */
  async call(address: string, method: string, params: unknown, limitMs: number): Promise<unknown> {
    const link = this.#linkTo(performance.now(), address);
    if (!link.up) await Promise.race([link.attempted, pause(limitMs, undefined, { ref: false })]);
    return link.call(method, params, limitMs);
  }

  /** Calls all VMs that have a link to this one, over those links. */
  callClients(method: string, params: unknown): void {
    for (const peer of this.#callers.values()) this.#push(peer, method, params);
  }

  #push(peer: Peer, method: string, params: unknown): void {
    peer.call(method, params).catch((error) => {
      this.#log.debug({ vm: peer.vm, method }, toFailure(error).line);
    });
  }

  #linkClosed(peer: Peer): void {
    const { vm } = peer;
    if (this.#callers.get(vm) === peer) this.#callers.delete(vm);
    const state = this.#members.members.get(vm)?.state;
    if (state === 'left' || state === 'dead') this.#listener.onVmLost(vm);
  }

  #reap(now: number): void {
    for (const [address, { link, usedAt }] of this.#links) {
      if (now - usedAt > IDLE_LINK_MS && !this.#warm.has(address)) {
        link.close();
        this.#links.delete(address);
      }
    }
  }

  #linkTo(now: number, address: string): PeerLink {
    const known = this.#links.get(address);
    if (known) {
      known.usedAt = now;
      return known.link;
    }
    const { vm, peerKey, peer } = this.#settings;
    const link = new PeerLink({
      address,
      hello: { key: peerKey, role: 'gateway', id: peer, vm },
      version: PROTOCOL_VERSION,
      log: this.#log,
      onMessage: () => {},
      onCall: (method, params) => this.#listener.onCall(address, method, params, () => {}),
    });
    this.#links.set(address, { link, usedAt: now });
    return link;
  }

  #changed(member: Member): void {
    const { vm, address, state, draining, incarnation } = member;
    if (this.#lines.tryAcquire(performance.now())) {
      this.#log.info({ vm, state, draining, incarnation }, 'Member changed.');
    }
    if (state === 'dead' || state === 'left') {
      this.#links.get(address)?.link.close();
      this.#links.delete(address);
    }
    // A VM that has left still serves what it has; it is lost when its link closes.
    if (state === 'dead') this.#listener.onVmLost(vm);
    this.#ranking.clear();
    this.#addresses.clear();
    this.#gather();
  }

  /** Changes of members come in swarms; what follows from them is worked out once for all. */
  #gather(): void {
    if (this.#gathering) return;
    this.#gathering = true;
    setTimeout(() => {
      this.#gathering = false;
      this.#listener.onMembersChange();
    }, GATHER_MS).unref();
  }
}
