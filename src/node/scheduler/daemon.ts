/** The scheduler daemon: creates, connects, starts and stops its components. */

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

/** Interval of maintenance, in milliseconds. */
const MAINTENANCE_INTERVAL_MS = 1000;
/** Minimum interval between reads of the platform's VM list, in milliseconds. */
const MIN_LIST_INTERVAL_MS = 2000;
/** Interval between reads of the VM list per member, in milliseconds, so that the read rate of the whole fleet stays about constant. */
const LIST_INTERVAL_PER_MEMBER_MS = 50;
/** Time for gateways to switch to other schedulers before a leaving scheduler exits, in milliseconds. */
const LEAVE_DELAY_MS = 1000;
/** Timeout of the call that asks a gateway whether it holds a request, in milliseconds. */
const HOLDS_TIMEOUT_MS = 1000;

/** One scheduler process. */
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

  #membership: MembershipDriver | undefined;

  #maintenanceTimer: NodeJS.Timeout | undefined;

  #listTimer: NodeJS.Timeout | undefined;

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
      onApplied: (documents) => this.#onSettingsApplied(documents),
    });
    this.#cells = new CellHost({
      settings: () => this.#settings.settings,
      rankIn: (pool) => this.#rankIn(pool),
      log: logOf(log, 'cell'),
      metrics: this.#metrics,
    });
    this.#monitor = new RunnerMonitor({
      settings: () => this.#settings.settings,
      cells: this.#cells,
      runners: this.#runners,
      findHolder: (id) => this.#findHolder(id),
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
        onOpen: (peer) => this.#onPeerOpen(peer),
        onMessage: (peer, message) => this.#receive(peer, message),
        onCall: (_peer, method, params) => this.#methods.dispatch(method, params),
        onClose: (peer) => this.#onPeerClose(peer),
      },
    });
  }

  /** Starts all components; resolves to the port for peers. */
  async start(log: Logger): Promise<number> {
    const { host } = this.#config.peer;
    const port = await this.#server.listen();
    const membership = new MembershipDriver({
      membership: {
        vm: this.#config.vm,
        domain: this.#config.domain,
        address: `${host}:${port}`,
        cores: 1,
        probeMs: this.#config.probeMs,
        suspectMs: this.#config.suspectMs,
        random: Math.random,
        // Higher than the incarnation of any earlier process on this VM, since incarnations increase far more slowly than the time in milliseconds.
        incarnation: Date.now(),
      },
      host,
      port,
      key: this.#config.peerKey,
      log: logOf(log, 'members'),
      metrics: this.#metrics,
      listener: {
        onChange: (member) => this.#onMemberChange(member),
        onUpdate: (rumour, address) =>
          this.#runInBackground(this.#settings.onUpdate(rumour, address)),
        onDigestDiffers: (address) =>
          this.#runInBackground(this.#settings.onDigestDiffers(Date.now(), address)),
      },
    });
    this.#membership = membership;
    this.#owners.update(membership.members.all);
    await membership.start();
    await this.#readVmList();
    this.#settings.start();
    this.#monitor.start();
    this.#maintenanceTimer = setInterval(() => this.#runMaintenance(), MAINTENANCE_INTERVAL_MS);
    this.#log.info({ port }, 'Started.');
    return port;
  }

  /** Leaves the fleet: announces it, gives the next owners time to take over, then closes. */
  async stop(): Promise<void> {
    this.#leaving = true;
    this.#membership?.handle({ kind: 'leaving' });
    this.#sendMembers(this.#allMembers());
    this.#owners.update(this.#allMembers());
    this.#cells.reconcile();
    await pause(LEAVE_DELAY_MS);
    await this.close();
    this.#log.info('Stopped.');
  }

  /** Closes all components immediately. Further calls do nothing. */
  async close(): Promise<void> {
    if (this.#closed) return;
    this.#closed = true;
    clearInterval(this.#maintenanceTimer);
    clearTimeout(this.#listTimer);
    this.#monitor.stop();
    this.#settings.stop();
    this.#cells.stop();
    this.#ledger.stop();
    this.#links.close();
    this.#membership?.stop();
    await this.#server.close();
    this.#runners.close();
    this.#platform.close();
    this.#metrics.close();
  }

  /** Status of this scheduler as shown by `ctl status`. */
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
    return this.#membership?.members.all ?? [];
  }

  /** Rank of this scheduler among the owners of the pool, from 0; Infinity if it cannot own the pool. */
  #rankIn(pool: string): number {
    const spec = this.#settings.settings.pool(pool);
    if (!spec || this.#leaving) return Infinity;
    const rank = this.#owners.ofPool(pool, spec).findIndex(({ vm }) => vm === this.#config.vm);
    return rank < 0 ? Infinity : rank;
  }

  #onPeerOpen(peer: Peer): void {
    if (peer.role !== 'gateway') return;
    const { settings } = this.#settings;
    peer.send({ kind: 'settings', documents: [...settings.newerThan({})] });
    peer.send({
      kind: 'members',
      members: this.#allMembers().map((member) => toNotice(member)),
    });
    if (peer.vm !== this.#config.vm) return;
    this.#gateways.set(peer.id, peer);
    this.#drainingGateways.delete(peer.id);
    this.#announceStatus();
  }

  #onPeerClose(peer: Peer): void {
    if (peer.role !== 'gateway') return;
    this.#cells.onGatewayDisconnect(peer);
    if (this.#gateways.get(peer.id) !== peer) return;
    this.#gateways.delete(peer.id);
    this.#announceStatus();
  }

  /** Announces to the fleet which gateways of this VM accept callers. */
  #announceStatus(): void {
    const open = [...this.#gateways.values()].filter(({ id }) => !this.#drainingGateways.has(id));
    const gateways = open.flatMap(({ address }) => (address === undefined ? [] : [address]));
    const description = { gateways, draining: this.#leaving, storeLost: false };
    this.#membership?.handle({ kind: 'described', description });
  }

  #receive(peer: Peer, message: ToScheduler): void {
    if (message.kind === 'draining') {
      this.#drainingGateways.add(peer.id);
      this.#announceStatus();
      return;
    }
    if (message.kind === 'hello' || message.kind === 'call' || message.kind === 'reply') return;
    this.#cells.receive(peer, message);
  }

  #onMemberChange(member: Member): void {
    this.#owners.update(this.#allMembers());
    this.#sendMembers([member]);
    this.#cells.reconcile();
    if (member.vm !== this.#config.vm) this.#log.info(`Member ${member.vm} is ${member.state}.`);
  }

  #sendMembers(members: readonly Member[]): void {
    const notices = members.map((member) => toNotice(member));
    for (const gateway of this.#gateways.values()) {
      gateway.send({ kind: 'members', members: notices });
    }
  }

  #onSettingsApplied(documents: readonly StoredDocument[]): void {
    this.#owners.invalidate();
    this.#membership?.members.setDigest(this.#settings.settings.digest);
    const rumours = documents.map(({ path, revision }) => ({ path, revision }));
    if (rumours.length > 0) this.#membership?.handle({ kind: 'rumours', rumours });
    for (const gateway of this.#gateways.values()) {
      gateway.send({ kind: 'settings', documents: [...documents] });
    }
    this.#cells.reconcile();
  }

  #runMaintenance(): void {
    this.#keys.expire(Date.now());
    this.#cells.reconcile();
    this.#cells.publishMetrics();
  }

  async #readVmList(): Promise<void> {
    try {
      const vms = await this.#platform.listVms();
      const listed = vms.map(({ id, address, leaving }) => ({
        vm: id,
        address: this.#peerAddress(address),
        leaving,
      }));
      this.#membership?.handle({ kind: 'listed', vms: listed });
      const leavingHosts = vms
        .filter(({ leaving }) => leaving)
        .map(({ address }) => address.split(':')[0] ?? '');
      this.#cells.setLeavingHosts(new Set(leavingHosts));
    } catch (error) {
      this.#log.debug(`The VM list could not be read. ${toFailure(error).line}.`);
    }
    const wait = Math.max(
      MIN_LIST_INTERVAL_MS,
      LIST_INTERVAL_PER_MEMBER_MS * this.#allMembers().length,
    );
    this.#listTimer = setTimeout(() => this.#runInBackground(this.#readVmList()), wait);
  }

  /** The list contains hosts; all schedulers listen on the same port unless the list names one. */
  #peerAddress(address: string): string {
    return address.includes(':') ? address : `${address}:${this.#config.peer.port}`;
  }

  async #findHolder(id: string): Promise<'held' | 'gone' | 'unknown'> {
    try {
      const answer = await call({
        method: 'POST',
        url: `http://${gatewayOf(id)}/internal/holds`,
        headers: { authorization: `Bearer ${this.#config.peerKey}` },
        body: JSON.stringify({ id }),
        timeoutMs: HOLDS_TIMEOUT_MS,
      });
      if (answer.status !== 200) return 'unknown';
      return (JSON.parse(answer.body) as { held: boolean }).held ? 'held' : 'gone';
    } catch {
      return 'unknown';
    }
  }

  #runInBackground(work: Promise<void>): void {
    work.catch((error) => this.#log.error(toFailure(error).line));
  }
}

function toNotice({ vm, domain, address, state, draining, gateways }: Member): MemberNotice {
  return { vm, domain, address, state, draining, gateways: [...gateways] };
}
