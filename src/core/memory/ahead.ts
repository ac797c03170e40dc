/** Prefills that start before there is memory for them, so that none of it waits idle for a prefill. */

import type { AheadRules } from './policy';

/** Time for which a finished prefill may wait for memory, in milliseconds. */
export function maxWaitMs({ maxWaitShare: keepPart }: AheadRules, keepMs: number): number {
  return keepMs * keepPart;
}

/**
 * How many prefills may be under way ahead of the memory for them: a part of the
 * requests that should end while a prefill runs and is kept.
 * @param holders requests that hold decode memory
 * @param readMs time of a usual prefill, in milliseconds
 * @param residenceMs time for which a usual request holds its place, in milliseconds
 */
export function maxPrefillsAhead(
  rules: AheadRules,
  holders: number,
  readMs: number,
  residenceMs: number,
  keepMs: number,
): number {
  const horizonMs = readMs + maxWaitMs(rules, keepMs);
  return Math.floor((rules.endingShare * holders * horizonMs) / residenceMs);
}
