/**
 * The VMs that own accounts. Each VM chooses an owner per group of accounts by rank, registers with
 * it and asks it to charge accounts. An owner grants the shares of the VMs that are registered with it.
 */

import type { Logger } from 'pino';
import { z } from 'zod';

import type { Failure } from '../../core/failure';
import { toFailure } from '../../core/failure';
import type { Member } from '../../core/membership/types';
import { isPresent } from '../../core/membership/types';
import { PauseDetector } from '../../core/pause';
import type { QuotaAccounts } from '../../core/quotas/accounts';
import { ownersToAsk } from '../../core/quotas/asked';
import type { QuotaMembers } from '../../core/quotas/share';
import { RetryDelays } from '../../core/retrydelays';
import { LogRateLimiter } from '../loglimiter';
import type { Metrics } from '../metrics';
import type { RouterFleet } from './fleet';

/** Dependencies of the choice of owners. */
export interface AccountOwnersContext {
  readonly vm: string;
  readonly fleet: RouterFleet;
  /** The accounts that this VM owns, or that other VMs assume it to own. */
  readonly accounts: QuotaAccounts;
  /** Groups that have accounts now; owners are ranked by the group's name. */
  readonly groups: () => readonly string[];
  /** Names of the calls between VMs and of the metrics. */
  readonly names: { readonly join: string; readonly unanswered: string };
  readonly metrics: Metrics;
  readonly log: Logger;
}

/**
 * Time that an owner has to answer, in milliseconds: many round trips, but a small part of a
 * request's latency target.
 */
const CALL_TIMEOUT_MS = 150;
/**
 * Time for which an owner that did not answer a registration is ranked last and gets none. The first
 * is as long as the membership takes to detect that a VM is dead.
 */
const REGISTRATION_DELAYS = { firstMs: 1500, maxMs: 6000 };
/** Log lines about registrations without an answer, per second. */
const UNANSWERED_LINES_PER_S = 2;
/** Period of the check whether this process was paused, in milliseconds. */
const CHECK_MS = 250;
/** Most groups in one message; more than the groups of customers or the services of a deployment. */
const MAX_GROUPS = 2000;

/** Registers the sender with the receiver as the owner of these groups, or ends the registration. */
const joinSchema = z.object({
  groups: z.array(z.string()).max(MAX_GROUPS),
  leaves: z.boolean().default(false),
});

/** The owner that this VM uses for a group. */
interface CurrentOwner {
  readonly vm: string;
  readonly address: string;
  /** A VM that was restarted has lost all registrations. */
  readonly incarnation: number;
  /** When this VM last contacted the owner, by a registration or by a call of `ask`. */
  contactedAt: number;
}

/** Groups by the address of the owner to which a change of registration is sent. */
class GroupsByAddress {
  readonly byAddress = new Map<string, string[]>();

  add(address: string, group: string): void {
    const groups = this.byAddress.get(address) ?? [];
    groups.push(group);
    this.byAddress.set(address, groups);
  }
}

/** Chooses the owner of each group and registers with it. */
export class AccountOwners {
  readonly #context: AccountOwnersContext;

  readonly #pauseWatch = new PauseDetector(CHECK_MS);

  readonly #timer: NodeJS.Timeout;

  /** The current owner by group. */
  readonly #owners = new Map<string, CurrentOwner>();

  /** Delays of registrations, by the instance of the owner. */
  readonly #delays = new RetryDelays(REGISTRATION_DELAYS);

  readonly #lines: LogRateLimiter;

  #members: QuotaMembers | undefined;

