/** The runners of the soak: their proxied addresses, their entries in the store, their crashes and restarts. */

import { setTimeout as pause } from 'node:timers/promises';

import type { FakeStore } from '../../test/fakes/store';
import { LinkProxy } from './proxy';
import type { RunnerContext, RunnerRole } from './runner';
import { SoakRunner } from './runner';

/** Names of the services: one served by engines, and a plain one. */
export const services = { model: 'reader', plain: 'desk' } as const;

/** Time after which the store entry of a crashed runner expires. */
const ENTRY_EXPIRY_MS = 3000;
const PORT = 8528;

/** A runner with its addresses and its proxy. */
export interface Place {
  readonly runner: SoakRunner;
  /** IP address on which it listens. */
  readonly host: string;
  /** `HOST:PORT` in its store entry: that of the proxy in front of it. */
  readonly address: string;
  readonly proxy: LinkProxy;
}

/** Starts, registers and stops all runners. */
export class RunnerPool {
  readonly places: Place[] = [];

  readonly #store: FakeStore;

  readonly #context: RunnerContext;

  readonly #networkPrefix: string;

  readonly #domains: readonly string[];

  constructor(
    store: FakeStore,
    context: Pick<RunnerContext, 'witness' | 'random'>,
    net: string,
    domains: readonly string[],
  ) {
    this.#store = store;
    this.#networkPrefix = net;
    this.#domains = domains;
    this.#context = {
      ...context,
      onEntry: (runner) => this.list(runner),
      take: (source) => this.#takeCache(source),
    };
  }

  /** Runners of a role that are up. */
  of(role: RunnerRole): readonly Place[] {
    return this.places.filter(({ runner }) => runner.role === role && runner.up);
  }

  /** Starts a runner behind a proxy and writes its store entry. */
  async add(role: RunnerRole): Promise<void> {
    const number = this.places.length + 1;
    const domain = this.#domains[number % this.#domains.length] ?? '';
    const service = role === 'plain' ? services.plain : services.model;
    const runner = new SoakRunner(role, service, domain, this.#context);
    const host = `${this.#networkPrefix}.2.${number}`;
    const proxyHost = `${this.#networkPrefix}.3.${number}`;
    const place = {
      runner,
      host,
      address: `${proxyHost}:${PORT}`,
      proxy: new LinkProxy(`${host}:${PORT}`),
    };
    this.places.push(place);
    await place.proxy.start(proxyHost, PORT);
    await runner.start(host, PORT);
    this.list(runner);
  }

  /** Crashes a runner and restarts it under the same id; its store entry expires if it is down for long. */
  async restart(place: Place, downMs: number): Promise<void> {
    const { runner, host } = place;
    await runner.crash();
    const expiry = setTimeout(
      () => this.#store.remove(`servers/${runner.listing}`),
      ENTRY_EXPIRY_MS,
    );
    await pause(downMs);
    clearTimeout(expiry);
    runner.leaving = false;
    await runner.start(host, PORT);
    this.list(runner);
  }

  /** Marks a runner as draining and updates its store entry. */
  leave({ runner }: Place): void {
    const drained = runner;
    drained.leaving = true;
    this.list(runner);
  }

  /** Writes the store entry of a runner; does nothing while it is down. */
  list(runner: SoakRunner): void {
    const place = this.places.find((member) => member.runner === runner);
    if (!place || !runner.up) return;
    this.#store.put(`servers/${runner.listing}`, runner.entry(place.address));
  }

  /** Stops all runners and their proxies. */
  async stop(): Promise<void> {
    for (const { proxy } of this.places) proxy.stop();
    await Promise.all(this.places.map(({ runner }) => runner.crash()));
  }

  #takeCache(source: string): boolean {
    const [address = '', handle = ''] = source.split('/');
    const place = this.places.find((member) => member.address === address);
    return place?.runner.take(handle) ?? false;
  }
}
