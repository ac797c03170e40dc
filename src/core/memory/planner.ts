/**
 * Plans one model service: which request starts next, where it is prefilled and where it decodes.
 * One VM plans a service at a time, so that its memory account is exact. The planner has no
 * sockets, timers or clock: it takes events and returns actions.
 */

import { match } from 'ts-pattern';

import type { RateAllowance } from '../ratelimits/types';
import { unlimited } from '../ratelimits/types';
import type { Engine } from '../routing/types';
import type { Allocation, DecodeState, PrefillState } from './account';
import { MemoryAccount, isSlowedByLocalPrefill } from './account';
import { VmBackoffs } from './backoffs';
import { WorkloadStats } from './stats';
import { afterFailure, afterReturn, afterSilence, afterSuccess } from './ejection';
import type { StageChange } from './balance';
import type { CostModel, Costs } from './cost';
import { MeasuredCosts } from './cost';
import { WaitingQueue } from './queue';
import type { PlanPolicy } from './policy';
import type { Reservation } from './reservations';
import { Reservations } from './reservations';
import type { PlanLoad } from './capacity';
import { CapacityView } from './capacity';
import { Scheduler, RETRY_FULL_MS } from './scheduler';
import { StageController } from './stages';
import { PreviousAttempts } from './attempts';
import type { Demand, Holding, MemoryReport, PlanAction, PlanEvent } from './types';

/**
 * Free share of a decode runner's memory above which a rejection there is taken to mean that the
 * kept prefill has expired.
 */
const EXPIRED_PREFILL_FREE_SHARE = 0.1;

/** Planner of one service. */
export class Planner {
  readonly #policy: PlanPolicy;

  readonly #costs: CostModel;

  readonly #account: MemoryAccount;

  readonly #stats: WorkloadStats;

  readonly #attempts = new PreviousAttempts();

  readonly #stages: StageController;

  readonly #queue: WaitingQueue;

  readonly #backoffs = new VmBackoffs();

  readonly #capacity: CapacityView;

  readonly #allowance: RateAllowance;

  readonly #reservations: Reservations;

  #engine: Engine | undefined;

  readonly #scheduler: Scheduler;

  readonly #ejected: string[] = [];

  #actions: PlanAction[] = [];

