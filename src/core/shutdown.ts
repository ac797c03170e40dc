/** Which requests a VM that shuts down still takes. Times are on the clock of `performance.now`. */

/** The last times of a VM that was told to stop. */
export interface Shutdown {
  /** The earliest time at which it may have been told to. */
  readonly beganAt: number;
  /** Until when callers may connect by a look-up answer that names the VM. */
  readonly addressedUntil: number;
  /** Until when it accepts connections. */
  readonly acceptsUntil: number;
  /** Deadline for late requests that are still taken; requests without a response get an error then. */
  readonly endsBy: number;
  /** When the responses that are not complete are cut off. */
  readonly cutOffAt: number;
}

/** Settings on which a shutdown depends. */
export interface ShutdownBounds {
  /** Time between the termination signal and the kill, in milliseconds. */
  readonly graceMs: number;
  /** How long callers may cache a look-up answer, in milliseconds. */
  readonly addressTtlMs: number;
}

/** Some callers use a look-up answer for this many times as long as they may. */
const CACHED_TIMES = 3;
/** Time that a busy process takes to handle the termination signal, in milliseconds. */
const SIGNAL_DELAY_MS = 300;
/** Fraction of the grace period for which connections are accepted at least. */
const ACCEPT_GRACE_FRACTION = 0.6;
/** Time before the kill at which responses are cut off, in milliseconds. */
const CUT_OFF_MS = 400;
/** Time before the cut in which error responses are sent, in milliseconds. */
const ERROR_MS = 200;
/**
 * Time before the cut from which no connections are accepted, in milliseconds. Callers that obtain no
 * new look-up answer go on using the old one, and their short requests still end before it.
 */
const LAST_REQUEST_MS = 1000;

/**
 * The shutdown of a VM that finds out now that it was told to stop.
 * @param beganAt the earliest time at which it may have been told to
 */
export function shutdownOf(
  now: number,
  { graceMs, addressTtlMs }: ShutdownBounds,
  beganAt = now,
): Shutdown {
  const cutFrom = beganAt + graceMs - CUT_OFF_MS;
  const endsBy = cutFrom - ERROR_MS;
  const addressedMs = Math.max(0, CACHED_TIMES * addressTtlMs - SIGNAL_DELAY_MS);
  const acceptsMs = graceMs * ACCEPT_GRACE_FRACTION;
  return {
    beganAt,
    addressedUntil: Math.min(endsBy, beganAt + addressedMs),
    acceptsUntil: Math.min(endsBy, Math.max(beganAt + acceptsMs, cutFrom - LAST_REQUEST_MS)),
    endsBy,
    // The signal may have arrived just now: what still runs has until then.
    cutOffAt: now + graceMs - CUT_OFF_MS,
  };
}

/**
 * Whether a request that ends by `deadlineAt` at the latest is taken. Callers that look addresses up
 * in time are served, and most of their requests end long before their deadlines. Later ones are
 * taken only if they cannot be cut off; other VMs serve the rest.
 */
export function mayTake(now: number, shutdown: Shutdown, deadlineAt: number): boolean {
  return now < shutdown.addressedUntil || deadlineAt <= shutdown.endsBy;
}
