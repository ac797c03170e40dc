/**
 * How many runners of a service should prefill and how many decode.
 *
 * Deployments start with a fixed share of prefill runners. Where prompts are read
 * much faster than decode runners give memory back, most of them idle while
 * requests are refused for want of decode memory.
 */

import type { Engine } from '../routing/types';
import type { DecodeState, PrefillState } from './account';
import { LOCAL_PREFILL_COST } from './cost';
import type { StageRules } from './policy';

/** A change of what a runner does. */
export interface StageChange {
  readonly runner: string;
  readonly role: 'prefill' | 'decode';
}

/** Sizes and times of the service's requests, as measured. */
export interface Workload {
  readonly promptTokens: number;
  /** Time that a prefill runner works on a prompt token, in milliseconds. */
  readonly prefillTokenMs: number;
  readonly outputTokens: number;
  /** Time that a request holds decode memory, in milliseconds. */
  readonly residenceMs: number;
}

/** Time for which a runner that is no longer listed may come back, in milliseconds. */
const RETURN_MS = 9000;

/**
 * Requests in a millisecond that so many runners of each stage can serve. What
 * the prefill runners cannot read, the decode runners read between their tokens.
 */
export function servedRate(
  { headroom }: StageRules,
  { memoryTokens }: Engine,
  prefill: number,
  decode: number,
  slowness: number,
  { promptTokens, prefillTokenMs: readTokenMs, outputTokens, residenceMs }: Workload,
): number {
  const promptMs = headroom * promptTokens * readTokenMs;
  const prefillRate = prefill / (promptMs * slowness);
  const decodeMs = ((promptTokens + outputTokens) * residenceMs) / memoryTokens;
  if (prefillRate * decodeMs >= decode) return decode / decodeMs;
  const readMs = LOCAL_PREFILL_COST * promptMs;
  return (decode + prefillRate * readMs) / (decodeMs + readMs);
}

/** Prefill runners with which most requests are served; in a tie more of them, since they take bursts better. */
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

/** Time after a change of stage in which the runner lists itself anew, in milliseconds. */
const LISTED_MS = 2500;
/** Time in which an order that got no answer may still be carried out, in milliseconds. */
const UNSURE_MS = 13_000;

/** Decides on changes, one after the other; at once before the first work, patiently after. */
export class StageBalancer {
  readonly #rules: StageRules;

  /** Since when the wanted number differs from what is there, and by what sign. */
  #since: { readonly at: number; readonly sign: number } | undefined;

  /** Since when the number of runners is the same. */
  #steady: { readonly at: number; readonly runners: number } | undefined;

  /** When each runner was there last, and in which stage. */
  readonly #seen = new Map<string, { readonly at: number; readonly role: StageChange['role'] }>();

  /** Runners that were told to change, and until when no further change is considered. */
  readonly #changing = new Map<string, number>();

  constructor(rules: StageRules) {
    this.#rules = rules;
  }

  /** A runner took an order, or may have; gives the time until which that is under way. */
  recordOrder(now: number, runner: string, accepted: boolean, engine: Engine | undefined): number {
    const until = now + (accepted ? (engine?.switchMs ?? 0) + LISTED_MS : UNSURE_MS);
    this.#changing.set(runner, until);
    return until;
  }

  /** Takes note of the runners there are, and counts those that were there a moment ago. */
  #lostRunners(
    now: number,
    prefill: readonly PrefillState[],
    decode: readonly DecodeState[],
  ): StageCounts {
    for (const { runner } of prefill) this.#seen.set(runner.id, { at: now, role: 'prefill' });
    for (const { runner } of decode) this.#seen.set(runner.id, { at: now, role: 'decode' });
    const lost = { prefill: 0, decode: 0 };
    for (const [id, { at, role }] of this.#seen) {
      if (now - at > RETURN_MS) this.#seen.delete(id);
      else if (at < now) lost[role] += 1;
    }
    return lost;
  }

  /** Changes to make now. */
  changes(
    now: number,
    engine: Engine,
    prefill: readonly PrefillState[],
    decode: readonly DecodeState[],
    workload: Workload,
    idle: boolean,
  ): readonly StageChange[] {
    // An order to a runner that has left or started anew is over with it.
    const listed = new Set([...prefill, ...decode].map(({ runner }) => runner.id));
    for (const [id, until] of this.#changing) {
      if (now >= until || !listed.has(id)) this.#changing.delete(id);
    }
    const runners = prefill.length + decode.length;
    if (this.#changing.size > 0 || runners < 2 || engine.switchMs === undefined) return [];
    const slowness = mean(prefill.map((state) => state.slowness));
    const { steadyMs, shortageMs: lackMs } = this.#rules;
    const surplusOf = (prefills: number, decodes: number): number =>
      worthwhileSurplus(this.#rules, engine, prefills, decodes, slowness, workload);
    const surplus = surplusOf(prefill.length, decode.length);
    const sign = Math.sign(surplus);
    const lost = this.#lostRunners(now, prefill, decode);
    const lasting = Math.sign(
      surplusOf(prefill.length + lost.prefill, decode.length + lost.decode),
    );
    if (runners !== this.#steady?.runners) {
      this.#steady = { at: now, runners };
      this.#since = undefined;
    }
    if (sign !== this.#since?.sign) this.#since = { at: now, sign };
    if (sign === 0 || now - this.#steady.at < steadyMs) return [];
    // An excess that the return of lost runners would not end costs decode memory until it is mended.
    const excessMs = lasting > 0 ? steadyMs : this.#rules.excessMs;
    const patienceMs = sign > 0 ? excessMs : lackMs;
    if (!idle && now - this.#since.at < patienceMs) return [];
    // One at a time beside work: what each brings shows before the next.
    if (sign > 0) return idlest(prefill, idle ? surplus : 1);
    const [least] = [...decode].sort((a, b) => a.allocations.size - b.allocations.size);
    return least ? [{ runner: least.runner.id, role: 'prefill' }] : [];
  }
}

/** Runners of each stage. */
interface StageCounts {
  readonly prefill: number;
  readonly decode: number;
}

/** Prefill runners above the wanted number; 0 if a change would not bring enough. */
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

/** Prefill runners with the least to do. */
function idlest(prefill: readonly PrefillState[], count: number): readonly StageChange[] {
  return [...prefill]
    .sort((a, b) => a.pending.size - b.pending.size || (a.runner.id < b.runner.id ? -1 : 1))
    .slice(0, count)
    .map(({ runner }) => ({ runner: runner.id, role: 'decode' }));
}
