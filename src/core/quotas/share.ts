/** Which part of each quota belongs to one owner: that of the VMs that go by it. */

/** Members as an owner sees them. */
export interface QuotaMembers {
  /** VMs there may be: all that did not say that they leave. */
  readonly known: number;
  /** Those that live, this one included. */
  readonly present: ReadonlySet<string>;
}

/** Shortest time after which a VM says again by whom it goes if it asked for nothing since, in milliseconds. */
const RENEW_LEAST_MS = 1300;
/** That time for each VM of the fleet, in milliseconds: one owner hears some 200 of these words a second at most. */
const RENEW_VM_MS = 5;
/** Words of a VM that may be lost before its part lapses, and time for the last one to come, in milliseconds. */
const RENEWALS = 3;
const TRAVEL_MS = 100;

/** Time after which a VM says again by whom it goes, in milliseconds. */
export function renewIntervalMs({ known }: QuotaMembers): number {
  return Math.max(RENEW_LEAST_MS, RENEW_VM_MS * known);
}

/** Time for which a part is taken to be the same, in milliseconds: it is asked for with each run. */
const SAME_MS = 100;

/**
 * Which VMs go by one owner. Each says so when it takes up an owner and from time to time;
 * that others live as far as is known counts for nothing, since a VM that is cut off needs
 * many seconds to find out that they do not answer.
 */
export class QuotaShare {
  /** When each VM said last that it goes by this owner. */
  readonly #joined = new Map<string, number>();

  #known:
    { readonly members: QuotaMembers; readonly part: number; readonly at: number } | undefined;

  /** A VM goes by this owner. */
  join(now: number, vm: string): void {
    if (!this.#joined.has(vm)) this.#known = undefined;
    this.#joined.set(vm, now);
  }

  /** A VM goes by another owner. */
  leave(vm: string): void {
    if (this.#joined.delete(vm)) this.#known = undefined;
  }

  /** Part of each quota that belongs to the VMs that go by this owner. */
  part(now: number, members: QuotaMembers): number {
    const known = this.#known;
    if (known?.members === members && now - known.at < SAME_MS) return known.part;
    const part = this.#partOf(now, members);
    this.#known = { members, part, at: now };
    return part;
  }

  #partOf(now: number, members: QuotaMembers): number {
    const { known, present } = members;
    // Where only the way between a VM and its owner is cut, the word that it leaves is lost.
    const leaseMs = renewIntervalMs(members) * RENEWALS + TRAVEL_MS;
    let own = 0;
    for (const [vm, at] of this.#joined) {
      if (now - at > leaseMs) this.#joined.delete(vm);
      else if (present.has(vm)) own += 1;
    }
    return Math.min(1, own / Math.max(1, known));
  }
}
