/** The VMs of the router: who lives, links to them, and what they tell each other. */

import type { Logger } from 'pino';

import type { Member } from '../../core/membership/types';
import { mayOwn } from '../../core/membership/types';
import { rank } from '../../core/rendezvous';
import { toFailure } from '../../core/failure';
import type { Metrics } from '../metrics';
import { PeerLink } from '../peer/link';
import { PROTOCOL_VERSION } from '../peer/messages';
import type { Peer } from '../peer/server';
import { PeerServer } from '../peer/server';
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
  onLost(vm: string): void;
  /** The membership changed. */
  onMembers(): void;
  /** Another VM knows other things than this one. */
  onDiffers(address: string): void;
  /** Another VM has news of that kind and revision. */
  onRumour(path: string, revision: number, address: string): void;
}

/** Period of membership probes, in milliseconds: a dead VM is found in about a second and a half. */
const PROBE_MS = 300;
/** Time that a suspect has to answer, in milliseconds. */
const SUSPECT_MS = 800;
/** VMs that may plan a service to which links are kept: the owner and the next. */
const WARM_OWNERS = 2;
/** Time for which a VM that did not answer a call is passed over as an owner, in milliseconds. */
const SHUNNED_MS = 1500;

/** Members and links. */
export class RouterFleet {
  readonly #settings: RouterSettings;

  readonly #log: Logger;

  readonly #listener: FleetListener;

  readonly #members: MembershipDriver;

  readonly #server: PeerServer;

  readonly #links = new Map<string, PeerLink>();

  readonly #shunned = new Map<string, number>();

  /** Owners by key, until the membership changes. */
  readonly #ranking = new Map<string, readonly Member[]>();

  constructor(settings: RouterSettings, metrics: Metrics, log: Logger, listener: FleetListener) {
    this.#settings = settings;
    this.#log = log;
    this.#listener = listener;
    const { vm, domain, peer, peerKey } = settings;
    const [host = '', port = '0'] = peer.split(':');
    this.#members = new MembershipDriver({
      membership: {
        vm,
        domain,
        address: peer,
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
      listener: {
        onChange: (member) => this.#changed(member),
        onRumour: ({ path, revision }, address) => listener.onRumour(path, revision, address),
        onDiffers: (address) => listener.onDiffers(address),
      },
    });
    this.#server = new PeerServer({
      host,
      port: Number(port),
      key: peerKey,
      vm,
      log,
      handler: {
        onOpen: () => {},
        onMessage: () => {},
        onClose: (from) => this.#linkClosed(from.vm),
        onCall: (from, method, params) =>
          listener.onCall(from.vm, method, params, (name, value) => this.#push(from, name, value)),
      },
    });
  }

  async start(): Promise<void> {
    await this.#server.listen();
    await this.#members.start();
    this.contact(this.#settings.seeds);
  }

  async stop(): Promise<void> {
    this.#members.stop();
    for (const link of this.#links.values()) link.close();
    await this.#server.close();
  }

  get all(): readonly Member[] {
    return this.#members.members.all;
  }

  /** VMs that live, this one included. */
  get alive(): readonly Member[] {
    return this.all.filter(({ state }) => state === 'alive' || state === 'suspect');
  }

  /** Says hello to addresses at which other VMs may be. */
  contact(addresses: readonly string[]): void {
    const others = addresses.filter((address) => address !== this.#settings.peer);
    this.#members.tell({ kind: 'contact', addresses: others });
  }

  /** VMs that the store names; what probes say of them goes first. */
  list(vms: readonly { readonly vm: string; readonly address: string }[]): void {
    const known = new Set(this.all.map(({ address }) => address));
    const fresh = vms.filter(({ address }) => !known.has(address));
    if (fresh.length === 0) return;
    this.#members.tell({
      kind: 'listed',
      vms: fresh.map(({ vm, address }) => ({ vm, address, leaving: false })),
    });
  }

  /** Tells the others whether this VM takes callers and at which address. */
  describe(front: string, draining: boolean): void {
    this.#members.tell({ kind: 'described', gateways: [front], draining });
  }

  /** What this VM knows, in short, for others to compare. */
  setDigest(digest: string): void {
    this.#members.members.setDigest(digest);
  }

  leave(): void {
    this.#members.tell({ kind: 'leaving' });
  }

  spread(path: string, revision: number): void {
    this.#members.tell({ kind: 'rumour', rumour: { path, revision } });
  }

  /** Addresses for callers, of VMs that live and stay. */
  get callerAddresses(): readonly string[] {
    const open = this.all.filter(({ state, draining }) => state === 'alive' && !draining);
    return open.flatMap(({ gateways }) => gateways);
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
    owners
      .filter(({ vm }) => vm !== this.#settings.vm)
      .forEach(({ address }) => this.#linkTo(address));
  }

  /** Worked out once for each membership: a fleet of 65 costs 65 hashes. */
  #ranked(key: string): readonly Member[] {
    const known = this.#ranking.get(key);
    if (known) return known;
    const candidates = this.all
      .filter(mayOwn)
      .map((member) => ({ id: member.vm, weight: 1, member }));
    const owners = rank(key, candidates).map(({ member }) => member);
    this.#ranking.set(key, owners);
    return owners;
  }

  shun(now: number, vm: string): void {
    this.#shunned.set(vm, now + SHUNNED_MS);
  }

  /** Calls another VM. */
  call(address: string, method: string, params: unknown, limitMs: number): Promise<unknown> {
    return this.#linkTo(address).call(method, params, limitMs);
  }

  #push(peer: Peer, method: string, params: unknown): void {
    peer.call(method, params).catch((error) => {
      this.#log.debug({ vm: peer.vm, method }, toFailure(error).line);
    });
  }

  #linkClosed(vm: string): void {
    const state = this.#members.members.get(vm)?.state;
    if (state === 'left' || state === 'dead') this.#listener.onLost(vm);
  }

  #linkTo(address: string): PeerLink {
    const known = this.#links.get(address);
    if (known) return known;
    const { vm, peerKey, peer } = this.#settings;
    const link = new PeerLink({
      address,
      hello: { key: peerKey, role: 'gateway', id: peer, vm },
      version: PROTOCOL_VERSION,
      log: this.#log,
      onMessage: () => {},
      onCall: (method, params) => this.#listener.onCall(address, method, params, () => {}),
    });
    this.#links.set(address, link);
    return link;
  }

  #changed(member: Member): void {
    const { vm, address, state, draining, incarnation } = member;
    this.#log.info({ vm, state, draining, incarnation }, 'Member changed.');
    if (state === 'dead' || state === 'left') {
      this.#links.get(address)?.close();
      this.#links.delete(address);
    }
    // A VM that has left still serves what it has; it is lost when its link closes.
    if (state === 'dead') this.#listener.onLost(vm);
    this.#ranking.clear();
    this.#listener.onMembers();
  }
}
