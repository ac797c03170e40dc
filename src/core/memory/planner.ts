/**
 * Plans one model service: which request starts next, where it is prefilled and
 * where it decodes. One VM plans a service at a time, so that its account is
 * exact. No sockets, timers or clock: events come in, decisions go out.
 */

import { match } from 'ts-pattern';

import type { RateAllowance } from '../ratelimits/types';
import { unlimited } from '../ratelimits/types';
import type { Engine } from '../routing/types';
import type { DecodeState, PrefillState } from './account';
import { MemoryAccount, isSlowedByLocalPrefill } from './account';
import { maxPrefillsAhead, maxWaitMs } from './ahead';
import { WorkloadStats } from './stats';
import { afterFailure, afterSuccess } from './ejection';
import type { StageChange } from './balance';
import type { CostModel, Costs } from './cost';
import { MeasuredCosts } from './cost';
import { WaitingQueue, minFirstEventMs, requiredFreeShare } from './queue';
import type { PlanPolicy } from './policy';
import type { Reservation } from './reservations';
import { Reservations } from './reservations';
import type { PlanLoad } from './capacity';
import { RetryTimes, findUnservable } from './refusal';
import { CapacityView } from './capacity';
import { StageController } from './stages';
import { PreviousAttempts } from './attempts';
import type { Demand, Holding, MemoryReport, PlanAction, PlanEvent } from './types';

/** When a caller may come back whose prefill found no memory, in milliseconds. */
const RETRY_UNBOUND_MS = 300;
/** Part of a decode runner's memory that must be free by the account for a refusal there to mean a lapsed prefill. */
const LAPSED_SPARE = 0.1;
/** When a caller may come back whose decode runner was full, in milliseconds. */
const RETRY_FULL_MS = 1000;

/** Planner of one service. */
export class Planner {
  readonly #policy: PlanPolicy;

  readonly #costs: CostModel;

  readonly #account: MemoryAccount;

  readonly #learning: WorkloadStats;

  readonly #tries = new PreviousAttempts();

  readonly #stages: StageController;

  readonly #waiting: WaitingQueue;

  readonly #room: CapacityView;

  readonly #ration: RateAllowance;

  readonly #placed: Reservations;

  #engine: Engine | undefined;

  readonly #returnTimes: RetryTimes;

  readonly #distrusted: string[] = [];

  #actions: PlanAction[] = [];