  constructor(
    policy: PlanPolicy,
    costs: CostModel = new MeasuredCosts(),
    allowance: RateAllowance = unlimited,
  ) {
    this.#policy = policy;
    this.#allowance = allowance;
    this.#costs = costs;
    this.#stats = new WorkloadStats(policy.lengths, costs);
    this.#account = new MemoryAccount(policy.memory, costs);
    this.#stages = new StageController(policy.stages, this.#account, this.#stats, costs);
    this.#queue = new WaitingQueue(costs, policy.order, (demand) => this.#stats.sizeOf(demand));
    this.#capacity = new CapacityView(policy, this.#account, costs, allowance, this.#backoffs);
    this.#reservations = new Reservations(this.#account, this.#stats, costs, () =>
      this.#capacity.invalidate(),
    );
    this.#scheduler = new Scheduler({
      policy,
      costs,
      allowance,
      account: this.#account,
      stats: this.#stats,
      queue: this.#queue,
      capacity: this.#capacity,
      reservations: this.#reservations,
    });
  }

  /** Measured times of the engine. */
  get costs(): Costs {
    return this.#costs;
  }

  /** Number of waiting requests. */
  get waiting(): number {
    return this.#queue.size;
  }

  /** Number of waiting requests by rank. */
  get waitingByRank(): Readonly<Record<number, number>> {
    return this.#queue.countsByRank;
  }

  /** Number of reservations. */
  get placed(): number {
    return this.#reservations.size;
  }

  /** Whether a VM has waiting requests or reservations here. */
  holdsFor(vm: string): boolean {
    if (this.#queue.holdsFor(vm)) return true;
    return this.#reservations.holdsFor(vm);
  }

  /** Current load as logged with each decision. */
  load(now: number): PlanLoad {
    return this.#capacity.load(now);
  }

  /** Runners that are ejected at the moment because their requests failed or were slow. */
  ejected(now: number): readonly string[] {
    return this.#account.ejected(now);
  }

  /** Returns the runners that were ejected since the last call. */
  takeEjected(): readonly string[] {
    return this.#ejected.splice(0);
  }

  /**
   * Starts the warm-up: until the other VMs had time to report their reservations, the account may
   * be incomplete and less memory is reserved.
   */
  startWarmUp(now: number): void {
    this.#capacity.startWarmUp(now);
  }

  /** Stage changes that would serve more requests; empty while one is in progress. */
  stageChanges(now: number): readonly StageChange[] {
    const isIdle = this.#reservations.size === 0 && this.#queue.size === 0;
    return this.#engine ? this.#stages.changes(now, this.#engine, isIdle) : [];
  }

  /**
   * Records that a runner accepted an order, or may have. It gets no new work until it is listed in
   * its new stage.
   */
  recordOrder(now: number, runner: string, accepted: boolean): void {
    this.#stages.recordOrder(now, runner, accepted, this.#engine);
  }

  /** Handles an event at a time in milliseconds, and returns all decisions that follow from it. */
  handle(now: number, event: PlanEvent): readonly PlanAction[] {
    this.#actions = [];
    this.#capacity.invalidate();
    match(event)
      .with({ kind: 'asked' }, ({ demand }) => this.#handleDemand(now, demand))
      .with({ kind: 'prefilled' }, ({ id, ms, unreachable, unavailable, shedBy }) => {
        const unreached = this.#account.decode.get(unreachable ?? '');
        if (unreached) this.#recordFailure(now, unreached);
        this.#unassign(now, id, unreachable ?? unavailable);
        this.#handleRejection(now, id, shedBy);
        this.#recordPrefill(now, id, ms);
      })
      .with({ kind: 'started' }, ({ id }) => this.#recordStart(now, id))
      .with({ kind: 'finished' }, ({ id, outputTokens }) =>
        this.#recordFinish(now, id, outputTokens),
      )
      .with({ kind: 'slow' }, ({ id }) => this.#handleSlowStream(now, id))
      .with({ kind: 'released' }, ({ id, blame }) => this.#release(now, id, blame))
      .with({ kind: 'told' }, ({ vm, holdings }) => this.#reconcile(now, vm, holdings))
      .with({ kind: 'backedOff' }, ({ vm, backoffs }) => {
        for (const { runner, until } of backoffs) this.#backoffs.record(vm, runner, until);
      })
      .with({ kind: 'vmLost' }, ({ vm }) => this.#dropVm(now, vm))
      .with({ kind: 'reported' }, ({ report }) => this.#recordReport(now, report))
      .with({ kind: 'silent' }, ({ runner }) => this.#recordSilence(now, runner))
      .with({ kind: 'answered' }, ({ runner }) => this.#recordReturn(runner))
      .with({ kind: 'runners' }, ({ engine, runners, byRank = false }) => {
        this.#engine = engine;
        this.#queue.turns.distinguish(byRank);
        this.#account.setRunners(engine, runners);
        const listed = new Set(runners.map(({ id }) => id));
        this.#backoffs.retain((id) => listed.has(id));
      })
      .with({ kind: 'woke' }, () => {})
      .exhaustive();
    this.#actions.push(...this.#scheduler.run(now, this.#engine));
    return this.#actions;
  }

  /**
   * Repeated requests for the same id are safe: gateways send them again when no answer arrives in
   * time.
   */
  #handleDemand(now: number, demand: Demand): void {
    const reservation = this.#reservations.get(demand.id);
    if (reservation) this.#actions.push({ kind: 'grant', id: demand.id, grant: reservation.grant });
    else if (!this.#queue.has(demand.id)) this.#enqueue(now, demand);
  }

  #enqueue(now: number, received: Demand): void {
    const demand = this.#attempts.record(now, received);
    this.#queue.add(demand);
    this.#stats.recordDemand(now, demand, !demand.returned);
  }

  /**
   * Cancels the assignment to a decode runner that the request did not reach, that is gone, or that
   * wants no requests of its VM, so that another one is assigned.
   */
  #unassign(now: number, id: string, unreached: string | undefined): void {
    const reservation = this.#reservations.get(id);
    if (!reservation?.isAssigned) return;
    const { demand, grant } = reservation;
    const isOpen =
      this.#account.decode.has(grant.decode) && this.#backoffs.isOpen(now, grant.decode, demand.vm);
    if (grant.decode !== unreached && isOpen) return;
    this.#account.release(now, grant.decode, id);
    reservation.isAssigned = false;
    reservation.demand = { ...demand, avoid: [...demand.avoid, grant.decode] };
  }

  /**
   * Handles the rejection of an assigned request. If the account shows free memory at the runner,
   * the kept prefill has probably expired, and the same runner may prefill the prompt itself.
   * Otherwise the runner is fuller than the account shows, and the caller has to retry later.
   */
  #handleRejection(now: number, id: string, shedBy: string | undefined): void {
    const reservation = this.#reservations.get(id);
    const state = this.#account.decode.get(shedBy ?? '');
    if (!reservation || !state) return;
    const hasFreeMemory =
      this.#capacity.free(now, state) >= state.memoryTokens * EXPIRED_PREFILL_FREE_SHARE;
    if (hasFreeMemory && this.#allowance.waitMs(now, state.runner.id) === 0) {
      // The request is sent to the same runner a second time, which its rate limit counts as well.
      this.#allowance.take(now, state.runner.id);
      const prefill = this.#reservations.prefillOf(reservation.grant);
      if (prefill) this.#recordFailure(now, prefill);
      return;
    }
    state.unexplainedTokens += this.#stats.sizeOf(reservation.demand);
    this.#reservations.release(now, id);
    const cause = { rank: reservation.demand.rank, reason: 'runnerFull' } as const;
    this.#actions.push({ kind: 'refuse', id, retryAfterMs: RETRY_FULL_MS, cause });
  }

  #recordPrefill(now: number, id: string, ms: number): void {
    const reservation = this.#reservations.get(id);
    if (!reservation) return;
    if (reservation.isAssigned) {
      this.#actions.push({ kind: 'bind', id, decode: reservation.grant.decode });
      reservation.assignedAt = now;
    }
    if (reservation.prefilledAt !== undefined) return;
    reservation.prefilledAt = now;
    const state = this.#reservations.prefillOf(reservation.grant);
    const pending = state?.pending.get(id);
    if (!state || !pending) return;
    state.pending.delete(id);
    this.#backoffs.accepted(now, state.runner.id);
    this.#stats.recordPrefill(state, pending, ms);
  }

  #recordStart(now: number, id: string): void {
    const allocation = this.#reservations.allocationOf(id);
    if (!allocation || allocation.startedAt !== undefined) return;
    allocation.startedAt = now;
    this.#recordLocalPrefill(now, id, allocation);
    this.#backoffs.accepted(now, this.#reservations.get(id)?.grant.decode ?? '');
    const assignedAt = this.#reservations.get(id)?.assignedAt;
    if (assignedAt !== undefined) this.#stats.recordFirstEvent(now - assignedAt);
  }

  #recordLocalPrefill(now: number, id: string, allocation: Allocation): void {
    const decode = this.#account.decode.get(this.#reservations.get(id)?.grant.decode ?? '');
    if (!allocation.isLocalPrefill || !decode || !this.#engine) return;
    this.#stats.recordLocalPrefill(now, decode, allocation, this.#engine.eventTokens);
  }

  #recordFinish(now: number, id: string, outputTokens: number): void {
    const reservation = this.#reservations.get(id);
    if (!reservation) return;
    this.#attempts.forget(reservation.demand);
    this.#stats.recordOutput(reservation.demand, outputTokens);
    const decode = this.#account.decode.get(reservation.grant.decode);
    if (decode) decode.failureScore = afterSuccess(this.#policy.ejection, decode.failureScore);
    this.#recordPace(now, reservation, id, outputTokens);
    const prefill = this.#reservations.prefillOf(reservation.grant);
    if (prefill) prefill.failureScore = afterSuccess(this.#policy.ejection, prefill.failureScore);
    this.#reservations.release(now, id);
  }

  #recordReport(now: number, { runner, usedTokens, runs = [] }: MemoryReport): void {
    const decode = this.#account.decode.get(runner);
    if (decode) this.#stats.recordReport(now, decode, runs);
    this.#account.applyReport(now, runner, usedTokens, runs);
  }

  /** A runner that does not answer gets no work for the time until it is checked again. */
  #recordSilence(now: number, runner: string): void {
    const state = this.#account.decode.get(runner) ?? this.#account.prefill.get(runner);
    if (state) state.failureScore = afterSilence(this.#policy.ejection, now, state.failureScore);
  }

  /** A runner that answers again gets work at once. */
  #recordReturn(runner: string): void {
    const state = this.#account.decode.get(runner) ?? this.#account.prefill.get(runner);
    if (state) state.failureScore = afterReturn(state.failureScore);
  }

  /** Measures the time of a token from a finished request. */
  #recordPace(now: number, { grant }: Reservation, id: string, outputTokens: number): void {
    const decode = this.#account.decode.get(grant.decode);
    const startedAt = decode?.allocations.get(id)?.startedAt;
    if (!decode || startedAt === undefined || !this.#engine) return;
    this.#stats.recordStream(now, decode, outputTokens, this.#engine.eventTokens, startedAt);
  }

  #handleSlowStream(now: number, id: string): void {
    const decode = this.#account.decode.get(this.#reservations.get(id)?.grant.decode ?? '');
    if (decode && !isSlowedByLocalPrefill(now, decode)) this.#recordFailure(now, decode);
  }

  /** Records a failed or slow request of a runner, which may eject it. */
  #recordFailure(now: number, state: DecodeState | PrefillState): void {
    const runner = state;
    const before = runner.failureScore;
    runner.failureScore = afterFailure(this.#policy.ejection, now, before);
    if (runner.failureScore !== before) this.#ejected.push(runner.runner.id);
  }

  #release(now: number, id: string, blame: string | undefined): void {
    this.#queue.delete(id);
    const reservation = this.#reservations.get(id);
    const prefill = this.#account.prefill.get(blame ?? '');
    const pending = prefill?.pending.get(id);
    if (prefill && pending) this.#stats.recordAbandonedPrefill(now, prefill, pending);
    if (reservation) this.#reservations.release(now, id);
    if (blame === undefined) return;
    const state = this.#account.decode.get(blame) ?? this.#account.prefill.get(blame);
    if (state) this.#recordFailure(now, state);
  }

  /** Replaces the reservations counted for a VM by those that the VM reports. */
  #reconcile(now: number, vm: string, held: readonly Holding[]): void {
    for (const { demand } of this.#reservations.sync(now, vm, held)) this.#queue.delete(demand.id);
  }

  #dropVm(now: number, vm: string): void {
    this.#queue.dropVm(vm);
    this.#reservations.dropVm(now, vm);
  }
}
