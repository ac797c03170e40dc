/** The router daemon: one process a VM that takes callers, answers the directory and plans services. */

import { setTimeout as pause } from 'node:timers/promises';

import type { Logger } from 'pino';
import { match } from 'ts-pattern';

import { RunnerHealth } from '../../core/cell/health';
import { toFailure } from '../../core/failure';
import { RetryWindow } from '../../core/retries';
import type { StoreHistory } from '../../core/routing/position';
import { bootNow } from '../../utils/clock';
import { LazyMap } from '../../utils/lazymap';
import { logOf } from '../log';
import { Control } from './control';
import { Controllers } from './controllers';
import { accessLogFields } from './accesslog';
import type { Exchange } from './exchange';
import { RouterFleet } from './fleet';
import { FrontEnd } from './frontend';
import { Authorizer } from './authorizer';
import { InflightClient } from './inflight';
import type { StateChange } from './routingstate';
import { RoutingState } from './routingstate';
import { RouterMetrics } from './metrics';
import { ModelHandler } from './model';
import { OrderController } from './orders';
import { PlannerHost } from './plannerhost';
import { PlainHandler } from './plain';
import { Runs } from './runs';
import type {
  ControlCodec,
  Feed,
  IngressCodec,
  OrderLock,
  RouterSettings,
  RunnerClient,
  SuspectArchive,
} from './types';

/** The system around the router. */
export interface RouterPorts {
  /** The store's history, which the feed writes and reads too. */
  readonly history: StoreHistory;
  readonly feed: Feed;
  readonly runners: RunnerClient;
  readonly ingress: IngressCodec;
  readonly control: ControlCodec;
  readonly lock: OrderLock;
  readonly archive: SuspectArchive;
}

/** How long a leaving VM goes on taking connections, as a part of the grace: callers keep old addresses for a while. */
const LEAVE_PART = 0.6;
/** Time before the kill at which the process ends whatever still runs, in milliseconds. */
const LAST_MS = 400;
/** Period of looking whether all requests have ended, in milliseconds. */
const DRAIN_CHECK_MS = 50;

/** A running router. */
export class Router {
  #settings: RouterSettings;

  readonly #ports: RouterPorts;

  readonly #log: Logger;

  readonly #knowledge: RoutingState;

  readonly #fleet: RouterFleet;

  readonly #gate: Authorizer;

  readonly #runners: InflightClient;

  readonly #host: PlannerHost;

  readonly #desks: Controllers;

  readonly #front: FrontEnd;

  readonly #plain: PlainHandler;

  readonly #model: ModelHandler;

  readonly #runs: Runs;

  readonly #metrics = new RouterMetrics();

  readonly #control: Control;

  readonly #retries = new LazyMap<string, RetryWindow>(
    () => new RetryWindow(this.#settings.retries),
  );

  readonly #health = new LazyMap<string, RunnerHealth>(() => new RunnerHealth());

  #orders: OrderController | undefined;

  #leaving = false;

