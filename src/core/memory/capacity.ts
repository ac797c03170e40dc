/**
 * Free capacity by the account: which runner has free memory now, which is likely to have some
 * first, and when memory will be freed.
 */

import type { RateAllowance } from '../ratelimits/types';
import type { Engine } from '../routing/types';
import { mayContinue } from '../routing/types';
import type { DecodeState, MemoryAccount, PrefillState } from './account';
import { expectedEndOf, isPrefillingLocally } from './account';
import type { VmAccess, VmBackoffs } from './backoffs';
import { RunnerCandidates } from './candidates';
import type { Costs } from './cost';
import { backlogMs, decodeMs } from './cost';
import type { PlanPolicy } from './policy';
import type { LocalDemand, UsualRequest } from './prefills';
import { PrefillPlacement } from './prefills';
import type { Release } from './releases';
import { rateLimitedReleases, waitForTokensMs } from './releases';
import type { Demand } from './types';

/** Load of a service as logged with each decision. */
export interface PlanLoad {
  /** Reserved share of all decode memory. */
  readonly memory: number;
  /**
   * For the first decode runners: number of requests, reserved share of the memory, unexplained
   * tokens.
   */
  readonly decode: readonly string[];
  /** For the first prefill runners: backlog in milliseconds. */
  readonly prefill: readonly number[];
}

/**
 * Largest number of runners of a stage whose load is logged; a large service would fill the log.
 */
const MAX_LOGGED_RUNNERS = 6;

/** View of the account's free capacity at one moment. */
export class CapacityView {
  readonly #policy: PlanPolicy;

  readonly #account: MemoryAccount;

  readonly #costs: Costs;

  readonly #allowance: RateAllowance;

  readonly #backoffs: VmBackoffs;

  readonly #candidates: RunnerCandidates;

  readonly #prefills: PrefillPlacement;

  /** Cached free tokens at `#freeAt`; cleared with each change of the account. */
  readonly #freeCache = new Map<DecodeState, number>();

  #freeAt = -1;

  /**
   * End of the warm-up. Until then only runners that are mostly empty by the account get requests.
   */
  #warmUpUntil = 0;

