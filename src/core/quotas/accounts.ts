/** The accounts for which one VM acts as owner, in groups that have one owner each. */

import type { QuotaBounds, QuotaDecision, QuotaRequest, Rate } from './account';
import { QuotaAccount } from './account';
import type { QuotaMembers } from './share';
import { QuotaShare, renewIntervalMs } from './share';

/** Time for which a group that this VM does not own is kept after the last request for it, in milliseconds. */
const FORGET_MS = 3000;

/** Identifies an account. */
export interface QuotaKey {
  /** Group whose accounts have one owner. */
  readonly group: string;
  readonly subject: string;
}

interface Group {
  readonly startedAt: number;
  readonly share: QuotaShare;
  readonly accounts: Map<string, QuotaAccount>;
  askedAt: number;
}

/** Accounts by group and subject; the subject is the customer or runner that has the quota. */
export class QuotaAccounts {
  readonly #bounds: QuotaBounds;

  readonly #groups = new Map<string, Group>();

  constructor(bounds: QuotaBounds) {
    this.#bounds = bounds;
  }

  /** Number of accounts. */
  get size(): number {
    return [...this.#groups.values()].reduce((sum, { accounts }) => sum + accounts.size, 0);
  }

  /** Time after which a VM renews its announcement to its owner, in milliseconds. */
  renewIntervalMs(members: QuotaMembers): number {
    return renewIntervalMs(members, this.#bounds.windowMs);
  }

  /** Sets the groups that this VM owns by the members that it knows, and drops unused other ones. */
  setOwned(now: number, owned: ReadonlySet<string>): void {
    for (const group of owned) this.#groupOf(now, group);
    for (const [group, { askedAt }] of this.#groups) {
      if (!owned.has(group) && now - askedAt > FORGET_MS) this.#groups.delete(group);
    }
  }

  /** Records that a VM uses this one as the owner of a group. */
  join(now: number, group: string, vm: string): void {
    const known = this.#groupOf(now, group);
    known.askedAt = now;
    known.share.join(now, vm);
  }

  /** Records that a VM uses another one as the owner of a group. */
  leave(group: string, vm: string): void {
    this.#groups.get(group)?.share.leave(vm);
  }

  /** Debits a run for a VM, which thereby contributes its part of the quota to this owner. */
  take(
    now: number,
    vm: string,
    key: QuotaKey,
    quota: Rate,
    members: QuotaMembers,
    request: QuotaRequest,
  ): QuotaDecision {
    this.join(now, key.group, vm);
    const { share, account } = this.#accountOf(now, key);
    return account.take(now, quota, share.part(now, members), request);
  }

  /** Time until a run of that size could start, in milliseconds. */
  waitMs(now: number, key: QuotaKey, quota: Rate, members: QuotaMembers, size: number): number {
    const { share, account } = this.#accountOf(now, key);
    return account.waitMs(now, quota, share.part(now, members), size);
  }

  /** Part of the quotas of a group that belongs to the VMs that use this owner, from 0 to 1. */
  part(now: number, group: string, members: QuotaMembers): number {
    return this.#groupOf(now, group).share.part(now, members);
  }

  /** Drops the accounts of subjects that no longer have a quota. */
  retain(hasQuota: (subject: string) => boolean): void {
    for (const { accounts } of this.#groups.values()) {
      for (const subject of accounts.keys()) if (!hasQuota(subject)) accounts.delete(subject);
    }
  }

  /** Credits a run that did not take place. */
  refund({ group, subject }: QuotaKey, size: number): void {
    this.#groups.get(group)?.accounts.get(subject)?.refund(size);
  }

  /** Drops all accounts after this VM was paused: other VMs owned its groups meanwhile, and what they granted is unknown. */
  reset(): void {
    this.#groups.clear();
  }

  #accountOf(
    now: number,
    { group, subject }: QuotaKey,
  ): { readonly share: QuotaShare; readonly account: QuotaAccount } {
    const { startedAt, share, accounts } = this.#groupOf(now, group);
    let account = accounts.get(subject);
    if (!account) {
      // No other VM has granted anything since this VM owns the group.
      account = new QuotaAccount(startedAt, this.#bounds);
      accounts.set(subject, account);
    }
    return { share, account };
  }

  #groupOf(now: number, group: string): Group {
    const known = this.#groups.get(group);
    if (known) return known;
    const created: Group = {
      startedAt: now,
      share: new QuotaShare(this.#bounds.windowMs),
      accounts: new Map(),
      askedAt: now,
    };
    this.#groups.set(group, created);
    return created;
  }
}
