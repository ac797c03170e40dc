/**
 * Plans one model service: which request starts next, where it is prefilled and where it decodes.
 * One VM plans a service at a time, so that its memory account is exact. The planner has no
 * sockets, timers or clock: it takes events and returns actions.
 */

import { match } from 'ts-pattern';

import type { Ration } from '../ratelimits/types';
import { unlimited } from '../ratelimits/types';
import type { Engine } from '../routing/types';
import type { DecodeState, PrefillState } from './account';
import { MemoryAccount, slowedByRead } from './account';
import { allowedAhead, waitableMs } from './ahead';
import { Learning } from './learning';
import { afterFailure, afterSuccess } from './trust';
import type { StageChange } from './balance';
import type { CostModel, Costs } from './cost';
import { LearntCosts } from './cost';
import { WaitingQueue, leastMs, sparePart } from './queue';
import type { PlanPolicy } from './policy';
import type { Placed } from './placements';
import { Placements } from './placements';
import type { PlanLoad } from './room';
import { ReturnTimes, hopelessOf } from './refusal';
import { Room } from './room';
import { Stages } from './stages';
import { EarlierTries } from './tries';
import type { Demand, Holding, MemoryReport, PlanAction, PlanEvent } from './types';

/**
 * Retry-After of a request that was prefilled but found no decode memory in time, in milliseconds.
 */
const RETRY_UNASSIGNED_MS = 300;
/**
 * Free share of a decode runner's memory above which a rejection there is taken to mean that the
 * kept prefill has expired.
 */
const EXPIRED_PREFILL_FREE_SHARE = 0.1;
/** Retry-After of a request whose decode runner was full, in milliseconds. */
const RETRY_FULL_MS = 1000;

/** Planner of one service. */
export class Planner {
  readonly #policy: PlanPolicy;

  readonly #costs: CostModel;

  readonly #account: MemoryAccount;

  readonly #stats: Learning;

  readonly #attempts = new EarlierTries();

  readonly #stages: Stages;

  readonly #queue: WaitingQueue;

  readonly #capacity: Room;

  readonly #allowance: Ration;

  readonly #reservations: Placements;

  #engine: Engine | undefined;

  readonly #retryTimes: ReturnTimes;

  readonly #ejected: string[] = [];

  #actions: PlanAction[] = [];

