/** The VMs that own accounts, as one VM sees them: asks them in turn, and tells them that it goes by them. */

import type { Logger } from 'pino';
import { z } from 'zod';

import { toFailure } from '../../core/failure';
import type { Member } from '../../core/membership/types';
import { isPresent } from '../../core/membership/types';
import { PauseWatch } from '../../core/pause';
import type { QuotaAccounts } from '../../core/quotas/accounts';
import type { QuotaMembers } from '../../core/quotas/share';
import type { Metrics } from '../metrics';
import type { RouterFleet } from './fleet';

/** What the owners of accounts are worked out from. */
export interface AccountContext {
  readonly vm: string;
  readonly fleet: RouterFleet;
  /** The accounts that this VM owns, or is taken for the owner of. */
  readonly accounts: QuotaAccounts;
  /** Groups that have accounts now; a group's name is what its owners are ranked by. */
  readonly groups: () => readonly string[];
  /** Names of the calls between VMs and of the metrics. */
  readonly names: { readonly join: string; readonly unanswered: string };
  readonly metrics: Metrics;
  readonly log: Logger;
}

/** Time that an owner has to answer, in milliseconds: many round trips, and little of a request's aim. */
const ASK_LIMIT_MS = 150;
/** Owners asked for one run before this VM goes by its own part. */
const OWNERS_ASKED = 2;
/** Period of looking whether this VM stood still, in milliseconds. */
const LOOK_MS = 250;
/** Most groups in one message: more than there are customers' groups, or services of a deployment. */
const GROUPS_MOST = 2000;

/** Tells that the sender goes by the receiver for these groups. */
const joinSchema = z.object({ groups: z.array(z.string().max(200)).max(GROUPS_MOST) });

/** Owners by group. */
export class AccountOwners {
  readonly #context: AccountContext;

  readonly #pauses = new PauseWatch(LOOK_MS);

  readonly #timer: NodeJS.Timeout;

  /** Whom this VM went by last, by group. */
  readonly #owners = new Map<string, string>();

  #members: QuotaMembers | undefined;

  constructor(context: AccountContext) {
    this.#context = context;
    this.#timer = setInterval(() => this.#look(performance.now()), LOOK_MS).unref();
  }

  stop(): void {
    clearInterval(this.#timer);
  }

  /** Worked out once for each membership: it is needed for each run. */
  get members(): QuotaMembers {
    const { all } = this.#context.fleet;
    this.#members ??= {
      known: all.filter(({ state }) => state !== 'left').length,
      present: new Set(all.filter(isPresent).map(({ vm }) => vm)),
    };
    return this.#members;
  }

  /** By whom this VM goes, for operators. */
  beliefs(): Readonly<Record<string, string>> {
    return Object.fromEntries(this.#owners);
  }

  onJoin(now: number, vm: string, params: unknown): void {
    for (const group of joinSchema.parse(params).groups) {
      this.#context.accounts.join(now, group, vm);
    }
  }

  /** The members or the groups changed: others may own accounts now. Each VM says by whom it goes, so that an owner knows whose parts it gives out. */
  changed(now: number): void {
    this.#members = undefined;
    const { vm, fleet, accounts } = this.#context;
    const owned = new Set<string>();
    const joined = new Map<Member, string[]>();
    for (const group of this.#context.groups()) {
      const [owner] = fleet.ownersOf(now, group);
      if (owner?.vm === vm) owned.add(group);
      if (owner && this.#owners.get(group) !== owner.vm) {
        this.#owners.set(group, owner.vm);
        joined.set(owner, [...(joined.get(owner) ?? []), group]);
      }
    }
    accounts.own(now, owned);
    for (const [owner, groups] of joined) this.#join(now, owner, groups);
  }

  /** The answer of the first owner of a group that answers; undefined if this VM is to answer itself. */
  async ask<T>(
    group: string,
    method: string,
    params: unknown,
    decode: (answer: unknown) => T,
  ): Promise<T | undefined> {
    const { vm, fleet, log, metrics, names } = this.#context;
    for (const owner of fleet.ownersOf(performance.now(), group).slice(0, OWNERS_ASKED)) {
      if (owner.vm === vm) return undefined;
      try {
        return decode(await fleet.call(owner.address, method, params, ASK_LIMIT_MS));
      } catch (error) {
        fleet.shun(performance.now(), owner.vm);
        metrics.count(names.unanswered);
        log.debug({ group, owner: owner.vm }, toFailure(error).line);
      }
    }
    return undefined;
  }

  /** Tells something to the owner of a group; whether that is another VM. */
  tell(group: string, method: string, params: unknown): boolean {
    const { vm, fleet, log } = this.#context;
    const [owner] = fleet.ownersOf(performance.now(), group);
    if (!owner || owner.vm === vm) return false;
    fleet.call(owner.address, method, params, ASK_LIMIT_MS).catch((error) => {
      log.debug({ owner: owner.vm, method }, toFailure(error).line);
    });
    return true;
  }

  #join(now: number, owner: Member, groups: readonly string[]): void {
    const { vm, fleet, accounts, names, log } = this.#context;
    if (owner.vm === vm) {
      for (const group of groups) accounts.join(now, group, vm);
      return;
    }
    fleet.call(owner.address, names.join, { groups }, ASK_LIMIT_MS).catch((error) => {
      log.debug({ owner: owner.vm, groups }, toFailure(error).line);
      // Said again at the next look.
      for (const group of groups) this.#owners.delete(group);
    });
  }

  #look(now: number): void {
    if (this.#pauses.tick(now, Date.now())) {
      this.#context.accounts.reset();
      this.#owners.clear();
    }
    const isOpen = this.#context.groups().some((group) => !this.#owners.has(group));
    if (isOpen) this.changed(now);
  }
}
