/** The router's fleet of VMs: their membership, the links between them, and the calls over these links. */

import type { Socket } from 'node:net';
import { setTimeout as pause } from 'node:timers/promises';

import type { Logger } from 'pino';

import { FleetCensus } from '../../core/membership/census';
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
import type { OpenTunnel, TunnelRequest } from '../peer/tunnel';
import { openTunnel } from '../peer/tunnel';
import type { FreshnessExchange } from '../scheduler/members';
import { MembershipDriver } from '../scheduler/members';
import type { RouterSettings } from './types';

/** Receives calls and events of the fleet. */
export interface FleetListener {
  /** Handles a call of another VM. `push` calls a method of that VM over the same link. */
  onCall(
    vm: string,
    method: string,
    params: unknown,
    push: (method: string, params: unknown) => void,
  ): Promise<unknown>;
  /** A VM is gone, and so are its requests. */
  onVmLost(vm: string, address: string): void;
  /** The membership changed. */
  onMembersChange(): void;
  /** The digest of another VM's state differs from this VM's. */
  onDigestDiffers(address: string, digest: string): void;
  /** A gossip update of another VM arrived. */
  onUpdate(update: GossipUpdate, address: string): void;
  /** Another VM asks for a tunnel to a runner. */
  onTunnel(request: TunnelRequest, socket: Socket): void;
}

/** Period of membership probes, in milliseconds; a dead VM is detected within about 1.5 s. */
const PROBE_MS = 300;
/** Time that a suspected member has to answer before it counts as dead, in milliseconds. */
const SUSPECT_MS = 800;
/** Number of VMs per service to which links are kept open: the owner and its successor. */
const WARM_OWNERS = 2;
/** Time for which a VM that did not answer a call ranks last among the owners, in milliseconds. */
const DEPRIORITIZED_MS = 1500;

/**
 * Idle time after which a link is closed, in milliseconds: over time each VM exchanges state with
 * all others, and each open link costs a file descriptor at both ends.
 */
const IDLE_LINK_MS = 8000;
/** Period of the check for idle links, in milliseconds. */
const IDLE_CHECK_MS = 2000;
/** Log lines about changed members per second; without a limit a fleet of n VMs that starts logs n² lines. */
const MEMBER_LINES_PER_S = 3;
/** Time for which membership changes are batched before the listener is called, in milliseconds. */
const MEMBER_BATCH_MS = 50;

interface OpenLink {
  readonly link: PeerLink;
  usedAt: number;
}

/** Membership of the fleet and the links to other VMs. */
export class RouterFleet {
  readonly #settings: RouterSettings;

  readonly #log: Logger;

  readonly #listener: FleetListener;

  readonly #members: MembershipDriver;

  /** The number of VMs that may run. */
  readonly census = new FleetCensus(performance.now());

  readonly #server: PeerServer;

  readonly #links = new Map<string, OpenLink>();

  /** Links that other VMs opened to this VM, by VM name. */
  readonly #clients = new Map<string, Peer>();

  /** Addresses to which links stay open although they are idle. */
  readonly #keptOpen = new Set<string>();

  readonly #lines: LogRateLimiter;

  #reaper: NodeJS.Timeout | undefined;

  #isBatching = false;

  readonly #deprioritizedUntil = new Map<string, number>();

  /** Cached ranking of owners by key; cleared when the membership changes. */
  readonly #ranking = new Map<string, readonly Member[]>();

