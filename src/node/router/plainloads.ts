/**
 * Load of the runners of plain services at one VM, shared with the other VMs through the owner of
 * the service. See `docs/design/plain-load.md`.
 */

import { setTimeout as pause } from 'node:timers/promises';

import type { Logger } from 'pino';

import { toFailure } from '../../core/failure';
import type { Member } from '../../core/membership/types';
import { isPresent } from '../../core/membership/types';
import { LoadShare } from '../../core/plain/loadshare';
import type { Candidate, Choice } from '../../core/plain/loadtable';
import { LoadTable } from '../../core/plain/loadtable';
import type { Runner } from '../../core/routing/types';
import { LazyMap } from '../../utils/lazymap';
import type { Metrics } from '../metrics';
import type { Exchange } from './exchange';
import type { RouterFleet } from './fleet';
import type { LoadAnswer, LoadAsk } from './plainloadwire';
import {
  failuresOf,
  fromWireNews,
  fromWireRows,
  loadAnswerOf,
  loadAskOf,
  toWireAvoid,
  toWireFailures,
  toWireNews,
  toWireRows,
} from './plainloadwire';
import type { RoutingState } from './routingstate';
import type { Reply } from './types';

/** Dependencies of the loads. */
export interface PlainLoadContext {
  readonly vm: string;
  readonly fleet: Pick<RouterFleet, 'ownersOf' | 'call' | 'deprioritize' | 'all'>;
  readonly routingState: Pick<RoutingState, 'runnersOf'>;
  readonly metrics: Metrics;
  readonly log: Logger;
}

/** Number of VMs up to which each uses its own table: it sees enough responses of each runner. */
const FEW_VMS = 3;
/** Longest time that a request waits for a refresh, in milliseconds. */
const REFRESH_WAIT_MS = 20;
/** Timeout of a call to the owner, in milliseconds; one that exceeds it is skipped. */
const CALL_TIMEOUT_MS = 150;
/**
 * Excess of failures at which the owner tells all VMs, and time between two such messages, in
 * milliseconds: VMs without reported load do not ask for the table.
 */
const TOLD_EXCESS = 0.2;
const TELL_FAILURES_MS = 500;
/** Part of a route's latency target that is its usual time before the first response. */
const ASSUMED_AIM_PART = 0.25;
const SERVER_ERROR = 500;

interface ServiceState {
  readonly table: LoadTable;
  readonly share: LoadShare;
  /** The refresh in progress, with its start. */
  refresh: { readonly startedAt: number; readonly done: Promise<string | undefined> } | undefined;
  /** When this VM, as the owner, last told all VMs of failures. */
  failuresToldAt: number;
}

/** Load tables of all plain services. */
export class PlainLoads {
  readonly #context: PlainLoadContext;