  constructor(
    policy: PlanPolicy,
    costs: CostModel = new MeasuredCosts(),
    ration: RateAllowance = unlimited,
  ) {
    this.#policy = policy;
    this.#ration = ration;
    this.#costs = costs;
    this.#returnTimes = new RetryTimes(policy.refusal);
    this.#learning = new WorkloadStats(policy.lengths, costs);
    this.#account = new MemoryAccount(policy.memory, costs);
    this.#stages = new StageController(policy.stages, this.#account, this.#learning, costs);
    this.#waiting = new WaitingQueue(costs, policy.order.createOrder(), (demand) =>
      this.#learning.sizeOf(demand),
    );
    this.#room = new CapacityView(policy, this.#account, costs, ration);
    this.#placed = new Reservations(this.#account, this.#learning, costs, () =>
      this.#room.invalidate(),
    );
  }

  /** What is known of the engine's times. */
  get costs(): Costs {
    return this.#costs;
  }

  get waiting(): number {
    return this.#waiting.size;
  }

  get placed(): number {
    return this.#placed.size;
  }

  /** Whether a VM has requests here, waiting or placed. */
  holdsFor(vm: string): boolean {
    if (this.#waiting.holdsFor(vm)) return true;
    return this.#placed.holdsFor(vm);
  }

  /** The inputs of a decision. */
  load(now: number): PlanLoad {
    return this.#room.load(now);
  }

  /** Runners that get no work for now because of how their requests went. */
  ejected(now: number): readonly string[] {
    return this.#account.ejected(now);
  }

  /** Runners that were distrusted since this was asked last. */
  takeEjected(): readonly string[] {
    return this.#distrusted.splice(0);
  }

  /** The account may lack what other VMs hold: holds back until they had time to tell. */
  startWarmUp(now: number): void {
    this.#room.startWarmUp(now);
  }

  /** Changes of runners' stages that would serve more requests; none while one is under way. */
  stageChanges(now: number): readonly StageChange[] {
    const isIdle = this.#placed.size === 0 && this.#waiting.size === 0;
    return this.#engine ? this.#stages.changes(now, this.#engine, isIdle) : [];
  }

  /** A runner took an order, or may have: it gets no new work until it is listed in its new stage. */
  recordOrder(now: number, runner: string, accepted: boolean): void {
    this.#stages.recordOrder(now, runner, accepted, this.#engine);
  }

  handle(now: number, event: PlanEvent): readonly PlanAction[] {
    this.#actions = [];
    this.#room.invalidate();
    match(event)
      .with({ kind: 'asked' }, ({ demand }) => this.#ask(now, demand))
      .with({ kind: 'prefilled' }, ({ id, ms, unreachable, shedBy }) => {
        this.#unbind(now, id, unreachable);
        this.#shed(now, id, shedBy);
        this.#prefilled(now, id, ms);
      })
      .with({ kind: 'started' }, ({ id }) => this.#started(now, id))
      .with({ kind: 'finished' }, ({ id, outputTokens }) => this.#finished(now, id, outputTokens))
      .with({ kind: 'slow' }, ({ id }) => this.#slow(now, id))
      .with({ kind: 'released' }, ({ id, blame }) => this.#release(now, id, blame))
      .with({ kind: 'told' }, ({ vm, holdings }) => this.#adopt(now, vm, holdings))
      .with({ kind: 'vmLost' }, ({ vm }) => this.#vmLost(now, vm))
      .with({ kind: 'reported' }, ({ report }) => this.#reported(now, report))
      .with({ kind: 'runners' }, ({ engine, runners }) => {
        this.#engine = engine;
        this.#account.setRunners(engine, runners);
      })
      .with({ kind: 'woke' }, () => {})
      .exhaustive();
    this.#pump(now);
    return this.#actions;
  }

  /** Asking again is safe: a gateway does so when it has not heard for a while. */
  #ask(now: number, demand: Demand): void {
    const placed = this.#placed.get(demand.id);
    if (placed) this.#actions.push({ kind: 'grant', id: demand.id, grant: placed.grant });
    else if (!this.#waiting.has(demand.id)) this.#enqueue(now, demand);
  }

  #enqueue(now: number, asked: Demand): void {
    const demand = this.#tries.record(now, asked);
    this.#waiting.add(demand);
    this.#learning.recordDemand(now, demand, !demand.returned);
  }

  /** Takes a request off a decode runner that was not reached, so that another is bound. */
  #unbind(now: number, id: string, unreachable: string | undefined): void {
    const placed = this.#placed.get(id);
    const state = this.#account.decode.get(unreachable ?? '');
    if (state) this.#distrust(now, state);
    if (!placed?.isAssigned || placed.grant.decode !== unreachable) return;
    this.#account.release(now, unreachable, id);
    placed.isAssigned = false;
    placed.demand = { ...placed.demand, avoid: [...placed.demand.avoid, unreachable] };
  }

  /**
   * A bound request was turned away: by the account there was room, so what was
   * read for it has probably lapsed and the same runner may read it itself; or
   * the runner is fuller than the account knows, and the caller has to come back.
   */
  #shed(now: number, id: string, shedBy: string | undefined): void {
    const placed = this.#placed.get(id);
    const state = this.#account.decode.get(shedBy ?? '');
    if (!placed || !state) return;
    const hasRoom = this.#room.free(now, state) >= state.memoryTokens * LAPSED_SPARE;
    if (hasRoom && this.#ration.waitMs(now, state.runner.id) === 0) {
      // The same runner is sent to once more.
      this.#ration.take(now, state.runner.id);
      const prefill = this.#placed.prefillOf(placed.grant);
      if (prefill) this.#distrust(now, prefill);
      return;
    }
    state.unexplainedTokens += this.#learning.sizeOf(placed.demand);
    this.#placed.release(now, id);
    this.#actions.push({ kind: 'refuse', id, retryAfterMs: RETRY_FULL_MS });
  }

  #prefilled(now: number, id: string, ms: number): void {
    const placed = this.#placed.get(id);
    if (!placed) return;
    if (placed.isAssigned) {
      this.#actions.push({ kind: 'bind', id, decode: placed.grant.decode });
      placed.assignedAt = now;
    }
    if (placed.prefilledAt !== undefined) return;
    placed.prefilledAt = now;
    const state = this.#placed.prefillOf(placed.grant);
    const pending = state?.pending.get(id);
    if (!state || !pending) return;
    state.pending.delete(id);
    this.#learning.recordPrefill(state, pending, ms);
  }

  #started(now: number, id: string): void {
    const holder = this.#placed.allocationOf(id);
    if (!holder || holder.startedAt !== undefined) return;
    holder.startedAt = now;
    const boundAt = this.#placed.get(id)?.assignedAt;
    if (boundAt !== undefined) this.#learning.recordFirstEvent(now - boundAt);
  }

  #finished(now: number, id: string, outputTokens: number): void {
    const placed = this.#placed.get(id);
    if (!placed) return;
    this.#tries.forget(placed.demand);
    this.#learning.recordOutput(placed.demand, outputTokens);
    const decode = this.#account.decode.get(placed.grant.decode);
    if (decode) decode.failureScore = afterSuccess(this.#policy.ejection, decode.failureScore);
    this.#learnPace(now, placed, id, outputTokens);
    const prefill = this.#placed.prefillOf(placed.grant);
    if (prefill) prefill.failureScore = afterSuccess(this.#policy.ejection, prefill.failureScore);
    this.#placed.release(now, id);
  }

  #reported(now: number, { runner, usedTokens, runs = [] }: MemoryReport): void {
    const decode = this.#account.decode.get(runner);
    if (decode) this.#learning.recordReport(now, decode, runs);
    this.#account.applyReport(now, runner, usedTokens);
  }

  /** What a finished request tells of the time of its tokens. */
  #learnPace(now: number, { grant }: Reservation, id: string, outputTokens: number): void {
    const decode = this.#account.decode.get(grant.decode);
    const startedAt = decode?.allocations.get(id)?.startedAt;
    if (!decode || startedAt === undefined || !this.#engine) return;
    this.#learning.recordStream(decode, outputTokens, this.#engine.eventTokens, now - startedAt);
  }

  #slow(now: number, id: string): void {
    const decode = this.#account.decode.get(this.#placed.get(id)?.grant.decode ?? '');
    if (decode && !isSlowedByLocalPrefill(now, decode)) this.#distrust(now, decode);
  }

  /** A request went badly at a runner. */
  #distrust(now: number, state: DecodeState | PrefillState): void {
    const runner = state;
    const before = runner.failureScore;
    runner.failureScore = afterFailure(this.#policy.ejection, now, before);
    if (runner.failureScore !== before) this.#distrusted.push(runner.runner.id);
  }

  #release(now: number, id: string, blame: string | undefined): void {
    this.#waiting.delete(id);
    const placed = this.#placed.get(id);
    const prefill = this.#account.prefill.get(blame ?? '');
    const pending = prefill?.pending.get(id);
    if (prefill && pending) this.#learning.recordAbandonedPrefill(now, prefill, pending);
    if (placed) this.#placed.release(now, id);
    if (blame === undefined) return;
    const state = this.#account.decode.get(blame) ?? this.#account.prefill.get(blame);
    if (state) this.#distrust(now, state);
  }

  /** What a VM says it holds replaces what is counted for it. */
  #adopt(now: number, vm: string, holdings: readonly Holding[]): void {
    for (const { demand } of this.#placed.sync(now, vm, holdings)) this.#waiting.delete(demand.id);
  }

  #vmLost(now: number, vm: string): void {
    this.#waiting.dropVm(vm);
    this.#placed.dropVm(now, vm);
  }

  /** Starts what can start, in order, and refuses what cannot be served. */
  #pump(now: number): void {
    this.#bindReady(now);
    if (this.#waiting.size === 0) return;
    const order = this.#waiting.order(now);
    let ahead = this.#allowedAhead();
    let largest = this.#room.largestFreeTokens(now);
    for (const demand of order) {
      const decode = this.#mayHave(now, demand, largest)
        ? this.#findDecode(now, demand)
        : undefined;
      const mayLead = ahead > 0 && this.#learning.sizeOf(demand) <= this.#learning.usualSizeTokens;
      const chosen = decode ?? (mayLead ? this.#room.findSoonest(now, demand) : undefined);
      const prefill = chosen && this.#room.findPrefill(now, demand, chosen.runner.domain);
      const reader = decode && !prefill ? this.#findReader(now, demand) : undefined;
      const place = prefill ? chosen : reader;
      if (place) {
        const bound = decode !== undefined;
        if (!bound) ahead -= 1;
        const grant = { prefill: prefill?.runner.id, decode: place.runner.id };
        this.#waiting.removeReserved(demand);
        if (prefill) this.#ration.take(now, prefill.runner.id);
        if (bound) this.#ration.take(now, place.runner.id);
        this.#placed.add(now, demand, grant, bound, undefined);
        this.#actions.push({ kind: 'grant', id: demand.id, grant });
        largest = this.#room.largestFreeTokens(now);
      }
    }
    this.#refuseHopeless(now, order);
  }

  /** Whether a request may have the most room that one decode runner has. */
  #mayHave(now: number, demand: Demand, largest: number): boolean {
    const spare =
      requiredFreeShare(this.#policy.order, this.#costs, now, demand) *
      (this.#engine?.memoryTokens ?? 0);
    return this.#learning.sizeOf(demand) + spare <= largest;
  }

  /** Prefilled requests get memory before any other, since what was read for them lapses. */
  #bindReady(now: number): void {
    const keepMs = maxWaitMs(this.#policy.ahead, this.#engine?.keepMs ?? 0);
    for (const [id, placed] of this.#placed.entries) {
      if (!placed.isAssigned && placed.prefilledAt !== undefined) {
        const decode = this.#findDecode(now, placed.demand);
        if (decode) {
          this.#ration.take(now, decode.runner.id);
          this.#placed.assign(now, placed, decode.runner.id);
          this.#actions.push({ kind: 'bind', id, decode: decode.runner.id });
        } else if (now - placed.prefilledAt > keepMs) {
          this.#placed.release(now, id);
          this.#actions.push({ kind: 'refuse', id, retryAfterMs: RETRY_UNBOUND_MS });
        }
      }
    }
  }

  /** Prefills that may start now ahead of the memory for them. */
  #allowedAhead(): number {
    let holders = 0;
    for (const state of this.#account.decode.values()) holders += state.allocations.size;
    const ahead = this.#placed.unassignedCount;
    const { prefillMs: readMs, residenceMs } = this.#learning;
    const keepMs = this.#engine?.keepMs ?? 0;
    return maxPrefillsAhead(this.#policy.ahead, holders, readMs, residenceMs, keepMs) - ahead;
  }

  /** Refuses what cannot be served while its caller waits. */
  #refuseHopeless(now: number, order: readonly Demand[]): void {
    const { usualSizeTokens: usualSize, residenceMs } = this.#learning;
    const left = order.filter(({ id }) => this.#waiting.has(id));
    const hopeless = findUnservable(this.#policy.refusal, now, left, {
      sizeOf: (demand) => this.#learning.sizeOf(demand),
      minFirstEventMs: (demand) => minFirstEventMs(this.#costs, demand),
      spareTokensPerMs: this.#learning.spareTokensPerMs(
        now,
        this.#room.capacity(usualSize, residenceMs),
      ),
      releases: this.#room.releases(now, usualSize),
      prefillWaitMs: this.#room.prefillWaitMs(now),
    });
    for (const wait of hopeless) {
      const { id } = wait.demand;
      this.#waiting.delete(id);
      this.#actions.push({
        kind: 'refuse',
        id,
        retryAfterMs: this.#returnTimes.next(now, wait),
      });
    }
  }

  #findDecode(now: number, demand: Demand): DecodeState | undefined {
    return this.#room.findDecode(
      now,
      demand,
      this.#learning.sizeOf(demand),
      this.#engine?.slots ?? 0,
    );
  }

  /** The decode runner that reads a prompt itself because no prefill runner can. */
  #findReader(now: number, demand: Demand): DecodeState | undefined {
    return (
      this.#engine &&
      this.#room.findLocalPrefill(now, demand, this.#learning.sizeOf(demand), this.#engine)
    );
  }
}
