/** Choice of the VMs through which a VM reaches runners that it does not reach directly. */

import type { Member } from '../membership/types';

/** Time for which a VM that rejected is not asked again, in milliseconds, and one that did not answer is asked last. */
const AVOIDED_MS = 1500;
/** Time for which a VM that forwarded is asked first, in milliseconds; then others are tried again, nearer ones first. */
const PREFERRED_MS = 5000;
/** VMs that do not reach a runner either, from which it counts as out of reach. Part of them may be partitioned as well. */
const CONFIRMATIONS = 4;
/** Time after which another VM is asked although the direct attempt goes on, in milliseconds: many round trips, but little compared with a request's latency target. */
const FIRST_TUNNEL_MS = 60;
/** Time after which one more VM is asked, in milliseconds. */
const TUNNEL_STAGGER_MS = 100;
/** The same if the first one forwarded lately, in milliseconds: it is probably busy, and more connections would add to that. */
const PREFERRED_STAGGER_MS = 300;
/** Entries from which expired ones are removed. */
const MAX_ENTRIES = 1000;

/**
 * Why a VM did not forward: it reaches hardly any runner or forwards no more, it does not reach this
 * one, or it did not answer in time.
 */
export type ForwardFailure = 'vm' | 'runner' | 'slow';

function keyOf(vm: string, address: string): string {
  return `${vm} ${address}`;
}

/** Merges two lists in turn, beginning with the first. */
function alternating<T>(first: readonly T[], second: readonly T[]): readonly T[] {
  const length = Math.max(first.length, second.length);
  return Array.from({ length }, (_, index) => [
    ...first.slice(index, index + 1),
    ...second.slice(index, index + 1),
  ]).flat();
}

/**
 * When the VMs are asked for one connection, in milliseconds after it is sought.
 * @param isLost whether the direct path is known to be lost, so that no direct attempt is made
 * @param isPreferred whether the first VM forwarded lately
 */
export function tunnelDelays(
  count: number,
  isLost: boolean,
  isPreferred: boolean,
): readonly number[] {
  const firstMs = isLost ? 0 : FIRST_TUNNEL_MS;
  const staggerMs = isLost && isPreferred ? PREFERRED_STAGGER_MS : TUNNEL_STAGGER_MS;
  return Array.from({ length: count }, (_, index) => firstMs + index * staggerMs);
}

/** Removes entries whose time is over. */
function expire(now: number, ends: Map<string, number>): void {
  for (const [key, until] of ends) if (until <= now) ends.delete(key);
}

/** Returns a copy in random order. */
function shuffled<T>(values: readonly T[], random: () => number): readonly T[] {
  return values
    .map((value) => ({ value, order: random() }))
    .sort((a, b) => a.order - b.order)
    .map(({ value }) => value);
}

/** The VMs that may forward connections of this VM, and which of them failed lately. */
export class Forwarders {
  readonly #vm: string;

  readonly #domain: string;

  /** End of the time in which a VM, or a VM for one runner, is avoided. */
  readonly #avoidedUntil = new Map<string, number>();

  /** End of the time in which a VM that did not answer is asked last. */
  readonly #slowUntil = new Map<string, number>();

  /** End of the time in which a VM is asked first. */
  readonly #preferredUntil = new Map<string, number>();

  constructor(vm: string, domain: string) {
    this.#vm = vm;
    this.#domain = domain;
  }

  /** Records that a VM forwarded a connection. */
  recordSuccess(now: number, vm: string): void {
    this.#slowUntil.delete(vm);
    if (this.isPreferred(now, vm)) return;
    if (this.#preferredUntil.size >= MAX_ENTRIES) expire(now, this.#preferredUntil);
    this.#preferredUntil.set(vm, now + PREFERRED_MS);
  }

  /** Whether a VM forwarded lately. */
  isPreferred(now: number, vm: string): boolean {
    return (this.#preferredUntil.get(vm) ?? 0) > now;
  }

  /** Records that a VM did not forward a connection to a runner. */
  recordFailure(now: number, vm: string, address: string, failure: ForwardFailure): void {
    if (failure === 'slow') {
      // One that forwards is busy. If others were asked before it, each request would cost more.
      if (this.isPreferred(now, vm)) return;
      if (this.#slowUntil.size >= MAX_ENTRIES) expire(now, this.#slowUntil);
      this.#slowUntil.set(vm, now + AVOIDED_MS);
      return;
    }
    this.#preferredUntil.delete(vm);
    if (this.#avoidedUntil.size >= MAX_ENTRIES) expire(now, this.#avoidedUntil);
    this.#avoidedUntil.set(failure === 'vm' ? vm : keyOf(vm, address), now + AVOIDED_MS);
  }

  /**
   * Whether a runner is out of reach: several VMs did not reach it either, or all rejected. One
   * that does not answer may be busy.
   */
  isExhausted(now: number, members: readonly Member[], address: string): boolean {
    const open = this.#openMembers(members);
    if (this.#confirmations(now, open, address) >= CONFIRMATIONS) return true;
    return open.every(({ vm }) => this.#avoidedUntilOf(vm, address) > now);
  }

  /** Whether some VM that reaches others did not reach a runner, or there is no other VM. */
  isConfirmed(now: number, members: readonly Member[], address: string): boolean {
    const open = this.#openMembers(members);
    return open.length === 0 || this.#confirmations(now, open, address) > 0;
  }

  /**
   * Up to `most` VMs to ask for a connection to a runner, in order: one that forwarded lately, then
   * in turn those of this VM's failure domain and others, since the VMs of a failure domain may
   * have lost their paths together, and last those that did not answer lately. They are drawn at
   * random, so that the load of many VMs without paths spreads. If all rejected lately, the one that
   * did first is asked again.
   */
  order(
    now: number,
    members: readonly Member[],
    address: string,
    most: number,
    random: () => number,
  ): readonly Member[] {
    const open = this.#openMembers(members);
    const untilOf = ({ vm }: Member): number => this.#avoidedUntilOf(vm, address);
    const usable = shuffled(
      open.filter((member) => untilOf(member) <= now),
      random,
    );
    if (usable.length === 0) return [...open].sort((a, b) => untilOf(a) - untilOf(b)).slice(0, 1);
    const isSlow = ({ vm }: Member): boolean => (this.#slowUntil.get(vm) ?? 0) > now;
    const slow = usable.filter(isSlow);
    const answering = usable.filter((member) => !isSlow(member));
    const preferred = answering.find(({ vm }) => this.isPreferred(now, vm));
    const others = answering.filter((member) => member !== preferred);
    const near = others.filter(({ domain }) => domain === this.#domain);
    const far = others.filter(({ domain }) => domain !== this.#domain);
    const first = preferred ? [preferred] : [];
    return [...first, ...alternating(near, far), ...slow].slice(0, most);
  }

  #confirmations(now: number, open: readonly Member[], address: string): number {
    const isConfirming = ({ vm }: Member): boolean =>
      (this.#avoidedUntil.get(keyOf(vm, address)) ?? 0) > now;
    return open.filter(isConfirming).length;
  }

  #openMembers(members: readonly Member[]): readonly Member[] {
    return members.filter(
      ({ vm, state, draining }) => vm !== this.#vm && state === 'alive' && !draining,
    );
  }

  #avoidedUntilOf(vm: string, address: string): number {
    const forRunner = this.#avoidedUntil.get(keyOf(vm, address)) ?? 0;
    return Math.max(forRunner, this.#avoidedUntil.get(vm) ?? 0);
  }
}
