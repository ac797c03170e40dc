/**
 * Number of runners of a service that prefill and that decode.
 *
 * Deployments start with a fixed share of prefill runners. Where prompts are prefilled much faster
 * than decode memory is freed, most prefill runners idle while requests are refused for lack of
 * decode memory.
 */

import type { Engine } from '../routing/types';
import type { DecodeState, PrefillState } from './account';
import { LOCAL_PREFILL_COST } from './cost';
import type { StageRules } from './policy';

/** A change of a runner's stage. */
export interface StageChange {
  readonly runner: string;
  readonly role: 'prefill' | 'decode';
}

/** Measured sizes and times of the service's requests. */
export interface Workload {
  readonly promptTokens: number;
  /** Time of a prefill runner per prompt token, in milliseconds. */
  readonly prefillTokenMs: number;
  readonly outputTokens: number;
  /** Time for which a request holds decode memory, in milliseconds. */
  readonly residenceMs: number;
}

/** Time for which a runner that is no longer listed may still return, in milliseconds. */
const RETURN_MS = 9000;

/**
 * Requests per millisecond that a number of runners of each stage can serve. Decode runners prefill
 * what the prefill runners cannot.
 */
export function servedRate(
  { headroom }: StageRules,
  { memoryTokens }: Engine,
  prefill: number,
  decode: number,
  slowness: number,
  { promptTokens, prefillTokenMs, outputTokens, residenceMs }: Workload,
): number {
  const promptMs = headroom * promptTokens * prefillTokenMs;
  const prefillRate = prefill / (promptMs * slowness);
  const decodeMs = ((promptTokens + outputTokens) * residenceMs) / memoryTokens;
  if (prefillRate * decodeMs >= decode) return decode / decodeMs;
  const localPrefillMs = LOCAL_PREFILL_COST * promptMs;
  return (decode + prefillRate * localPrefillMs) / (decodeMs + localPrefillMs);
}

/**
 * Number of prefill runners that serves the most requests; among equal ones the largest, since
 * prefill runners absorb bursts better.
 */
export function optimalPrefillCount(
  rules: StageRules,
  engine: Engine,
  runners: number,
  slowness: number,
  workload: Workload,
): number {
  let best = 0;
  let bestRate = 0;
  for (let prefill = 1; prefill < runners; prefill += 1) {
    const rate = servedRate(rules, engine, prefill, runners - prefill, slowness, workload);
    if (rate >= bestRate * (1 - rules.tieTolerance)) best = prefill;
    bestRate = Math.max(bestRate, rate);
  }
  return best;
}

/** Time after a stage change until the runner is listed again, in milliseconds. */
const RELISTING_MS = 2500;
/** Time for which an unanswered order may still be carried out, in milliseconds. */
const UNANSWERED_ORDER_MS = 13_000;

/**
 * Decides on stage changes, one after the other: at once while the service is idle at the start,
 * later only after the need has lasted for some time.
 */
export class StageBalancer {
  readonly #rules: StageRules;

  /**
   * Since when the wanted number of prefill runners differs from the actual one, and the sign of
   * the difference.
   */
  #imbalance: { readonly at: number; readonly sign: number } | undefined;

  /** Since when the number of runners has been constant. */
  #steadySince: { readonly at: number; readonly runners: number } | undefined;

  /** When each runner was last listed, and in which stage. */
  readonly #lastListed = new Map<
    string,
    { readonly at: number; readonly role: StageChange['role'] }
  >();

  /**
   * Runners with an order to change their stage, and until when no further change is considered.
   */
  readonly #changing = new Map<string, number>();

  constructor(rules: StageRules) {
    this.#rules = rules;
  }

  /**
   * Records that a runner accepted an order, or may have; returns the time until which the change
   * is in progress.
   */
  recordOrder(now: number, runner: string, accepted: boolean, engine: Engine | undefined): number {
    const until = now + (accepted ? (engine?.switchMs ?? 0) + RELISTING_MS : UNANSWERED_ORDER_MS);
    this.#changing.set(runner, until);
    return until;
  }