  readonly #services = new LazyMap<string, ServiceState>(() => {
    const table = new LoadTable();
    return { table, share: new LoadShare(table), refresh: undefined, failuresToldAt: -Infinity };
  });

  readonly #names = new Set<string>();

  constructor(context: PlainLoadContext) {
    this.#context = context;
  }

  /** Whether a service is balanced by reported load: its runners report their slowness. */
  isActive(now: number, service: string): boolean {
    return this.#names.has(service) && this.#services.get(service).table.reportsSlowness(now);
  }

  /**
   * Refreshes this VM's copy of the owner's table if it is old, which takes 20 ms at most.
   * Resolves to the runner that the owner chose for this request, if it was asked.
   * @param candidates runners that may get the request
   */
  async refresh(
    now: number,
    exchange: Exchange,
    candidates: readonly Runner[],
  ): Promise<string | undefined> {
    const { service } = exchange;
    const state = this.#services.get(service);
    const owner = this.#ownerOf(now, service);
    if (!owner) return undefined;
    if (!state.share.isStale(now)) {
      if (exchange.heldMs > 0) this.#refreshAhead(now, state, owner, service);
      return undefined;
    }
    if (state.refresh) {
      const leftMs = state.refresh.startedAt + REFRESH_WAIT_MS - now;
      if (leftMs > 0) await Promise.race([state.refresh.done, pause(leftMs)]);
      return undefined;
    }
    if (!state.share.isDue(now)) return undefined;
    const allowed = new Set(candidates.map(({ id }) => id));
    const runners = this.#context.routingState.runnersOf(now, service);
    const avoid = runners.map(({ id }) => id).filter((id) => !allowed.has(id));
    const { placement } = exchange;
    // A request that is held was counted before.
    const isCounted = placement?.isCounted && allowed.has(placement.runner);
    const want = isCounted ? undefined : { ms: this.#usualMs(exchange), avoid: toWireAvoid(avoid) };
    const done = this.#ask(now, state, owner, service, want);
    const timeout = pause(REFRESH_WAIT_MS, undefined);
    const chosen = await Promise.race([done, timeout]);
    if (state.refresh) this.#context.metrics.count('plain.late', 1, { service });
    return chosen;
  }

  /** The candidate at which a request is expected to finish first; undefined without candidates. */
  best<T extends Candidate>(
    now: number,
    exchange: Exchange,
    candidates: readonly T[],
  ): Choice<T> | undefined {
    const { table } = this.#services.get(exchange.service);
    return table.best(now, candidates, this.#usualMs(exchange), Math.random);
  }

  /** Records a choice in the exchange. */
  place<T extends Candidate>(
    now: number,
    exchange: Exchange,
    { runner: { id }, expected, areAllFull }: Choice<T>,
    isCounted: boolean,
  ): void {
    const { table } = this.#services.get(exchange.service);
    const reportedAt = table.reportOf(id)?.at;
    const ageMs = reportedAt === undefined ? undefined : now - reportedAt;
    exchange.place({ runner: id, isCounted, expected, areAllFull, ageMs });
  }

  /** What is expected of a request at a runner, and whether all candidates are full. */
  choiceOf<T extends Candidate>(
    now: number,
    exchange: Exchange,
    runner: T,
    candidates: readonly T[],
  ): Choice<T> {
    const { table } = this.#services.get(exchange.service);
    const expected = table.expect(now, runner, this.#usualMs(exchange));
    const areAllFull = this.best(now, exchange, candidates)?.areAllFull ?? false;
    return { runner, expected, areAllFull };
  }

  /** Slots of all runners of a service. */
  slotsOf(now: number, service: string): number {
    const { table } = this.#services.get(service);
    return this.#context.routingState
      .runnersOf(now, service)
      .reduce((sum, runner) => sum + table.expect(now, runner, 0).slots, 0);
  }

  /** Records that a request is sent to a runner. */
  sent(now: number, exchange: Exchange, runner: Runner): void {
    const { service, placement } = exchange;
    if (!this.isActive(now, service)) return;
    const state = this.#services.get(service);
    // A report may have replaced the owner's count of a request that was held.
    const isCounted =
      placement?.runner === runner.id && placement.isCounted && exchange.heldMs === 0;
    state.share.sent(now, runner, this.#usualMs(exchange), isCounted);
    const owner = this.#ownerOf(now, service);
    if (owner && !isCounted) this.#refreshAhead(now, state, owner, service);
  }

  /** Records the load in a response. */
  replied(now: number, exchange: Exchange, runner: Runner, sentAt: number, reply: Reply): void {
    const { load, status, genuine, notRun, misdirected, isEvents } = reply;
    const { service, placement, route } = exchange;
    if (!load || misdirected || !(genuine || notRun)) return;
    this.#names.add(service);
    const state = this.#services.get(service);
    const { table, share } = state;
    const report = { runner: runner.id, at: now, load };
    const usualMs = this.#usualMs(exchange);
    const isNews = share.reported(now, report, table.expect(now, runner, usualMs));
    const expected = placement?.runner === runner.id ? placement.expected : undefined;
    const isTimed = !notRun && !isEvents && status < SERVER_ERROR;
    if (isTimed) table.responded(report, route.name, now - sentAt, expected, usualMs);
    else table.reported(report);
    const owner = isNews && this.isActive(now, service) && this.#ownerOf(now, service);
    if (owner) this.#tell(now, state, owner, service);
  }

  /** Records the result of a request: whether it failed at its runner. */
  ended(now: number, { service }: Exchange, { id }: Runner, hasFailed: boolean): void {
    const state = this.#services.get(service);
    const isNews = state.share.ended(now, id, hasFailed);
    const owner = isNews && this.#ownerOf(now, service);
    if (owner) this.#tell(now, state, owner, service);
    else if (isNews) this.#tellFailures(now, state, service);
  }

  /** By how much the failures of a runner exceed those of the others, from 0 to 1. */
  failureExcess(now: number, service: string, runner: string): number {
    return this.#services.get(service).table.failures.excess(now, runner);
  }

  /** Takes the results of a service's runners from its owner. */
  onFailures(now: number, params: unknown): void {
    const { service, ended } = failuresOf(params);
    const known = new Set(this.#context.routingState.runnersOf(now, service).map(({ id }) => id));
    const { failures } = this.#services.get(service).table;
    for (const one of ended) if (known.has(one.runner)) failures.replace(now, one);
  }

  /** Answers a VM that asks for the table, as the owner. */
  onAsk(now: number, params: unknown): LoadAnswer {
    const ask = loadAskOf(params);
    const runners = this.#learn(now, ask);
    const { service, want } = ask;
    const { table } = this.#services.get(service);
    const avoid = new Set(want?.avoid);
    const candidates = runners
      .filter(({ id }) => !avoid.has(id))
      .map(({ id, slots }) => ({ id, slots, extra: 0 }));
    const best = want && table.best(now, candidates, want.ms, Math.random);
    if (best) table.sent(now, best.runner, now, want.ms);
    if (want) table.usual.observeOther(want.ms);
    const ids = runners.map(({ id }) => id);
    return { runner: best?.runner.id ?? null, rows: toWireRows(now, table.rows(now, ids)) };
  }

  /** Handles what a VM passes on without asking, as the owner. */
  onNews(now: number, params: unknown): void {
    const news = loadAskOf(params);
    this.#learn(now, news);
    const state = this.#services.get(news.service);
    if (!this.isActive(now, news.service)) this.#tellFailures(now, state, news.service);
  }

  /** State for operators. */
  snapshot(now: number): Readonly<Record<string, unknown>> {
    const active = [...this.#names].filter((service) => this.isActive(now, service));
    const rows = active.map((service) => [
      service,
      {
        owner: this.#ownerOf(now, service)?.vm ?? null,
        runners: this.#services.get(service).table.snapshot(now),
      },
    ]);
    return Object.fromEntries(rows);
  }

  /** Applies what another VM passes on; returns the runners of the service. */
  #learn(now: number, ask: LoadAsk): readonly Runner[] {
    const { service } = ask;
    const runners = this.#context.routingState.runnersOf(now, service);
    if (runners.length === 0) return runners;
    this.#names.add(service);
    const { table } = this.#services.get(service);
    const byId = new Map(runners.map((runner) => [runner.id, runner]));
    const { reports, sent, outcomes } = fromWireNews(now, ask);
    for (const report of reports) if (byId.has(report.runner)) table.reported(report);
    for (const one of outcomes) if (byId.has(one.runner)) table.failures.record(now, one);
    for (const { runner: id, at } of sent) {
      const runner = byId.get(id);
      if (runner) table.sent(now, runner, at, table.usual.mean ?? 0);
    }
    table.retain(new Set(byId.keys()));
    return runners;
  }

  /** The owner of a service, if the VMs share a table and this VM is not the owner. */
  #ownerOf(now: number, service: string): Member | undefined {
    const { fleet, vm } = this.#context;
    const owners = fleet.ownersOf(now, service);
    const [owner] = owners;
    return owners.length > FEW_VMS && owner?.vm !== vm ? owner : undefined;
  }

  #usualMs({ service, route }: Exchange): number {
    return this.#services.get(service).table.usual.of(route.name, route.aimMs * ASSUMED_AIM_PART);
  }

  /** Refreshes the copy without waiting, for the next request. */
  #refreshAhead(now: number, state: ServiceState, owner: Member, service: string): void {
    if (state.refresh || !state.share.isDue(now)) return;
    this.#ask(now, state, owner, service, undefined).catch(() => undefined);
  }

  /** Asks the owner and merges its answer; never rejects. */
  #ask(
    now: number,
    state: ServiceState,
    owner: Member,
    service: string,
    want: LoadAsk['want'],
  ): Promise<string | undefined> {
    const news = toWireNews(now, state.share.take(now));
    this.#context.metrics.count('plain.refreshes', 1, { service });
    const done = this.#exchange(state, owner, { service, ...news, ...(want ? { want } : {}) });
    state.refresh = { startedAt: now, done };
    return done;
  }

  async #exchange(state: ServiceState, owner: Member, ask: LoadAsk): Promise<string | undefined> {
    const { fleet, metrics, log, routingState } = this.#context;
    try {
      const answer = await fleet.call(owner.address, 'plainLoad', ask, CALL_TIMEOUT_MS);
      const now = performance.now();
      const { runner, rows } = loadAnswerOf(answer);
      const ids = new Set(routingState.runnersOf(now, ask.service).map(({ id }) => id));
      const known = fromWireRows(now, rows).filter((row) => ids.has(row.runner));
      state.share.merge(now, known, ask.want?.ms ?? state.table.usual.mean ?? 0);
      state.table.retain(ids);
      return runner ?? undefined;
    } catch (error) {
      const failure = toFailure(error);
      // An owner of another version, which rejects the message, still answers for other services.
      if (failure.codeName !== 'peerRejected') fleet.deprioritize(performance.now(), owner.vm);
      metrics.count('plain.unanswered', 1, { service: ask.service });
      log.debug({ service: ask.service, owner: owner.vm }, failure.line);
      return undefined;
    } finally {
      state.refresh = undefined;
    }
  }

  /** Tells all VMs, as the owner, of a runner that fails more than the others. */
  #tellFailures(now: number, known: ServiceState, service: string): void {
    const { fleet, vm, routingState, metrics, log } = this.#context;
    const state = known;
    const { failures } = state.table;
    const runners = routingState.runnersOf(now, service);
    const isFailing = runners.some(({ id }) => failures.excess(now, id) > TOLD_EXCESS);
    if (!isFailing || now - state.failuresToldAt < TELL_FAILURES_MS) return;
    if (fleet.ownersOf(now, service).length <= FEW_VMS) return;
    state.failuresToldAt = now;
    const message = toWireFailures(service, failures.rows(now));
    metrics.count('plainload.failures');
    log.info(message, 'Told all VMs of a runner that fails more than the others.');
    for (const member of fleet.all) {
      if (isPresent(member) && member.vm !== vm) {
        fleet.call(member.address, 'plainFailures', message, CALL_TIMEOUT_MS).catch((error) => {
          log.debug({ service, vm: member.vm }, toFailure(error).line);
        });
      }
    }
  }

  #tell(now: number, { share }: ServiceState, owner: Member, service: string): void {
    const { fleet, metrics, log } = this.#context;
    const news: LoadAsk = { service, ...toWireNews(now, share.take(now)) };
    metrics.count('plain.news', 1, { service });
    fleet.call(owner.address, 'plainNews', news, CALL_TIMEOUT_MS).catch((error) => {
      log.debug({ service, owner: owner.vm }, toFailure(error).line);
    });
  }
}
