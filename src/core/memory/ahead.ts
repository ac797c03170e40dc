/** Prefills that start before there is memory for them, so that none of it waits idle for a prefill. */

/** Part of the time that a prefill is kept in which it may wait for memory; the rest covers messages and the move. */
const KEEP_PART = 0.6;
/** Part of the requests that should end by then that prefills may be started for; ends are only expected. */
const AHEAD_PART = 0.25;

/** Time for which a finished prefill may wait for memory, in milliseconds. */
export function waitableMs(keepMs: number): number {
  return keepMs * KEEP_PART;
}

/**
 * How many prefills may be under way ahead of the memory for them: a part of the
 * requests that should end while a prefill runs and is kept. Without it memory
 * lies idle for the time of each prefill, some 7 % of it.
 * @param holders requests that hold decode memory
 * @param readMs time of a usual prefill, in milliseconds
 * @param residenceMs time for which a usual request holds its place, in milliseconds
 */
export function allowedAhead(
  holders: number,
  readMs: number,
  residenceMs: number,
  keepMs: number,
): number {
  const horizonMs = readMs + waitableMs(keepMs);
  return Math.floor((AHEAD_PART * holders * horizonMs) / residenceMs);
}