  /** Cached addresses for callers by failure domain; cleared when the membership changes. */
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
    this.#lines = new LogRateLimiter(MEMBER_LINES_PER_S, (lines) =>
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
        onChange: (member) => this.#onMemberChange(member),
        onUpdate: (update, address) => listener.onUpdate(update, address),
        onDigestDiffers: (address, digest) => listener.onDigestDiffers(address, digest),
      },
    });
    this.#server = new PeerServer({
      host,
      port: Number(port),
      key: peerKey,
      vm,
      log,
      handler: {
        onOpen: (from) => this.#clients.set(from.vm, from),
        onMessage: () => {},
        onClose: (from) => this.#onLinkClosed(from),
        onCall: (from, method, params) =>
          listener.onCall(from.vm, method, params, (name, value) => this.#push(from, name, value)),
        onTunnel: (request, socket) => listener.onTunnel(request, socket),
      },
    });
  }

  async start(): Promise<void> {
    await this.#server.listen();
    await this.#members.start();
    this.contact(this.#settings.seeds);
    this.#reaper = setInterval(() => this.#closeIdle(performance.now()), IDLE_CHECK_MS);
  }

  async stop(): Promise<void> {
    this.#members.stop();
    clearInterval(this.#reaper);
    for (const { link } of this.#links.values()) link.close();
    await this.#server.close();
  }

  /** The membership protocol's state. */
  get members(): Members {
    return this.#members.members;
  }

  /** This VM as a member. */
  get self(): Member {
    return this.members.self;
  }

  /** All known members, dead and departed ones included. */
  get all(): readonly Member[] {
    return this.#members.members.all;
  }

  /** Members that are present, this VM included. */
  get alive(): readonly Member[] {
    return this.all.filter(isPresent);
  }

  /** Probes addresses at which other VMs may run. */
  contact(addresses: readonly string[]): void {
    const others = addresses.filter((address) => address !== this.#settings.peer);
    this.#members.handle({ kind: 'contact', addresses: others });
  }

  /** Merges the members that another VM knows. */
  sync(members: readonly Member[]): void {
    this.#members.handle({ kind: 'synced', members });
  }

  /** Adds VMs that the store lists, unless their addresses are known: results of probes take precedence. */
  addListed(vms: readonly { readonly vm: string; readonly address: string }[]): void {
    const known = new Set(this.all.map(({ address }) => address));
    const fresh = vms.filter(({ address }) => !known.has(address));
    if (fresh.length === 0) return;
    this.#members.handle({
      kind: 'listed',
      vms: fresh.map(({ vm, address }) => ({ vm, address, leaving: false })),
    });
  }

  /** Sets the description of this VM that is announced to the other members. */
  describe(description: MemberStatus): void {
    this.#members.handle({ kind: 'described', description });
  }

  /** Sets the digest of this VM's state, which other members compare with theirs. */
  setDigest(digest: string): void {
    this.#members.members.setDigest(digest);
  }

  /** Announces that this VM leaves. */
  leave(): void {
    this.#members.handle({ kind: 'leaving' });
  }

  /** Sends gossip updates to the other members. */
  gossip(rumours: readonly GossipUpdate[]): void {
    if (rumours.length > 0) this.#members.handle({ kind: 'rumours', rumours });
  }

  /** Addresses for callers in a failure domain, of VMs that are present and do not drain; the best first. */
  callerAddresses(domain: string): readonly string[] {
    const known = this.#addresses.get(domain);
    if (known) return known;
    const addresses = addressesNear(domain, this.all);
    this.#addresses.set(domain, addresses);
    return addresses;
  }

  /** VMs that may own a key, by descending rank; those that recently did not answer a call come last. */
  ownersOf(now: number, key: string): readonly Member[] {
    const owners = this.#ranked(key);
    const isDeprioritized = ({ vm }: Member): boolean =>
      (this.#deprioritizedUntil.get(vm) ?? 0) > now;
    return [...owners.filter((m) => !isDeprioritized(m)), ...owners.filter(isDeprioritized)];
  }

  /** Opens links to the first owners of a key in advance, so that no request waits for a connection. */
  warm(now: number, key: string): void {
    const owners = this.ownersOf(now, key).slice(0, WARM_OWNERS);
    const others = owners.filter(({ vm }) => vm !== this.#settings.vm);
    for (const { address } of others) {
      this.#keptOpen.add(address);
      this.#linkTo(now, address);
    }
  }

  /** Clears the set of links that `warm` keeps open. */
  clearWarm(): void {
    this.#keptOpen.clear();
  }

  /**
   * Owners of a key by rank. Cached until the membership changes, since a ranking costs one hash per
   * VM: 65 in a fleet of 65.
   */
  #ranked(key: string): readonly Member[] {
    const known = this.#ranking.get(key);
    if (known) return known;
    const owners = rankByCores(key, this.all.filter(canOwn));
    this.#ranking.set(key, owners);
    return owners;
  }

  /** Ranks a VM that did not answer last among the owners for `DEPRIORITIZED_MS`. */
  deprioritize(now: number, vm: string): void {
    this.#deprioritizedUntil.set(vm, now + DEPRIORITIZED_MS);
  }

  /**
   * Calls another VM, waiting for the link if it is still being opened. `limitMs` bounds the wait
   * and then the call, in milliseconds.
   */
  async call(address: string, method: string, params: unknown, limitMs: number): Promise<unknown> {
    const link = this.#linkTo(performance.now(), address);
    if (!link.up) await Promise.race([link.attempted, pause(limitMs, undefined, { ref: false })]);
    return link.call(method, params, limitMs);
  }

  /** Opens a tunnel to a runner through another VM; see `openTunnel`. */
  openTunnel(
    { address }: Member,
    request: TunnelRequest,
    signal: AbortSignal,
  ): Promise<OpenTunnel> {
    return openTunnel(address, this.#settings.peerKey, request, signal);
  }

  /** Calls a method of all VMs that have opened a link to this VM, over these links. */
  callClients(method: string, params: unknown): void {
    for (const peer of this.#clients.values()) this.#push(peer, method, params);
  }

  #push(peer: Peer, method: string, params: unknown): void {
    peer.call(method, params).catch((error) => {
      this.#log.debug({ vm: peer.vm, method }, toFailure(error).line);
    });
  }

  #onLinkClosed(peer: Peer): void {
    const { vm } = peer;
    if (this.#clients.get(vm) === peer) this.#clients.delete(vm);
    const { state, address = '' } = this.#members.members.get(vm) ?? {};
    if (state === 'left' || state === 'dead') this.#listener.onVmLost(vm, address);
  }

  #closeIdle(now: number): void {
    // Others take the end of a link for that of a VM that has left.
    if (this.self.state === 'left') return;
    for (const [address, { link, usedAt }] of this.#links) {
      if (now - usedAt > IDLE_LINK_MS && !this.#keptOpen.has(address)) {
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

  #onMemberChange(member: Member): void {
    const { vm, address, state, draining, incarnation } = member;
    if (this.#lines.tryAcquire(performance.now())) {
      this.#log.info({ vm, state, draining, incarnation }, 'Member changed.');
    }
    if (state === 'dead' || state === 'left') {
      this.#links.get(address)?.link.close();
      this.#links.delete(address);
    }
    // A VM that has left still completes its requests; it counts as lost when its link closes.
    if (state === 'dead') this.#listener.onVmLost(vm, address);
    this.#ranking.clear();
    this.#addresses.clear();
    this.#batchChanges();
  }

  /** Batches membership changes, which come in bursts, into one call of the listener. */
  #batchChanges(): void {
    if (this.#isBatching) return;
    this.#isBatching = true;
    setTimeout(() => {
      this.#isBatching = false;
      this.census.update(performance.now(), this.all);
      this.#listener.onMembersChange();
    }, MEMBER_BATCH_MS).unref();
  }
}
