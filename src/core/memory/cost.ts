/** Learnt time of a prefill. */

import type { PrefillState } from './account';

/** Milliseconds of a runner's work for each prompt token; corrected for each runner by its slowness. */
const TOKEN_MS = 0.018;
/** Milliseconds of every prefill beside its tokens. */
const BASE_MS = 70;
/** A decode runner reads a prompt at half the speed of a prefill runner. */
export const DIRECT_READ_COST = 2;
/** A prompt counts as overdue after this many times the time that it should take. */
const OVERDUE_TIMES = 2;
/** Weight of one measurement. */
const STEP = 0.15;
/** Bounds of one measurement, so that a single stray one moves little. */
const SLOWNESS_LEAST = 0.3;
const SLOWNESS_MOST = 8;

/** Time that a runner of that slowness is busy with a prompt, in milliseconds. */
export function workMs(tokens: number, slowness = 1): number {
  return tokens * TOKEN_MS * slowness;
}

/** Time of a prompt on an idle runner, in milliseconds. */
export function prefillMs(tokens: number, slowness = 1): number {
  return BASE_MS + workMs(tokens, slowness);
}

/**
 * Time until a runner has read what it was given, in milliseconds. A prompt that
 * is long overdue is not counted: its answer was lost or its VM stands still, and
 * counted for as long as nobody says so, it kept the one prefill runner without
 * work for three seconds while eleven requests waited.
 */
export function backlogMs(now: number, { pending, slowness }: PrefillState): number {
  let tokens = 0;
  for (const entry of pending.values()) {
    const overdueAt = entry.givenAt + OVERDUE_TIMES * entry.expectedMs * Math.max(1, slowness);
    if (now < overdueAt) tokens += entry.tokens;
  }
  return workMs(tokens, slowness);
}

/** Learns from a prompt for which `expectedMs` had been expected of a runner of slowness 1. */
export function learnSlowness(state: PrefillState, expectedMs: number, ms: number): void {
  const measured = Math.min(SLOWNESS_MOST, Math.max(SLOWNESS_LEAST, ms / expectedMs));
  state.slowness += STEP * (measured - state.slowness);
}
