/** Which part of each quota belongs to one owner: that of the VMs that go by it. */

/** Members as an owner sees them. */
export interface QuotaMembers {
  /** VMs there may be: all that did not say that they leave. */
  readonly known: number;
  /** Those that live, this one included. */
  readonly present: ReadonlySet<string>;
}

/**
 * Which VMs go by one owner. Each says so when it takes up an owner; that others live
 * as far as is known counts for nothing, since a VM that is cut off needs many seconds
 * to find out that they do not answer.
 */
export class QuotaShare {
  readonly #joined = new Set<string>();

  /** The part by the members that it was worked out from last; it is asked for with each run. */
  #known: { readonly members: QuotaMembers; readonly part: number } | undefined;

  /** A VM goes by this owner. */
  join(vm: string): void {
    if (this.#joined.has(vm)) return;
    this.#joined.add(vm);
    this.#known = undefined;
  }

  /** A VM goes by another owner. */
  leave(vm: string): void {
    if (this.#joined.delete(vm)) this.#known = undefined;
  }

  /** Part of each quota that belongs to the VMs that go by this owner. */
  part(members: QuotaMembers): number {
    if (this.#known?.members === members) return this.#known.part;
    const part = this.#partOf(members);
    this.#known = { members, part };
    return part;
  }

  #partOf({ known, present }: QuotaMembers): number {
    const own = [...this.#joined].filter((vm) => present.has(vm)).length;
    return Math.min(1, own / Math.max(1, known));
  }
}
