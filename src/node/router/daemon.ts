/**
 * The router daemon: one process per VM that serves callers, answers directory look-ups and plans
 * services.
 */

import { setTimeout as pause } from 'node:timers/promises';

import type { Logger } from 'pino';
import { match } from 'ts-pattern';

import { toFailure } from '../../core/failure';
import type { StoreHistory } from '../../core/routing/position';
import { bootNow } from '../../utils/clock';
import type { Dialer } from '../../utils/dialer';
import { logOf } from '../log';
import { CallerBuffers } from './callerbuffers';
import { Control } from './control';
import { Connectivity } from './connectivity';
import { Controllers } from './controllers';
import { accessLogFields, isInTime } from './accesslog';
import type { Exchange } from './exchange';
import { RouterFleet } from './fleet';
import { FrontEnd } from './frontend';
import { Authorizer } from './authorizer';
import { Handlers } from './handlers';
import { InflightClient } from './inflight';
import type { StateChange } from './routingstatelistener';
import { RoutingState } from './routingstate';
import { RouterMetrics } from './metrics';
import { OrderController } from './orders';
import { PlannerHost } from './plannerhost';
import { ShutdownController } from './shutdown';
import { StoreListener } from './storelistener';
import type {
  ControlCodec,
  Feed,
  FleetSizeArchive,
  IngressCodec,
  OrderLock,
  RouterSettings,
  RunnerClient,
  RunnerConnector,
  SuspectArchive,
  VersionArchive,
} from './types';

/** Adapters to the systems outside the router. */
export interface RouterPorts {
  /** The store's eras, shared with the feed, which reads and updates it. */
  readonly history: StoreHistory;
  readonly feed: Feed;
  /** Creates the client of the runners, which opens its connections through a connector. */
  readonly runners: (connector: RunnerConnector) => RunnerClient;
  /** Opens the direct connections to runners. */
  readonly dialer: Dialer;
  readonly ingress: IngressCodec;
  readonly control: ControlCodec;
  readonly lock: OrderLock;
  readonly archive: SuspectArchive;
  readonly versions: VersionArchive;
  readonly fleetSize: FleetSizeArchive;
}

/** Period of the check whether all requests have ended, in milliseconds. */
const DRAIN_CHECK_MS = 50;

/** A running router. */
export class Router {
  #settings: RouterSettings;

  readonly #ports: RouterPorts;

  readonly #log: Logger;

  readonly #state: RoutingState;

  readonly #fleet: RouterFleet;

  readonly #gate: Authorizer;

  readonly #connectivity: Connectivity;

  readonly #runners: InflightClient;

  readonly #planHost: PlannerHost;

  readonly #controllers: Controllers;

  readonly #front: FrontEnd;

  readonly #handlers: Handlers;

  readonly #buffers: CallerBuffers;

  readonly #metrics = new RouterMetrics();

  readonly #control: Control;

  #orders: OrderController | undefined;

  readonly #shutdown: ShutdownController;

