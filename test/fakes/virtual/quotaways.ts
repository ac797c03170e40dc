/** Ways to keep a customer's quota over a fleet: the one that is used, and others that it was weighed against. */

import { groupOf } from '../../../src/core/customers/groups';
import type { Quota } from '../../../src/core/customers/types';
import { isPresent } from '../../../src/core/membership/types';
import type { QuotaBounds } from '../../../src/core/quotas/account';
import { QuotaAccount } from '../../../src/core/quotas/account';
import { QuotaAccounts } from '../../../src/core/quotas/accounts';
import type { QuotaMembers } from '../../../src/core/quotas/share';
import { renewIntervalMs } from '../../../src/core/quotas/share';
import { LazyMap } from '../../../src/utils/lazymap';
import type { QuotaNetwork, QuotaVm, QuotaWay } from './quotafleet';

const ASK_LIMIT_MS = 150;
const OWNERS_ASKED = 2;
const SHUNNED_MS = 1500;
const LOOK_MS = 250;

function membersOf({ membership }: QuotaVm): QuotaMembers {
  const { all } = membership;
  return {
    known: all.filter(({ state }) => state !== 'left').length,
    present: new Set(all.filter(isPresent).map(({ vm }) => vm)),
  };
}

/** The owner of the account is asked for each run. */
export class OwnerAsked implements QuotaWay {
  readonly #network: QuotaNetwork;

  readonly #bounds: QuotaBounds;

  readonly #accounts = new Map<QuotaVm, QuotaAccounts>();

  readonly #shunned = new Map<QuotaVm, Map<QuotaVm, number>>();

  readonly #owners = new Map<QuotaVm, QuotaVm>();

  readonly #looking = new Set<QuotaVm>();

  /** When each VM told its owner last. */
  readonly #toldAt = new Map<QuotaVm, number>();

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
  ): void {
    this.#askOne(vm, customer, quota, size, OWNERS_ASKED, done);
  }

  membersChanged(vm: QuotaVm): void {
    if (!this.#looking.has(vm)) this.#look(vm);
    this.#review(vm);
  }

  /** Owners that did not answer are passed over for a while without any change of the members. */
  #look(vm: QuotaVm): void {
    this.#looking.add(vm);
    this.#network.later(vm, LOOK_MS, () => {
      this.#review(vm);
      this.#look(vm);
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
      network.now - (this.#toldAt.get(vm) ?? 0) > renewIntervalMs(membersOf(vm));
    if (!owner || !isDue) return;
    this.#owners.set(vm, owner);
    this.#toldAt.set(vm, network.now);
    this.#join(vm, owner, group);
    if (before === owner) return;
    if (before === vm) this.#accountsOf(vm).leave(group, vm.name);
    else if (before) {
      network.send(vm, before, () => this.#accountsOf(before).leave(group, vm.name));
    }
  }

  /** Says by whom it goes, until that is answered. */
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
    network.later(vm, ASK_LIMIT_MS, () => {
      if (!open || this.#owners.get(vm) !== owner) return;
      // An owner that does not answer is passed over, and the next one is told.
      this.#shunnedBy(vm).set(owner, network.now + SHUNNED_MS);
      this.#review(vm);
    });
  }

  resumed(vm: QuotaVm): void {
    this.#accountsOf(vm).reset();
    this.#owners.delete(vm);
    this.#review(vm);
  }

  #askOne(
    vm: QuotaVm,
    customer: string,
    quota: Quota,
    size: number,
    tries: number,
    done: (granted: boolean) => void,
  ): void {
    const network = this.#network;
    const [owner] = this.#ownersOf(vm, customer);
    if (!owner || owner === vm || tries === 0) {
      done(this.#take(vm, vm, customer, quota, size));
      return;
    }
    let open = true;
    network.send(vm, owner, () => {
      const granted = this.#take(owner, vm, customer, quota, size);
      network.send(owner, vm, () => {
        if (open) done(granted);
        if (open && this.#owners.get(vm) === owner) this.#toldAt.set(vm, network.now);
        open = false;
      });
    });
    network.later(vm, ASK_LIMIT_MS, () => {
      if (!open) return;
      open = false;
      this.#shunnedBy(vm).set(owner, network.now + SHUNNED_MS);
      this.#askOne(vm, customer, quota, size, tries - 1, done);
    });
  }

  #take(owner: QuotaVm, vm: QuotaVm, customer: string, quota: Quota, size: number): boolean {
    const { now } = this.#network;
    const accounts = this.#accountsOf(owner);
    const key = { group: groupOf(customer), subject: customer };
    return accounts.take(now, vm.name, key, quota, membersOf(owner), size).granted;
  }

  #ownersOf(vm: QuotaVm, customer: string): readonly QuotaVm[] {
    const { now } = this.#network;
    const ranked = this.#network.ranked(vm, groupOf(customer));
    const isShunned = (one: QuotaVm): boolean => (this.#shunnedBy(vm).get(one) ?? 0) > now;
    return [...ranked.filter((one) => !isShunned(one)), ...ranked.filter(isShunned)];
  }

  #shunnedBy(vm: QuotaVm): Map<QuotaVm, number> {
    const known = this.#shunned.get(vm) ?? new Map<QuotaVm, number>();
    this.#shunned.set(vm, known);
    return known;
  }

  #accountsOf(vm: QuotaVm): QuotaAccounts {
    const known = this.#accounts.get(vm) ?? new QuotaAccounts(this.#bounds);
    this.#accounts.set(vm, known);
    return known;
  }
}

