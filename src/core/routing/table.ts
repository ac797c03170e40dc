/** Finds the route of a request: its host's longest prefix that begins the path. */

import { KeyRing } from '../customers/keyring';
import type { Route, RoutingConfig, Service, Target } from './types';

/** One configuration version, indexed. */
export class RouteTable {
  readonly config: RoutingConfig;

  readonly #hosts = new Map<string, Route[]>();

  readonly #services = new Map<string, Service>();

  /** Undefined where requests need no key. */
  readonly keyRing: KeyRing | undefined;

  constructor(config: RoutingConfig) {
    this.config = config;
    this.keyRing = config.customers && new KeyRing(config.customers);
    for (const service of config.services) this.#services.set(service.name, service);
    for (const route of config.routes) {
      const routes = this.#hosts.get(route.host) ?? [];
      routes.push(route);
      this.#hosts.set(route.host, routes);
    }
    for (const routes of this.#hosts.values()) {
      routes.sort((a, b) => b.prefix.length - a.prefix.length);
    }
  }

  /** @param path path without the query */
  match(host: string, path: string): Route | undefined {
    return this.#hosts.get(host.toLowerCase())?.find(({ prefix }) => path.startsWith(prefix));
  }

  service(name: string): Service | undefined {
    return this.#services.get(name);
  }
}

/** Picks a target by weight; `random` is uniform in [0, 1). */
export function pickTarget(targets: readonly Target[], random: number): string | undefined {
  const total = targets.reduce((sum, { weight }) => sum + weight, 0);
  let left = random * total;
  for (const { service, weight } of targets) {
    left -= weight;
    if (left < 0) return service;
  }
  return targets.at(-1)?.service;
}
