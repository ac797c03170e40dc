/** The VMs that own accounts, as one VM sees them: asks them in turn, and tells them that it goes by them. */

import type { Logger } from 'pino';
import { z } from 'zod';

import { toFailure } from '../../core/failure';
import type { Member } from '../../core/membership/types';
import { isPresent } from '../../core/membership/types';
import { PauseDetector } from '../../core/pause';
import type { QuotaAccounts } from '../../core/quotas/accounts';
import type { QuotaMembers } from '../../core/quotas/share';
import { renewIntervalMs } from '../../core/quotas/share';
import type { Metrics } from '../metrics';
import type { RouterFleet } from './fleet';

/** What the owners of accounts are worked out from. */
export interface AccountOwnersContext {
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
/** Time for which an owner that did not answer a word of this VM is passed over, in milliseconds. */
const PASSED_MS = 1500;
/** Period of looking whether this VM stood still, in milliseconds. */
const LOOK_MS = 250;
/** Most groups in one message: more than there are customers' groups, or services of a deployment. */
const GROUPS_MOST = 2000;

/** Tells that the sender goes by the receiver for these groups, or no longer. */
const joinSchema = z.object({
  groups: z.array(z.string()).max(GROUPS_MOST),
  leaves: z.boolean().default(false),
});

/** The owner by which this VM goes for a group. */
interface Chosen {
  readonly vm: string;
  readonly address: string;
  /** A VM that was started anew knows of nobody who goes by it. */
  readonly incarnation: number;
  /** When this VM told it last, by a word of its own or by asking. */
  toldAt: number;
}

/** Groups by the address of the owner that is told of them. */
class Moves {
  readonly byAddress = new Map<string, string[]>();

  add(address: string, group: string): void {
    const groups = this.byAddress.get(address) ?? [];
    groups.push(group);
    this.byAddress.set(address, groups);
  }
}

/** Owners by group. */
export class AccountOwners {
  readonly #context: AccountOwnersContext;

  readonly #pauses = new PauseDetector(LOOK_MS);

  readonly #timer: NodeJS.Timeout;

  /** Whom this VM went by last, by group. */
  readonly #owners = new Map<string, Chosen>();

  /** Until when owners are passed over that did not answer, by VM. */
  readonly #passedUntil = new Map<string, number>();

  #members: QuotaMembers | undefined;

  constructor(context: AccountOwnersContext) {
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
  snapshot(): Readonly<Record<string, string>> {
    return Object.fromEntries([...this.#owners].map(([group, { vm }]) => [group, vm]));
  }

  onJoin(now: number, vm: string, params: unknown): void {
    const { accounts } = this.#context;
    const { groups, leaves } = joinSchema.parse(params);
    for (const group of groups) {
      if (leaves) accounts.leave(group, vm);
      else accounts.join(now, group, vm);
    }
  }

  /** The members or the groups changed: others may own accounts now. */
  refresh(now: number): void {
    this.#members = undefined;
    this.#review(now);
  }

  /** The answer of the first owner of a group that answers; undefined if this VM is to answer itself. */
  async ask<T>(
    group: string,
    method: string,
    params: unknown,
    decode: (answer: unknown) => T,
  ): Promise<T | undefined> {
    const { vm, fleet, log, metrics, names } = this.#context;
    for (const owner of this.#ownersOf(performance.now(), group).slice(0, OWNERS_ASKED)) {
      if (owner.vm === vm) return undefined;
      try {
        const answer = decode(await fleet.call(owner.address, method, params, ASK_LIMIT_MS));
        this.#told(performance.now(), group, owner);
        return answer;
      } catch (error) {
        fleet.deprioritize(performance.now(), owner.vm);
        metrics.count(names.unanswered);
        log.debug({ group, owner: owner.vm }, toFailure(error).line);
      }
    }
    return undefined;
  }

  /** Tells something to the owner of a group; whether that is another VM. */
  notify(group: string, method: string, params: unknown): boolean {
    const { vm, fleet, log } = this.#context;
    const [owner] = this.#ownersOf(performance.now(), group);
    if (!owner || owner.vm === vm) return false;
    fleet.call(owner.address, method, params, ASK_LIMIT_MS).catch((error) => {
      log.debug({ owner: owner.vm, method }, toFailure(error).line);
    });
    return true;
  }

  /** An owner that is asked knows who goes by it. */
  #told(now: number, group: string, owner: Member): void {
    const state = this.#owners.get(group);
    if (state && isSame(owner, state)) state.toldAt = now;
  }

  /**
   * Works out by whom this VM goes. It says so to the new owner, from time to time, and to the
   * one before, so that each knows whose parts it gives out.
   */
  #review(now: number): void {
    const { vm, accounts } = this.#context;
    const owned = new Set<string>();
    const joined = new Moves();
    const left = new Moves();
    const groups = this.#context.groups();
    for (const group of groups) {
      const [owner] = this.#ownersOf(now, group);
      const before = this.#owners.get(group);
      if (owner?.vm === vm) owned.add(group);
      const isDue = !isSame(owner, before) || now - before.toldAt > renewIntervalMs(this.members);
      if (owner && isDue) {
        const { vm: name, address, incarnation } = owner;
        this.#owners.set(group, { vm: name, address, incarnation, toldAt: now });
        joined.add(address, group);
        if (before && before.vm !== name) left.add(before.address, group);
      }
    }
    for (const group of this.#owners.keys()) {
      if (!groups.includes(group)) this.#owners.delete(group);
    }
    accounts.setOwned(now, owned);
    for (const [address, moved] of left.byAddress) this.#say(now, address, moved, true);
    for (const [address, moved] of joined.byAddress) this.#say(now, address, moved, false);
  }

  #say(now: number, address: string, groups: readonly string[], leaves: boolean): void {
    const { vm, fleet, names, log } = this.#context;
    const message = { groups, leaves };
    if (address === fleet.self.address) {
      this.onJoin(now, vm, message);
      return;
    }
    fleet.call(address, names.join, message, ASK_LIMIT_MS).catch((error) => {
      log.debug({ address, groups, leaves }, toFailure(error).line);
      if (!leaves) this.#unanswered(performance.now(), address, groups);
    });
  }

  /** An owner does not answer: the next one is told, before the membership finds out. */
  #unanswered(now: number, address: string, groups: readonly string[]): void {
    for (const group of groups) {
      const chosen = this.#owners.get(group);
      if (chosen?.address === address) {
        this.#passedUntil.set(chosen.vm, now + PASSED_MS);
        chosen.toldAt = -Infinity;
      }
    }
    this.#review(now);
  }

  #ownersOf(now: number, group: string): readonly Member[] {
    const owners = this.#context.fleet.ownersOf(now, group);
    const isPassed = ({ vm }: Member): boolean => (this.#passedUntil.get(vm) ?? 0) > now;
    if (this.#passedUntil.size === 0 || !owners.some(isPassed)) return owners;
    return [...owners.filter((owner) => !isPassed(owner)), ...owners.filter(isPassed)];
  }

  #look(now: number): void {
    for (const [vm, until] of this.#passedUntil) if (until < now) this.#passedUntil.delete(vm);
    if (this.#pauses.tick(now, Date.now())) {
      this.#context.accounts.reset();
      this.#owners.clear();
    }
    // Owners that did not answer lately are passed over without any change of the members.
    if (this.#context.groups().length > 0) this.#review(now);
  }
}

function isSame(owner: Member | undefined, before: Chosen | undefined): before is Chosen {
  return owner?.vm === before?.vm && owner?.incarnation === before?.incarnation;
}
