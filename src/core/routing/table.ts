/** Route lookup: the longest path prefix of the request's host that matches the path. */

import { KeyRing } from '../customers/keyring';
import type { Engine, Route, RoutingConfig, Service, Target } from './types';

/** Indexes of one configuration version. */
export class RouteTable {
  readonly config: RoutingConfig;

  readonly #hosts = new Map<string, Route[]>();

  readonly #services = new Map<string, Service>();

  /** Engines of model services, those included that the configuration has dropped. */
  readonly #engines = new Map<string, Engine>();

  /** Services whose routes have different priorities. */
  readonly #ranked: ReadonlySet<string>;

  /** Customers by key; undefined if requests need no key. */
  readonly keyRing: KeyRing | undefined;

  /** @param before the table of the last version. Default: there was none */
  constructor(config: RoutingConfig, before?: RouteTable) {
    this.config = config;
    if (before) before.#engines.forEach((engine, name) => this.#engines.set(name, engine));
    this.keyRing = config.customers && new KeyRing(config.customers);
    for (const service of config.services) {
      this.#services.set(service.name, service);
      if (service.engine) this.#engines.set(service.name, service.engine);
    }
    for (const route of config.routes) {
      const routes = this.#hosts.get(route.host) ?? [];
      routes.push(route);
      this.#hosts.set(route.host, routes);
    }
    this.#ranked = servicesWithRanks(config.routes);
    for (const routes of this.#hosts.values()) {
      routes.sort((a, b) => b.prefix.length - a.prefix.length);
    }
  }

  /**
   * The route of a request; undefined if none matches.
   * @param path path without the query
   */
  match(host: string, path: string): Route | undefined {
    return this.#hosts.get(host.toLowerCase())?.find(({ prefix }) => path.startsWith(prefix));
  }

  /** The service of a name; undefined if the configuration has none. */
  service(name: string): Service | undefined {
    return this.#services.get(name);
  }

  /**
   * The engine of a model service, by the last version that has it as one: requests under way are
   * planned to their ends after the service was dropped. Undefined if no version has it.
   */
  engineOf(service: string): Engine | undefined {
    return this.#engines.get(service);
  }

  /** Whether the routes of a service have different priorities. */
  hasRanks(service: string): boolean {
    return this.#ranked.has(service);
  }
}

/** Names of the services whose routes have different priorities. */
function servicesWithRanks(routes: readonly Route[]): ReadonlySet<string> {
  const priorities = new Map<string, number>();
  const ranked = new Set<string>();
  for (const { targets, priority } of routes) {
    for (const { service } of targets) {
      if ((priorities.get(service) ?? priority) !== priority) ranked.add(service);
      priorities.set(service, priority);
    }
  }
  return ranked;
}

/** Picks a target at random by weight; `random` is uniform in [0, 1). Undefined if there are no targets. */
export function pickTarget(targets: readonly Target[], random: number): string | undefined {
  const total = targets.reduce((sum, { weight }) => sum + weight, 0);
  let remaining = random * total;
  for (const { service, weight } of targets) {
    remaining -= weight;
    if (remaining < 0) return service;
  }
  return targets.at(-1)?.service;
}
