/**
 * Where prompts are prefilled: at a prefill runner, or at the decode runner of the request itself
 * while prefill runners are busy.
 */

import type { RateAllowance } from '../ratelimits/types';
import type { Engine } from '../routing/types';
import type { DecodeState, MemoryAccount, PrefillState } from './account';
import { isPrefillingLocally } from './account';
import type { RunnerCandidates } from './candidates';
import type { Costs } from './cost';
import {
  backlogMs,
  localPrefillMs,
  localPrefillPauseMs,
  minLocalPrefillPauseMs,
  prefillMs,
  prefillWorkMs,
} from './cost';
import type { PrefillRules } from './policy';
import { minFirstEventMs } from './queue';
import type { Demand } from './types';

/** A request whose prompt may be prefilled locally. */
export interface LocalDemand {
  readonly demand: Demand;
  /** Tokens of memory that it takes. */
  readonly need: number;
  /** Prompt tokens of the requests that wait for a prefill before it. */
  readonly tokensAhead: number;
}

/** Usual request of a service. */
export interface UsualRequest {
  /** Tokens of memory that it takes. */
  readonly sizeTokens: number;
  readonly promptTokens: number;
  /** Time for which it holds them, in milliseconds. */
  readonly residenceMs: number;
}

/** Prefill runners, and decode runners that may prefill. */
export class PrefillPlacement {
  readonly #rules: PrefillRules;

  readonly #account: MemoryAccount;

  readonly #costs: Costs;

  readonly #allowance: RateAllowance;

  readonly #candidates: RunnerCandidates;

  constructor(
    rules: PrefillRules,
    account: MemoryAccount,
    costs: Costs,
    allowance: RateAllowance,
    candidates: RunnerCandidates,
  ) {
    this.#rules = rules;
    this.#account = account;
    this.#costs = costs;
    this.#allowance = allowance;
    this.#candidates = candidates;
  }

  /**
   * The prefill runner that is expected to finish a prompt first and whose backlog is below the
   * limit; undefined if there is none.
   * @param domain failure domain of the decode runner
   * @param backlogLimitMs largest backlog, in milliseconds of work
   */
  find(
    now: number,
    demand: Demand,
    domain: string,
    backlogLimitMs: number,
  ): PrefillState | undefined {
    for (const states of this.#candidates.groupsOf(now, this.#account.prefill, demand)) {
      const found = this.#soonestOf(now, states, demand, domain, backlogLimitMs);
      if (found) return found;
    }
    return undefined;
  }

