/**
 * Prefills that start before decode memory is free for them, so that no memory idles while it waits
 * for a prefill.
 */

import type { AheadRules } from './policy';

/** Time for which a finished prefill may wait for decode memory, in milliseconds. */
export function maxWaitMs({ maxWaitShare }: AheadRules, keepMs: number): number {
  return keepMs * maxWaitShare;
}

/**
 * Largest number of prefills without decode memory: a share of the requests that are expected to
 * end while a prefill runs and is kept.
 * @param allocations number of requests that hold decode memory
 * @param prefillMs time of a usual prefill, in milliseconds
 * @param residenceMs time for which a usual request holds its reservation, in milliseconds
 */
export function maxPrefillsAhead(
  rules: AheadRules,
  allocations: number,
  prefillMs: number,
  residenceMs: number,
  keepMs: number,
): number {
  const horizonMs = prefillMs + maxWaitMs(rules, keepMs);
  return Math.floor((rules.endingShare * allocations * horizonMs) / residenceMs);
}
