/** The owner's side of planning: runs a planner for each service that VMs ask about. */

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
  ReservationRequest,
  HoldingsReport,
  ProgressReport,
  PrefillReport,
  Decision,
} from './messages';
import { fromWireHolding, fromWireDemand } from './messages';
import type { OrderOutcome, RunnerClient } from './types';

/** How a verdict gets back to the VM that asked. */
export type DecisionCallback = (service: string, verdict: Decision) => void;

/** What planners need of the rest of their VM. */
export interface PlannerHostContext {
  /** Called when what is in place of a service is unknown, to have all VMs tell what they hold. */
  onIncompleteState(service: string): void;
  /** What the limited runners of a service may still be sent. */
  rateAllowanceOf(service: string): RateAllowance;
}

interface Plan {
  readonly planner: Planner;
  /** Where verdicts of waiting requests go, by request. */
  readonly sinks: Map<string, DecisionCallback>;
  /** When each VM was last heard of about this service. */
  readonly heard: Map<string, number>;
  /** When any VM was last heard of about it. */
  heardAt: number;
  reportedAt: number;
  /** When the planner was last told its runners, and the count of their changes by then. */
  runnersAt: number;
  changes: number;
}

/** Period in which waiting requests are looked at again, in milliseconds: callers' patience runs out without an event. */
const WAKE_MS = 25;
/** Period of telling the planner its runners though no change is known: lapsed ones run out without an event, in milliseconds. */
const RUNNERS_MS = 100;
/** Period of asking decode runners for their memory while there is work, in milliseconds. */
const REPORT_MS = 1000;
/** Time from the beginning of a plan to the first reports, in milliseconds: once the VMs have told, what they told is not taken for somebody else's. */
const FIRST_REPORT_MS = 300;
/** A VM that tells nothing for this long holds nothing any more, in milliseconds; while it holds something, it tells every two seconds. */
const SILENT_MS = 7000;

/** All planners of this VM. */
export class PlannerHost {
  readonly #knowledge: RoutingState;

  readonly #runners: RunnerClient;

  readonly #log: Logger;

  readonly #surroundings: PlannerHostContext;

  readonly #plans = new Map<string, Plan>();

  readonly #timer: NodeJS.Timeout;

  readonly #pauses = new PauseDetector(WAKE_MS);

  #leaving = false;

  constructor(
    knowledge: RoutingState,
    runners: RunnerClient,
    log: Logger,
    surroundings: PlannerHostContext,
  ) {
    this.#knowledge = knowledge;
    this.#runners = runners;
    this.#log = log;
    this.#surroundings = surroundings;
    this.#timer = setInterval(() => this.#wake(performance.now()), WAKE_MS);
  }

  /** Takes no more requests; those that wait are told to ask again, which brings them to the next owner. */
  startDraining(): void {
    this.#leaving = true;
    for (const [service, { sinks }] of this.#plans) {
      for (const [id, sink] of sinks) sink(service, { state: 'waiting', id });
      sinks.clear();
    }
  }

  stop(): void {
    clearInterval(this.#timer);
  }

  reserve(now: number, vm: string, ask: ReservationRequest, sink: DecisionCallback): Decision {
    if (this.#leaving) throw new Failure('noOwner', 'this VM is leaving');
    const plan = this.#planOf(now, ask.service);
    this.#hear(now, ask.service, plan, vm);
    plan.sinks.set(ask.id, sink);
    const verdicts = this.#handle(now, ask.service, plan, {
      kind: 'asked',
      demand: fromWireDemand(now, vm, ask),
    });
    return verdicts.get(ask.id) ?? { state: 'waiting', id: ask.id };
  }

