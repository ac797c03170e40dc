/** What the account leaves: which runner has room now, which will have it first, and when memory comes free. */

import type { RateAllowance } from '../ratelimits/types';
import type { Engine } from '../routing/types';
import type { DecodeState, MemoryAccount, PrefillState } from './account';
import { eligibleOf, expectedEndOf, isPrefillingLocally } from './account';
import type { Costs } from './cost';
import { LOCAL_PREFILL_COST, backlogMs, localPrefillPauseMs, prefillMs, prefillWorkMs } from './cost';
import type { PlanPolicy } from './policy';
import type { Demand } from './types';

/** What is logged with each decision. */
export interface PlanLoad {
  /** Part of all decode memory that is given out. */
  readonly memory: number;
  /** By runner, of the first ones: requests, part of its memory, tokens of others. */
  readonly decode: readonly string[];
  /** By runner, of the first ones: backlog in milliseconds. */
  readonly prefill: readonly number[];
}

/** Tokens that are free by a time. */
export interface Release {
  readonly at: number;
  readonly tokens: number;
}

/** Runners whose load is logged one by one; in a large service they would fill the log. */
const LOAD_RUNNERS = 6;

/** A view of an account at one moment. */
export class CapacityView {
  readonly #policy: PlanPolicy;

  readonly #account: MemoryAccount;

  readonly #costs: Costs;

  readonly #ration: RateAllowance;

  /** Free tokens at one moment; forgotten with each change of the account. */
  readonly #freeKnown = new Map<DecodeState, number>();

  #freeAt = -1;

  /** Until then only runners that are mostly empty by the account count as having room. */
  #cautiousUntil = 0;

  constructor(policy: PlanPolicy, account: MemoryAccount, costs: Costs, ration: RateAllowance) {
    this.#policy = policy;
    this.#account = account;
    this.#costs = costs;
    this.#ration = ration;
  }

  /** The account may lack what other VMs hold, until they had time to tell. */
  startWarmUp(now: number): void {
    this.#cautiousUntil = now + this.#policy.warmUp.durationMs;
  }

  /** To be called when the account has changed. */
  invalidate(): void {
    this.#freeKnown.clear();
  }

