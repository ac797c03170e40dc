/** The scheduler daemon: puts its parts together, starts and stops them. */

import { setTimeout as pause } from 'node:timers/promises';

import type { Logger } from 'pino';

import { toFailure } from '../../core/failure';
import { gatewayOf } from '../../core/ids';
import { OwnerCache } from '../../core/ownership';
import type { Member } from '../../core/membership/types';
import { KeyRegistry } from '../../core/registry/keys';
import type { StoredDocument } from '../../core/settings/documents';
import { call } from '../../utils/http';
import type { SchedulerConfig } from '../config';
import { logOf } from '../log';
import type { Metrics } from '../metrics';
import { ProcessMetrics } from '../metrics';
import type { MemberNotice, ToScheduler } from '../peer/messages';
import type { Peer } from '../peer/server';
import { PeerServer } from '../peer/server';
import { HttpPlatform } from '../platform/client';
import { HttpRunnerClient } from '../runner/client';
import { CellHost } from './cells';
import { LedgerWriter } from './ledger';
import { SchedulerLinks } from './links';
import { MembershipDriver } from './members';
import { MethodDispatcher } from './methods';
import { RunnerMonitor } from './monitor';
import { SettingsController } from './settings';

/** Period of housekeeping, in milliseconds. */
const REVIEW_MS = 1000;
/** Least period of reading the platform's VM list, in milliseconds. */
const LIST_MS = 2000;
/** The period grows by this for each member, so that the fleet's reads stay about even, in milliseconds. */
const LIST_MEMBER_MS = 50;
/** Time that gateways get to move on before a leaving scheduler ends, in milliseconds. */
const LEAVE_MS = 1000;
/** Time limit of asking a gateway what it holds, in milliseconds. */
const HOLDS_LIMIT_MS = 1000;

/** A running scheduler. */
export class Scheduler {
  readonly #config: SchedulerConfig;

  readonly #log: Logger;

  readonly #metrics: Metrics;

  readonly #platform: HttpPlatform;

  readonly #runners = new HttpRunnerClient();

  readonly #owners = new OwnerCache();

  readonly #links: SchedulerLinks;

  readonly #settings: SettingsController;

  readonly #cells: CellHost;

  readonly #monitor: RunnerMonitor;

  readonly #ledger: LedgerWriter;

  readonly #keys: KeyRegistry;

  readonly #methods: MethodDispatcher;

  readonly #server: PeerServer;

  readonly #gateways = new Map<string, Peer>();

  readonly #drainingGateways = new Set<string>();

  #members: MembershipDriver | undefined;

  #review: NodeJS.Timeout | undefined;

  #lister: NodeJS.Timeout | undefined;

  #leaving = false;

  #closed = false;

