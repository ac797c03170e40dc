/**
 * How many runners of a service should prefill and how many decode.
 *
 * Deployments start with a fixed share of prefill runners. Where prompts are read
 * much faster than decode runners give memory back, most of them idle while
 * requests are refused for want of decode memory.
 */

import type { Engine } from '../routing/types';
import type { DecodeState, PrefillState } from './account';
import { workMs } from './cost';

/** A change of what a runner does. */
export interface StageChange {
  readonly runner: string;
  readonly role: 'prefill' | 'decode';
}

/** Sizes and times of the service's requests, as measured. */
export interface Workload {
  readonly promptTokens: number;
  readonly outputTokens: number;
  /** Time that a request holds decode memory, in milliseconds. */
  readonly residenceMs: number;
}

/** Prefill capacity kept beyond the decode runners' need, as a part: a burst of prompts comes first to the prefill runners. */
const HEADROOM = 1.2;
/** Prefill runners below which the loss of one would stop a service. */
const LEAST_PREFILL = 2;
/** Time for which an excess of prefill runners must last before they change, in milliseconds: a decode runner that crashed is usually back sooner than a change takes. */
const EXCESS_MS = 9000;
/** The same for a lack of them, which costs more, in milliseconds. */
const LACK_MS = 4000;

/** Prefill runners wanted out of all. */
export function wantedPrefill(
  engine: Engine,
  runners: number,
  slowness: number,
  { promptTokens, outputTokens, residenceMs }: Workload,
): number {
  const prefillRate = 1 / workMs(promptTokens, slowness);
  const decodeRate = engine.memoryTokens / ((promptTokens + outputTokens) * residenceMs);
  const share = (HEADROOM * decodeRate) / (prefillRate + HEADROOM * decodeRate);
  const least = Math.min(LEAST_PREFILL, runners - 1);
  return Math.max(least, Math.min(runners - 1, Math.ceil(runners * share - 0.25)));
}

/** Time for which the number of runners must be the same, in milliseconds: runners register one after the other. */
const STEADY_MS = 2500;

/** Decides on changes; at once before the first work, patiently after. */
export class StageBalance {
  /** Since when the wanted number differs from what is there, and by what sign. */
  #since: { readonly at: number; readonly sign: number } | undefined;

  /** Since when the number of runners is the same. */
  #steady: { readonly at: number; readonly runners: number } | undefined;

  /** Changes to make now. */
  consider(
    now: number,
    engine: Engine,
    prefill: readonly PrefillState[],
    decode: readonly DecodeState[],
    workload: Workload,
    idle: boolean,
  ): readonly StageChange[] {
    const runners = prefill.length + decode.length;
    if (runners < 2 || engine.switchMs === undefined) return [];
    const slowness = mean(prefill.map((state) => state.slowness));
    const surplus = prefill.length - wantedPrefill(engine, runners, slowness, workload);
    const sign = Math.sign(surplus);
    if (sign !== this.#since?.sign) this.#since = { at: now, sign };
    if (runners !== this.#steady?.runners) this.#steady = { at: now, runners };
    if (sign === 0 || now - this.#steady.at < STEADY_MS) return [];
    const patienceMs = sign > 0 ? EXCESS_MS : LACK_MS;
    if (!idle && now - this.#since.at < patienceMs) return [];
    if (sign > 0) return idlest(prefill, surplus);
    const [least] = [...decode].sort((a, b) => a.holders.size - b.holders.size);
    return least ? [{ runner: least.runner.id, role: 'prefill' }] : [];
  }
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
