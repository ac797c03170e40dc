/** Strategies to enforce a customer's quota across a fleet: the one that the router uses, and alternatives to compare it with. */

import { groupOf } from '../../../src/core/customers/groups';
import type { Quota } from '../../../src/core/customers/types';
import { isPresent } from '../../../src/core/membership/types';
import type { QuotaBounds, QuotaRequest } from '../../../src/core/quotas/account';
import { QuotaAccount } from '../../../src/core/quotas/account';
import { QuotaAccounts } from '../../../src/core/quotas/accounts';
import { ownersToAsk } from '../../../src/core/quotas/asked';
import type { QuotaMembers } from '../../../src/core/quotas/share';
import { LazyMap } from '../../../src/utils/lazymap';
import type { QuotaNetwork, QuotaVm, QuotaStrategy } from './quotafleet';

const ASK_TIMEOUT_MS = 150;
const SKIP_OWNER_MS = 1500;
const REVIEW_MS = 250;

function membersOf({ membership }: QuotaVm): QuotaMembers {
  const { all } = membership;
  return {
    known: all.filter(({ state }) => state !== 'left').length,
    present: new Set(all.filter(isPresent).map(({ vm }) => vm)),
  };
}

/** A VM that may own accounts. */
interface Candidate {
  readonly vm: string;
  readonly domain: string;
  readonly owner: QuotaVm;
}

function domainOf({ membership }: QuotaVm): string {
  return membership.self.domain;
}

function candidateOf(owner: QuotaVm): Candidate {
  return { vm: owner.name, domain: domainOf(owner), owner };
}

/** Asks the owner of the account for each request. The router uses this strategy. */
export class OwnerStrategy implements QuotaStrategy {
  readonly #network: QuotaNetwork;

  readonly #bounds: QuotaBounds;

  readonly #accounts = new Map<QuotaVm, QuotaAccounts>();

  readonly #skippedOwners = new Map<QuotaVm, Map<QuotaVm, number>>();

  readonly #owners = new Map<QuotaVm, QuotaVm>();

  readonly #reviewing = new Set<QuotaVm>();

  /** When each VM last renewed its membership at its owner. */
  readonly #lastRenewedAt = new Map<QuotaVm, number>();

  constructor(network: QuotaNetwork, bounds: QuotaBounds) {
    this.#network = network;
    this.#bounds = bounds;
  }

