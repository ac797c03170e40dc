/** Server side of planning: runs a planner for each service that other VMs request reservations for. */

import { match } from 'ts-pattern';
import type { Logger } from 'pino';

import type { StageChange } from '../../core/memory/balance';
import { Planner } from '../../core/memory/planner';
import { planPolicy } from '../../core/memory/policy';
import type { PlanAction, PlanEvent } from '../../core/memory/types';
import { Failure, toFailure } from '../../core/failure';
import { PauseDetector } from '../../core/pause';
import type { RateAllowance } from '../../core/ratelimits/types';
import type { Engine } from '../../core/routing/types';
import type { RoutingState } from './routingstate';
import type {
  BackoffReport,
  ReservationRequest,
  HoldingsReport,
  ProgressReport,
  PrefillReport,
  Decision,
} from './messages';
import { fromWireHolding, fromWireDemand } from './messages';
import type { DecisionCallback } from './plannerdecisions';
import { callingRequestOf, decisionOf } from './plannerdecisions';
import { SilentRunners } from './silentrunners';
import type { OrderOutcome, RunnerClient } from './types';

/** Dependencies of the planners on the rest of the VM. */
export interface PlannerHostContext {
  /** Called when the existing reservations of a service are unknown, to request reports from all VMs. */
  onIncompleteState(service: string): void;
  /** The number of requests that rate-limited runners of a service may still receive. */
  rateAllowanceOf(service: string): RateAllowance;
}

/** The planner of one service, and when its sources were last seen. */
interface ServicePlan {
  readonly planner: Planner;
  /** Callbacks for the decisions of waiting requests, by request id. */
  readonly callbacks: Map<string, DecisionCallback>;
  /** When each VM last sent a message about this service. */
  readonly lastSeen: Map<string, number>;
  /** When any VM last sent a message about this service. */
  lastSeenAt: number;
  /** When the decode runners were last asked for their memory reports. */
  reportedAt: number;
  /** When the planner last received the list of runners, and the change count of the list at that time. */
  runnersAt: number;
  runnerChanges: number;
}

/** Period of re-evaluating waiting requests: their deadlines pass without an event. */
const TICK_MS = 25;
/** Period of refreshing the list of runners without a known change: listings expire without an event. */
const RUNNER_REFRESH_MS = 100;
/** Period of requesting memory reports from decode runners while there is work. */
const REPORT_PERIOD_MS = 1000;
/** Delay of the first memory reports of a new planner: by then the VMs have reported their reservations, which would otherwise count as load from an unknown source. */
const FIRST_REPORT_DELAY_MS = 300;
/** A VM that sends nothing for this long is taken to hold no reservations: as long as it holds any, it reports every two seconds. */
const VM_TIMEOUT_MS = 7000;

/** All planners of this VM, by service. */
export class PlannerHost {
  readonly #routingState: RoutingState;

  readonly #runners: RunnerClient;

  readonly #log: Logger;

  readonly #context: PlannerHostContext;

  readonly #plans = new Map<string, ServicePlan>();

  readonly #timer: NodeJS.Timeout;

  readonly #pauses = new PauseDetector(TICK_MS);

  readonly #silentRunners: SilentRunners;

  #draining = false;

