/**
 * Which routes may have led their streams to several services lately. What two services write fits
 * together as little as what two software versions of one do.
 */

import { fingerprintOf } from '../fingerprint';
import type { Route } from '../routing/types';

/**
 * Number of groups of routes. After a restart of all VMs, a change of one route counts for all
 * routes of its group, and each group adds some 60 bytes to the state that VMs exchange.
 */
const GROUPS = 16;

interface Targets {
  readonly services: ReadonlySet<string>;
  /** When the route last led to other services; minus infinity if it never did. */
  readonly changedAt: number;
}

function servicesOf({ targets }: Route): ReadonlySet<string> {
  const used = targets.filter(({ weight }) => weight > 0);
  return new Set(used.map(({ service }) => service));
}

function isSame(one: ReadonlySet<string>, other: ReadonlySet<string>): boolean {
  return one.size === other.size && [...one].every((service) => other.has(service));
}

/** The group of a route. A service of the same name would count as one of several versions. */
export function routeGroupOf(route: string): string {
  const [first = 0] = Buffer.from(fingerprintOf('route', route), 'base64url');
  return `routes/${first % GROUPS}`;
}

/** Digests of where the routes lead whose streams may be resumed, by group. */
export function layoutsOf(routes: readonly Route[]): ReadonlyMap<string, string> {
  const entries = new Map<string, string[]>();
  for (const route of routes.filter(({ resumable }) => resumable)) {
    const group = routeGroupOf(route.name);
    const entry = JSON.stringify([route.name, ...[...servicesOf(route)].sort()]);
    entries.set(group, [...(entries.get(group) ?? []), entry]);
  }
  const digests = [...entries].map(
    ([group, of]) => [group, fingerprintOf('layout', of.sort().join()).slice(0, 16)] as const,
  );
  return new Map(digests);
}

/** The services of each route whose streams may be resumed, by the route's name. */
export class RouteChanges {
  #targets: ReadonlyMap<string, Targets> = new Map();

  /**
   * Applies the routes of a configuration.
   * @returns the services of streams that may now be taken for those of another service
   */
  apply(now: number, routes: readonly Route[]): ReadonlySet<string> {
    const before = this.#targets;
    const affected = new Set<string>();
    const current = new Map<string, Targets>();
    for (const route of routes.filter(({ resumable }) => resumable)) {
      const services = servicesOf(route);
      const known = before.get(route.name);
      const isChanged = known !== undefined && !isSame(known.services, services);
      const changedAt = isChanged ? now : (known?.changedAt ?? -Infinity);
      current.set(route.name, { services, changedAt });
      if (isChanged) [...known.services, ...services].forEach((service) => affected.add(service));
    }
    this.#targets = current;
    return affected;
  }

  /**
   * Whether streams of a route may belong to several services.
   * @param retentionMs how long callers may come back to a stream, in milliseconds
   */
  isAmbiguous(now: number, route: Route, retentionMs: number): boolean {
    const changedAt = this.#targets.get(route.name)?.changedAt ?? -Infinity;
    return servicesOf(route).size > 1 || now - changedAt < retentionMs;
  }
}