  ask(
    vm: QuotaVm,
    customer: string,
    quota: Quota,
    size: number,
    done: (granted: boolean) => void,
    rank = 0,
  ): void {
    const owners = ownersToAsk(this.#ownersOf(vm, customer).map(candidateOf), domainOf(vm));
    const asked = owners.map(({ owner }) => owner);
    this.#askOwner(vm, customer, quota, { size, rank }, asked, done);
  }

  membersChanged(vm: QuotaVm): void {
    if (!this.#reviewing.has(vm)) this.#scheduleReview(vm);
    this.#review(vm);
  }

  /** Reviews a VM's owner periodically, as owners are skipped and retried without a change of the members. */
  #scheduleReview(vm: QuotaVm): void {
    this.#reviewing.add(vm);
    this.#network.later(vm, REVIEW_MS, () => {
      this.#review(vm);
      this.#scheduleReview(vm);
    });
  }

  #review(vm: QuotaVm): void {
    const network = this.#network;
    const group = groupOf('ada');
    const [owner] = this.#ownersOf(vm, 'ada');
    this.#accountsOf(vm).setOwned(network.now, new Set(owner === vm ? [group] : []));
    const before = this.#owners.get(vm);
    const isDue =
      before !== owner ||
      network.now - (this.#lastRenewedAt.get(vm) ?? 0) >
        this.#accountsOf(vm).renewIntervalMs(membersOf(vm));
    if (!owner || !isDue) return;
    this.#owners.set(vm, owner);
    this.#lastRenewedAt.set(vm, network.now);
    this.#join(vm, owner, group);
    if (before === owner) return;
    if (before === vm) this.#accountsOf(vm).leave(group, vm.name);
    else if (before) {
      network.send(vm, before, () => this.#accountsOf(before).leave(group, vm.name));
    }
  }

  /** Announces to an owner that a VM uses it. If the owner does not confirm, the VM skips it and reviews its owner. */
  #join(vm: QuotaVm, owner: QuotaVm, group: string): void {
    const network = this.#network;
    if (owner === vm) {
      this.#accountsOf(owner).join(network.now, group, vm.name);
      return;
    }
    let open = true;
    network.send(vm, owner, () => {
      this.#accountsOf(owner).join(network.now, group, vm.name);
      network.send(owner, vm, () => {
        open = false;
      });
    });
    network.later(vm, ASK_TIMEOUT_MS, () => {
      if (!open || this.#owners.get(vm) !== owner) return;
      // Skips an owner that does not answer and joins the next one.
      this.#skippedOwnersOf(vm).set(owner, network.now + SKIP_OWNER_MS);
      this.#review(vm);
    });
  }

  resumed(vm: QuotaVm): void {
    this.#accountsOf(vm).reset();
    this.#owners.delete(vm);
    this.#review(vm);
  }

  #askOwner(
    vm: QuotaVm,
    customer: string,
    quota: Quota,
    request: QuotaRequest,
    [owner, ...further]: readonly QuotaVm[],
    done: (granted: boolean) => void,
  ): void {
    const network = this.#network;
    if (!owner || owner === vm) {
      done(this.#take(vm, vm, customer, quota, request));
      return;
    }
    let open = true;
    network.send(vm, owner, () => {
      const granted = this.#take(owner, vm, customer, quota, request);
      network.send(owner, vm, () => {
        if (open) done(granted);
        if (open && this.#owners.get(vm) === owner) this.#lastRenewedAt.set(vm, network.now);
        open = false;
      });
    });
    network.later(vm, ASK_TIMEOUT_MS, () => {
      if (!open) return;
      open = false;
      this.#skippedOwnersOf(vm).set(owner, network.now + SKIP_OWNER_MS);
      this.#askOwner(vm, customer, quota, request, further, done);
    });
  }

  #take(
    owner: QuotaVm,
    vm: QuotaVm,
    customer: string,
    quota: Quota,
    request: QuotaRequest,
  ): boolean {
    const { now } = this.#network;
    const accounts = this.#accountsOf(owner);
    const key = { group: groupOf(customer), subject: customer };
    return accounts.take(now, vm.name, key, quota, membersOf(owner), request).granted;
  }

  #ownersOf(vm: QuotaVm, customer: string): readonly QuotaVm[] {
    const { now } = this.#network;
    const ranked = this.#network.ranked(vm, groupOf(customer));
    const isShunned = (one: QuotaVm): boolean => (this.#skippedOwnersOf(vm).get(one) ?? 0) > now;
    return [...ranked.filter((one) => !isShunned(one)), ...ranked.filter(isShunned)];
  }

  #skippedOwnersOf(vm: QuotaVm): Map<QuotaVm, number> {
    const known = this.#skippedOwners.get(vm) ?? new Map<QuotaVm, number>();
    this.#skippedOwners.set(vm, known);
    return known;
  }

  #accountsOf(vm: QuotaVm): QuotaAccounts {
    const known = this.#accounts.get(vm) ?? new QuotaAccounts(this.#bounds);
    this.#accounts.set(vm, known);
    return known;
  }
}

/** Time of recent use that a slice covers, in milliseconds. */
const SLICE_MS = 500;
/** Time after which a slice expires, in milliseconds. */
const SLICE_TTL_MS = 1000;

/** VMs reserve slices of the quota from the owner by their recent use, and decide locally while a slice lasts. */
export class SliceStrategy implements QuotaStrategy {
  readonly #network: QuotaNetwork;

  readonly #owners: OwnerStrategy;

  readonly #slices = new Map<
    QuotaVm,
    { left: number; until: number; usedAt: number; perMs: number }
  >();

  constructor(network: QuotaNetwork, bounds: QuotaBounds) {
    this.#network = network;
    this.#owners = new OwnerStrategy(network, bounds);
  }

  ask(
    vm: QuotaVm,
    customer: string,
    quota: Quota,
    size: number,
    done: (granted: boolean) => void,
  ): void {
    const { now } = this.#network;
    const slice = this.#slices.get(vm) ?? { left: 0, until: 0, usedAt: now, perMs: 0 };
    this.#slices.set(vm, slice);
    const weight = 1 - Math.exp(-(now - slice.usedAt) / SLICE_TTL_MS);
    slice.perMs += weight * (size / Math.max(1, now - slice.usedAt) - slice.perMs);
    slice.usedAt = now;
    if (now < slice.until && slice.left >= size) {
      slice.left -= size;
      done(true);
      return;
    }
    const sliceSize = Math.max(size, slice.perMs * SLICE_MS);
    this.#owners.ask(vm, customer, quota, sliceSize, (granted) => {
      if (granted) {
        slice.left = sliceSize - size;
        slice.until = this.#network.now + SLICE_TTL_MS;
        done(true);
      } else if (sliceSize > size) this.#owners.ask(vm, customer, quota, size, done);
      else done(false);
    });
  }

  membersChanged(vm: QuotaVm): void {
    this.#owners.membersChanged(vm);
  }

  resumed(vm: QuotaVm): void {
    this.#owners.resumed(vm);
  }
}