  /** The inputs of a decision: memory given out, as a part of all and by decode runner, and the backlog of prefill runners. */
  load(now: number): PlanLoad {
    const states = [...this.#account.decode.values()];
    const free = states.reduce((sum, state) => sum + this.free(now, state), 0);
    const memory = Math.round((1 - free / Math.max(1, this.memory)) * 100) / 100;
    const decode = states.slice(0, LOAD_RUNNERS).map((state) => {
      const part = 1 - this.free(now, state) / state.memoryTokens;
      return `${state.allocations.size}:${part.toFixed(2)}:${Math.round(state.unexplainedTokens)}`;
    });
    const prefill = [...this.#account.prefill.values()]
      .slice(0, LOAD_RUNNERS)
      .map((state) => Math.round(backlogMs(this.#costs, now, state)));
    return { memory, decode, prefill };
  }

  /** The most that one decode runner has free which may get a request now. */
  largestFreeTokens(now: number): number {
    let room = 0;
    for (const state of this.#account.decode.values()) {
      if (this.#hasTurn(now, state)) room = Math.max(room, this.free(now, state));
    }
    return room;
  }

  /** Whether a runner may get one more request by the limit that it names. */
  #hasTurn(now: number, { runner }: DecodeState | PrefillState): boolean {
    return this.#ration.waitMs(now, runner.id) === 0;
  }

  /** The decode runner with the most room. */
  findDecode(
    now: number,
    demand: Demand,
    need: number,
    mostSlots: number,
  ): DecodeState | undefined {
    return this.#roomiest(
      now,
      demand,
      (state, free) => free >= need && mostSlots > state.allocations.size,
    );
  }

  /**
   * The decode runner with the most room among those that may read the prompt
   * themselves. Where the prefill runners have more than they can read and decode
   * memory lies idle, decode runners read prompts, one at a time each: after the
   * loss of a prefill runner half of the decode memory was idle while requests
   * were refused. It slows the other answers there, so a full runner does not do it.
   */
  findLocalPrefill(
    now: number,
    demand: Demand,
    need: number,
    { slots, eventTokens }: Engine,
  ): DecodeState | undefined {
    const { localFreeShare: directSpare, localPauseShare: pausePart } = this.#policy.prefill;
    const pauseMs = localPrefillPauseMs(this.#costs, demand.promptTokens, eventTokens);
    return this.#roomiest(now, demand, (state, free) => {
      const spare = free - need > state.memoryTokens * directSpare;
      const able = spare && slots > state.allocations.size && !isPrefillingLocally(now, state);
      const short = pauseMs <= leastGapMs(state) * pausePart;
      return able && (short || this.#account.prefill.size === 0);
    });
  }

  /** The decode runner with the most room that may get this request and meets a condition. */
  #roomiest(
    now: number,
    { avoid }: Demand,
    meets: (state: DecodeState, free: number) => boolean,
  ): DecodeState | undefined {
    let best: DecodeState | undefined;
    let bestFree = -Infinity;
    for (const state of eligibleOf(now, this.#account.decode.values(), this.#policy.ejection)) {
      const free = this.free(now, state);
      const able = free > bestFree && meets(state, free) && !avoid.includes(state.runner.id);
      if (able && this.#isSafe(now, state) && this.#hasTurn(now, state)) {
        best = state;
        bestFree = free;
      }
    }
    return best;
  }

  /** The decode runner that will probably have room first; only a guess until the request is bound. */
  findSoonest(now: number, demand: Demand): DecodeState | undefined {
    return this.#roomiest(now, demand, () => true);
  }

  findPrefill(now: number, demand: Demand, domain: string): PrefillState | undefined {
    const { backlogLimitMs, crossDomainMs: farMs } = this.#policy.prefill;
    let best: PrefillState | undefined;
    let bestMs = Infinity;
    for (const state of eligibleOf(now, this.#account.prefill.values(), this.#policy.ejection)) {
      const backlog = backlogMs(this.#costs, now, state);
      const able = backlog <= backlogLimitMs;
      // Between failure domains the KV cache moves at half the speed; a tie goes to the nearer runner.
      const ms = backlog + prefillMs(this.#costs, demand.promptTokens, state.slowness);
      const cost = state.runner.domain === domain ? ms : ms + farMs;
      const isBest = able && cost < bestMs && !demand.avoid.includes(state.runner.id);
      if (isBest && this.#hasTurn(now, state)) {
        best = state;
        bestMs = cost;
      }
    }
    return best;
  }

  /**
   * Tokens that are free by each moment at which one more request will probably have ended. Of a
   * runner that names a rate limit they count only as its turns come.
   * @param usualSize tokens of memory that a request usually takes
   */
  releases(now: number, usualSize: number): readonly Release[] {
    const ends: Release[] = [];
    let free = 0;
    for (const state of this.#account.decode.values()) {
      const ratePerS = this.#ration.ratePerS(state.runner.id);
      if (ratePerS === undefined) {
        free += this.free(now, state);
        ends.push(...this.#endsOf(now, state));
      } else ends.push(...this.#turnsOf(now, state, ratePerS, usualSize));
    }
    ends.sort((a, b) => a.at - b.at);
    const sums: Release[] = [{ at: now, tokens: free }];
    for (const { at, tokens } of ends) {
      free += tokens;
      sums.push({ at, tokens: free });
    }
    return sums;
  }

  /** When the requests of a runner will probably have ended, and what each gives back. */
  #endsOf(now: number, { allocations: holders, slowness }: DecodeState): readonly Release[] {
    // Taken to be longer than they may be, waits would have callers refused on a guess.
    const tokenMs = this.#costs.minTokenMs * slowness;
    return [...holders.values()].map((holder) => ({
      at: expectedEndOf(now, holder, tokenMs),
      tokens: holder.demand.promptTokens + holder.expectedTokens,
    }));
  }

  /** When the turns of a runner with a rate limit come, and what each is taken to give. */
  #turnsOf(
    now: number,
    state: DecodeState,
    ratePerS: number,
    usualSize: number,
  ): readonly Release[] {
    const firstAt = now + this.#ration.waitMs(now, state.runner.id);
    const count = Math.floor(state.memoryTokens / Math.max(1, usualSize));
    const turns = Array.from({ length: count }, (_, turn): Release => ({
      at: firstAt + (turn * 1000) / ratePerS,
      tokens: usualSize,
    }));
    return turns.filter(({ at }) => Number.isFinite(at));
  }

  /**
   * Gives the time until prompts of so many tokens will have been read, in milliseconds.
   * Without any prefill runner that takes all it is given, the decode runners read them; taken for a
   * service that cannot read, it refused whatever did not start at once.
   */
  prefillWaitMs(now: number): (tokens: number) => number {
    const { decode } = this.#account;
    const prefill = [...this.#account.prefill.values()].filter(
      ({ runner }) => this.#ration.ratePerS(runner.id) === undefined,
    );
    if (prefill.length === 0) {
      return (tokens) =>
        (LOCAL_PREFILL_COST * prefillWorkMs(this.#costs, tokens)) / Math.max(1, decode.size);
    }
    let backlog = 0;
    for (const state of prefill) backlog += backlogMs(this.#costs, now, state);
    return (tokens) => (backlog + prefillWorkMs(this.#costs, tokens)) / prefill.length;
  }

  /**
   * Tokens that come free in a millisecond when all runners have as much work as they take.
   * @param usualSize tokens of memory that a request usually takes
   * @param residenceMs time for which it usually holds them
   */
  capacity(usualSize: number, residenceMs: number): number {
    let capacity = 0;
    for (const { runner, memoryTokens } of this.#account.decode.values()) {
      const ratePerS = this.#ration.ratePerS(runner.id) ?? Infinity;
      capacity += Math.min(memoryTokens / residenceMs, (ratePerS * usualSize) / 1000);
    }
    return capacity;
  }

  get memory(): number {
    let tokens = 0;
    for (const { memoryTokens } of this.#account.decode.values()) tokens += memoryTokens;
    return tokens;
  }

  /** Free tokens, worked out once for each runner and moment: a pump asks for each waiting request. */
  free(now: number, state: DecodeState): number {
    if (this.#freeAt !== now) this.#freeKnown.clear();
    this.#freeAt = now;
    const known = this.#freeKnown.get(state);
    if (known !== undefined) return known;
    const free = this.#account.freeTokens(now, state);
    this.#freeKnown.set(state, free);
    return free;
  }

  /** Until all VMs have told what they hold, a part of each runner's memory counts as taken. */
  #isSafe(now: number, state: DecodeState): boolean {
    if (now >= this.#cautiousUntil) return true;
    return this.free(now, state) > state.memoryTokens * this.#policy.warmUp.minFreeShare;
  }
}

/** The shortest of the longest pauses that the answers of a runner allow, in milliseconds. */
function leastGapMs({ allocations: holders }: DecodeState): number {
  let leastMs = Infinity;
  for (const { demand } of holders.values()) {
    if (demand.gapMs > 0) leastMs = Math.min(leastMs, demand.gapMs);
  }
  return leastMs;
}

/** Time until that many tokens will have come free, in milliseconds; the releases are in order. */
export function waitForTokensMs(now: number, releases: readonly Release[], tokens: number): number {
  let low = 0;
  let high = releases.length;
  while (low < high) {
    const middle = Math.floor((low + high) / 2);
    if ((releases[middle]?.tokens ?? 0) >= tokens) high = middle;
    else low = middle + 1;
  }
  const release = releases[low];
  return release ? Math.max(0, release.at - now) : Infinity;
}
