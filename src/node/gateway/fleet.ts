/** The gateway's view of the fleet: members, current settings, and links to the schedulers it uses. */

import type { Logger } from 'pino';

import { Failure } from '../../core/failure';
import type { Member } from '../../core/membership/types';
import { LEDGER_SHARDS } from '../../core/ledger/shard';
import { OwnerCache, chooseAddresses } from '../../core/ownership';
import type { Settings } from '../../core/settings/documents';
import { SettingsDocuments } from '../../core/settings/documents';
import { PeerLink } from '../peer/link';
import type { MemberNotice, ToGateway } from '../peer/messages';
import { PROTOCOL_VERSION } from '../peer/messages';

/** Dependencies and settings of `Fleet`. */
export interface FleetOptions {
  /** Id of this gateway process. */
  readonly id: string;
  readonly vm: string;
  /** Shared key that authenticates peers. */
  readonly key: string;
  /** Peer address of the scheduler on this VM. */
  readonly localScheduler: string;
  /** Callers' address of this gateway. */
  readonly address: () => string;
  readonly log: Logger;
  /** Called with each message from a scheduler about a request. */
  readonly onMessage: (link: PeerLink, message: ToGateway) => void;
  /** Called when owners may have changed, or when a link came up or went down. */
  readonly onChange: () => void;
}

/** Links that were not used for this time are closed, in milliseconds. */
const UNUSED_LINK_TIMEOUT_MS = 30_000;
/** Maximum number of addresses in one response. */
const MAX_ADDRESSES = 8;

/** A link and when it was last used, in milliseconds since the epoch. */
interface UsedLink {
  readonly link: PeerLink;
  usedAt: number;
}

/** Members, settings, owners and links of the fleet, as last reported to this gateway. */
export class Fleet {
  readonly #options: FleetOptions;

  readonly #documents = new SettingsDocuments();

  readonly #members = new Map<string, Member>();

  readonly #owners = new OwnerCache();

  readonly #links = new Map<string, UsedLink>();

  readonly #sweeper: NodeJS.Timeout;

  #closed = false;

  constructor(options: FleetOptions) {
    this.#options = options;
    this.#sweeper = setInterval(() => this.#sweep(Date.now()), UNUSED_LINK_TIMEOUT_MS / 3);
  }

  /** Connects to the scheduler of this VM; call this once callers can be served. */
  start(): void {
    this.#linkTo(this.#options.localScheduler);
  }

  /** The current settings. */
  get settings(): Settings {
    return this.#documents;
  }