  constructor(context: AccountOwnersContext) {
    this.#context = context;
    this.#lines = new LogRateLimiter(UNANSWERED_LINES_PER_S, (lines) =>
      context.log.info({ lines }, 'More registrations were not answered.'),
    );
    this.#timer = setInterval(() => this.#check(performance.now()), CHECK_MS).unref();
  }

  /** Stops the timer. */
  stop(): void {
    clearInterval(this.#timer);
  }

  /**
   * The members among which accounts are shared; cached until the membership changes, since each
   * attempt needs them.
   */
  get members(): QuotaMembers {
    const { all, census } = this.#context.fleet;
    const seen = all.filter(({ state }) => state !== 'left').length;
    this.#members ??= {
      known: Math.max(seen, census.staying(performance.now())),
      present: new Set(all.filter(isPresent).map(({ vm }) => vm)),
    };
    return this.#members;
  }

  /** Owners by group, for operators. */
  snapshot(): Readonly<Record<string, string>> {
    return Object.fromEntries([...this.#owners].map(([group, { vm }]) => [group, vm]));
  }

  /** Handles a registration of another VM; throws if the message does not fit. */
  onJoin(now: number, vm: string, params: unknown): void {
    const { accounts } = this.#context;
    const { groups, leaves } = joinSchema.parse(params);
    for (const group of groups) {
      if (leaves) accounts.leave(group, vm);
      else accounts.join(now, group, vm);
    }
  }

  /** Must be called when the members or the groups changed: other VMs may own accounts now. */
  refresh(now: number): void {
    this.#members = undefined;
    this.#updateOwners(now);
  }

  /**
   * Resolves to the answer of the first owner of a group that answers; undefined if this VM must
   * decide itself.
   */
  async ask<T>(
    group: string,
    method: string,
    params: unknown,
    decode: (answer: unknown) => T,
  ): Promise<T | undefined> {
    const { vm, fleet, log, metrics, names } = this.#context;
    const ranked = this.#ownersOf(performance.now(), group);
    for (const owner of ownersToAsk(ranked, fleet.self.domain)) {
      if (owner.vm === vm) return undefined;
      try {
        const answer = decode(await fleet.call(owner.address, method, params, CALL_TIMEOUT_MS));
        this.#renewed(performance.now(), group, owner);
        return answer;
      } catch (error) {
        fleet.deprioritize(performance.now(), owner.vm);
        metrics.count(names.unanswered);
        log.debug({ group, owner: owner.vm }, toFailure(error).line);
      }
    }
    return undefined;
  }

  /**
   * Calls the owner of a group without waiting for the answer; returns false if this VM is the
   * owner itself.
   */
  notify(group: string, method: string, params: unknown): boolean {
    const { vm, fleet, log } = this.#context;
    const [owner] = this.#ownersOf(performance.now(), group);
    if (!owner || owner.vm === vm) return false;
    fleet.call(owner.address, method, params, CALL_TIMEOUT_MS).catch((error) => {
      log.debug({ owner: owner.vm, method }, toFailure(error).line);
    });
    return true;
  }

  /** Records that an owner answered `ask`, which renews the registration as well. */
  #renewed(now: number, group: string, owner: Member): void {
    this.#delays.succeeded(instanceOf(owner));
    const state = this.#owners.get(group);
    if (state && isSameOwner(owner, state)) state.contactedAt = now;
  }

  /**
   * Chooses the owners again. Registers with new owners, renews old registrations and ends those
   * with previous owners, so that each owner knows which VMs' shares it grants.
   */
  #updateOwners(now: number): void {
    const { vm, accounts } = this.#context;
    const owned = new Set<string>();
    const joined = new GroupsByAddress();
    const left = new GroupsByAddress();
    const groups = this.#context.groups();
    for (const group of groups) {
      const [owner] = this.#ownersOf(now, group);
      const before = this.#owners.get(group);
      if (owner?.vm === vm) owned.add(group);
      if (owner && this.#isDue(now, owner, before) && !this.#isDelayed(now, owner)) {
        const { vm: name, address, incarnation } = owner;
        this.#owners.set(group, { vm: name, address, incarnation, contactedAt: now });
        joined.add(address, group);
        if (before && before.vm !== name) left.add(before.address, group);
      }
    }
    for (const group of this.#owners.keys()) {
      if (!groups.includes(group)) this.#owners.delete(group);
    }
    accounts.setOwned(now, owned);
    for (const [address, moved] of left.byAddress) this.#sendJoin(now, address, moved, true);
    for (const [address, moved] of joined.byAddress) this.#sendJoin(now, address, moved, false);
  }

  /** Whether to register with an owner, for the first time or again. */
  #isDue(now: number, owner: Member, before: CurrentOwner | undefined): boolean {
    if (!before || !isSameOwner(owner, before)) return true;
    return now - before.contactedAt > this.#context.accounts.renewIntervalMs(this.members);
  }

  #sendJoin(now: number, address: string, groups: readonly string[], leaves: boolean): void {
    const { vm, fleet, names, log } = this.#context;
    const message = { groups, leaves };
    if (address === fleet.self.address) {
      this.onJoin(now, vm, message);
      return;
    }
    fleet
      .call(address, names.join, message, CALL_TIMEOUT_MS)
      .then(() => {
        if (!leaves) this.#onRegistered(address, groups);
      })
      .catch((error) => {
        log.debug({ address, groups, leaves }, toFailure(error).line);
        if (!leaves) this.#onUnanswered(performance.now(), address, groups, toFailure(error));
      });
  }

  #onRegistered(address: string, groups: readonly string[]): void {
    for (const owner of this.#chosenAt(address, groups)) this.#delays.succeeded(instanceOf(owner));
  }

  /** Switches to the next owner when one does not answer, before the membership detects its failure. */
  #onUnanswered(
    now: number,
    address: string,
    groups: readonly string[],
    { line: detail }: Failure,
  ): void {
    const { metrics, names, log } = this.#context;
    metrics.count(names.unanswered);
    for (const owner of this.#chosenAt(address, groups)) {
      this.#delays.failed(now, instanceOf(owner), Math.random());
      owner.contactedAt = -Infinity;
    }
    if (this.#lines.tryAcquire(now)) {
      const call = names.join;
      log.info(
        { call, address, groups: groups.length, detail },
        'A registration was not answered.',
      );
    }
    this.#updateOwners(now);
  }

  /** The chosen owners of some groups that are at an address. */
  #chosenAt(address: string, groups: readonly string[]): readonly CurrentOwner[] {
    const chosen = groups.flatMap((group) => this.#owners.get(group) ?? []);
    return chosen.filter((owner) => owner.address === address);
  }

  #isDelayed(now: number, owner: Pick<Member, 'vm' | 'incarnation'>): boolean {
    return !this.#delays.isEmpty && this.#delays.isWaiting(now, instanceOf(owner));
  }

  #ownersOf(now: number, group: string): readonly Member[] {
    const owners = this.#context.fleet.ownersOf(now, group);
    const delayed = owners.filter((owner) => this.#isDelayed(now, owner));
    if (delayed.length === 0) return owners;
    return [...owners.filter((owner) => !delayed.includes(owner)), ...delayed];
  }

  #check(now: number): void {
    if (!this.#delays.isEmpty) {
      const members = new Set(this.#context.fleet.all.map(instanceOf));
      this.#delays.retain((instance) => members.has(instance));
    }
    if (this.#pauseWatch.tick(now, Date.now())) {
      this.#context.accounts.reset();
      this.#owners.clear();
    }
    // The number of VMs that may run changes without a change of the members.
    this.#members = undefined;
    // The ranking of owners that did not answer does, too.
    if (this.#context.groups().length > 0) this.#updateOwners(now);
  }
}

/** Key of one instance of a VM. */
function instanceOf({ vm, incarnation }: Pick<Member, 'vm' | 'incarnation'>): string {
  return `${vm} ${incarnation}`;
}

function isSameOwner(owner: Member, before: CurrentOwner): boolean {
  return owner.vm === before.vm && owner.incarnation === before.incarnation;
}
