/** Scheduling step of a planner: starts, assigns and refuses requests as its capacity allows. */

import type { RateAllowance } from '../ratelimits/types';
import type { Engine } from '../routing/types';
import type { DecodeState, MemoryAccount, PrefillState } from './account';
import { maxPrefillsAhead, maxWaitMs } from './ahead';
import type { CapacityView } from './capacity';
import type { Costs } from './cost';
import { RunnerHolds } from './holds';
import type { PlanPolicy } from './policy';
import type { WaitingQueue } from './queue';
import { minFirstEventMs, requiredFreeShare } from './queue';
import { RetryTimes, findUnservable } from './refusal';
import type { Reservations } from './reservations';
import type { WorkloadStats } from './stats';
import type { Demand, PlanAction } from './types';

/**
 * Retry-After of a request that was prefilled but found no decode memory in time, in milliseconds.
 */
const RETRY_UNASSIGNED_MS = 300;
/** Retry-After of a request whose decode runner was full, in milliseconds. */
export const RETRY_FULL_MS = 1000;

/** State of a planner that its scheduler reads and changes. */
export interface SchedulerContext {
  readonly policy: PlanPolicy;
  readonly costs: Costs;
  readonly allowance: RateAllowance;
  readonly account: MemoryAccount;
  readonly stats: WorkloadStats;
  readonly queue: WaitingQueue;
  readonly capacity: CapacityView;
  readonly reservations: Reservations;
}

/** State of one scheduling step. */
interface SchedulingStep {
  /** Prefills that may still start before decode memory is free for them. */
  prefillsLeft: number;
  /** Largest free memory of any one decode runner, in tokens. */
  largest: number;
  readonly holds: RunnerHolds;
  /** Prompt tokens of the requests in this step that could not start. */
  promptTokensAhead: number;
}

/** Where a request starts. */
interface Placement {
  /** Undefined if the decode runner prefills the prompt itself. */
  readonly prefill: PrefillState | undefined;
  readonly target: DecodeState;
  /** Whether memory is allocated at once. */
  readonly isAssigned: boolean;
}

/** Scheduler of one service. */
export class Scheduler {
  readonly #policy: PlanPolicy;

  readonly #costs: Costs;

  readonly #allowance: RateAllowance;

  readonly #account: MemoryAccount;

  readonly #stats: WorkloadStats;

  readonly #queue: WaitingQueue;

  readonly #capacity: CapacityView;

  readonly #reservations: Reservations;

  readonly #retryTimes: RetryTimes;

  #engine: Engine | undefined;

  #actions: PlanAction[] = [];

  constructor(context: SchedulerContext) {
    this.#policy = context.policy;
    this.#costs = context.costs;
    this.#allowance = context.allowance;
    this.#account = context.account;
    this.#stats = context.stats;
    this.#queue = context.queue;
    this.#capacity = context.capacity;
    this.#reservations = context.reservations;
    this.#retryTimes = new RetryTimes(context.policy.refusal);
  }

  /** Makes all decisions that are due; `engine` is undefined before the first list of runners. */
  run(now: number, engine: Engine | undefined): readonly PlanAction[] {
    this.#engine = engine;
    this.#actions = [];
    this.#schedule(now);
    return this.#actions;
  }

  /**
   * Starts waiting requests in scheduling order as far as capacity allows, and refuses those that
   * cannot be served in time.
   */
  #schedule(now: number): void {
    this.#assignPrefilled(now);
    if (this.#queue.size === 0) return;
    const order = this.#queue.order(now);
    const step = {
      prefillsLeft: this.#allowedPrefillsAhead(),
      largest: this.#capacity.largestFreeTokens(now),
      holds: new RunnerHolds(),
      promptTokensAhead: 0,
    };
    for (const demand of order) this.#startOrHold(now, demand, step);
    this.#refuseUnservable(now, order);
  }

  /** Starts a request if capacity allows it; otherwise holds a runner for it if its turn has come. */
  #startOrHold(now: number, waiting: Demand, state: SchedulingStep): void {
    const step = state;
    const rank = this.#queue.turns.rankOf(waiting);
    if (step.holds.blocks(rank)) return;
    const demand = step.holds.applyTo(waiting, rank);
    const yields = this.#queue.turns.isOutranked(rank);
    const decode = this.#fitsLargest(now, demand, step.largest)
      ? this.#findDecode(now, demand)
      : undefined;
    const mayPrefillAhead =
      step.prefillsLeft > 0 &&
      demand === waiting &&
      this.#stats.sizeOf(demand) <= this.#stats.usualSizeTokens;
    const candidate =
      decode ?? (mayPrefillAhead ? this.#capacity.findSoonest(now, demand) : undefined);
    const prefill =
      candidate && !demand.prefillsLocally
        ? this.#capacity.findPrefill(now, demand, candidate.runner.domain, yields)
        : undefined;
    const localPrefill =
      decode && !prefill ? this.#findLocalPrefill(now, demand, step.promptTokensAhead) : undefined;
    const target = prefill ? candidate : localPrefill;
    if (target) {
      this.#start(now, waiting, { prefill, target, isAssigned: !!decode }, step);
      return;
    }
    step.promptTokensAhead += waiting.promptTokens;
    if (!decode) this.#hold(now, demand, step.holds);
  }

