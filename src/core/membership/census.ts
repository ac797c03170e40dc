/** The number of VMs that may run, as far as one of them can know. */

import type { Member } from './types';
import { isPresent } from './types';

/**
 * Time for which a VM counts that does not answer, in milliseconds: it may be cut off and still
 * serve its callers. Regions lose each other for minutes.
 */
const ABSENCE_MS = 30 * 60_000;
/** Time for which a VM counts that has announced that it leaves, in milliseconds: it completes its requests. */
const LEAVING_MS = 60_000;

/** When a VM that is not present ceased to be, and whether it had announced that. */
interface Absence {
  readonly since: number;
  readonly isLeaving: boolean;
}

/** The number of VMs that others have counted. */
interface RecordedCount {
  readonly vms: number;
  readonly until: number;
}

/**
 * Counts the VMs that may run. What a fleet may do in total is divided by their number, and a VM
 * that counted only those in its view would take a part of its own for each partition. So a VM
 * counts for a long time after it was last heard of, and a process that has just started goes by
 * the number that the fleet has recorded.
 */
export class FleetCensus {
  readonly #startedAt: number;

  /** VMs by name; undefined while a VM is present. */
  readonly #vms = new Map<string, Absence | undefined>();

  #recorded: RecordedCount | undefined;

  /** @param startedAt when the process started */
  constructor(startedAt: number) {
    this.#startedAt = startedAt;
  }

  /** Records the members that this VM knows; those that it does not know any more are absent. */
  update(now: number, members: readonly Member[]): void {
    const gone = new Set(this.#vms.keys());
    for (const member of members) {
      gone.delete(member.vm);
      if (isPresent(member)) this.#vms.set(member.vm, undefined);
      else this.#recordAbsence(now, member.vm, member.state === 'left');
    }
    for (const vm of gone) this.#recordAbsence(now, vm, false);
  }

  /** Records how many VMs others have counted, as another VM or the store tells; 0 if the store has no record. */
  learn(now: number, vms: number): void {
    if (!this.#recorded || vms > this.#floor(now)) {
      this.#recorded = { vms, until: now + ABSENCE_MS };
    }
  }

  /** Whether the fleet's count was learned, without which this VM may know a part of the fleet only. */
  get isComplete(): boolean {
    return this.#recorded !== undefined;
  }

  /** Whether this process has run long enough to have seen all VMs that may run. */
  isLongLived(now: number): boolean {
    return now - this.#startedAt > ABSENCE_MS;
  }

  /** Number of VMs that this one knows of itself. */
  count(now: number): number {
    this.#expire(now);
    return Math.max(1, this.#vms.size);
  }

  /** Number of VMs that may run. */
  size(now: number): number {
    return Math.max(this.count(now), this.#floor(now));
  }

  /** The same without those that have announced that they leave. */
  staying(now: number): number {
    this.#expire(now);
    const leaving = [...this.#vms.values()].filter((absence) => absence?.isLeaving).length;
    return Math.max(1, this.#vms.size - leaving, this.#floor(now));
  }

  #floor(now: number): number {
    return this.#recorded && now < this.#recorded.until ? this.#recorded.vms : 0;
  }

  #recordAbsence(now: number, vm: string, isLeaving: boolean): void {
    const known = this.#vms.get(vm);
    if (known && (known.isLeaving || !isLeaving)) return;
    this.#vms.set(vm, { since: now, isLeaving });
  }

  #expire(now: number): void {
    for (const [vm, absence] of this.#vms) {
      if (absence && now - absence.since > (absence.isLeaving ? LEAVING_MS : ABSENCE_MS)) {
        this.#vms.delete(vm);
      }
    }
  }
}