  /** A prefill is done: binds its request to a decode runner, now or when one has room. */
  onPrefilled(now: number, vm: string, ready: PrefillReport, sink: DecisionCallback): Decision {
    const { service, id, ms, unreachable, shedBy } = ready;
    const plan = this.#planOf(now, service);
    this.#hear(now, service, plan, vm);
    plan.sinks.set(id, sink);
    const verdicts = this.#handle(now, service, plan, {
      kind: 'prefilled',
      id,
      ms,
      unreachable,
      shedBy,
    });
    return verdicts.get(id) ?? { state: 'waiting', id };
  }

  onProgress(now: number, vm: string, note: ProgressReport): void {
    const plan = this.#planOf(now, note.service);
    this.#hear(now, note.service, plan, vm);
    const { id } = note;
    const event = match(note)
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
    if (note.kind === 'released') plan.sinks.delete(id);
    this.#handle(now, note.service, plan, event);
  }

  onHoldings(now: number, vm: string, { service, holdings }: HoldingsReport): void {
    const plan = this.#planOf(now, service);
    this.#hear(now, service, plan, vm);
    this.#handle(now, service, plan, {
      kind: 'told',
      vm,
      holdings: holdings.map((entry) => fromWireHolding(now, vm, entry)),
    });
  }

  /** What the planners of this VM go by, for operators. */
  snapshot(now: number): readonly unknown[] {
    return [...this.#plans].map(([service, { planner, heard }]) => ({
      service,
      waiting: planner.waiting,
      placed: planner.placed,
      ...planner.load(now),
      distrusted: planner.ejected(now),
      heardAgoMs: Object.fromEntries(
        [...heard].map(([vm, at]) => [vm, Math.round(now - at)] as const),
      ),
    }));
  }

  /** Changes of stages that would serve more requests, of the services that this VM plans. */
  stageChanges(
    now: number,
    owns: (service: string) => boolean,
  ): readonly (StageChange & { readonly service: string })[] {
    const { table } = this.#knowledge;
    const services = table?.config.services.filter(({ engine }) => engine) ?? [];
    return services.flatMap(({ name: service }) => {
      if (this.#leaving || !owns(service)) return [];
      const plan = this.#planOf(now, service);
      this.#handle(now, service, plan, { kind: 'woke' });
      return plan.planner.stageChanges(now).map((change) => ({ ...change, service }));
    });
  }

  /** How an order was taken. */
  onOrderOutcome(now: number, service: string, runner: string, outcome: OrderOutcome): void {
    this.#plans.get(service)?.planner.recordOrder(now, runner, outcome === 'accepted');
  }

  /** A VM that is dead took its requests with it. */
  onVmLost(now: number, vm: string): void {
    for (const [service, plan] of this.#plans) {
      if (plan.heard.delete(vm)) this.#handle(now, service, plan, { kind: 'vmLost', vm });
    }
  }

  /** This VM stood still: whoever planned meanwhile knows what it does not. */
  #resumed(now: number): void {
    this.#log.warn({ services: this.#plans.size }, 'Stood still; plans cautiously for a moment.');
    for (const [service, plan] of this.#plans) this.#beCautious(now, service, plan);
  }

  /**
   * A VM said something about a service. After a long silence other VMs planned it
   * meanwhile, and what is in place is unknown until they have told.
   */
  #hear(now: number, service: string, record: Plan, vm: string): void {
    const silentMs = now - record.heardAt;
    record.heardAt = now;
    record.heard.set(vm, now);
    if (silentMs > SILENT_MS) this.#beCautious(now, service, record);
  }

  /** Holds back for a moment, and has the VMs tell at once: left to their period they took two seconds, in which full runners looked free or free ones full. */
  #beCautious(now: number, service: string, { planner }: Plan): void {
    planner.startWarmUp(now);
    this.#surroundings.onIncompleteState(service);
  }

  #planOf(now: number, service: string): Plan {
    const known = this.#plans.get(service);
    if (known) return known;
    const plan: Plan = {
      planner: new Planner(planPolicy, undefined, this.#surroundings.rateAllowanceOf(service)),
      sinks: new Map(),
      heard: new Map(),
      heardAt: now,
      reportedAt: now - REPORT_MS + FIRST_REPORT_MS,
      runnersAt: -Infinity,
      changes: -1,
    };
    this.#plans.set(service, plan);
    this.#log.info({ service }, 'Began to plan.');
    this.#beCautious(now, service, plan);
    return plan;
  }

  /** Hands an event to the planner; verdicts go to whoever waits and are given back too. */
  #handle(
    now: number,
    service: string,
    plan: Plan,
    event: PlanEvent,
  ): ReadonlyMap<string, Decision> {
    const engine = this.#knowledge.table?.service(service)?.engine;
    const verdicts = new Map<string, Decision>();
    if (!engine) return verdicts;
    const fresh = this.#refreshRunners(now, service, engine, plan);
    fresh.forEach((action) => {
      verdicts.set(action.id, this.#decide(now, service, plan, action));
    });
    plan.planner.handle(now, event).forEach((action) => {
      verdicts.set(action.id, this.#decide(now, service, plan, action));
    });
    this.#logDistrust(service, plan, event);
    const asked = askerOf(event);
    for (const [id, verdict] of verdicts) {
      const sink = plan.sinks.get(id);
      plan.sinks.delete(id);
      if (id !== asked) sink?.(service, verdict);
    }
    return verdicts;
  }

  /** A runner gets no work for a while: one line with the event that was held against it. */
  #logDistrust(service: string, { planner }: Plan, event: PlanEvent): void {
    for (const runner of planner.takeEjected()) {
      const request = 'id' in event ? event.id : undefined;
      this.#log.info({ request, service, runner, event: event.kind }, 'Distrusted a runner.');
    }
  }

  /** Tells the planner which runners there are, if that may have changed. */
  #refreshRunners(
    now: number,
    service: string,
    engine: Engine,
    record: Plan,
  ): readonly PlanAction[] {
    const { runnerChanges } = this.#knowledge;
    const due = now - record.runnersAt >= RUNNERS_MS || record.changes !== runnerChanges;
    if (!due) return [];
    record.runnersAt = now;
    record.changes = runnerChanges;
    const runners = this.#knowledge.runnersOf(now, service);
    return record.planner.handle(now, { kind: 'runners', engine, runners });
  }

  #decide(now: number, service: string, { planner }: Plan, action: PlanAction): Decision {
    const { id } = action;
    const load = planner.load(now);
    const seen = { waiting: planner.waiting, placed: planner.placed, load };
    return match(action)
      .returnType<Decision>()
      .with({ kind: 'grant' }, ({ grant }) => {
        this.#log.info({ request: id, service, ...grant, ...seen }, 'Gave a place.');
        const { prefill, decode } = grant;
        return { state: 'granted', id, decode, ...(prefill === undefined ? {} : { prefill }) };
      })
      .with({ kind: 'bind' }, ({ decode }) => {
        this.#log.info({ request: id, service, bound: decode, ...seen }, 'Bound a request.');
        return { state: 'bound', id, decode };
      })
      .with({ kind: 'refuse' }, ({ retryAfterMs }) => {
        this.#log.info({ request: id, service, retryAfterMs, ...seen }, 'Refused a place.');
        return { state: 'refused', id, retryAfterMs };
      })
      .exhaustive();
  }

  #wake(now: number): void {
    if (this.#pauses.tick(now, Date.now())) this.#resumed(now);
    for (const [service, plan] of this.#plans) {
      for (const [vm, at] of plan.heard) {
        if (now - at > SILENT_MS) {
          plan.heard.delete(vm);
          this.#forget(now, service, plan, vm);
        }
      }
      if (plan.planner.waiting > 0) this.#handle(now, service, plan, { kind: 'woke' });
      const busy = plan.planner.waiting + plan.planner.placed > 0;
      if (busy && now - plan.reportedAt >= REPORT_MS) {
        plan.reportedAt = now;
        this.#readReports(now, service, plan);
      }
    }
  }

  /** A VM that holds nothing tells nothing; one that held something and is silent is gone. */
  #forget(now: number, service: string, plan: Plan, vm: string): void {
    if (!plan.planner.holdsFor(vm)) return;
    this.#log.info({ service, vm }, 'Forgot the places of a silent VM.');
    this.#handle(now, service, plan, { kind: 'vmLost', vm });
  }

  #readReports(now: number, service: string, plan: Plan): void {
    for (const runner of this.#knowledge.runnersOf(now, service, 'decode')) {
      this.#runners
        .report(runner)
        .then((report) => {
          this.#knowledge.learnStart(runner.listing, report.bornAt);
          this.#handle(performance.now(), service, plan, { kind: 'reported', report });
        })
        .catch((error) => {
          this.#log.debug({ runner: runner.id }, toFailure(error).line);
        });
    }
  }
}

/** The request whose gateway waits for the answer to this very call. */
function askerOf(event: PlanEvent): string | undefined {
  if (event.kind === 'asked') return event.demand.id;
  return event.kind === 'prefilled' ? event.id : undefined;
}
