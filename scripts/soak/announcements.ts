/** Checks what VMs send to runners that announced in answers that they leave or want a pause. */

/** What a runner announced in the answer to one request. */
export interface Announcement {
  /** Id of the request. */
  readonly requestId: string;
  /** Id of the runner's instance. */
  readonly instanceId: string;
  readonly isLeaving: boolean;
  /** Time for which it wants no requests of the VM, in milliseconds; undefined if it accepts them. */
  readonly pauseMs: number | undefined;
}

/** A request that a VM sends although the runner's announcements exclude it. */
export interface UnwantedRequest {
  readonly promise: 'drain' | 'pause';
  /** Time since the announcement, in milliseconds. */
  readonly afterMs: number;
  /** Unwanted requests since the announcement. */
  readonly count: number;
}

interface Pause {
  readonly at: number;
  readonly until: number;
  count: number;
}

/** Time after an announcement for which requests may still arrive, in milliseconds. */
const DRAIN_GRACE_MS = 2500;
const UNDER_WAY_MS = 500;

/** Announcements by VM and runner instance. */
export class AnnouncementChecker {
  readonly #leavingSince = new Map<string, number>();

  readonly #pauses = new Map<string, Pause[]>();

  /** Records an announcement to a VM. */
  announced(now: number, vm: string, { instanceId, isLeaving, pauseMs }: Announcement): void {
    const key = `${vm} ${instanceId}`;
    if (isLeaving && !this.#leavingSince.has(key)) this.#leavingSince.set(key, now);
    if (pauseMs === undefined) return;
    const pauses = this.#pauses.get(key) ?? [];
    const lasting = pauses.filter(({ until }) => until > now);
    this.#pauses.set(key, [...lasting, { at: now, until: now + pauseMs, count: 0 }]);
  }

  /** Records a request that reaches a runner; returns what its announcements to the VM exclude. */
  arrived(now: number, vm: string, instanceId: string): readonly UnwantedRequest[] {
    const key = `${vm} ${instanceId}`;
    const unwanted: UnwantedRequest[] = [];
    const drainMs = now - (this.#leavingSince.get(key) ?? Infinity);
    if (drainMs > DRAIN_GRACE_MS) unwanted.push({ promise: 'drain', afterMs: drainMs, count: 1 });
    for (const pause of this.#pauses.get(key) ?? []) {
      if (now > pause.at + UNDER_WAY_MS && now < pause.until) {
        pause.count += 1;
        unwanted.push({ promise: 'pause', afterMs: now - pause.at, count: pause.count });
      }
    }
    return unwanted;
  }
}