  #start(
    now: number,
    demand: Demand,
    { prefill, target, isAssigned }: Placement,
    state: SchedulingStep,
  ): void {
    const step = state;
    if (!isAssigned) step.prefillsLeft -= 1;
    const grant = { prefill: prefill?.runner.id, decode: target.runner.id };
    this.#queue.removeReserved(demand);
    if (prefill) this.#allowance.take(now, prefill.runner.id);
    if (isAssigned) this.#allowance.take(now, target.runner.id);
    this.#reservations.add(now, demand, grant, isAssigned, undefined);
    this.#actions.push({ kind: 'grant', id: demand.id, grant });
    step.largest = this.#capacity.largestFreeTokens(now);
  }

  /**
   * Holds the runner that is likely to fit a request first: for one whose turn is by age from all
   * others, and for an urgent one from less urgent ones. Late requests get what is left over.
   */
  #hold(now: number, demand: Demand, holds: RunnerHolds): void {
    const { turns } = this.#queue;
    const isAged = this.#queue.isAged(demand);
    if (holds.isFull || (!isAged && !turns.isDistinguished)) return;
    if (now + minFirstEventMs(this.#costs, demand) > demand.dueAt) return;
    const runner = this.#capacity.findSoonest(now, demand)?.runner.id;
    if (runner !== undefined) holds.add(runner, turns.rankOf(demand), isAged);
  }

  /** Whether the largest free memory of any one decode runner is enough for a request. */
  #fitsLargest(now: number, demand: Demand, largest: number): boolean {
    const requiredFreeTokens =
      requiredFreeShare(this.#policy.order, this.#costs, now, demand) *
      (this.#engine?.memoryTokens ?? 0);
    return this.#stats.sizeOf(demand) + requiredFreeTokens <= largest;
  }

  /**
   * Assigns decode runners to prefilled requests. They get memory before all others, since their
   * kept prefills expire.
   */
  #assignPrefilled(now: number): void {
    const keepMs = maxWaitMs(this.#policy.ahead, this.#engine?.keepMs ?? 0);
    for (const [id, reservation] of this.#reservations.entries) {
      if (!reservation.isAssigned && reservation.prefilledAt !== undefined) {
        const decode = this.#findDecode(now, reservation.demand);
        if (decode) {
          this.#allowance.take(now, decode.runner.id);
          this.#reservations.assign(now, reservation, decode.runner.id);
          this.#actions.push({ kind: 'bind', id, decode: decode.runner.id });
        } else if (now - reservation.prefilledAt > keepMs) {
          this.#reservations.release(now, id);
          const { rank } = reservation.demand;
          const cause = { rank, reason: 'unassigned' } as const;
          this.#actions.push({ kind: 'refuse', id, retryAfterMs: RETRY_UNASSIGNED_MS, cause });
        }
      }
    }
  }

  /** Number of prefills that may start now before decode memory is free for them. */
  #allowedPrefillsAhead(): number {
    let allocations = 0;
    for (const state of this.#account.decode.values()) allocations += state.allocations.size;
    const unassigned = this.#reservations.unassignedCount;
    const { prefillMs, residenceMs } = this.#stats;
    const keepMs = this.#engine?.keepMs ?? 0;
    return (
      maxPrefillsAhead(this.#policy.ahead, allocations, prefillMs, residenceMs, keepMs) - unassigned
    );
  }

  /** Refuses requests that cannot be served before their callers disconnect. */
  #refuseUnservable(now: number, order: readonly Demand[]): void {
    if (!this.#engine) return;
    const { usualSizeTokens, usual } = this.#stats;
    this.#refuseLocalPrefills(now, order);
    const stillWaiting = order.filter(({ id }) => this.#queue.has(id));
    const unservable = findUnservable(this.#policy.refusal, now, stillWaiting, {
      sizeOf: (demand) => this.#stats.sizeOf(demand),
      minFirstEventMs: (demand) => minFirstEventMs(this.#costs, demand),
      spareTokensPerMs: this.#stats.spareTokensPerMs(
        now,
        this.#capacity.capacity(usual, this.#engine),
      ),
      releases: this.#capacity.releases(now, usualSizeTokens),
      accessOf: this.#capacity.accessOf(now),
      versionWaitMs: (demand, tokensAhead) =>
        this.#capacity.versionWaitMs(now, demand, this.#stats.sizeOf(demand), tokensAhead),
      prefillWaitMs: this.#capacity.prefillWaitMs(now, usual, this.#engine),
    });
    for (const request of unservable) {
      const { id } = request.demand;
      this.#queue.delete(id);
      this.#actions.push({
        kind: 'refuse',
        id,
        retryAfterMs: this.#retryTimes.next(now, request),
        cause: request.cause,
      });
    }
  }

  /**
   * Refuses requests that no decode runner can prefill now. They have failed before, and runners
   * prefill prompts themselves only while that delays no other stream. A stream that goes on waits
   * for a runner that is only busy: all streams of a lost runner ask at once, when the others are
   * full, each runner prefills one prompt at a time, and a refusal ends the stream.
   */
  #refuseLocalPrefills(now: number, order: readonly Demand[]): void {
    for (const demand of order) {
      const { id, rank, prefillsLocally } = demand;
      if (prefillsLocally && this.#queue.has(id) && !this.#mayWaitForPrefill(now, demand)) {
        this.#queue.delete(id);
        const cause = { rank, reason: 'localPrefill' } as const;
        this.#actions.push({ kind: 'refuse', id, retryAfterMs: RETRY_FULL_MS, cause });
      }
    }
  }

  #mayWaitForPrefill(now: number, demand: Demand): boolean {
    if (!demand.resuming || !this.#engine) return false;
    const local = { demand, need: this.#stats.sizeOf(demand), tokensAhead: 0 };
    return this.#capacity.mayPrefillLater(now, local, this.#engine);
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
  #findLocalPrefill(now: number, demand: Demand, tokensAhead: number): DecodeState | undefined {
    const need = this.#stats.sizeOf(demand);
    return (
      this.#engine &&
      this.#capacity.findLocalPrefill(now, { demand, need, tokensAhead }, this.#engine)
    );
  }
}
