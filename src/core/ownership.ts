/** Who owns what: cells, request keys and ledger shards, by rendezvous among live schedulers. */

import { createHash } from 'node:crypto';

import type { Member } from './membership/types';
import { canOwn } from './membership/types';
import { rank } from './rendezvous';
import type { Pool } from './settings/schema';

/** Owners of a pool's cell by falling claim; nearer failure domains come first more often. */
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

/** Members by falling claim to a key, all alike. */
function rankAlike(key: string, members: readonly Member[]): readonly Member[] {
  const candidates = members.map((member) => ({ id: member.vm, weight: 1, member }));
  return rank(key, candidates).map(({ member }) => member);
}

/** Members that callers may be sent to: alive, and staying. */
function openMembers(members: readonly Member[]): readonly Member[] {
  return members.filter(({ state, draining }) => state === 'alive' && !draining);
}

/** Cores that a VM is taken to have at least: it may tell none. */
const LEAST_CORES = 0.01;

/** Rises by one with each doubling of a VM's cores. */
function tierOf({ cores }: Member): number {
  return Math.round(Math.log2(Math.max(LEAST_CORES, cores)));
}

/**
 * Members by falling claim to a key. Those with about twice the cores of others go
 * before them: drawn alike, the owner of a service was mostly one of the many weak
 * VMs, and one that falls behind makes its own account old.
 */
export function rankByCores(key: string, members: readonly Member[]): readonly Member[] {
  const tiers = rankAlike(key, members).map((member) => ({ member, tier: tierOf(member) }));
  // The sort is stable, so that within a tier the order by claim stays.
  tiers.sort((a, b) => b.tier - a.tier);
  return tiers.map(({ member }) => member);
}

/** Owners of a key by falling claim. */
export function ownersOfKey(key: string, members: readonly Member[]): readonly Member[] {
  return rankAlike(key, members.filter(canOwn));
}

/** Parts into which request keys are grouped, so that owners are worked out for parts and not for each key. */
const KEY_PARTS = 1024;

/** Owners worked out once for each membership and kept until it changes. */
export class OwnerCache {
  #members: readonly Member[] = [];

  readonly #cached = new Map<string, readonly Member[]>();

  /** Takes over a new membership. */
  update(members: readonly Member[]): void {
    this.#members = members;
    this.#cached.clear();
  }

  /** Forgets what was worked out from older settings. */
  invalidate(): void {
    this.#cached.clear();
  }

  ofPool(name: string, pool: Pool): readonly Member[] {
    return this.#get(`pool/${name}`, () => ownersOfPool(name, pool, this.#members));
  }

  ofShard(shard: number): readonly Member[] {
    const key = `ledger/${shard}`;
    return this.#get(key, () => ownersOfKey(key, this.#members));
  }

  ofRequestKey(key: string): readonly Member[] {
    const part = `key/${createHash('sha1').update(key).digest().readUInt32BE(0) % KEY_PARTS}`;
    return this.#get(part, () => ownersOfKey(part, this.#members));
  }

  #get(name: string, compute: () => readonly Member[]): readonly Member[] {
    const known = this.#cached.get(name);
    if (known) return known;
    const owners = compute();
    this.#cached.set(name, owners);
    return owners;
  }
}

/**
 * Callers' addresses for one failure domain, the best first: VMs there, then others
 * by hash. The same few of a large fleet for all callers would carry everything;
 * drawn anew for each answer, callers would drop their connections with each.
 */
export function addressesNear(domain: string, members: readonly Member[]): readonly string[] {
  const ranked = rankAlike(`callers of ${domain}`, openMembers(members));
  const near = ranked.filter((member) => member.domain === domain);
  const far = ranked.filter((member) => member.domain !== domain);
  return [...near, ...far].flatMap(({ gateways }) => gateways);
}

/** Callers' addresses to answer with: of VMs that are alive and stay, spread by a random number. */
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