  constructor(settings: RouterSettings, ports: RouterPorts, log: Logger) {
    this.#settings = settings;
    this.#ports = ports;
    this.#log = logOf(log, 'router');
    this.#shutdown = new ShutdownController({
      vm: settings.vm,
      bounds: () => this.#settings,
      log: this.#log,
    });
    this.#state = new RoutingState(
      ports.history,
      logOf(log, 'knowledge'),
      {
        onChange: (change) => this.#onStateChange(change),
        onInvalidEntry: () => this.#metrics.count('entries.unfit'),
      },
      settings.heartbeatMs,
    );
    this.#connectivity = new Connectivity({
      settings,
      dialer: ports.dialer,
      routingState: this.#state,
      fleet: () => this.#fleet,
      metrics: this.#metrics,
      log,
    });
    const { paths } = this.#connectivity;
    this.#runners = new InflightClient(
      ports.runners(paths),
      (listing) => this.#state.latestStart(listing),
      logOf(log, 'runner'),
    );
    this.#planHost = new PlannerHost(this.#state, this.#runners, logOf(log, 'cell'), {
      onIncompleteState: (service) => this.#controllers.calls.collectHoldings(service),
      rateAllowanceOf: (service) => this.#controllers.permits.allowanceOf(service),
    });
    this.#gate = new Authorizer(this.#state, () => this.#settings.ages);
    const proofs = this.#state.freshnessExchange;
    this.#fleet = new RouterFleet(settings, proofs, this.#metrics, logOf(log, 'members'), {
      onCall: (vm, method, params, push) =>
        this.#controllers.calls.answer(vm, method, params, push),
      onVmLost: (vm, address) => {
        this.#planHost.onVmLost(performance.now(), vm);
        paths.vmLost(address);
      },
      onMembersChange: () => {
        this.#warmLinks();
        this.#controllers.membersChanged(performance.now());
      },
      onDigestDiffers: (address, digest) =>
        this.#controllers.stateSync.digestDiffers(address, digest),
      onUpdate: (update, address) => this.#controllers.stateSync.receive(update, address),
      onTunnel: (request, socket) => this.#connectivity.onTunnel(request, socket),
    });
    this.#controllers = new Controllers({
      settings,
      routingState: this.#state,
      gate: this.#gate,
      fleet: this.#fleet,
      host: this.#planHost,
      feed: ports.feed,
      archive: ports.archive,
      versions: ports.versions,
      fleetSize: ports.fleetSize,
      connectivity: this.#connectivity,
      metrics: this.#metrics,
      log,
      onDescription: () => this.#describe(),
      onQuarantineChange: () => this.#handlers.recheckWaiting(performance.now()),
    });
    this.#handlers = new Handlers({
      settings: () => this.#settings,
      routingState: this.#state,
      paths,
      runners: this.#runners,
      authorizer: this.#gate,
      controllers: this.#controllers,
      fleet: this.#fleet,
      metrics: this.#metrics,
      log,
    });
    this.#control = new Control({
      codec: ports.control,
      isReady: () => this.#isServing,
      callerAddresses: (domain) => this.#callerAddresses(domain),
      addressTtlMs: () => this.#settings.addressTtlMs,
    });
    this.#buffers = new CallerBuffers({
      bounds: () => this.#settings.buffers,
      metrics: this.#metrics,
      log: logOf(log, 'callers'),
    });
    this.#front = new FrontEnd({
      routingState: this.#state,
      authorizer: this.#gate,
      codec: ports.ingress,
      buffers: this.#buffers,
      metrics: this.#metrics,
      log: logOf(log, 'front'),
      onRequest: (exchange) => this.#serve(performance.now(), exchange),
      onDone: (exchange, ms) => this.#done(exchange, ms),
    });
  }

  /** Joins the fleet, starts to read state and listens; rejects if an address cannot be bound. */
  async start(): Promise<void> {
    const { listen, vm, isFirstStart } = this.#settings;
    this.#shutdown.watch(performance.now());
    await this.#fleet.start();
    this.#ports.feed.start(
      new StoreListener({
        vm,
        routingState: this.#state,
        fleet: this.#fleet,
        controllers: this.#controllers,
      }),
    );
    this.#controllers.stateSync.start();
    this.#orders = new OrderController({
      vm,
      routingState: this.#state,
      planners: this.#planHost,
      runners: this.#runners,
      paths: this.#connectivity.paths,
      lock: this.#ports.lock,
      owns: (service) => this.#owns(service),
      leaseMs: this.#settings.leaseMs,
      log: logOf(this.#log, 'orders'),
    });
    await this.#front.listen(listen.front);
    await this.#control.listen([listen.ready, listen.directory]);
    if (listen.metrics !== undefined) {
      await this.#metrics.listen(listen.metrics, () => this.#snapshot(performance.now()));
    }
    this.#describe();
    this.#log.info({ vm, listen, isFirstStart }, 'Started.');
  }

  /**
   * Applies changed settings as far as a running process can. Invalid settings are logged and the
   * old ones stay in force.
   */
  reload(read: () => RouterSettings): void {
    try {
      this.#settings = read();
      const { retries, buffers, graceMs, leaseMs, seeds } = this.#settings;
      this.#log.info({ retries, buffers, graceMs, leaseMs, seeds }, 'Reloaded the settings.');
    } catch (error) {
      this.#log.error(
        `Kept the old settings: failed to load the new ones. ${toFailure(error).line}.`,
      );
    }
  }

  /**
   * Leaves the directory, serves requests of callers that still use cached addresses, and stops once
   * all requests are answered or the grace period is about to end.
   */
  async stop(): Promise<void> {
    const times = this.#shutdown.begin(performance.now(), this.#front.activeRequests);
    this.#orders?.stop();
    this.#planHost.startDraining();
    this.#front.startDraining();
    this.#connectivity.startDraining();
    this.#fleet.leave();
    this.#describe();
    while (performance.now() < times.addressedUntil) await pause(DRAIN_CHECK_MS);
    this.#shutdown.refuseUnsent(performance.now(), this.#handlers.open);
    while (performance.now() < times.acceptsUntil) await pause(DRAIN_CHECK_MS);
    this.#front.close();
    while (this.#isBusy && performance.now() < times.endsBy) await pause(DRAIN_CHECK_MS);
    this.#shutdown.expire(this.#handlers.open);
    while (this.#isBusy && performance.now() < times.cutOffAt) await pause(DRAIN_CHECK_MS);
    this.#shutdown.end(performance.now(), this.#handlers.open);
    this.#log.info({ active: this.#front.activeRequests }, 'Stopped.');
    this.#front.cutOff();
    this.#connectivity.stop();
    this.#controllers.stop();
    this.#planHost.stop();
    this.#control.close();
    this.#metrics.close();
    await this.#fleet.stop();
  }

  async #serve(now: number, exchange: Exchange): Promise<void> {
    const refused = this.#shutdown.refusal(now, exchange);
    if (!refused) {
      await this.#handlers.serve(exchange);
      return;
    }
    exchange.trail.push(refused.codeName);
    exchange.fail(now, refused);
  }

  /** The state on which this VM bases its decisions, for operators. */
  #snapshot(now: number): Readonly<Record<string, unknown>> {
    const services = this.#state.table?.config.services ?? [];
    const models = services.filter(({ engine }) => engine).map(({ name }) => name);
    return {
      vm: this.#settings.vm,
      ready: this.#isReady,
      active: this.#front.activeRequests,
      callerBuffers: this.#buffers.snapshot(),
      ...this.#controllers.snapshot(now),
      ...this.#state.snapshot(now),
      ...this.#connectivity.snapshot(now),
      countedVms: this.#fleet.census.size(now),
      vms: this.#fleet.all.map(({ vm, state, draining }) => ({ vm, state, draining })),
      owners: Object.fromEntries(
        models.map((name) => [name, this.#fleet.ownersOf(now, name)[0]?.vm ?? null]),
      ),
      plans: this.#planHost.snapshot(now),
    };
  }

  /** Addresses for callers; without this VM's own while it cannot serve requests. */
  #callerAddresses(domain: string): readonly string[] {
    const addresses = this.#fleet.callerAddresses(domain);
    if (this.#isServing) return addresses;
    return addresses.filter((address) => address !== this.#settings.listen.front);
  }

  #warmLinks(): void {
    const services = this.#state.table?.config.services ?? [];
    const now = performance.now();
    this.#fleet.clearWarm();
    for (const { name, engine } of services) if (engine) this.#fleet.warm(now, name);
  }

  #owns(service: string): boolean {
    const [owner] = this.#fleet.ownersOf(performance.now(), service);
    return !this.#shutdown.hasBegun && owner?.vm === this.#settings.vm;
  }

  #done(exchange: Exchange, ms: number): void {
    const { service, status, code, continues, versions } = exchange;
    this.#metrics.recordRequest(service, status, code, ms);
    const { priority } = exchange.request;
    if (priority !== undefined) {
      const late = code === undefined ? 'late' : 'failed';
      this.#metrics.recordRank(service, priority, isInTime(exchange, ms) ? 'inTime' : late);
    }
    if (continues) this.#metrics.count('streams.continued');
    if (versions.size > 1) this.#metrics.count('streams.mixed');
    this.#log.info(accessLogFields(exchange, ms, this.#state.configVersion), 'Request ended.');
  }

  /** Whether requests of its own callers or of other VMs are in progress, or callers still read responses. */
  get #isBusy(): boolean {
    const { forwarding } = this.#connectivity;
    return this.#front.activeRequests + forwarding + this.#buffers.size > 0;
  }

  /** Whether this VM accepts callers; see `#isServing` for whether it can serve them now. */
  get #isReady(): boolean {
    return !this.#shutdown.hasBegun && this.#state.table !== undefined;
  }

  /**
   * Whether this VM can serve requests now. While its API keys may be outdated it rejects every
   * request that carries one, so callers are sent to other VMs.
   */
  get #isServing(): boolean {
    return this.#isReady && this.#gate.isConfigFresh(bootNow());
  }

  #describe(): void {
    if (this.#shutdown.hasBegun) return;
    const { front } = this.#settings.listen;
    const { isStoreLost: storeLost } = this.#controllers.stateSync;
    this.#fleet.describe({ gateways: [front], draining: !this.#isReady, storeLost });
  }

  #onStateChange(change: StateChange): void {
    match(change)
      .with({ kind: 'config' }, () => {
        this.#describe();
        this.#warmLinks();
        this.#controllers.quotas.refresh(performance.now());
        this.#controllers.origins.configChanged(performance.now());
      })
      .with({ kind: 'runners' }, () => {
        this.#runners.abortLost();
        this.#connectivity.paths.runnersChanged(performance.now());
        this.#controllers.origins.runnersChanged(performance.now());
      })
      .with({ kind: 'era' }, ({ cameBack }) => {
        this.#state.freshness.recordStoreRestore(bootNow());
        if (cameBack) this.#orders?.onStoreRestored(performance.now());
      })
      .exhaustive();
    this.#controllers.stateSync.announce(change);
  }
}
