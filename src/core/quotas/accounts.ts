/** The accounts that one VM owns, or is taken for the owner of, in groups that have one owner each. */

import type { QuotaBounds, QuotaDecision, Rate } from './account';
import { QuotaAccount } from './account';
import type { QuotaMembers } from './share';
import { QuotaShare } from './share';

/** Time for which a group is remembered that this VM does not own and nobody asks for, in milliseconds. */
const FORGET_MS = 3000;

/** Whose account it is. */
export interface QuotaKey {
  /** The accounts of a group have one owner. */
  readonly group: string;
  readonly subject: string;
}

interface Group {
  readonly beganAt: number;
  readonly share: QuotaShare;
  readonly accounts: Map<string, QuotaAccount>;
  askedAt: number;
}

/** Accounts by group and subject, whose quota it is. */
export class QuotaAccounts {
  readonly #bounds: QuotaBounds;

  readonly #groups = new Map<string, Group>();

  constructor(bounds: QuotaBounds) {
    this.#bounds = bounds;
  }

  /** Subjects with an account here. */
  get size(): number {
    return [...this.#groups.values()].reduce((sum, { accounts }) => sum + accounts.size, 0);
  }

  /** Takes over which groups this VM owns by the members that it knows. */
  setOwned(now: number, owned: ReadonlySet<string>): void {
    for (const group of owned) this.#of(now, group);
    for (const [group, { askedAt }] of this.#groups) {
      if (!owned.has(group) && now - askedAt > FORGET_MS) this.#groups.delete(group);
    }
  }

  /** A VM goes by this one for a group. */
  join(now: number, group: string, vm: string): void {
    const known = this.#of(now, group);
    known.askedAt = now;
    known.share.join(now, vm);
  }

  /** A VM goes by another one for a group. */
  leave(group: string, vm: string): void {
    this.#groups.get(group)?.share.leave(vm);
  }

  /**
   * A VM asks for a run, which brings its part to this one.
   * @param mostWaitMs longest time that the run may wait for its turn
   */
  take(
    now: number,
    vm: string,
    key: QuotaKey,
    quota: Rate,
    members: QuotaMembers,
    size: number,
    mostWaitMs = 0,
  ): QuotaDecision {
    this.join(now, key.group, vm);
    const { share, account } = this.#accountOf(now, key);
    return account.take(now, quota, share.part(now, members), size, mostWaitMs);
  }

  /** Time until a run of that size could begin, in milliseconds. */
  waitMs(now: number, key: QuotaKey, quota: Rate, members: QuotaMembers, size: number): number {
    const { share, account } = this.#accountOf(now, key);
    return account.waitMs(now, quota, share.part(now, members), size);
  }

  /** Drops the accounts of subjects that have no quota any more. */
  retain(hasQuota: (subject: string) => boolean): void {
    for (const { accounts } of this.#groups.values()) {
      for (const subject of accounts.keys()) if (!hasQuota(subject)) accounts.delete(subject);
    }
  }

  refund({ group, subject }: QuotaKey, size: number): void {
    this.#groups.get(group)?.accounts.get(subject)?.refund(size);
  }

  /** This VM stood still: others owned its groups meanwhile, and what they gave out is unknown. */
  reset(): void {
    this.#groups.clear();
  }

  #accountOf(
    now: number,
    { group, subject }: QuotaKey,
  ): { readonly share: QuotaShare; readonly account: QuotaAccount } {
    const { beganAt, share, accounts } = this.#of(now, group);
    let account = accounts.get(subject);
    if (!account) {
      // Nobody else gave anything out since this VM owns the group.
      account = new QuotaAccount(beganAt, this.#bounds);
      accounts.set(subject, account);
    }
    return { share, account };
  }

  #of(now: number, group: string): Group {
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
