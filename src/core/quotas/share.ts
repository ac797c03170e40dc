/** The part of each quota that belongs to one owner: that of the VMs that use it as owner. */

/** The members known to an owner. */
export interface QuotaMembers {
  /** Number of VMs that may exist: all that have not announced that they leave. */
  readonly known: number;
  /** VMs that are present, including this one. */
  readonly present: ReadonlySet<string>;
}

/**
 * Maximum time for which a VM's part counts after its last announcement, in milliseconds. A VM whose
 * path to its owner is cut contributes its part to the next owner at once, while the first one still
 * counts it. Both grant it for that time, which must therefore be a fraction of the window as well.
 */
const MAX_LEASE_MS = 4000;
const WINDOWS_PER_LEASE = 0.5;
/** Announcements in the time of a lease. One that is not answered makes the VM choose another owner. */
const RENEWALS_PER_LEASE = 3;
/** Renewal time per VM of the fleet, in milliseconds, so that one owner receives at most some 200 renewals a second. */
const RENEWAL_PER_VM_MS = 5;
/** Renewals that a lease lasts for at least, so that one of them may be lost, and the time by which the last one may be late, in milliseconds. */
const MIN_RENEWALS_PER_LEASE = 2;
const DELIVERY_MS = 350;

function baseLeaseMs(windowMs: number): number {
  return Math.min(MAX_LEASE_MS, WINDOWS_PER_LEASE * windowMs);
}

/**
 * Time after which a VM without requests renews its announcement to its owner, in milliseconds.
 * @param windowMs window in which the use of the quota is bounded, in milliseconds
 */
export function renewIntervalMs({ known }: QuotaMembers, windowMs: number): number {
  return Math.max(baseLeaseMs(windowMs) / RENEWALS_PER_LEASE, RENEWAL_PER_VM_MS * known);
}

/** Time for which a VM's part counts after its last announcement, in milliseconds; see `renewIntervalMs`. */
function leaseMsOf(members: QuotaMembers, windowMs: number): number {
  const shortest = MIN_RENEWALS_PER_LEASE * renewIntervalMs(members, windowMs) + DELIVERY_MS;
  return Math.max(baseLeaseMs(windowMs), shortest);
}

/** Time for which a computed part is cached, in milliseconds; it is needed for each run. */
const CACHE_MS = 100;

/**
 * The VMs that use one owner. Each announces itself when it selects an owner and
 * periodically afterwards. That other VMs appear to be alive does not count, since a VM
 * that is cut off needs many seconds to detect that they do not answer.
 */
export class QuotaShare {
  readonly #windowMs: number;

  /** When each VM last announced that it uses this owner. */
  readonly #joined = new Map<string, number>();

  #cached:
    { readonly members: QuotaMembers; readonly part: number; readonly at: number } | undefined;

  /** @param windowMs window in which the use of the quota is bounded, in milliseconds */
  constructor(windowMs: number) {
    this.#windowMs = windowMs;
  }

  /** Records that a VM uses this owner. */
  join(now: number, vm: string): void {
    if (!this.#joined.has(vm)) this.#cached = undefined;
    this.#joined.set(vm, now);
  }

  /** Records that a VM uses another owner. */
  leave(vm: string): void {
    if (this.#joined.delete(vm)) this.#cached = undefined;
  }

  /** Part of each quota that belongs to the VMs that use this owner, from 0 to 1. */
  part(now: number, members: QuotaMembers): number {
    const known = this.#cached;
    if (known?.members === members && now - known.at < CACHE_MS) return known.part;
    const part = this.#computePart(now, members);
    this.#cached = { members, part, at: now };
    return part;
  }

  #computePart(now: number, members: QuotaMembers): number {
    const { known, present } = members;
    // If only the path between a VM and its owner is cut, the announcement that the VM leaves is lost, so its part expires.
    const leaseMs = leaseMsOf(members, this.#windowMs);
    let own = 0;
    for (const [vm, at] of this.#joined) {
      if (now - at > leaseMs) this.#joined.delete(vm);
      else if (present.has(vm)) own += 1;
    }
    return Math.min(1, own / Math.max(1, known));
  }
}
