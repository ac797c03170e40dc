/** The router daemon: one process a VM that takes callers, answers the directory and plans services. */

import { setTimeout as pause } from 'node:timers/promises';

import type { Logger } from 'pino';

import { RunnerHealth } from '../../core/cell/health';
import { toFailure } from '../../core/failure';
import { RetryWindow } from '../../core/retries';
import { logOf } from '../log';
import { PeerCalls } from './calls';
import { Control } from './control';
import type { Exchange } from './exchange';
import { RouterFleet } from './fleet';
import { Front } from './front';
import { InflightClient } from './inflight';
import { Knowledge } from './knowledge';
import { RouterMetrics } from './metrics';
import { ModelCaller } from './model';
import { OrderDesk } from './orders';
import { PlanHost } from './owner';
import { Places } from './places';
import { PlainCaller } from './plain';
import { factsSchema } from './plans';
import type {
  ControlCodec,
  Feed,
  IngressCodec,
  OrderLock,
  RouterSettings,
  RunnerClient,
} from './types';

/** The system around the router. */
export interface RouterPorts {
  readonly feed: Feed;
  readonly runners: RunnerClient;
  readonly ingress: IngressCodec;
  readonly control: ControlCodec;
  readonly lock: OrderLock;
}

/** How long a leaving VM goes on taking connections, as a part of the grace: callers keep old addresses for a while. */
const LEAVE_PART = 0.6;
/** Time before the kill at which the process ends whatever still runs, in milliseconds. */
const LAST_MS = 400;
/** Period of looking whether all requests have ended, in milliseconds. */
const DRAIN_CHECK_MS = 50;
/** Time without any other VM after which seeds are asked, in milliseconds. */
const ALONE_MS = 1500;
/** Time limit of reading what another VM knows, in milliseconds. */
const EXCHANGE_LIMIT_MS = 1000;
/** Silence of the store after which other VMs are asked for news, in milliseconds: longer than a watch takes. */
const STORE_SILENT_MS = 3000;
/** Least time between two such readings, in milliseconds. */
const LEARN_PACE_MS = 700;

/** A running router. */
export class Router {
  #settings: RouterSettings;

  readonly #ports: RouterPorts;

  readonly #log: Logger;

  readonly #knowledge: Knowledge;

  readonly #fleet: RouterFleet;

  readonly #runners: InflightClient;

  readonly #host: PlanHost;

  readonly #places: Places;

  readonly #calls: PeerCalls;

  readonly #front: Front;

  readonly #plain: PlainCaller;

  readonly #model: ModelCaller;

  readonly #metrics = new RouterMetrics();

  readonly #control: Control;

  readonly #retries = new Map<string, RetryWindow>();

  readonly #health = new Map<string, RunnerHealth>();

  #orders: OrderDesk | undefined;

  #leaving = false;

  #storeUp = false;

  /** Steady time of the last reading from another VM. */
  #learntAt = -Infinity;