  #soonestOf(
    now: number,
    states: readonly PrefillState[],
    demand: Demand,
    domain: string,
    backlogLimitMs: number,
  ): PrefillState | undefined {
    const { crossDomainMs } = this.#rules;
    let best: PrefillState | undefined;
    let bestMs = Infinity;
    for (const state of states) {
      const backlog = backlogMs(this.#costs, now, state);
      const isCandidate = backlog <= backlogLimitMs;
      // Between failure domains the KV cache is transferred at half the speed; a tie goes to the
      // closer runner.
      const ms = backlog + prefillMs(this.#costs, demand.promptTokens, state.slowness);
      const cost = state.runner.domain === domain ? ms : ms + crossDomainMs;
      const isBest = isCandidate && cost < bestMs && !demand.avoid.includes(state.runner.id);
      if (isBest && this.#allowance.waitMs(now, state.runner.id) === 0) {
        best = state;
        bestMs = cost;
      }
    }
    return best;
  }

  /**
   * Whether a decode runner may prefill the prompt of a request, by its free tokens. A local prefill
   * slows the other streams on the runner, so a nearly full runner does not run one, and it must not
   * exceed the pauses that they allow.
   * @param hasPrefillRunner whether a prefill runner takes requests of the VM
   */
  mayPrefillLocally(
    now: number,
    local: LocalDemand,
    engine: Engine,
    hasPrefillRunner: boolean,
  ): (state: DecodeState, free: number) => boolean {
    const mayWhenFree = this.mayPrefillWhenFree(now, local, engine, hasPrefillRunner);
    return (state, free) => {
      const hasSpareMemory =
        free - local.need > state.memoryTokens * this.#rules.localFreeShare &&
        engine.slots > state.allocations.size;
      return hasSpareMemory && !isPrefillingLocally(now, state) && mayWhenFree(state);
    };
  }

  /** Whether a decode runner may prefill the prompt of a request once it is free; see above. */
  mayPrefillWhenFree(
    now: number,
    local: LocalDemand,
    engine: Engine,
    hasPrefillRunner: boolean,
  ): (state: DecodeState) => boolean {
    const isShortPause = this.#shortPauses(now, local.demand.promptTokens, engine);
    const isSooner = this.#isSoonerLocally(now, local);
    return (state) => {
      if (local.need >= state.memoryTokens * (1 - this.#rules.localFreeShare)) return false;
      return !hasPrefillRunner || (isShortPause(state) && isSooner(state));
    };
  }

  /**
   * Number of prefill runners of usual speed that prefill as fast as all runners that may prefill:
   * prefill runners without a rate limit, and decode runners with spare memory whose streams allow
   * the pauses.
   * @param spareTokens free tokens of a decode runner beyond a usual request
   */
  equivalentRunners(
    promptTokens: number,
    { eventTokens }: Engine,
    spareTokens: (state: DecodeState) => number,
  ): number {
    let prefills = 0;
    for (const { runner, slowness } of this.#account.prefill.values()) {
      if (this.#allowance.ratePerS(runner.id) === undefined) prefills += 1 / slowness;
    }
    const pauseMs = localPrefillPauseMs(this.#costs, promptTokens, eventTokens);
    const { prefillTokenMs, localPrefillTokenMs } = this.#costs;
    const localShare = localPrefillTokenMs > 0 ? prefillTokenMs / localPrefillTokenMs : 0;
    let local = 0;
    for (const state of this.#account.decode.values()) {
      const isAllowed = prefills === 0 || this.#allowsPause(state, pauseMs);
      const hasMemory = spareTokens(state) > state.memoryTokens * this.#rules.localFreeShare;
      if (isAllowed && (prefills === 0 || hasMemory)) local += localShare / state.slowness;
    }
    return prefills + local;
  }

  /**
   * Returns a function that gives the time until a number of tokens, of which prompts have the usual
   * share, will have been prefilled by a number of runners, in milliseconds.
   */
  waitMs(
    now: number,
    { sizeTokens, promptTokens }: UsualRequest,
    runners: number,
  ): (tokens: number) => number {
    let pendingMs = 0;
    for (const state of this.#account.prefill.values()) {
      if (this.#allowance.ratePerS(state.runner.id) === undefined) {
        pendingMs += backlogMs(this.#costs, now, state) / state.slowness;
      }
    }
    const workMs = prefillWorkMs(this.#costs, promptTokens / sizeTokens);
    return (tokens) => (pendingMs + tokens * workMs) / runners;
  }

  /** Tokens of memory per millisecond of the requests whose prompts a number of runners prefill. */
  tokensPerMs({ sizeTokens, promptTokens }: UsualRequest, runners: number): number {
    return (runners * sizeTokens) / prefillWorkMs(this.#costs, promptTokens);
  }

  #allowsPause(state: DecodeState, pauseMs: number): boolean {
    return pauseMs * state.slowness <= minGapMs(state) * this.#rules.localPauseShare;
  }

  /**
   * Whether the pauses that a local prefill causes on a runner are short enough. While the token
   * time of slowed streams is not measured, a prefill at a time is run to measure it.
   */
  #shortPauses(
    now: number,
    promptTokens: number,
    { eventTokens }: Engine,
  ): (state: DecodeState) => boolean {
    const isTrial =
      !this.#costs.isLocalPrefillMeasured(now) &&
      ![...this.#account.decode.values()].some((state) => isPrefillingLocally(now, state));
    const expectedMs = localPrefillPauseMs(this.#costs, promptTokens, eventTokens);
    const pauseMs = isTrial
      ? Math.min(expectedMs, minLocalPrefillPauseMs(this.#costs, eventTokens))
      : expectedMs;
    return (state) => this.#allowsPause(state, pauseMs);
  }

  /**
   * Whether a runner is expected to prefill a prompt in time, or sooner than a prefill runner
   * behind the prompts that wait. Without this condition, a long prompt that a prefill runner would
   * have had in time after a short wait was prefilled locally for longer than its target.
   */
  #isSoonerLocally(
    now: number,
    { demand, tokensAhead }: LocalDemand,
  ): (state: DecodeState) => boolean {
    let backlog = Infinity;
    for (const state of this.#account.prefill.values()) {
      backlog = Math.min(backlog, backlogMs(this.#costs, now, state));
    }
    const aheadMs = prefillWorkMs(this.#costs, tokensAhead) / this.#account.prefill.size;
    const otherwiseMs = backlog + aheadMs + minFirstEventMs(this.#costs, demand);
    const latestMs = Math.max(demand.dueAt - now, otherwiseMs);
    return ({ slowness }) => {
      const ms = localPrefillMs(this.#costs, demand.promptTokens, slowness);
      return demand.prefillsLocally === true || ms + this.#costs.firstEventMs <= latestMs;
    };
  }
}

/** The smallest pause between events that the streams of a runner allow, in milliseconds. */
function minGapMs({ allocations }: DecodeState): number {
  let leastMs = Infinity;
  for (const { demand } of allocations.values()) {
    if (demand.gapMs > 0) leastMs = Math.min(leastMs, demand.gapMs);
  }
  return leastMs;
}
