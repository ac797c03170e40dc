/** What a gateway knows of the fleet: members, settings in force, and links to the schedulers it uses. */

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

/** What the fleet view works with. */
export interface FleetOptions {
  readonly id: string;
  readonly vm: string;
  readonly key: string;
  /** Peer address of the scheduler on this VM. */
  readonly localScheduler: string;
  /** Callers' address of this gateway. */
  readonly address: () => string;
  readonly log: Logger;
  /** A message from a scheduler about a request. */
  readonly onMessage: (link: PeerLink, message: ToGateway) => void;
  /** Owners may have changed, or a link came up or went down. */
  readonly onChange: () => void;
}

/** Links that no owner needs any more are closed after this time, in milliseconds. */
const UNUSED_MS = 30_000;
/** Addresses in one answer. */
const ADDRESS_LIMIT = 8;

interface Used {
  readonly link: PeerLink;
  usedAt: number;
}

/** The fleet as this gateway sees it. */
export class Fleet {
  readonly #options: FleetOptions;

  readonly #book = new SettingsDocuments();

  readonly #members = new Map<string, Member>();

  readonly #owners = new OwnerCache();

  readonly #links = new Map<string, Used>();

  readonly #sweeper: NodeJS.Timeout;

  #closed = false;

  constructor(options: FleetOptions) {
    this.#options = options;
    this.#sweeper = setInterval(() => this.#sweep(Date.now()), UNUSED_MS / 3);
  }

  /** Connects to the scheduler of this VM; to be called once callers can be served. */
  start(): void {
    this.#linkTo(this.#options.localScheduler);
  }

  get settings(): Settings {
    return this.#book;
  }

  get members(): readonly Member[] {
    return [...this.#members.values()];
  }

  /** Whether the scheduler of this VM has told the settings and the members. */
  get isReady(): boolean {
    return this.#book.consortium !== undefined && this.#members.size > 0;
  }

  get localScheduler(): PeerLink {
    return this.#linkTo(this.#options.localScheduler);
  }

  /** Link to the first owner of a pool that can be reached; opens links as needed. */
  ownerOf(pool: string): PeerLink | undefined {
    const spec = this.#book.pool(pool);
    return spec ? this.#firstUp(this.#owners.ofPool(pool, spec), 2) : undefined;
  }

  /** Calls the owner of a ledger shard, or the next if it cannot be reached. */
  callShard(shard: number, method: string, params: unknown): Promise<unknown> {
    if (shard >= LEDGER_SHARDS) throw new Failure('internal', `found shard ${shard}`);
    return this.#callFirst(this.#owners.ofShard(shard), method, params);
  }

  /** Calls the owner of a request key, or the next if it cannot be reached. */
  callKey(key: string, method: string, params: unknown): Promise<unknown> {
    return this.#callFirst(this.#owners.ofRequestKey(key), method, params);
  }

  /** Calls the scheduler of a VM. */
  callMember(
    { address }: Member,
    method: string,
    params: unknown,
    limitMs: number,
  ): Promise<unknown> {
    return this.#whenUp(address, limitMs).then((link) => link.call(method, params, limitMs));
  }

  /** Addresses for callers. */
  addresses(): readonly string[] {
    return chooseAddresses(this.members, Math.random, ADDRESS_LIMIT);
  }

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
      return Promise.reject(new Failure('noOwner', `${method}: no scheduler can be reached`));
    }
    return link.call(method, params);
  }

  #firstUp(owners: readonly Member[], tried: number): PeerLink | undefined {
    const links = owners.slice(0, tried).map(({ address }) => this.#linkTo(address));
    return links.find(({ up }) => up);
  }

  #whenUp(address: string, limitMs: number): Promise<PeerLink> {
    const link = this.#linkTo(address);
    if (link.up) return Promise.resolve(link);
    return new Promise((resolve, reject) => {
      const until = Date.now() + limitMs;
      const look = setInterval(() => {
        if (!link.up && Date.now() < until) return;
        clearInterval(look);
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
    // What is still under way at the stop asks for links; they would connect again for ever.
    if (this.#closed) link.close();
    return link;
  }

  #receive(link: PeerLink, message: ToGateway, pass: FleetOptions['onMessage']): void {
    if (message.kind === 'settings') {
      for (const document of message.documents) this.#book.apply(document);
      this.#owners.invalidate();
      this.#options.onChange();
    } else if (message.kind === 'members') {
      this.#learn(link, message.members);
    } else {
      pass(link, message);
    }
  }

  /** The scheduler of this VM tells of all changes; what others tell on connecting only fills gaps. */
  #learn(link: PeerLink, notices: readonly MemberNotice[]): void {
    const fromHome = link.address === this.#options.localScheduler;
    for (const notice of notices) {
      if (fromHome || !this.#members.has(notice.vm)) {
        this.#members.set(notice.vm, { ...notice, incarnation: 0, cores: 1, storeLost: false });
      }
    }
    this.#owners.update(this.members);
    this.#options.onChange();
  }

  #sweep(now: number): void {
    for (const [address, { link, usedAt }] of this.#links) {
      if (address !== this.#options.localScheduler && now - usedAt > UNUSED_MS) {
        this.#links.delete(address);
        link.close();
      }
    }
    for (const [vm, { state }] of this.#members) {
      if (state === 'dead' || state === 'left') this.#members.delete(vm);
    }
  }
}
