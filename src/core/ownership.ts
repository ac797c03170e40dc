/** Ownership of cells, request keys and ledger shards, by rendezvous hashing among live schedulers. */

import { createHash } from 'node:crypto';

import type { Member } from './membership/types';
import { canOwn } from './membership/types';
import { rank } from './rendezvous';
import type { Pool } from './settings/schema';

/** Candidates for the ownership of a pool's cell, the owner first. VMs in failure domains with more of the pool's runners have a higher weight. */
export function ownersOfPool(
  name: string,
  pool: Pool,
  members: readonly Member[],
): readonly Member[] {
  const runners = new Map<string, number>();
  for (const { domain } of pool.runners) runners.set(domain, (runners.get(domain) ?? 0) + 1);
  const candidates = members.filter(canOwn).map((member) => ({
    id: member.vm,
    weight: 1 + (runners.get(member.domain) ?? 0),
    member,
  }));
  return rank(`pool/${name}`, candidates).map(({ member }) => member);
}

/** Members by falling rank for a key, with equal weights. */
function rankUnweighted(key: string, members: readonly Member[]): readonly Member[] {
  const candidates = members.map((member) => ({ id: member.vm, weight: 1, member }));
  return rank(key, candidates).map(({ member }) => member);
}

/** Members that callers may connect to: alive and not draining. */
function openMembers(members: readonly Member[]): readonly Member[] {
  return members.filter(({ state, draining }) => state === 'alive' && !draining);
}

/** Minimum number of cores assumed for a VM, since it may report 0. */
const MIN_CORES = 0.01;

/** Size class of a VM; rises by one with each doubling of its cores. */
function tierOf({ cores }: Member): number {
  return Math.round(Math.log2(Math.max(MIN_CORES, cores)));
}

/**
 * Members by falling rank for a key. VMs with about twice the cores of others go before
 * them: with equal weights the owner of a service was mostly one of the many weak VMs,
 * and the state of an owner that falls behind becomes stale.
 */
export function rankByCores(key: string, members: readonly Member[]): readonly Member[] {
  const tiers = rankUnweighted(key, members).map((member) => ({ member, tier: tierOf(member) }));
  // The sort is stable, so the order by rank is kept within a tier.
  tiers.sort((a, b) => b.tier - a.tier);
  return tiers.map(({ member }) => member);
}

/** Candidates for the ownership of a key, the owner first. */
export function ownersOfKey(key: string, members: readonly Member[]): readonly Member[] {
  return rankUnweighted(key, members.filter(canOwn));
}

/** Number of groups of request keys; owners are computed for each group instead of each key. */
const KEY_GROUPS = 1024;

/** Caches the owners for one membership. */
export class OwnerCache {
  #members: readonly Member[] = [];

  readonly #cached = new Map<string, readonly Member[]>();

  /** Sets a new membership and drops the cache. */
  update(members: readonly Member[]): void {
    this.#members = members;
    this.#cached.clear();
  }

  /** Drops the cache after a change of the settings. */
  invalidate(): void {
    this.#cached.clear();
  }

  /** Candidates for the ownership of a pool's cell, the owner first. */
  ofPool(name: string, pool: Pool): readonly Member[] {
    return this.#getOrCompute(`pool/${name}`, () => ownersOfPool(name, pool, this.#members));
  }

  /** Candidates for the ownership of a ledger shard, the owner first. */
  ofShard(shard: number): readonly Member[] {
    const key = `ledger/${shard}`;
    return this.#getOrCompute(key, () => ownersOfKey(key, this.#members));
  }

  /** Candidates for the ownership of a request key, the owner first. */
  ofRequestKey(key: string): readonly Member[] {
    const part = `key/${createHash('sha1').update(key).digest().readUInt32BE(0) % KEY_GROUPS}`;
    return this.#getOrCompute(part, () => ownersOfKey(part, this.#members));
  }

  #getOrCompute(name: string, compute: () => readonly Member[]): readonly Member[] {
    const known = this.#cached.get(name);
    if (known) return known;
    const owners = compute();
    this.#cached.set(name, owners);
    return owners;
  }
}

/**
 * Addresses for the callers of one failure domain, best first: VMs of that domain, then
 * others in hash order. If all callers of a large fleet received the same few addresses,
 * those VMs would carry all of the load; if addresses were drawn again for each answer,
 * callers would drop their connections each time.
 */
export function addressesNear(domain: string, members: readonly Member[]): readonly string[] {
  const ranked = rankUnweighted(`callers of ${domain}`, openMembers(members));
  const near = ranked.filter((member) => member.domain === domain);
  const far = ranked.filter((member) => member.domain !== domain);
  return [...near, ...far].flatMap(({ gateways }) => gateways);
}

/** Up to `limit` addresses for callers, of VMs that are alive and not draining, in random order. */
export function chooseAddresses(
  members: readonly Member[],
  random: () => number,
  limit: number,
): readonly string[] {
  const addresses = openMembers(members).flatMap(({ gateways }) => gateways);
  for (let i = addresses.length - 1; i > 0; i -= 1) {
    const j = Math.floor(random() * (i + 1));
    [addresses[i], addresses[j]] = [addresses[j] as string, addresses[i] as string];
  }
  return addresses.slice(0, limit);
}