  /** Records the listed runners, and counts those that were listed recently but are missing now. */
  #countLost(
    now: number,
    prefill: readonly PrefillState[],
    decode: readonly DecodeState[],
  ): StageCounts {
    for (const { runner } of prefill) this.#lastListed.set(runner.id, { at: now, role: 'prefill' });
    for (const { runner } of decode) this.#lastListed.set(runner.id, { at: now, role: 'decode' });
    const lost = { prefill: 0, decode: 0 };
    for (const [id, { at, role }] of this.#lastListed) {
      if (now - at > RETURN_MS) this.#lastListed.delete(id);
      else if (at < now) lost[role] += 1;
    }
    return lost;
  }

  /** Stage changes to order now. */
  changes(
    now: number,
    engine: Engine,
    prefill: readonly PrefillState[],
    decode: readonly DecodeState[],
    workload: Workload,
    isIdle: boolean,
  ): readonly StageChange[] {
    // An order to a runner that has left or restarted is void.
    const listed = new Set([...prefill, ...decode].map(({ runner }) => runner.id));
    for (const [id, until] of this.#changing) {
      if (now >= until || !listed.has(id)) this.#changing.delete(id);
    }
    const runners = prefill.length + decode.length;
    if (this.#changing.size > 0 || runners < 2 || engine.switchMs === undefined) return [];
    const slowness = mean(prefill.map((state) => state.slowness));
    const { steadyMs, shortageMs } = this.#rules;
    const surplusOf = (prefills: number, decodes: number): number =>
      worthwhileSurplus(this.#rules, engine, prefills, decodes, slowness, workload);
    const surplus = surplusOf(prefill.length, decode.length);
    const sign = Math.sign(surplus);
    const lost = this.#countLost(now, prefill, decode);
    const lastingSign = Math.sign(
      surplusOf(prefill.length + lost.prefill, decode.length + lost.decode),
    );
    if (runners !== this.#steadySince?.runners) {
      this.#steadySince = { at: now, runners };
      this.#imbalance = undefined;
    }
    if (sign !== this.#imbalance?.sign) this.#imbalance = { at: now, sign };
    if (sign === 0 || now - this.#steadySince.at < steadyMs) return [];
    // An excess that remains even if lost runners return costs decode memory until it is corrected.
    const excessMs = lastingSign > 0 ? steadyMs : this.#rules.excessMs;
    const requiredMs = sign > 0 ? excessMs : shortageMs;
    if (!isIdle && now - this.#imbalance.at < requiredMs) return [];
    // While requests run, changes are ordered one at a time, so that the effect of each is visible
    // before the next.
    if (sign > 0) return changeIdlestToDecode(prefill, isIdle ? surplus : 1);
    const [leastLoaded] = [...decode].sort((a, b) => a.allocations.size - b.allocations.size);
    return leastLoaded ? [{ runner: leastLoaded.runner.id, role: 'prefill' }] : [];
  }
}

/** Number of runners of each stage. */
interface StageCounts {
  readonly prefill: number;
  readonly decode: number;
}

/** Number of prefill runners above the optimum; 0 if a change would not gain enough. */
function worthwhileSurplus(
  rules: StageRules,
  engine: Engine,
  prefill: number,
  decode: number,
  slowness: number,
  workload: Workload,
): number {
  const runners = prefill + decode;
  const wanted = optimalPrefillCount(rules, engine, runners, slowness, workload);
  const rateOf = (count: number): number =>
    servedRate(rules, engine, count, runners - count, slowness, workload);
  return rateOf(wanted) > rateOf(prefill) * (1 + rules.minGain) ? prefill - wanted : 0;
}

function mean(values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0) / Math.max(1, values.length) || 1;
}

/** The prefill runners with the fewest pending prompts. */
function changeIdlestToDecode(
  prefill: readonly PrefillState[],
  count: number,
): readonly StageChange[] {
  return [...prefill]
    .sort((a, b) => a.pending.size - b.pending.size || (a.runner.id < b.runner.id ? -1 : 1))
    .slice(0, count)
    .map(({ runner }) => ({ runner: runner.id, role: 'decode' }));
}