/** Time of recent use for which a slice is drawn, and after which it lapses, in milliseconds. */
const SLICE_MS = 500;
const LAPSE_MS = 1000;

/** VMs draw slices ahead from the owner by their recent use, and decide by themselves while one lasts. */
export class Slices implements QuotaWay {
  readonly #network: QuotaNetwork;

  readonly #asked: OwnerAsked;

  readonly #purses = new Map<
    QuotaVm,
    { left: number; until: number; usedAt: number; perMs: number }
  >();

  constructor(network: QuotaNetwork, bounds: QuotaBounds) {
    this.#network = network;
    this.#asked = new OwnerAsked(network, bounds);
  }

  ask(
    vm: QuotaVm,
    customer: string,
    quota: Quota,
    size: number,
    done: (granted: boolean) => void,
  ): void {
    const { now } = this.#network;
    const purse = this.#purses.get(vm) ?? { left: 0, until: 0, usedAt: now, perMs: 0 };
    this.#purses.set(vm, purse);
    const part = 1 - Math.exp(-(now - purse.usedAt) / LAPSE_MS);
    purse.perMs += part * (size / Math.max(1, now - purse.usedAt) - purse.perMs);
    purse.usedAt = now;
    if (now < purse.until && purse.left >= size) {
      purse.left -= size;
      done(true);
      return;
    }
    const slice = Math.max(size, purse.perMs * SLICE_MS);
    this.#asked.ask(vm, customer, quota, slice, (granted) => {
      if (granted) {
        purse.left = slice - size;
        purse.until = this.#network.now + LAPSE_MS;
        done(true);
      } else if (slice > size) this.#asked.ask(vm, customer, quota, size, done);
      else done(false);
    });
  }

  membersChanged(vm: QuotaVm): void {
    this.#asked.membersChanged(vm);
  }

  resumed(vm: QuotaVm): void {
    this.#asked.resumed(vm);
  }
}

/** Period of telling three others what was used, in milliseconds. */
const GOSSIP_MS = 300;
const GOSSIP_FANOUT = 3;

/** Each VM counts the whole quota by what it used itself and what it heard of others' use. */
export class Gossiped implements QuotaWay {
  readonly #network: QuotaNetwork;

  /** Sum of what each VM used, as each VM heard it last. */
  readonly #known = new Map<QuotaVm, Map<string, number>>();

  readonly #levels = new Map<QuotaVm, { level: number; at: number; counted: number }>();

  readonly #gossips = new Set<QuotaVm>();

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
    const used = this.#usedBy(vm);
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
    if (!this.#gossips.has(vm)) this.#gossip(vm);
  }

  #usedBy(vm: QuotaVm): Map<string, number> {
    const known = this.#known.get(vm) ?? new Map<string, number>();
    this.#known.set(vm, known);
    return known;
  }

  #gossip(vm: QuotaVm): void {
    this.#gossips.add(vm);
    const { vms, random } = this.#network;
    for (let i = 0; i < GOSSIP_FANOUT; i += 1) {
      const other = vms[Math.floor(random() * vms.length)] as QuotaVm;
      const told = [...this.#usedBy(vm)];
      this.#network.send(vm, other, () => {
        const known = this.#usedBy(other);
        for (const [name, sum] of told) known.set(name, Math.max(sum, known.get(name) ?? 0));
        if (!this.#gossips.has(other)) this.#gossip(other);
      });
    }
    this.#network.later(vm, GOSSIP_MS, () => this.#gossip(vm));
  }
}

/** Each VM gives out an equal part by itself. */
export class EqualParts implements QuotaWay {
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
    done(this.#accounts(vm).take(this.#network.now, quota, 1 / known, size).granted);
  }
}

/** Rate of one VM that sends, for each of which one more may. */
const SENDER_PER_S = 5;

/** A few VMs, drawn by hash, give out an equal part each; the others nothing. */
export class FewSenders implements QuotaWay {
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
    const count = Math.min(ranked.length, Math.max(1, Math.round(quota.ratePerS / SENDER_PER_S)));
    const isSender = ranked.slice(0, count).includes(vm);
    const { now } = this.#network;
    done(isSender && this.#accounts(vm).take(now, quota, 1 / count, size).granted);
  }
}
