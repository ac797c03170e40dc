/** How long idle connections of callers are kept. Times are in milliseconds. */

/**
 * Idle connections are kept this much longer than announced: their callers count from the end of
 * the response as they see it, and the next request is on its way for a while.
 */
export const IDLE_MARGIN_MS = 2000;

/** Zero seconds would mean "no limit" to some callers. */
const MIN_ANNOUNCED_S = 1;

/** The idle time that a response announces while a limit is in force, in whole seconds. */
export function announcedSeconds(limitMs: number): number {
  return Math.max(MIN_ANNOUNCED_S, Math.floor(limitMs / 1000));
}

/** An idle connection. */
export interface IdleConnection {
  readonly idleSince: number;
  /** The idle time that its last response announced; 0 if there was none. */
  readonly announcedMs: number;
}

/** When an idle connection may be closed: its caller goes by what was announced or by a limit that was raised since. */
export function closesAt({ idleSince, announcedMs }: IdleConnection, limitMs: number): number {
  return idleSince + Math.max(announcedMs, limitMs) + IDLE_MARGIN_MS;
}