  /** All known members, in any state. */
  get members(): readonly Member[] {
    return [...this.#members.values()];
  }

  /** Whether the settings and the members have been received from a scheduler. */
  get isReady(): boolean {
    return this.#documents.consortium !== undefined && this.#members.size > 0;
  }

  /** Link to the scheduler of this VM. */
  get localScheduler(): PeerLink {
    return this.#linkTo(this.#options.localScheduler);
  }

  /**
   * Returns the link to the first reachable owner of a pool; opens links as needed.
   * Undefined if the pool is unknown or no owner is reachable.
   */
  ownerOf(pool: string): PeerLink | undefined {
    const spec = this.#documents.pool(pool);
    return spec ? this.#firstUp(this.#owners.ofPool(pool, spec), 2) : undefined;
  }

  /** Calls the owner of a ledger shard, or the next one if it is unreachable; rejects with `noOwner` if none is reachable. */
  callShard(shard: number, method: string, params: unknown): Promise<unknown> {
    if (shard >= LEDGER_SHARDS) throw new Failure('internal', `found shard ${shard}`);
    return this.#callFirst(this.#owners.ofShard(shard), method, params);
  }

  /** Calls the owner of a request key, or the next one if it is unreachable; rejects with `noOwner` if none is reachable. */
  callKey(key: string, method: string, params: unknown): Promise<unknown> {
    return this.#callFirst(this.#owners.ofRequestKey(key), method, params);
  }

  /** Calls the scheduler of a VM; rejects with `noOwner` if it is unreachable for `limitMs`. */
  callMember(
    { address }: Member,
    method: string,
    params: unknown,
    limitMs: number,
  ): Promise<unknown> {
    return this.#whenUp(address, limitMs).then((link) => link.call(method, params, limitMs));
  }

  /** Chooses gateway addresses to give to callers. */
  addresses(): readonly string[] {
    return chooseAddresses(this.members, Math.random, MAX_ADDRESSES);
  }

  /** Closes all links. */
  close(): void {
    this.#closed = true;
    clearInterval(this.#sweeper);
    for (const { link } of this.#links.values()) link.close();
    this.#links.clear();
  }

  #callFirst(owners: readonly Member[], method: string, params: unknown): Promise<unknown> {
    const link =
      this.#firstUp(owners, 2) ?? (this.localScheduler.up ? this.localScheduler : undefined);
    if (!link) {
      return Promise.reject(new Failure('noOwner', `${method}: no scheduler is reachable`));
    }
    return link.call(method, params);
  }

  #firstUp(owners: readonly Member[], limit: number): PeerLink | undefined {
    const links = owners.slice(0, limit).map(({ address }) => this.#linkTo(address));
    return links.find(({ up }) => up);
  }

  #whenUp(address: string, limitMs: number): Promise<PeerLink> {
    const link = this.#linkTo(address);
    if (link.up) return Promise.resolve(link);
    return new Promise((resolve, reject) => {
      const deadlineAt = Date.now() + limitMs;
      const poll = setInterval(() => {
        if (!link.up && Date.now() < deadlineAt) return;
        clearInterval(poll);
        if (link.up) resolve(link);
        else reject(new Failure('noOwner', `${address} did not answer within ${limitMs} ms`));
      }, 10);
    });
  }

  #linkTo(address: string): PeerLink {
    const known = this.#links.get(address);
    if (known) {
      known.usedAt = Date.now();
      return known.link;
    }
    const { id, vm, key, log, onMessage, onChange } = this.#options;
    const link: PeerLink = new PeerLink({
      address,
      version: PROTOCOL_VERSION,
      hello: { key, role: 'gateway', id, vm, address: this.#options.address() },
      log,
      onMessage: (message) => this.#receive(link, message, onMessage),
      onUp: onChange,
      onDown: onChange,
    });
    this.#links.set(address, { link, usedAt: Date.now() });
    // Requests that are still open after close() ask for links; these would reconnect forever.
    if (this.#closed) link.close();
    return link;
  }

  #receive(link: PeerLink, message: ToGateway, forward: FleetOptions['onMessage']): void {
    if (message.kind === 'settings') {
      for (const document of message.documents) this.#documents.apply(document);
      this.#owners.invalidate();
      this.#options.onChange();
    } else if (message.kind === 'members') {
      this.#updateMembers(link, message.members);
    } else {
      forward(link, message);
    }
  }

  /**
   * The scheduler of this VM reports all changes. Other schedulers report members
   * only on connecting, so their reports only add members that are missing.
   */
  #updateMembers(link: PeerLink, notices: readonly MemberNotice[]): void {
    const isLocal = link.address === this.#options.localScheduler;
    for (const notice of notices) {
      if (isLocal || !this.#members.has(notice.vm)) {
        this.#members.set(notice.vm, { ...notice, incarnation: 0, cores: 1, storeLost: false });
      }
    }
    this.#owners.update(this.members);
    this.#options.onChange();
  }

  /** Closes unused links and removes members that are dead or have left. */
  #sweep(now: number): void {
    for (const [address, { link, usedAt }] of this.#links) {
      if (address !== this.#options.localScheduler && now - usedAt > UNUSED_LINK_TIMEOUT_MS) {
        this.#links.delete(address);
        link.close();
      }
    }
    for (const [vm, { state }] of this.#members) {
      if (state === 'dead' || state === 'left') this.#members.delete(vm);
    }
  }
}
