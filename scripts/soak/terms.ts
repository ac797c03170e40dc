/** Checks that runners get no requests that they have excluded: while they drain, during a pause, beyond their rate limit. */

import type { BoundCheck } from './allowances';
import type { Announcement } from './announcements';
import { AnnouncementChecker } from './announcements';
import type { FaultFamily } from './faults';

/** Dependencies of the check. */
export interface TermsContext {
  readonly checkBound: BoundCheck;
  readonly report: (promise: string, detail: string) => void;
  /** Time since the last fault of the given families ended, in milliseconds; 0 while one is in progress. */
  readonly faultFreeMs: (...families: readonly FaultFamily[]) => number;
}

/** Fault-free time required before a guarantee with a time limit is checked. */
export const MIN_FAULT_FREE_MS = 4000;
/** Sliding window over which requests to a rate-limited runner are counted. */
const LIMIT_WINDOW_MS = 4000;
/** Time after a runner announced a limit before the check applies; longer than a window, so that windows begin after the announcement. */
const LIMIT_SETTLE_MS = 4500;
/** Factor by which the requests of a window may exceed the announced rate. */
const LIMIT_OVERAGE_FACTOR = 1.5;
/** Additional requests allowed in a window. */
const LIMIT_SLACK_REQUESTS = 5;
/** Requests of one VM that may reach a runner during a pause that it asked for. */
const MAX_DURING_PAUSE = 2;
/** Time after which a draining runner must receive no more requests; includes the delay of requests on their way. */
const DRAIN_GRACE_MS = 2500;

/** What runner instances announced, and the requests that they got since. */
export class TermsChecker {
  readonly #context: TermsContext;

  /** Draining runner instances, and when the store recorded that they drain. */
  readonly #drainingSince = new Map<string, number>();

  /** Rate limits announced by runner instances: since when, and times of recent arrivals. */
  readonly #limits = new Map<string, { ratePerS: number; since: number; readonly at: number[] }>();

  readonly #announcements = new AnnouncementChecker();

  constructor(context: TermsContext) {
    this.#context = context;
  }

  /** The store entry of a runner instance is marked as draining, or no longer is. */
  setDraining(now: number, instanceId: string, isDraining: boolean): void {
    if (isDraining) this.#drainingSince.set(instanceId, now);
    else this.#drainingSince.delete(instanceId);
  }

  /** A runner instance announces a rate limit; undefined if it announces none. */
  setRateLimit(now: number, instanceId: string, ratePerS: number | undefined): void {
    if (ratePerS === undefined) this.#limits.delete(instanceId);
    else this.#limits.set(instanceId, { ratePerS, since: now, at: [] });
  }

  /** The answer to a request of a VM announces something. */
  announced(now: number, vm: string, announcement: Announcement): void {
    this.#announcements.announced(now, vm, announcement);
  }

  /**
   * A request reaches a runner instance.
   * @param vm undefined if no caller sent it
   */
  arrived(now: number, requestId: string, instanceId: string, vm: string | undefined): void {
    this.#checkLimit(now, instanceId);
    this.#checkDraining(now, requestId, instanceId);
    if (vm !== undefined) this.#checkAnnouncements(now, vm, requestId, instanceId);
  }

  #checkDraining(now: number, requestId: string, instanceId: string): void {
    const forMs = now - (this.#drainingSince.get(instanceId) ?? Infinity);
    if (forMs > DRAIN_GRACE_MS && this.#context.faultFreeMs('vm', 'store') >= forMs) {
      const detail = `${requestId} reached ${instanceId} ${forMs} ms after it began to drain`;
      this.#context.report('drain', detail);
    }
  }

  #checkAnnouncements(now: number, vm: string, requestId: string, instanceId: string): void {
    const unwanted = this.#announcements.arrived(now, vm, instanceId);
    const { faultFreeMs, checkBound, report } = this.#context;
    // A VM that was restarted knows nothing, and one that was frozen or cut off sends late.
    const freeMs = faultFreeMs('vm', 'runner');
    for (const { promise, afterMs, count } of unwanted.filter((one) => one.afterMs < freeMs)) {
      const subject = `${requestId} reached ${instanceId} from ${vm} ${afterMs} ms after its announcement`;
      if (promise === 'pause') checkBound(promise, count, MAX_DURING_PAUSE, subject);
      else report(promise, subject);
    }
  }

  #checkLimit(now: number, instanceId: string): void {
    const limit = this.#limits.get(instanceId);
    if (!limit) return;
    limit.at.push(now);
    while ((limit.at[0] ?? now) < now - LIMIT_WINDOW_MS) limit.at.shift();
    const max =
      (limit.ratePerS * LIMIT_WINDOW_MS * LIMIT_OVERAGE_FACTOR) / 1000 + LIMIT_SLACK_REQUESTS;
    const isSettled = now - limit.since > LIMIT_SETTLE_MS;
    const isQuiet = this.#context.faultFreeMs('vm') >= MIN_FAULT_FREE_MS;
    if (isSettled && isQuiet) {
      this.#context.checkBound('limit', limit.at.length, max, `${instanceId} in 4 s`);
    }
  }
}