/** Interval between gossip rounds, in milliseconds. */
const GOSSIP_MS = 300;
const GOSSIP_FANOUT = 3;

/** Each VM applies the whole quota to its own use and the use reported by other VMs through gossip. */
export class GossipStrategy implements QuotaStrategy {
  readonly #network: QuotaNetwork;

  /** Total use of each VM as last seen by each VM. */
  readonly #usage = new Map<QuotaVm, Map<string, number>>();

  readonly #levels = new Map<QuotaVm, { level: number; at: number; counted: number }>();

  readonly #gossiping = new Set<QuotaVm>();

  constructor(network: QuotaNetwork) {
    this.#network = network;
  }

  ask(
    vm: QuotaVm,
    _customer: string,
    quota: Quota,
    size: number,
    done: (granted: boolean) => void,
  ): void {
    const { now } = this.#network;
    const used = this.#usageSeenBy(vm);
    const state = this.#levels.get(vm) ?? { level: quota.burst, at: now, counted: 0 };
    this.#levels.set(vm, state);
    const sum = [...used.values()].reduce((all, one) => all + one, 0);
    const refilled = state.level + ((now - state.at) * quota.ratePerS) / 1000;
    state.level = Math.min(quota.burst, refilled - (sum - state.counted));
    state.counted = sum;
    state.at = now;
    const granted = state.level >= size;
    if (granted) used.set(vm.name, (used.get(vm.name) ?? 0) + size);
    done(granted);
    if (!this.#gossiping.has(vm)) this.#gossip(vm);
  }

  #usageSeenBy(vm: QuotaVm): Map<string, number> {
    const known = this.#usage.get(vm) ?? new Map<string, number>();
    this.#usage.set(vm, known);
    return known;
  }

  #gossip(vm: QuotaVm): void {
    this.#gossiping.add(vm);
    const { vms, random } = this.#network;
    for (let i = 0; i < GOSSIP_FANOUT; i += 1) {
      const other = vms[Math.floor(random() * vms.length)] as QuotaVm;
      const reported = [...this.#usageSeenBy(vm)];
      this.#network.send(vm, other, () => {
        const known = this.#usageSeenBy(other);
        for (const [name, sum] of reported) known.set(name, Math.max(sum, known.get(name) ?? 0));
        if (!this.#gossiping.has(other)) this.#gossip(other);
      });
    }
    this.#network.later(vm, GOSSIP_MS, () => this.#gossip(vm));
  }
}

/** Each VM grants an equal share of the quota locally. */
export class EqualShareStrategy implements QuotaStrategy {
  readonly #network: QuotaNetwork;

  readonly #accounts: (vm: QuotaVm) => QuotaAccount;

  constructor(network: QuotaNetwork, bounds: QuotaBounds) {
    this.#network = network;
    const accounts = new LazyMap<QuotaVm, QuotaAccount>(
      () => new QuotaAccount(network.now, bounds),
    );
    this.#accounts = (vm: QuotaVm) => accounts.get(vm);
  }

  ask(
    vm: QuotaVm,
    _customer: string,
    quota: Quota,
    size: number,
    done: (granted: boolean) => void,
  ): void {
    const { known } = membersOf(vm);
    done(this.#accounts(vm).take(this.#network.now, quota, 1 / known, { size }).granted);
  }
}

/** Requests per second for each VM that may send. */
const RATE_PER_SENDER = 5;

/** A few VMs, selected by hash, grant an equal share each; the others grant nothing. */
export class SenderStrategy implements QuotaStrategy {
  readonly #network: QuotaNetwork;

  readonly #accounts: (vm: QuotaVm) => QuotaAccount;

  constructor(network: QuotaNetwork, bounds: QuotaBounds) {
    this.#network = network;
    const accounts = new LazyMap<QuotaVm, QuotaAccount>(
      () => new QuotaAccount(network.now, bounds),
    );
    this.#accounts = (vm: QuotaVm) => accounts.get(vm);
  }

  ask(
    vm: QuotaVm,
    customer: string,
    quota: Quota,
    size: number,
    done: (granted: boolean) => void,
  ): void {
    const ranked = this.#network.ranked(vm, customer);
    const count = Math.min(
      ranked.length,
      Math.max(1, Math.round(quota.ratePerS / RATE_PER_SENDER)),
    );
    const isSender = ranked.slice(0, count).includes(vm);
    const { now } = this.#network;
    done(isSender && this.#accounts(vm).take(now, quota, 1 / count, { size }).granted);
  }
}