  constructor(settings: RouterSettings, ports: RouterPorts, log: Logger) {
    this.#settings = settings;
    this.#ports = ports;
    this.#log = logOf(log, 'router');
    this.#knowledge = new Knowledge(logOf(log, 'knowledge'), {
      onNews: (kind, source) => this.#onNews(kind, source),
      onUnfitEntry: () => this.#metrics.count('entries.unfit'),
    });
    this.#runners = new InflightClient(
      ports.runners,
      (listing) => this.#knowledge.latestStart(listing),
      logOf(log, 'runner'),
    );
    this.#host = new PlanHost(this.#knowledge, this.#runners, logOf(log, 'cell'), (service) =>
      this.#calls.gather(service),
    );
    this.#fleet = new RouterFleet(settings, this.#metrics, logOf(log, 'members'), {
      onCall: (vm, method, params, push) => this.#calls.answer(vm, method, params, push),
      onLost: (vm) => this.#host.vmLost(performance.now(), vm),
      onMembers: () => this.#warmLinks(),
      onDiffers: (address) => this.#onDiffers(performance.now(), address),
      onRumour: (path, revision, address) => this.#onRumour(path, revision, address),
    });
    this.#places = new Places(settings.vm, this.#fleet, this.#host, logOf(log, 'places'));
    this.#calls = new PeerCalls({
      vm: settings.vm,
      fleet: this.#fleet,
      host: this.#host,
      places: this.#places,
      knowledge: this.#knowledge,
      log: logOf(log, 'peer'),
    });
    const mayRepeat = (now: number, service: string): boolean =>
      this.#retriesOf(service).spend(now, this.#fleet.alive.length);
    this.#plain = new PlainCaller({
      knowledge: this.#knowledge,
      runners: this.#runners,
      health: (service) => this.#healthOf(service),
      mayRepeat,
      domain: settings.domain,
    });
    this.#model = new ModelCaller({
      knowledge: this.#knowledge,
      runners: this.#runners,
      places: this.#places,
      mayRepeat,
    });
    this.#control = new Control({
      codec: ports.control,
      isReady: () => this.#ready,
      callerAddresses: () => this.#fleet.callerAddresses,
      addressTtlMs: () => this.#settings.addressTtlMs,
    });
    this.#front = new Front({
      knowledge: this.#knowledge,
      codec: ports.ingress,
      log: logOf(log, 'front'),
      onRequest: (exchange) => this.#serve(exchange),
      onDone: (exchange, ms) => this.#done(exchange, ms),
    });
  }

  async start(): Promise<void> {
    const { listen, vm } = this.#settings;
    await this.#fleet.start();
    this.#ports.feed.start({
      onConfig: (config, raw) =>
        this.#knowledge.learnConfig(performance.now(), config, raw, 'store'),
      onRunners: (facts) => this.#knowledge.learnRunners(performance.now(), facts, 'store'),
      onListed: (ids, revision) => this.#knowledge.learnList(performance.now(), ids, revision),
      onVms: (vms) => this.#fleet.list(vms.filter((entry) => entry.vm !== vm)),
      onStore: (up, detail) => this.#storeAnswered(performance.now(), up, detail),
    });
    this.#orders = new OrderDesk({
      vm,
      knowledge: this.#knowledge,
      host: this.#host,
      runners: this.#runners,
      lock: this.#ports.lock,
      owns: (service) => this.#owns(service),
      leaseMs: this.#settings.leaseMs,
      log: logOf(this.#log, 'orders'),
    });
    await this.#front.listen(listen.front);
    await this.#control.listen([listen.ready, listen.directory]);
    if (listen.metrics !== undefined) {
      await this.#metrics.listen(listen.metrics, () => this.#beliefs(performance.now()));
    }
    setTimeout(() => this.#askSeeds(), ALONE_MS).unref();
    this.#describe();
    this.#log.info({ vm, listen }, 'Started.');
  }

  /** Takes changed settings over as far as a running process can; bad ones leave the old ones in force. */
  reload(read: () => RouterSettings): void {
    try {
      this.#settings = read();
      const { retries, graceMs, leaseMs, seeds } = this.#settings;
      this.#log.info({ retries, graceMs, leaseMs, seeds }, 'Read the settings again.');
    } catch (error) {
      this.#log.error(`Kept the old settings. ${toFailure(error).line}.`);
    }
  }

  /** Leaves the directory, serves what old answers still bring, and ends when all is answered. */
  async stop(): Promise<void> {
    const { graceMs } = this.#settings;
    const endAt = performance.now() + graceMs - LAST_MS;
    const leaveUntil = performance.now() + graceMs * LEAVE_PART;
    this.#log.info({ active: this.#front.active }, 'Leaving.');
    this.#leaving = true;
    this.#orders?.stop();
    this.#host.leave();
    this.#front.leave();
    this.#fleet.leave();
    this.#describe();
    while (performance.now() < leaveUntil) await pause(DRAIN_CHECK_MS);
    this.#front.close();
    while (this.#front.active > 0 && performance.now() < endAt) await pause(DRAIN_CHECK_MS);
    this.#log.info({ active: this.#front.active }, 'Stopped.');
    this.#ports.feed.stop();
    this.#places.stop();
    this.#host.stop();
    this.#control.close();
    this.#metrics.close();
    await this.#fleet.stop();
  }

  /** What this VM goes by: for operators who ask why it decides as it does. */
  #beliefs(now: number): Readonly<Record<string, unknown>> {
    const services = this.#knowledge.table?.config.services ?? [];
    const models = services.filter(({ engine }) => engine).map(({ name }) => name);
    return {
      vm: this.#settings.vm,
      ready: this.#ready,
      active: this.#front.active,
      ...this.#knowledge.beliefs(now),
      vms: this.#fleet.all.map(({ vm, state, draining }) => ({ vm, state, draining })),
      owners: Object.fromEntries(
        models.map((name) => [name, this.#fleet.ownersOf(now, name)[0]?.vm ?? null]),
      ),
      plans: this.#host.beliefs(now),
    };
  }

  #warmLinks(): void {
    const services = this.#knowledge.table?.config.services ?? [];
    const now = performance.now();
    for (const { name, engine } of services) if (engine) this.#fleet.warm(now, name);
  }

  #owns(service: string): boolean {
    const [owner] = this.#fleet.ownersOf(performance.now(), service);
    return !this.#leaving && owner?.vm === this.#settings.vm;
  }

  async #serve(exchange: Exchange): Promise<void> {
    const { service } = exchange;
    this.#retriesOf(service).first(performance.now());
    const engine = this.#knowledge.table?.service(service)?.engine;
    if (engine) await this.#model.run(exchange, engine);
    else await this.#plain.run(exchange);
  }

  #done(exchange: Exchange, ms: number): void {
    const { request, route, service, status, code, trail, callerGone } = exchange;
    const { firstMs = ms, pauseMs } = exchange;
    const { configVersion } = this.#knowledge;
    const inTime = firstMs <= route.aimMs && (route.gapMs === 0 || pauseMs <= route.gapMs);
    this.#metrics.ended(service, status, code, ms);
    this.#log.info(
      {
        request: request.id,
        route: route.name,
        service,
        configVersion,
        status,
        ...(code === undefined ? {} : { code }),
        ...(callerGone ? { callerGone } : {}),
        ms: Math.round(ms),
        firstMs: Math.round(firstMs),
        pauseMs: Math.round(pauseMs),
        inTime,
        trail,
      },
      'Request ended.',
    );
  }

  #retriesOf(service: string): RetryWindow {
    const known = this.#retries.get(service);
    if (known) return known;
    const fresh = new RetryWindow(this.#settings.retries);
    this.#retries.set(service, fresh);
    return fresh;
  }

  #healthOf(service: string): RunnerHealth {
    const known = this.#health.get(service);
    if (known) return known;
    const fresh = new RunnerHealth();
    this.#health.set(service, fresh);
    return fresh;
  }

  get #ready(): boolean {
    return !this.#leaving && this.#knowledge.table !== undefined;
  }

  #describe(): void {
    if (!this.#leaving) this.#fleet.describe(this.#settings.listen.front, !this.#ready);
  }

  #onNews(kind: 'config' | 'runners', source: string): void {
    const { configVersion, runnersRevision } = this.#knowledge;
    if (kind === 'config') {
      this.#describe();
      this.#warmLinks();
    } else this.#runners.endLost();
    this.#fleet.setDigest(`${configVersion}/${runnersRevision}`);
    if (source !== 'store' && source !== 'list') return;
    this.#fleet.spread(kind, kind === 'config' ? configVersion : runnersRevision);
  }

  #onRumour(path: string, revision: number, address: string): void {
    const { configVersion, runnersRevision } = this.#knowledge;
    const own = path === 'config' ? configVersion : runnersRevision;
    if (revision > own) this.#learnFrom(address);
  }

  /** Notes the end of each call to the store, and logs where that changes. */
  #storeAnswered(now: number, up: boolean, detail: string): void {
    if (up) this.#knowledge.heardStore(now);
    else this.#knowledge.storeFailed(now);
    this.#metrics.count(up ? 'store.answers' : 'store.failures');
    if (up === this.#storeUp) return;
    this.#storeUp = up;
    if (up) this.#log.info({ detail }, 'The store answers.');
    else this.#log.warn({ detail }, 'The store does not answer.');
  }

  /**
   * Another VM knows other things. The store brings them by itself; a VM that
   * does not reach it, or has just started, asks.
   */
  #onDiffers(now: number, address: string): void {
    const cutOff = this.#knowledge.storeAge(now) > STORE_SILENT_MS || !this.#knowledge.table;
    if (!cutOff || now - this.#learntAt < LEARN_PACE_MS) return;
    this.#learntAt = now;
    this.#learnFrom(address);
  }

  /** Reads what another VM knows; it may have heard what the store could not tell this one. */
  #learnFrom(address: string): void {
    this.#fleet
      .call(address, 'facts', { configVersion: this.#knowledge.configVersion }, EXCHANGE_LIMIT_MS)
      .then((result) => {
        const { config, runners } = factsSchema.parse(result);
        const decoded = config === '' ? undefined : this.#ports.ingress.decodeConfig(config);
        const now = performance.now();
        if (decoded) this.#knowledge.learnConfig(now, decoded, config, address);
        const facts = runners.map(({ id, revision, runner }) => ({ id, revision, runner }));
        this.#knowledge.learnRunners(now, facts, address);
      })
      .catch((error: Error) => this.#log.debug({ address }, error.message));
  }

  /** The store names the other VMs; only without it are the seeds of use. */
  #askSeeds(): void {
    if (this.#fleet.alive.length > 1) return;
    const { seeds, peer } = this.#settings;
    this.#fleet.contact(seeds);
    seeds.filter((address) => address !== peer).forEach((address) => this.#learnFrom(address));
  }
}