  constructor(
    policy: PlanPolicy,
    account: MemoryAccount,
    costs: Costs,
    allowance: RateAllowance,
    backoffs: VmBackoffs,
  ) {
    this.#policy = policy;
    this.#account = account;
    this.#costs = costs;
    this.#allowance = allowance;
    this.#backoffs = backoffs;
    this.#candidates = new RunnerCandidates(policy.ejection, backoffs);
    this.#prefills = new PrefillPlacement(
      policy.prefill,
      account,
      costs,
      allowance,
      this.#candidates,
    );
  }

  /**
   * Starts the warm-up, in which the account may lack reservations that other VMs have not reported
   * yet.
   */
  startWarmUp(now: number): void {
    this.#warmUpUntil = now + this.#policy.warmUp.durationMs;
  }

  /** Clears the cache; must be called after each change of the account. */
  invalidate(): void {
    this.#freeCache.clear();
  }

  /**
   * Current load: reserved share of all decode memory and of each decode runner, and the backlog of
   * the prefill runners.
   */
  load(now: number): PlanLoad {
    const states = [...this.#account.decode.values()];
    const free = states.reduce((sum, state) => sum + this.free(now, state), 0);
    const memory = Math.round((1 - free / Math.max(1, this.memory)) * 100) / 100;
    const decode = states.slice(0, MAX_LOGGED_RUNNERS).map((state) => {
      const share = 1 - this.free(now, state) / state.memoryTokens;
      return `${state.allocations.size}:${share.toFixed(2)}:${Math.round(state.unexplainedTokens)}`;
    });
    const prefill = [...this.#account.prefill.values()]
      .slice(0, MAX_LOGGED_RUNNERS)
      .map((state) => Math.round(backlogMs(this.#costs, now, state)));
    return { memory, decode, prefill };
  }

  /**
   * Largest free memory among the decode runners whose rate limit allows a request now, in tokens.
   */
  largestFreeTokens(now: number): number {
    let most = 0;
    for (const state of this.#account.decode.values()) {
      if (this.#isWithinRate(now, state)) most = Math.max(most, this.free(now, state));
    }
    return most;
  }

  /** Whether a runner's rate limit allows one more request now. */
  #isWithinRate(now: number, { runner }: DecodeState | PrefillState): boolean {
    return this.#allowance.waitMs(now, runner.id) === 0;
  }

  /**
   * The decode runner with the most free memory that fits a request; undefined if there is none.
   * Runners that are too slow to end the answer within the caller's time budget come last: where
   * runners differ in speed, the longest answers were cut off at the slowest ones.
   */
  findDecode(
    now: number,
    demand: Demand,
    need: number,
    mostSlots: number,
  ): DecodeState | undefined {
    const fits = (state: DecodeState, free: number): boolean =>
      free >= need && mostSlots > state.allocations.size;
    const { endsBy } = demand;
    if (endsBy === undefined) return this.#findMostFree(now, demand, fits);
    const outputTokens = need - demand.promptTokens;
    const inTime = this.#findMostFree(
      now,
      demand,
      (state, free) =>
        fits(state, free) && now + decodeMs(this.#costs, outputTokens, state.slowness) <= endsBy,
    );
    return inTime ?? this.#findMostFree(now, demand, fits);
  }

  /**
   * The decode runner with the most free memory among those that may prefill the prompt themselves.
   * Local prefills are allowed where the prefill runners are overloaded while decode memory is
   * idle, one at a time on each runner: after the loss of a prefill runner, half of the decode
   * memory was idle while requests were refused.
   */
  findLocalPrefill(now: number, local: LocalDemand, engine: Engine): DecodeState | undefined {
    const hasOther = this.#hasPrefillRunner(now, local.demand);
    const isAllowed = this.#prefills.mayPrefillLocally(now, local, engine, hasOther);
    return this.#findMostFree(now, local.demand, isAllowed);
  }

  /** Whether a decode runner may prefill a prompt once others have been prefilled or streams have ended. */
  mayPrefillLater(now: number, local: LocalDemand, engine: Engine): boolean {
    const runners = [...this.#account.decode.values()];
    if (runners.some((state) => isPrefillingLocally(now, state))) return true;
    const hasOther = this.#hasPrefillRunner(now, local.demand);
    const isAllowed = this.#prefills.mayPrefillWhenFree(now, local, engine, hasOther);
    return this.#findMostFree(now, local.demand, isAllowed) !== undefined;
  }

  /** A VM that reaches no prefill runner names them all; its requests would wait for one in vain. */
  #hasPrefillRunner(now: number, { vm, avoid }: Demand): boolean {
    const ids = [...this.#account.prefill.keys()];
    return ids.some((id) => this.#backoffs.isOpen(now, id, vm) && !avoid.includes(id));
  }

  /** How far the decode runners are open to the VM of a request. */
  accessOf(now: number): (demand: Demand) => VmAccess {
    const byVm = new Map<string, VmAccess>();
    return ({ vm }) => {
      const access = byVm.get(vm) ?? this.#backoffs.accessOf(now, this.#account.decode.keys(), vm);
      byVm.set(vm, access);
      return access;
    };
  }

  /** The eligible decode runner with the most free memory that satisfies a condition. */
  #findMostFree(
    now: number,
    demand: Demand,
    meets: (state: DecodeState, free: number) => boolean,
  ): DecodeState | undefined {
    for (const states of this.#candidates.groupsOf(now, this.#decodeOf(demand), demand)) {
      const found = this.#mostFreeOf(now, states, demand, meets);
      if (found) return found;
    }
    return undefined;
  }

  /** Decode runners that may run a request, by id. */
  #decodeOf({ version }: Demand): ReadonlyMap<string, DecodeState> {
    const { decode } = this.#account;
    if (version === undefined) return decode;
    return new Map([...decode].filter(([, { runner }]) => mayContinue(runner, version)));
  }

  /**
   * Time until the runners of the software version that a request needs have free memory for it, in
   * milliseconds: 0 if it needs none, infinite if there is no such runner.
   * @param size tokens of memory that the request takes
   * @param tokensAhead the same for it and the requests of its version that come before it
   */
  versionWaitMs(now: number, demand: Demand, size: number, tokensAhead: number): number {
    if (demand.version === undefined) return 0;
    const states = [...this.#decodeOf(demand).values()].filter(
      ({ runner }) => !demand.avoid.includes(runner.id),
    );
    const waits = states.map((state) =>
      waitForTokensMs(now, this.#releasesOf(now, [state], size), size),
    );
    const turnMs = waitForTokensMs(now, this.#releasesOf(now, states, size), tokensAhead);
    return Math.max(turnMs, Math.min(...waits));
  }

  #mostFreeOf(
    now: number,
    states: readonly DecodeState[],
    { avoid }: Demand,
    meets: (state: DecodeState, free: number) => boolean,
  ): DecodeState | undefined {
    let best: DecodeState | undefined;
    let bestFree = -Infinity;
    for (const state of states) {
      const free = this.free(now, state);
      const isCandidate = free > bestFree && meets(state, free) && !avoid.includes(state.runner.id);
      if (isCandidate && this.#isAllowedInWarmUp(now, state) && this.#isWithinRate(now, state)) {
        best = state;
        bestFree = free;
      }
    }
    return best;
  }

  /**
   * The decode runner that is likely to have free memory first; only an estimate until the request
   * is assigned.
   */
  findSoonest(now: number, demand: Demand): DecodeState | undefined {
    return this.#findMostFree(now, demand, () => true);
  }

  /**
   * The prefill runner that is expected to finish a prompt first and whose backlog is below the
   * limit; undefined if there is none.
   * @param yields whether the request leaves room for more urgent ones
   */
  findPrefill(
    now: number,
    demand: Demand,
    domain: string,
    yields = false,
  ): PrefillState | undefined {
    const { backlogLimitMs, yieldingBacklogLimitMs } = this.#policy.prefill;
    const limitMs = yields ? yieldingBacklogLimitMs : backlogLimitMs;
    return this.#prefills.find(now, demand, domain, limitMs);
  }

  /**
   * Expected total of free tokens after each expected end of a request, in order of time. For a
   * runner with a rate limit, tokens count only as fast as the limit allows requests.
   * @param usualSize tokens of memory that a request usually takes
   */
  releases(now: number, usualSize: number): readonly Release[] {
    return this.#releasesOf(now, this.#account.decode.values(), usualSize);
  }

  #releasesOf(now: number, states: Iterable<DecodeState>, usualSize: number): readonly Release[] {
    const ends: Release[] = [];
    let free = 0;
    for (const state of states) {
      const ratePerS = this.#allowance.ratePerS(state.runner.id);
      if (ratePerS === undefined) {
        free += this.free(now, state);
        ends.push(...this.#expectedEnds(now, state));
      } else ends.push(...this.#rateLimitedReleases(now, state, ratePerS, usualSize));
    }
    ends.sort((a, b) => a.at - b.at);
    const sums: Release[] = [{ at: now, tokens: free }];
    for (const { at, tokens } of ends) {
      free += tokens;
      sums.push({ at, tokens: free });
    }
    return sums;
  }

  /** Expected ends of a runner's requests, and the tokens that each frees. */
  #expectedEnds(now: number, { allocations, slowness }: DecodeState): readonly Release[] {
    // Uses the lower bound of the token time: overestimated waits would refuse callers that can be
    // served.
    const tokenMs = this.#costs.minTokenMs * slowness;
    return [...allocations.values()].map((allocation) => ({
      at: expectedEndOf(now, allocation, tokenMs),
      tokens: allocation.demand.promptTokens + allocation.expectedTokens,
    }));
  }

  /**
   * Times at which a runner's rate limit allows further requests, each counted with the usual size.
   */
  #rateLimitedReleases(
    now: number,
    state: DecodeState,
    ratePerS: number,
    usualSize: number,
  ): readonly Release[] {
    const firstAt = now + this.#allowance.waitMs(now, state.runner.id);
    return rateLimitedReleases(firstAt, ratePerS, state.memoryTokens, usualSize);
  }

  /**
   * Returns a function that gives the time until a number of tokens will have been prefilled, in
   * milliseconds. The tokens are those of memory, of which prompts have the usual share.
   */
  prefillWaitMs(now: number, usual: UsualRequest, engine: Engine): (tokens: number) => number {
    return this.#prefills.waitMs(now, usual, this.#prefillRunners(now, usual, engine));
  }

  /**
   * Tokens of memory per millisecond of the requests that the runners can serve when they are fully
   * loaded: as many as decode memory is freed for and prompts are prefilled for, whichever is less.
   */
  capacity(usual: UsualRequest, engine: Engine): number {
    const { sizeTokens, residenceMs } = usual;
    let freed = 0;
    for (const { runner, memoryTokens } of this.#account.decode.values()) {
      const ratePerS = this.#allowance.ratePerS(runner.id) ?? Infinity;
      freed += Math.min(memoryTokens / residenceMs, (ratePerS * sizeTokens) / 1000);
    }
    return Math.min(
      freed,
      this.#prefills.tokensPerMs(
        usual,
        this.#prefills.equivalentRunners(usual.promptTokens, engine, () => Infinity),
      ),
    );
  }

  #prefillRunners(now: number, { sizeTokens, promptTokens }: UsualRequest, engine: Engine): number {
    return this.#prefills.equivalentRunners(
      promptTokens,
      engine,
      (state) => this.free(now, state) - sizeTokens,
    );
  }

  /** Total KV cache memory of all decode runners, in tokens. */
  get memory(): number {
    let tokens = 0;
    for (const { memoryTokens } of this.#account.decode.values()) tokens += memoryTokens;
    return tokens;
  }

  /**
   * Free tokens of a runner, cached for each runner and moment: scheduling asks for them once per
   * waiting request.
   */
  free(now: number, state: DecodeState): number {
    if (this.#freeAt !== now) this.#freeCache.clear();
    this.#freeAt = now;
    const cached = this.#freeCache.get(state);
    if (cached !== undefined) return cached;
    const free = this.#account.freeTokens(now, state);
    this.#freeCache.set(state, free);
    return free;
  }

  /**
   * Whether a runner may get requests during the warm-up: a share of its memory must be free, until
   * all VMs have reported their reservations.
   */
  #isAllowedInWarmUp(now: number, state: DecodeState): boolean {
    if (now >= this.#warmUpUntil) return true;
    return this.free(now, state) > state.memoryTokens * this.#policy.warmUp.minFreeShare;
  }
}