  constructor(
    policy: PlanPolicy,
    costs: CostModel = new LearntCosts(),
    allowance: Ration = unlimited,
  ) {
    this.#policy = policy;
    this.#allowance = allowance;
    this.#costs = costs;
    this.#retryTimes = new ReturnTimes(policy.refusal);
    this.#stats = new Learning(policy.lengths, costs);
    this.#account = new MemoryAccount(policy.memory, costs);
    this.#stages = new Stages(policy.stages, this.#account, this.#stats, costs);
    this.#queue = new WaitingQueue(costs, policy.order.turns(), (demand) =>
      this.#stats.sizeOf(demand),
    );
    this.#capacity = new Room(policy, this.#account, costs, allowance);
    this.#reservations = new Placements(this.#account, this.#stats, costs, () =>
      this.#capacity.changed(),
    );
  }

  /** Measured times of the engine. */
  get costs(): Costs {
    return this.#costs;
  }

  /** Number of waiting requests. */
  get waiting(): number {
    return this.#queue.size;
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
  distrusted(now: number): readonly string[] {
    return this.#account.distrusted(now);
  }

  /** Returns the runners that were ejected since the last call. */
  takeDistrusted(): readonly string[] {
    return this.#ejected.splice(0);
  }

  /**
   * Starts the warm-up: until the other VMs had time to report their reservations, the account may
   * be incomplete and less memory is reserved.
   */
  startCautiously(now: number): void {
    this.#capacity.beCautious(now);
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
  ordered(now: number, runner: string, accepted: boolean): void {
    this.#stages.ordered(now, runner, accepted, this.#engine);
  }

  /** Handles an event at a time in milliseconds, and returns all decisions that follow from it. */
  handle(now: number, event: PlanEvent): readonly PlanAction[] {
    this.#actions = [];
    this.#capacity.changed();
    match(event)
      .with({ kind: 'asked' }, ({ demand }) => this.#handleDemand(now, demand))
      .with({ kind: 'prefilled' }, ({ id, ms, unreachable, shedBy }) => {
        this.#unassign(now, id, unreachable);
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
      .with({ kind: 'vmLost' }, ({ vm }) => this.#dropVm(now, vm))
      .with({ kind: 'reported' }, ({ report }) => this.#recordReport(now, report))
      .with({ kind: 'runners' }, ({ engine, runners }) => {
        this.#engine = engine;
        this.#account.setRunners(engine, runners);
      })
      .with({ kind: 'woke' }, () => {})
      .exhaustive();
    this.#schedule(now);
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
    const demand = this.#attempts.note(now, received);
    this.#queue.add(demand);
    this.#stats.asked(now, demand, !demand.returned);
  }

  /**
   * Cancels the assignment to a decode runner that could not be reached, so that another one is
   * assigned.
   */
  #unassign(now: number, id: string, unreachable: string | undefined): void {
    const reservation = this.#reservations.get(id);
    const state = this.#account.decode.get(unreachable ?? '');
    if (state) this.#recordFailure(now, state);
    if (!reservation?.bound || reservation.grant.decode !== unreachable) return;
    this.#account.leave(now, unreachable, id);
    reservation.bound = false;
    reservation.demand = {
      ...reservation.demand,
      avoid: [...reservation.demand.avoid, unreachable],
    };
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
    state.foreignTokens += this.#stats.sizeOf(reservation.demand);
    this.#reservations.leave(now, id);
    this.#actions.push({ kind: 'refuse', id, retryAfterMs: RETRY_FULL_MS });
  }

  #recordPrefill(now: number, id: string, ms: number): void {
    const reservation = this.#reservations.get(id);
    if (!reservation) return;
    if (reservation.bound) {
      this.#actions.push({ kind: 'bind', id, decode: reservation.grant.decode });
      reservation.boundAt = now;
    }
    if (reservation.readyAt !== undefined) return;
    reservation.readyAt = now;
    const state = this.#reservations.prefillOf(reservation.grant);
    const pending = state?.pending.get(id);
    if (!state || !pending) return;
    state.pending.delete(id);
    this.#stats.prefilled(state, pending, ms);
  }

  #recordStart(now: number, id: string): void {
    const allocation = this.#reservations.holderOf(id);
    if (!allocation || allocation.startedAt !== undefined) return;
    allocation.startedAt = now;
    const boundAt = this.#reservations.get(id)?.boundAt;
    if (boundAt !== undefined) this.#stats.began(now - boundAt);
  }

  #recordFinish(now: number, id: string, outputTokens: number): void {
    const reservation = this.#reservations.get(id);
    if (!reservation) return;
    this.#attempts.answered(reservation.demand);
    this.#stats.finished(reservation.demand, outputTokens);
    const decode = this.#account.decode.get(reservation.grant.decode);
    if (decode) decode.trust = afterSuccess(this.#policy.trust, decode.trust);
    this.#recordPace(now, reservation, id, outputTokens);
    const prefill = this.#reservations.prefillOf(reservation.grant);
    if (prefill) prefill.trust = afterSuccess(this.#policy.trust, prefill.trust);
    this.#reservations.leave(now, id);
  }

  #recordReport(now: number, { runner, usedTokens, runs = [] }: MemoryReport): void {
    const decode = this.#account.decode.get(runner);
    if (decode) this.#stats.reported(now, decode, runs);
    this.#account.report(now, runner, usedTokens);
  }

  /** Measures the time of a token from a finished request. */
  #recordPace(now: number, { grant }: Placed, id: string, outputTokens: number): void {
    const decode = this.#account.decode.get(grant.decode);
    const startedAt = decode?.holders.get(id)?.startedAt;
    if (!decode || startedAt === undefined || !this.#engine) return;
    this.#stats.streamed(decode, outputTokens, this.#engine.eventTokens, now - startedAt);
  }

  #handleSlowStream(now: number, id: string): void {
    const decode = this.#account.decode.get(this.#reservations.get(id)?.grant.decode ?? '');
    if (decode && !slowedByRead(now, decode)) this.#recordFailure(now, decode);
  }

  /** Records a failed or slow request of a runner, which may eject it. */
  #recordFailure(now: number, state: DecodeState | PrefillState): void {
    const runner = state;
    const before = runner.trust;
    runner.trust = afterFailure(this.#policy.trust, now, before);
    if (runner.trust !== before) this.#ejected.push(runner.runner.id);
  }

  #release(now: number, id: string, blame: string | undefined): void {
    this.#queue.delete(id);
    const reservation = this.#reservations.get(id);
    const prefill = this.#account.prefill.get(blame ?? '');
    const pending = prefill?.pending.get(id);
    if (prefill && pending) this.#stats.givenUp(now, prefill, pending);
    if (reservation) this.#reservations.leave(now, id);
    if (blame === undefined) return;
    const state = this.#account.decode.get(blame) ?? this.#account.prefill.get(blame);
    if (state) this.#recordFailure(now, state);
  }

  /** Replaces the reservations counted for a VM by those that the VM reports. */
  #reconcile(now: number, vm: string, held: readonly Holding[]): void {
    for (const { demand } of this.#reservations.adopt(now, vm, held)) this.#queue.delete(demand.id);
  }

  #dropVm(now: number, vm: string): void {
    this.#queue.dropVm(vm);
    this.#reservations.dropVm(now, vm);
  }

  /**
   * Starts waiting requests in scheduling order as far as capacity allows, and refuses those that
   * cannot be served in time.
   */
  #schedule(now: number): void {
    this.#assignPrefilled(now);
    if (this.#queue.size === 0) return;
    const order = this.#queue.order(now);
    let prefillsLeft = this.#allowedPrefillsAhead();
    let largest = this.#capacity.largest(now);
    for (const demand of order) {
      const decode = this.#fitsLargest(now, demand, largest)
        ? this.#findDecode(now, demand)
        : undefined;
      const mayPrefillAhead =
        prefillsLeft > 0 && this.#stats.sizeOf(demand) <= this.#stats.usualSize;
      const candidate =
        decode ?? (mayPrefillAhead ? this.#capacity.soonest(now, demand) : undefined);
      const prefill = candidate && this.#capacity.findPrefill(now, demand, candidate.runner.domain);
      const localPrefill = decode && !prefill ? this.#findLocalPrefill(now, demand) : undefined;
      const target = prefill ? candidate : localPrefill;
      if (target) {
        const bound = decode !== undefined;
        if (!bound) prefillsLeft -= 1;
        const grant = { prefill: prefill?.runner.id, decode: target.runner.id };
        this.#queue.place(demand);
        if (prefill) this.#allowance.take(now, prefill.runner.id);
        if (bound) this.#allowance.take(now, target.runner.id);
        this.#reservations.add(now, demand, grant, bound, undefined);
        this.#actions.push({ kind: 'grant', id: demand.id, grant });
        largest = this.#capacity.largest(now);
      }
    }
    this.#refuseUnservable(now, order);
  }

  /** Whether the largest free memory of any one decode runner is enough for a request. */
  #fitsLargest(now: number, demand: Demand, largest: number): boolean {
    const requiredFreeTokens =
      sparePart(this.#policy.order, this.#costs, now, demand) * (this.#engine?.memoryTokens ?? 0);
    return this.#stats.sizeOf(demand) + requiredFreeTokens <= largest;
  }

  /**
   * Assigns decode runners to prefilled requests. They get memory before all others, since their
   * kept prefills expire.
   */
  #assignPrefilled(now: number): void {
    const keepMs = waitableMs(this.#policy.ahead, this.#engine?.keepMs ?? 0);
    for (const [id, reservation] of this.#reservations.entries) {
      if (!reservation.bound && reservation.readyAt !== undefined) {
        const decode = this.#findDecode(now, reservation.demand);
        if (decode) {
          this.#allowance.take(now, decode.runner.id);
          this.#reservations.bind(now, reservation, decode.runner.id);
          this.#actions.push({ kind: 'bind', id, decode: decode.runner.id });
        } else if (now - reservation.readyAt > keepMs) {
          this.#reservations.leave(now, id);
          this.#actions.push({ kind: 'refuse', id, retryAfterMs: RETRY_UNASSIGNED_MS });
        }
      }
    }
  }

  /** Number of prefills that may start now before decode memory is free for them. */
  #allowedPrefillsAhead(): number {
    let allocations = 0;
    for (const state of this.#account.decode.values()) allocations += state.holders.size;
    const unassigned = this.#reservations.unbound;
    const { readMs, residenceMs } = this.#stats;
    const keepMs = this.#engine?.keepMs ?? 0;
    return allowedAhead(this.#policy.ahead, allocations, readMs, residenceMs, keepMs) - unassigned;
  }

  /** Refuses requests that cannot be served before their callers disconnect. */
  #refuseUnservable(now: number, order: readonly Demand[]): void {
    const { usualSize, residenceMs } = this.#stats;
    const stillWaiting = order.filter(({ id }) => this.#queue.has(id));
    const unservable = hopelessOf(this.#policy.refusal, now, stillWaiting, {
      sizeOf: (demand) => this.#stats.sizeOf(demand),
      leastMs: (demand) => leastMs(this.#costs, demand),
      spare: this.#stats.spare(now, this.#capacity.capacity(usualSize, residenceMs)),
      releases: this.#capacity.releases(now, usualSize),
      readMs: this.#capacity.readMs(now),
    });
    for (const request of unservable) {
      const { id } = request.demand;
      this.#queue.delete(id);
      this.#actions.push({
        kind: 'refuse',
        id,
        retryAfterMs: this.#retryTimes.next(now, request),
      });
    }
  }

  /**
   * The decode runner with the most free memory that fits a request; undefined if there is none.
   */
  #findDecode(now: number, demand: Demand): DecodeState | undefined {
    return this.#capacity.findDecode(
      now,
      demand,
      this.#stats.sizeOf(demand),
      this.#engine?.slots ?? 0,
    );
  }

  /** The decode runner that prefills a prompt itself because no prefill runner can. */
  #findLocalPrefill(now: number, demand: Demand): DecodeState | undefined {
    return (
      this.#engine &&
      this.#capacity.findReader(now, demand, this.#stats.sizeOf(demand), this.#engine)
    );
  }
}
