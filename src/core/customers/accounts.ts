/** The accounts of the customers that one VM owns, or is taken for the owner of. */

import { textHash } from '../hash';
import type { QuotaBounds, QuotaMembers, QuotaVerdict } from './quota';
import { QuotaAccount, QuotaShare } from './quota';
import type { Quota } from './types';

/** Groups of customers that have one owner each: so many that strong VMs share them, so few that all owners are worked out anew in no time. */
const GROUPS = 16;

/** The group of a customer. */
export function groupOf(customer: string): number {
  return textHash(customer) % GROUPS;
}

/** What the owners of a group are ranked by. */
export function groupKey(group: number): string {
  return `quotas/${group}`;
}

/** All groups. */
export const groups: readonly number[] = Array.from({ length: GROUPS }, (_, group) => group);

/** Time for which a group is remembered that this VM does not own and nobody asks for, in milliseconds. */
const FORGET_MS = 3000;

interface Group {
  readonly beganAt: number;
  readonly share: QuotaShare;
  readonly accounts: Map<string, QuotaAccount>;
  askedAt: number;
}

/** Accounts by group and customer. */
export class QuotaAccounts {
  readonly #bounds: QuotaBounds;

  readonly #groups = new Map<number, Group>();

  constructor(bounds: QuotaBounds) {
    this.#bounds = bounds;
  }

  /** Customers with an account here. */
  get size(): number {
    return [...this.#groups.values()].reduce((sum, { accounts }) => sum + accounts.size, 0);
  }

  /** Takes over which groups this VM owns by the members that it knows. */
  own(now: number, owned: ReadonlySet<number>): void {
    for (const group of owned) this.#of(now, group);
    for (const [group, { askedAt }] of this.#groups) {
      if (!owned.has(group) && now - askedAt > FORGET_MS) this.#groups.delete(group);
    }
  }

  /** A VM goes by this one for a group. */
  join(now: number, group: number, vm: string): void {
    const known = this.#of(now, group);
    known.askedAt = now;
    known.share.join(vm);
  }

  /** A VM asks for a run. */
  take(
    now: number,
    vm: string,
    customer: string,
    quota: Quota,
    members: QuotaMembers,
    size: number,
  ): QuotaVerdict {
    const group = groupOf(customer);
    this.join(now, group, vm);
    const { beganAt, share, accounts } = this.#of(now, group);
    let account = accounts.get(customer);
    if (!account) {
      // Nobody else gave anything out since this VM owns the group.
      account = new QuotaAccount(beganAt, this.#bounds);
      accounts.set(customer, account);
    }
    return account.take(now, quota, share.part(members), size);
  }

  giveBack(customer: string, size: number): void {
    this.#groups.get(groupOf(customer))?.accounts.get(customer)?.giveBack(size);
  }

  /** This VM stood still: others owned its groups meanwhile, and what they gave out is unknown. */
  reset(): void {
    this.#groups.clear();
  }

  #of(now: number, group: number): Group {
    const known = this.#groups.get(group);
    if (known) return known;
    const fresh: Group = {
      beganAt: now,
      share: new QuotaShare(),
      accounts: new Map(),
      askedAt: now,
    };
    this.#groups.set(group, fresh);
    return fresh;
  }
}
