/** The runners of the soak: their addresses behind proxies, their entries in the store, their ends and starts. */

import { setTimeout as pause } from 'node:timers/promises';

import type { FakeStore } from '../../test/fakes/store';
import { LinkProxy } from './proxy';
import type { RunnerContext, RunnerRole } from './runner';
import { SoakRunner } from './runner';

/** Services of the deployment. */
export const services = { model: 'reader', plain: 'desk' } as const;

/** Time after which the entry of a runner that ended lapses, in milliseconds. */
const LAPSE_MS = 3000;
const PORT = 8528;

/** A runner and where it is. */
export interface PooledRunner {
  readonly runner: SoakRunner;
  /** Where it listens. */
  readonly host: string;
  /** Where others find it: the proxy before it. */
  readonly address: string;
  readonly proxy: LinkProxy;
}

/** All runners. */
export class RunnerPool {
  readonly members: PooledRunner[] = [];

  readonly #store: FakeStore;

  readonly #context: RunnerContext;

  readonly #net: string;

  readonly #domains: readonly string[];

  constructor(
    store: FakeStore,
    context: Pick<RunnerContext, 'witness' | 'random'>,
    net: string,
    domains: readonly string[],
  ) {
    this.#store = store;
    this.#net = net;
    this.#domains = domains;
    this.#context = {
      ...context,
      onEntryChange: (runner) => this.publish(runner),
      takeCache: (source) => this.#take(source),
    };
  }

  membersUp(role: RunnerRole): readonly PooledRunner[] {
    return this.members.filter(({ runner }) => runner.role === role && runner.isUp);
  }

  async add(role: RunnerRole): Promise<void> {
    const number = this.members.length + 1;
    const domain = this.#domains[number % this.#domains.length] ?? '';
    const service = role === 'plain' ? services.plain : services.model;
    const runner = new SoakRunner(role, service, domain, this.#context);
    const host = `${this.#net}.2.${number}`;
    const front = `${this.#net}.3.${number}`;
    const place = {
      runner,
      host,
      address: `${front}:${PORT}`,
      proxy: new LinkProxy(`${host}:${PORT}`),
    };
    this.members.push(place);
    await place.proxy.start(front, PORT);
    await runner.start(host, PORT);
    this.publish(runner);
  }

  /** A runner ends and starts again under its id; its entry lapses if that takes long. */
  async restart(place: PooledRunner, downMs: number): Promise<void> {
    const { runner, host } = place;
    await runner.crash();
    const lapses = setTimeout(() => this.#store.remove(`servers/${runner.runnerId}`), LAPSE_MS);
    await pause(downMs);
    clearTimeout(lapses);
    runner.isDraining = false;
    await runner.start(host, PORT);
    this.publish(runner);
  }

  /** A runner says that it leaves. */
  drain({ runner }: PooledRunner): void {
    const leaving = runner;
    leaving.isDraining = true;
    this.publish(runner);
  }

  /** A runner writes its entry. */
  publish(runner: SoakRunner): void {
    const place = this.members.find((one) => one.runner === runner);
    if (!place || !runner.isUp) return;
    this.#store.put(`servers/${runner.runnerId}`, runner.entry(place.address));
  }

  async stop(): Promise<void> {
    for (const { proxy } of this.members) proxy.stop();
    await Promise.all(this.members.map(({ runner }) => runner.crash()));
  }

  #take(source: string): boolean {
    const [address = '', handle = ''] = source.split('/');
    const place = this.members.find((one) => one.address === address);
    return place?.runner.takeCache(handle) ?? false;
  }
}