  constructor(
    routingState: RoutingState,
    runners: RunnerClient,
    log: Logger,
    context: PlannerHostContext,
  ) {
    this.#routingState = routingState;
    this.#runners = runners;
    this.#log = log;
    this.#context = context;
    this.#timer = setInterval(() => this.#tick(performance.now()), TICK_MS);
    this.#silentRunners = new SilentRunners({
      runners,
      recheckMs: planPolicy.ejection.recheckMs,
      find: (service, id) =>
        routingState.openRunnersOf(performance.now(), service).find((one) => one.id === id),
      onChecked: (now, service, runner, kind) => this.#onChecked(now, service, runner, kind),
      log,
    });
  }

  /** Accepts no more requests. Waiting ones are answered with `waiting`, so that they ask again at the next owner. */
  startDraining(): void {
    this.#draining = true;
    for (const [service, { callbacks }] of this.#plans) {
      for (const [id, callback] of callbacks) callback(service, { state: 'waiting', id });
      callbacks.clear();
    }
  }

  /** Stops the periodic work. */
  stop(): void {
    clearInterval(this.#timer);
    this.#silentRunners.stop();
  }

  /** Handles a request for a reservation. Returns the decision, or `waiting` if it goes to the callback later. Throws `noOwner` while shutting down. */
  reserve(
    now: number,
    vm: string,
    request: ReservationRequest,
    callback: DecisionCallback,
  ): Decision {
    if (this.#draining) throw new Failure('noOwner', 'this VM is shutting down');
    const plan = this.#planOf(now, request.service);
    this.#recordContact(now, request.service, plan, vm);
    plan.callbacks.set(request.id, callback);
    const decisions = this.#handle(now, request.service, plan, {
      kind: 'asked',
      demand: fromWireDemand(now, vm, request),
    });
    return decisions.get(request.id) ?? { state: 'waiting', id: request.id };
  }

  /** Handles the end of a prefill: assigns the request to a decode runner, at once or when one has free memory. */
  onPrefilled(
    now: number,
    vm: string,
    report: PrefillReport,
    callback: DecisionCallback,
  ): Decision {
    const { service, id, ms, unreachable, unavailable, shedBy } = report;
    const plan = this.#planOf(now, service);
    this.#recordContact(now, service, plan, vm);
    plan.callbacks.set(id, callback);
    const decisions = this.#handle(
      now,
      service,
      plan,
      {
        kind: 'prefilled',
        id,
        ms,
        unreachable,
        unavailable,
        shedBy,
      },
      vm,
    );
    return decisions.get(id) ?? { state: 'waiting', id };
  }

  /** Handles the progress of a request that holds a reservation. */
  onProgress(now: number, vm: string, report: ProgressReport): void {
    const plan = this.#planOf(now, report.service);
    this.#recordContact(now, report.service, plan, vm);
    const { id } = report;
    const event = match(report)
      .returnType<PlanEvent>()
      .with({ kind: 'started' }, () => ({ kind: 'started', id }))
      .with({ kind: 'slow' }, () => ({ kind: 'slow', id }))
      .with({ kind: 'finished' }, ({ outputTokens }) => ({
        kind: 'finished',
        id,
        outputTokens: outputTokens ?? 0,
      }))
      .with({ kind: 'released' }, ({ blame }) => ({ kind: 'released', id, blame }))
      .exhaustive();
    if (report.kind === 'released') plan.callbacks.delete(id);
    this.#handle(now, report.service, plan, event, vm);
  }

  /** Handles pauses that runners of a service asked a VM for. */
  onBackoffs(now: number, vm: string, { service, backoffs }: BackoffReport): void {
    if (backoffs.length === 0) return;
    const plan = this.#planOf(now, service);
    const ends = backoffs.map(({ runner, ms }) => ({ runner, until: now + ms }));
    this.#handle(now, service, plan, { kind: 'backedOff', vm, backoffs: ends });
  }

  /** Handles a report of all reservations that a VM holds for a service. */
  onHoldings(now: number, vm: string, { service, holdings, backoffs }: HoldingsReport): void {
    const plan = this.#planOf(now, service);
    this.#recordContact(now, service, plan, vm);
    this.onBackoffs(now, vm, { service, backoffs });
    this.#handle(now, service, plan, {
      kind: 'told',
      vm,
      holdings: holdings.map((entry) => fromWireHolding(now, vm, entry)),
    });
  }

  /** State of the planners of this VM, for operators. */
  snapshot(now: number): readonly unknown[] {
    return [...this.#plans].map(([service, { planner, lastSeen }]) => ({
      service,
      waiting: planner.waiting,
      waitingByRank: planner.waitingByRank,
      placed: planner.placed,
      ...planner.load(now),
      distrusted: planner.ejected(now),
      silent: this.#silentRunners.silent,
      heardAgoMs: Object.fromEntries(
        [...lastSeen].map(([vm, at]) => [vm, Math.round(now - at)] as const),
      ),
    }));
  }

  /** Stage changes of runners that would serve more requests, for the services that this VM plans. */
  stageChanges(
    now: number,
    owns: (service: string) => boolean,
  ): readonly (StageChange & { readonly service: string })[] {
    const { table } = this.#routingState;
    const services = table?.config.services.filter(({ engine }) => engine) ?? [];
    return services.flatMap(({ name: service }) => {
      if (this.#draining || !owns(service)) return [];
      const plan = this.#planOf(now, service);
      this.#handle(now, service, plan, { kind: 'woke' });
      return plan.planner.stageChanges(now).map((change) => ({ ...change, service }));
    });
  }

  /** Records the outcome of an order to change the stage of a runner. */
  onOrderOutcome(now: number, service: string, runner: string, outcome: OrderOutcome): void {
    this.#plans.get(service)?.planner.recordOrder(now, runner, outcome === 'accepted');
  }

  /** Drops the reservations of a VM that has failed. */
  onVmLost(now: number, vm: string): void {
    for (const [service, plan] of this.#plans) {
      if (plan.lastSeen.delete(vm)) this.#handle(now, service, plan, { kind: 'vmLost', vm });
    }
  }

  /** This VM was paused: another VM may have planned its services meanwhile and granted reservations that it has no record of. */
  #onPause(now: number): void {
    this.#log.warn({ services: this.#plans.size }, 'The process was paused; planners warm up.');
    for (const [service, plan] of this.#plans) this.#startWarmUp(now, service, plan);
  }

  /**
   * Records a message of a VM about a service. After a long time without any, other VMs planned
   * the service meanwhile, and its reservations are unknown until the VMs have reported them.
   */
  #recordContact(now: number, service: string, record: ServicePlan, vm: string): void {
    const silentMs = now - record.lastSeenAt;
    record.lastSeenAt = now;
    record.lastSeen.set(vm, now);
    if (silentMs > VM_TIMEOUT_MS) this.#startWarmUp(now, service, record);
  }

  /** Starts the warm-up of a planner and requests reports from all VMs at once: their periodic reports take up to two seconds, in which full runners look free or free ones full. */
  #startWarmUp(now: number, service: string, { planner }: ServicePlan): void {
    planner.startWarmUp(now);
    this.#context.onIncompleteState(service);
  }

  #planOf(now: number, service: string): ServicePlan {
    const existing = this.#plans.get(service);
    if (existing) return existing;
    const plan: ServicePlan = {
      planner: new Planner(planPolicy, undefined, this.#context.rateAllowanceOf(service)),
      callbacks: new Map(),
      lastSeen: new Map(),
      lastSeenAt: now,
      reportedAt: now - REPORT_PERIOD_MS + FIRST_REPORT_DELAY_MS,
      runnersAt: -Infinity,
      runnerChanges: -1,
    };
    this.#plans.set(service, plan);
    this.#log.info({ service }, 'Started a planner.');
    this.#startWarmUp(now, service, plan);
    return plan;
  }

  /**
   * Passes an event to the planner. Its decisions are sent to the waiting VMs and returned by request id.
   * @param source the VM that reported the event, for the log
   */
  #handle(
    now: number,
    service: string,
    plan: ServicePlan,
    event: PlanEvent,
    source?: string,
  ): ReadonlyMap<string, Decision> {
    const engine = this.#routingState.table?.engineOf(service);
    const decisions = new Map<string, Decision>();
    if (!engine) return decisions;
    const refreshed = this.#refreshRunners(now, service, engine, plan);
    refreshed.forEach((action) => {
      decisions.set(action.id, decisionOf(this.#log, now, service, plan.planner, action));
    });
    plan.planner.handle(now, event).forEach((action) => {
      decisions.set(action.id, decisionOf(this.#log, now, service, plan.planner, action));
    });
    this.#logEjections(service, plan, event, source);
    const callingRequest = callingRequestOf(event);
    for (const [id, decision] of decisions) {
      const callback = plan.callbacks.get(id);
      plan.callbacks.delete(id);
      if (id !== callingRequest) callback?.(service, decision);
    }
    return decisions;
  }

  /** Logs each runner that was ejected, with the event that caused it. */
  #logEjections(
    service: string,
    { planner }: ServicePlan,
    event: PlanEvent,
    source: string | undefined,
  ): void {
    for (const runner of planner.takeEjected()) {
      const request = 'id' in event ? event.id : undefined;
      this.#log.info({ request, service, runner, event: event.kind, source }, 'Ejected a runner.');
      // A slow runner answers, and its failures alone decide how long it is ejected.
      if (event.kind !== 'slow') this.#silentRunners.check(service, runner);
    }
  }

  #onChecked(now: number, service: string, runner: string, kind: 'silent' | 'answered'): void {
    const plan = this.#plans.get(service);
    if (plan) this.#handle(now, service, plan, { kind, runner });
  }

  /** Passes the list of runners to the planner if it may have changed. */
  #refreshRunners(
    now: number,
    service: string,
    engine: Engine,
    record: ServicePlan,
  ): readonly PlanAction[] {
    const { runnerChanges } = this.#routingState;
    const isDue =
      now - record.runnersAt >= RUNNER_REFRESH_MS || record.runnerChanges !== runnerChanges;
    if (!isDue) return [];
    record.runnersAt = now;
    record.runnerChanges = runnerChanges;
    const runners = this.#routingState.runnersOf(now, service);
    const byRank = this.#routingState.table?.hasRanks(service);
    return record.planner.handle(now, { kind: 'runners', engine, runners, byRank });
  }

  #tick(now: number): void {
    if (this.#pauses.tick(now, Date.now())) this.#onPause(now);
    for (const [service, plan] of this.#plans) {
      const silent = [...plan.lastSeen].filter(([, at]) => now - at > VM_TIMEOUT_MS);
      for (const [vm] of silent) {
        plan.lastSeen.delete(vm);
        this.#dropSilentVm(now, service, plan, vm);
      }
      if (plan.planner.waiting > 0) this.#handle(now, service, plan, { kind: 'woke' });
      const isBusy = plan.planner.waiting + plan.planner.placed > 0;
      if (isBusy && now - plan.reportedAt >= REPORT_PERIOD_MS) {
        plan.reportedAt = now;
        this.#requestReports(now, service, plan);
      }
    }
  }

  /** Drops the reservations of a VM that stopped reporting. A VM without reservations is expected to send nothing. */
  #dropSilentVm(now: number, service: string, plan: ServicePlan, vm: string): void {
    if (!plan.planner.holdsFor(vm)) return;
    this.#log.info({ service, vm }, 'Dropped the reservations of a VM that stopped reporting.');
    this.#handle(now, service, plan, { kind: 'vmLost', vm });
  }

  #requestReports(now: number, service: string, plan: ServicePlan): void {
    for (const runner of this.#routingState.openRunnersOf(now, service, 'decode')) {
      this.#runners
        .report(runner)
        .then((report) => {
          const repliedAt = performance.now();
          this.#routingState.learnStart(runner.listing, report.bornAt);
          if (report.leaving) {
            this.#routingState.learnLeaving(repliedAt, { ...runner, id: report.runner }, 'report');
          }
          this.#handle(repliedAt, service, plan, { kind: 'reported', report });
        })
        .catch((error) => {
          this.#log.debug({ runner: runner.id }, toFailure(error).line);
        });
    }
  }
}
