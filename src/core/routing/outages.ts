/**
 * Decides whether an entry that is missing from the store may have expired while the store was
 * unavailable.
 *
 * A runner's entry expires after three heartbeat intervals of silence. A runner that works has written it at
 * most one interval before the store becomes unavailable, so its entry expires only if that lasts
 * for two intervals. A single call that fails between two that are answered shows nothing of the
 * kind, whatever the reason: what is missing afterwards has left, and must get no more work.
 */

import type { Position } from './position';
import { isLater } from './position';

/** Interval at which runners write their entries by default, in milliseconds. */
export const HEARTBEAT_MS = 1200;
/** Heartbeat intervals for which the store must be unavailable at least for an entry to expire; a quarter less than two, as heartbeats are not quite regular. */
const EXPIRY_INTERVALS = 1.75;

/**
 * Age up to which another VM's last answer of the store may not be known here yet, in
 * milliseconds. It counts for a VM that has just begun to read the store.
 */
const PROPAGATION_MS = 3000;

/** Time after an outage in which a missing entry may be one that expired in it, in milliseconds. */
const EXPIRY_WINDOW_MS = 3000;

/**
 * How long a runner stays in use whose entry is missing in the first full list after an
 * outage of the store, in milliseconds. Leases expire during an outage, and running runners
 * register again within two seconds of its end. Without the grace period every runner would
 * be dropped at once at the end of an outage, and all requests would be rejected.
 */
const OUTAGE_GRACE_MS = 2500;

/**
 * The same for an entry that is removed after the first full list, in milliseconds. Most
 * likely the runner shuts down, and it must get no work two seconds after that.
 */
const REMOVAL_GRACE_MS = 1000;

/** Outages of the store as one VM knows them. Times are monotonic, in milliseconds. */
export class StoreOutages {
  readonly #expiryMs: number;

  #answeredAt = -Infinity;

  /** Age of the last answer from which on entries may have expired since. */
  #limitMs = Infinity;

  /** When the last outage ended. */
  #endedAt = -Infinity;

  /** Position of the first full list after it; undefined until there is one. */
  #relistedAt: Position | undefined;

  /** @param heartbeatMs interval at which runners write their entries */
  constructor(heartbeatMs = HEARTBEAT_MS) {
    this.#expiryMs = EXPIRY_INTERVALS * heartbeatMs;
  }

  /** When the store last answered this VM. */
  get answeredAt(): number {
    return this.#answeredAt;
  }

  /** Records that this VM begins to read the store. */
  began(): void {
    this.#limitMs = Math.min(this.#limitMs, this.#expiryMs + PROPAGATION_MS);
  }

  /** Records a call that failed. */
  failed(): void {
    this.#limitMs = this.#expiryMs;
  }

  /**
   * Records an answer of the store.
   * @param confirmedAt when the store last answered any VM, as far as this one knows
   * @returns time without an answer if entries may have expired in it, otherwise 0
   */
  answered(now: number, confirmedAt: number): number {
    const lastAt = Math.max(this.#answeredAt, confirmedAt);
    const silentMs = Number.isFinite(lastAt) ? now - lastAt : 0;
    const isOutage = silentMs >= this.#limitMs;
    this.#answeredAt = now;
    this.#limitMs = Infinity;
    if (isOutage) this.restored(now);
    return isOutage ? silentMs : 0;
  }

  /** Records that the store was restored from an older copy, which may lack entries as after an outage. */
  restored(now: number): void {
    this.#endedAt = now;
    this.#relistedAt = undefined;
  }

  /** Records a full list of the store. */
  listed(position: Position): void {
    this.#relistedAt ??= position;
  }

  /** How long a runner stays in use whose entry is missing as of a position, in milliseconds. */
  graceMs(now: number, position: Position): number {
    if (now - this.#endedAt >= EXPIRY_WINDOW_MS) return 0;
    const isRelisted = this.#relistedAt !== undefined && isLater(position, this.#relistedAt);
    return isRelisted ? REMOVAL_GRACE_MS : OUTAGE_GRACE_MS;
  }
}