  constructor(settings: RouterSettings, ports: RouterPorts, log: Logger) {
    this.#settings = settings;
    this.#ports = ports;
    this.#log = logOf(log, 'router');
    this.#knowledge = new RoutingState(ports.history, logOf(log, 'knowledge'), {
      onChange: (news) => this.#onNews(news),
      onInvalidEntry: () => this.#metrics.count('entries.unfit'),
    });
    this.#runners = new InflightClient(
      ports.runners,
      (listing) => this.#knowledge.latestStart(listing),
      logOf(log, 'runner'),
    );
    this.#host = new PlannerHost(this.#knowledge, this.#runners, logOf(log, 'cell'), {
      onIncompleteState: (service) => this.#desks.calls.collectHoldings(service),
      rateAllowanceOf: (service) => this.#desks.permits.allowanceOf(service),
    });
    this.#gate = new Authorizer(this.#knowledge, () => this.#settings.ages);
    const proofs = this.#knowledge.freshnessExchange;
    this.#fleet = new RouterFleet(settings, proofs, this.#metrics, logOf(log, 'members'), {
      onCall: (vm, method, params, push) => this.#desks.calls.answer(vm, method, params, push),
      onVmLost: (vm) => this.#host.onVmLost(performance.now(), vm),
      onMembersChange: () => {
        this.#warmLinks();
        this.#desks.membersChanged(performance.now());
      },
      onDigestDiffers: (address) => this.#desks.stateSync.digestDiffers(address),
      onUpdate: (rumour, address) => this.#desks.stateSync.receive(rumour, address),
    });
    this.#desks = new Controllers({
      settings,
      knowledge: this.#knowledge,
      gate: this.#gate,
      fleet: this.#fleet,
      host: this.#host,
      feed: ports.feed,
      archive: ports.archive,
      metrics: this.#metrics,
      log,
      onDescription: () => this.#describe(),
    });
    const mayRepeat = (now: number, service: string): boolean =>
      this.#retries.get(service).trySpend(now, this.#fleet.alive.length);
    const { quarantine, rateLimits, permits, quotas, places } = this.#desks;
    this.#runs = new Runs({
      quarantine,
      authorizer: this.#gate,
      rateLimits,
      metrics: this.#metrics,
      log: logOf(log, 'runner'),
    });
    this.#plain = new PlainHandler({
      knowledge: this.#knowledge,
      runners: this.#runners,
      health: (service) => this.#health.get(service),
      runs: this.#runs,
      quotas,
      permits,
      takeRetry: mayRepeat,
      domain: settings.domain,
    });
    this.#model = new ModelHandler({
      knowledge: this.#knowledge,
      runners: this.#runners,
      reservations: places,
      runs: this.#runs,
      quotas,
      permits,
      takeRetry: mayRepeat,
    });
    this.#control = new Control({
      codec: ports.control,
      isReady: () => this.#serves,
      callerAddresses: (domain) => this.#callerAddresses(domain),
      addressTtlMs: () => this.#settings.addressTtlMs,
    });
    this.#front = new FrontEnd({
      knowledge: this.#knowledge,
      authorizer: this.#gate,
      codec: ports.ingress,
      metrics: this.#metrics,
      log: logOf(log, 'front'),
      onRequest: (exchange) => this.#serve(exchange),
      onDone: (exchange, ms) => this.#done(exchange, ms),
    });
  }

  async start(): Promise<void> {
    const { listen, vm } = this.#settings;
    await this.#fleet.start();
    this.#ports.feed.start({
      onConfig: (config) => {
        this.#knowledge.learnConfig(performance.now(), config, 'store');
      },
      onRunners: (facts) => this.#knowledge.learnRunners(performance.now(), facts, 'store'),
      onEra: (start) => this.#knowledge.learnEras(performance.now(), [start], 'store'),
      onListed: (ids, position) => this.#knowledge.learnList(performance.now(), ids, position),
      onVms: (vms) => this.#fleet.addListed(vms.filter((entry) => entry.vm !== vm)),
      onSuspects: (suspects, isAll) =>
        this.#desks.quarantine.learnStored(performance.now(), suspects, isAll),
      onConfirmed: (askedAt) => this.#knowledge.freshness.recordStoreAnswer(askedAt),
      onStore: (up, detail) => this.#desks.stateSync.storeCallEnded(performance.now(), up, detail),
    });
    this.#desks.stateSync.start();
    this.#orders = new OrderController({
      vm,
      knowledge: this.#knowledge,
      planners: this.#host,
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
    this.#log.info({ active: this.#front.activeRequests }, 'Leaving.');
    this.#leaving = true;
    this.#orders?.stop();
    this.#host.startDraining();
    this.#front.startDraining();
    this.#fleet.leave();
    this.#describe();
    while (performance.now() < leaveUntil) await pause(DRAIN_CHECK_MS);
    this.#front.close();
    while (this.#front.activeRequests > 0 && performance.now() < endAt) await pause(DRAIN_CHECK_MS);
    this.#log.info({ active: this.#front.activeRequests }, 'Stopped.');
    this.#front.cutOff();
    this.#desks.stop();
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
      active: this.#front.activeRequests,
      ...this.#desks.snapshot(now),
      ...this.#knowledge.snapshot(now),
      vms: this.#fleet.all.map(({ vm, state, draining }) => ({ vm, state, draining })),
      owners: Object.fromEntries(
        models.map((name) => [name, this.#fleet.ownersOf(now, name)[0]?.vm ?? null]),
      ),
      plans: this.#host.snapshot(now),
    };
  }

  /** Callers' addresses, without the own one while this VM can serve nobody. */
  #callerAddresses(domain: string): readonly string[] {
    const addresses = this.#fleet.callerAddresses(domain);
    if (this.#serves) return addresses;
    return addresses.filter((address) => address !== this.#settings.listen.front);
  }

  #warmLinks(): void {
    const services = this.#knowledge.table?.config.services ?? [];
    const now = performance.now();
    this.#fleet.clearWarm();
    for (const { name, engine } of services) if (engine) this.#fleet.warm(now, name);
  }

  #owns(service: string): boolean {
    const [owner] = this.#fleet.ownersOf(performance.now(), service);
    return !this.#leaving && owner?.vm === this.#settings.vm;
  }

  async #serve(exchange: Exchange): Promise<void> {
    const { service } = exchange;
    const now = performance.now();
    this.#retries.get(service).recordFirst(now);
    const refusal = this.#runs.refusal(now, exchange);
    if (refusal) {
      exchange.fail(now, refusal);
      return;
    }
    const engine = this.#knowledge.table?.service(service)?.engine;
    if (engine) await this.#model.run(exchange, engine);
    else await this.#plain.run(exchange);
    this.#desks.quotas.settle(exchange);
  }

  #done(exchange: Exchange, ms: number): void {
    const { service, status, code } = exchange;
    this.#metrics.recordRequest(service, status, code, ms);
    this.#log.info(accessLogFields(exchange, ms, this.#knowledge.configVersion), 'Request ended.');
  }

  /** Whether this VM takes callers; see `#serves` for whether it can serve them now. */
  get #ready(): boolean {
    return !this.#leaving && this.#knowledge.table !== undefined;
  }

  /** A VM that cannot rely on its keys refuses all that come with one; callers do better elsewhere. */
  get #serves(): boolean {
    return this.#ready && this.#gate.isConfigFresh(bootNow());
  }

  #describe(): void {
    if (this.#leaving) return;
    const { front } = this.#settings.listen;
    const { isStoreLost: storeLost } = this.#desks.stateSync;
    this.#fleet.describe({ gateways: [front], draining: !this.#ready, storeLost });
  }

  #onNews(news: StateChange): void {
    match(news)
      .with({ kind: 'config' }, () => {
        this.#describe();
        this.#warmLinks();
        this.#desks.quotas.refresh(performance.now());
      })
      .with({ kind: 'runners' }, () => this.#runners.abortLost())
      .with({ kind: 'era' }, ({ cameBack }) => {
        this.#knowledge.freshness.recordStoreRestore(bootNow());
        if (cameBack) this.#orders?.onStoreRestored(performance.now());
      })
      .exhaustive();
    this.#desks.stateSync.announce(news);
  }
}