  constructor(config: SchedulerConfig, log: Logger) {
    this.#config = config;
    this.#log = logOf(log, 'scheduler');
    this.#metrics = new ProcessMetrics('scheduler', config.vm, config.metrics);
    this.#platform = new HttpPlatform(config.platform);
    this.#links = new SchedulerLinks({
      vm: config.vm,
      key: config.peerKey,
      log: logOf(log, 'peer'),
    });
    this.#ledger = new LedgerWriter(this.#platform, logOf(log, 'ledger'), this.#metrics);
    this.#keys = new KeyRegistry(config.keyMemory);
    this.#settings = new SettingsController({
      vm: config.vm,
      domain: config.domain,
      platform: this.#platform,
      links: this.#links,
      log: logOf(log, 'settings'),
      metrics: this.#metrics,
      members: () => this.#allMembers(),
      onApplied: (documents) => this.#applied(documents),
    });
    this.#cells = new CellHost({
      settings: () => this.#settings.settings,
      rankIn: (pool) => this.#claimTo(pool),
      log: logOf(log, 'cell'),
      metrics: this.#metrics,
    });
    this.#monitor = new RunnerMonitor({
      settings: () => this.#settings.settings,
      cells: this.#cells,
      runners: this.#runners,
      findHolder: (id) => this.#askHolder(id),
      log: logOf(log, 'cell'),
      metrics: this.#metrics,
    });
    this.#methods = new MethodDispatcher({
      settings: () => this.#settings.settings,
      members: () => this.#allMembers(),
      ledger: this.#ledger,
      keys: this.#keys,
      status: () => this.status(),
    });
    this.#server = new PeerServer({
      ...config.peer,
      key: config.peerKey,
      vm: config.vm,
      log: logOf(log, 'peer'),
      handler: {
        onOpen: (peer) => this.#openPeer(peer),
        onMessage: (peer, message) => this.#receive(peer, message),
        onCall: (_peer, method, params) => this.#methods.dispatch(method, params),
        onClose: (peer) => this.#closePeer(peer),
      },
    });
  }

  /** Starts everything and gives the peer port. */
  async start(log: Logger): Promise<number> {
    const { host } = this.#config.peer;
    const port = await this.#server.listen();
    const members = new MembershipDriver({
      membership: {
        vm: this.#config.vm,
        domain: this.#config.domain,
        address: `${host}:${port}`,
        cores: 1,
        probeMs: this.#config.probeMs,
        suspectMs: this.#config.suspectMs,
        random: Math.random,
        // Above any earlier life of this VM: incarnations grow far slower than milliseconds.
        incarnation: Date.now(),
      },
      host,
      port,
      key: this.#config.peerKey,
      log: logOf(log, 'members'),
      metrics: this.#metrics,
      listener: {
        onChange: (member) => this.#memberChanged(member),
        onUpdate: (rumour, address) => this.#background(this.#settings.onUpdate(rumour, address)),
        onDigestDiffers: (address) =>
          this.#background(this.#settings.onDigestDiffers(Date.now(), address)),
      },
    });
    this.#members = members;
    this.#owners.update(members.members.all);
    await members.start();
    await this.#list();
    this.#settings.start();
    this.#monitor.start();
    this.#review = setInterval(() => this.#housekeep(), REVIEW_MS);
    this.#log.info({ port }, 'Started.');
    return port;
  }

  /** Leaves: announces it, lets the next owners take over, ends. */
  async stop(): Promise<void> {
    this.#leaving = true;
    this.#members?.handle({ kind: 'leaving' });
    this.#notify(this.#allMembers());
    this.#owners.update(this.#allMembers());
    this.#cells.reconcile();
    await pause(LEAVE_MS);
    await this.close();
    this.#log.info('Stopped.');
  }

  /** Ends at once. */
  async close(): Promise<void> {
    if (this.#closed) return;
    this.#closed = true;
    clearInterval(this.#review);
    clearTimeout(this.#lister);
    this.#monitor.stop();
    this.#settings.stop();
    this.#cells.stop();
    this.#ledger.stop();
    this.#links.close();
    this.#members?.stop();
    await this.#server.close();
    this.#runners.close();
    this.#platform.close();
    this.#metrics.close();
  }

  /** What `ctl status` shows of this scheduler. */
  status(): unknown {
    const { settings } = this.#settings;
    return {
      vm: this.#config.vm,
      domain: this.#config.domain,
      leaving: this.#leaving,
      digest: settings.digest,
      cells: [...this.#cells.cells.keys()],
      oldest: this.#cells.oldestRequests(Date.now()),
      gateways: [...this.#gateways.keys()],
      keys: this.#keys.size,
      rss: process.memoryUsage().rss,
      cpuMs: Math.round((process.cpuUsage().user + process.cpuUsage().system) / 1000),
      metrics: this.#metrics.values,
    };
  }

  #allMembers(): readonly Member[] {
    return this.#members?.members.all ?? [];
  }

  #claimTo(pool: string): number {
    const spec = this.#settings.settings.pool(pool);
    if (!spec || this.#leaving) return Infinity;
    const rank = this.#owners.ofPool(pool, spec).findIndex(({ vm }) => vm === this.#config.vm);
    return rank < 0 ? Infinity : rank;
  }

  #openPeer(peer: Peer): void {
    if (peer.role !== 'gateway') return;
    const { settings } = this.#settings;
    peer.send({ kind: 'settings', documents: [...settings.newerThan({})] });
    peer.send({
      kind: 'members',
      members: this.#allMembers().map((member) => notice(member)),
    });
    if (peer.vm !== this.#config.vm) return;
    this.#gateways.set(peer.id, peer);
    this.#drainingGateways.delete(peer.id);
    this.#describe();
  }

  #closePeer(peer: Peer): void {
    if (peer.role !== 'gateway') return;
    this.#cells.onGatewayDisconnect(peer);
    if (this.#gateways.get(peer.id) !== peer) return;
    this.#gateways.delete(peer.id);
    this.#describe();
  }

  /** Tells the fleet which gateways of this VM take callers. */
  #describe(): void {
    const open = [...this.#gateways.values()].filter(({ id }) => !this.#drainingGateways.has(id));
    const gateways = open.flatMap(({ address }) => (address === undefined ? [] : [address]));
    const description = { gateways, draining: this.#leaving, storeLost: false };
    this.#members?.handle({ kind: 'described', description });
  }

  #receive(peer: Peer, message: ToScheduler): void {
    if (message.kind === 'draining') {
      this.#drainingGateways.add(peer.id);
      this.#describe();
      return;
    }
    if (message.kind === 'hello' || message.kind === 'call' || message.kind === 'reply') return;
    this.#cells.receive(peer, message);
  }

  #memberChanged(member: Member): void {
    this.#owners.update(this.#allMembers());
    this.#notify([member]);
    this.#cells.reconcile();
    if (member.vm !== this.#config.vm) this.#log.info(`Member ${member.vm} is ${member.state}.`);
  }

  #notify(members: readonly Member[]): void {
    const notices = members.map((member) => notice(member));
    for (const gateway of this.#gateways.values()) {
      gateway.send({ kind: 'members', members: notices });
    }
  }

  #applied(documents: readonly StoredDocument[]): void {
    this.#owners.invalidate();
    this.#members?.members.setDigest(this.#settings.settings.digest);
    const rumours = documents.map(({ path, revision }) => ({ path, revision }));
    if (rumours.length > 0) this.#members?.handle({ kind: 'rumours', rumours });
    for (const gateway of this.#gateways.values()) {
      gateway.send({ kind: 'settings', documents: [...documents] });
    }
    this.#cells.reconcile();
  }

  #housekeep(): void {
    this.#keys.expire(Date.now());
    this.#cells.reconcile();
    this.#cells.publishMetrics();
  }

  async #list(): Promise<void> {
    try {
      const vms = await this.#platform.listVms();
      const listed = vms.map(({ id, address, leaving }) => ({
        vm: id,
        address: this.#peerAddress(address),
        leaving,
      }));
      this.#members?.handle({ kind: 'listed', vms: listed });
      const leavingHosts = vms
        .filter(({ leaving }) => leaving)
        .map(({ address }) => address.split(':')[0] ?? '');
      this.#cells.setLeavingHosts(new Set(leavingHosts));
    } catch (error) {
      this.#log.debug(`The VM list could not be read. ${toFailure(error).line}.`);
    }
    const wait = Math.max(LIST_MS, LIST_MEMBER_MS * this.#allMembers().length);
    this.#lister = setTimeout(() => this.#background(this.#list()), wait);
  }

  /** The list gives hosts; all schedulers listen on the same port unless the list names one. */
  #peerAddress(address: string): string {
    return address.includes(':') ? address : `${address}:${this.#config.peer.port}`;
  }

  async #askHolder(id: string): Promise<'held' | 'gone' | 'unknown'> {
    try {
      const answer = await call({
        method: 'POST',
        url: `http://${gatewayOf(id)}/internal/holds`,
        headers: { authorization: `Bearer ${this.#config.peerKey}` },
        body: JSON.stringify({ id }),
        timeoutMs: HOLDS_LIMIT_MS,
      });
      if (answer.status !== 200) return 'unknown';
      return (JSON.parse(answer.body) as { held: boolean }).held ? 'held' : 'gone';
    } catch {
      return 'unknown';
    }
  }

  #background(work: Promise<void>): void {
    work.catch((error) => this.#log.error(toFailure(error).line));
  }
}

function notice({ vm, domain, address, state, draining, gateways }: Member): MemberNotice {
  return { vm, domain, address, state, draining, gateways: [...gateways] };
}
