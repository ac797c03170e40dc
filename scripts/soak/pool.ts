/** The runners of the soak: their proxied addresses, their entries in the store, their crashes and restarts. */

import { setTimeout as pause } from 'node:timers/promises';

import type { FakeStore } from '../../test/fakes/store';
import { LinkProxy } from './proxy';
import type { RunnerContext } from './runner';
import { SoakRunner } from './runner';
import { RUNNER_PORT as PORT } from './vm';
import type { RunnerRole } from './work';

/** Names of the services: one served by engines, a plain one, and one whose runners come and go. */
export const services = { model: 'reader', plain: 'desk', late: 'porter' } as const;

/** Time after which the store entry of a crashed runner expires. */
const ENTRY_EXPIRY_MS = 3000;

/** A runner with its addresses and its proxy. */
export interface PooledRunner {
  readonly runner: SoakRunner;
  /** IP address on which it listens. */
  readonly host: string;
  /** `HOST:PORT` in its store entry: that of the proxy in front of it. */
  readonly address: string;
  readonly proxy: LinkProxy;
}

/** Starts, registers and stops all runners. */
export class RunnerPool {
  readonly members: PooledRunner[] = [];

  readonly #store: FakeStore;

  readonly #context: RunnerContext;

  readonly #networkPrefix: string;

  readonly #domains: readonly string[];

  /** Number of runners started so far. */
  #count = 0;

  constructor(
    store: FakeStore,
    context: Pick<RunnerContext, 'observer' | 'random' | 'reportsSlowness' | 'unsizedRatio'>,
    net: string,
    domains: readonly string[],
  ) {
    this.#store = store;
    this.#networkPrefix = net;
    this.#domains = domains;
    this.#context = {
      ...context,
      onEntryChange: (runner) => this.publish(runner),
      onUpChange: ({ runnerId, isUp }) => this.find(runnerId)?.proxy.setAccepting(isUp),
      takeCache: (source) => this.#takeCache(source),
    };
  }

  /** The runner of an id; undefined if it was ended for good. */
  find(runnerId: string): PooledRunner | undefined {
    return this.members.find(({ runner }) => runner.runnerId === runnerId);
  }

  /** Runners of a role that are up. */
  membersUp(role: RunnerRole): readonly PooledRunner[] {
    return this.members.filter(({ runner }) => runner.role === role && runner.isUp);
  }

  /** Decode runners of a software version that serve. */
  decodersOf(version: string): readonly PooledRunner[] {
    return this.membersUp('decode').filter(
      ({ runner }) => runner.version === version && !runner.isLeaving,
    );
  }

  /** Decode runners whose streams another one can continue, that is, one of their version with a working link. */
  get redundantDecoders(): readonly PooledRunner[] {
    return this.membersUp('decode').filter((member) =>
      this.decodersOf(member.runner.version).some(
        (other) => other !== member && other.proxy.state === 'well',
      ),
    );
  }

  /** Starts a runner behind a proxy and writes its store entry. */
  async add(
    role: RunnerRole,
    version: string,
    service: string = role === 'plain' ? services.plain : services.model,
  ): Promise<PooledRunner> {
    this.#count += 1;
    const number = this.#count;
    const domain = this.#domains[number % this.#domains.length] ?? '';
    const runner = new SoakRunner(role, service, domain, version, this.#context);
    const host = `${this.#networkPrefix}.2.${number}`;
    const proxyHost = `${this.#networkPrefix}.3.${number}`;
    const member = {
      runner,
      host,
      address: `${proxyHost}:${PORT}`,
      proxy: new LinkProxy(`${host}:${PORT}`),
    };
    this.members.push(member);
    await member.proxy.start(proxyHost, PORT);
    await runner.start(host, PORT);
    this.publish(runner);
    return member;
  }

  /** Crashes a runner and restarts it under the same id; its store entry expires if it is down for long. */
  async restart(member: PooledRunner, downMs: number): Promise<void> {
    const { runner, host } = member;
    await runner.crash();
    const expiry = this.expire(member);
    await pause(downMs);
    clearTimeout(expiry);
    runner.isDraining = false;
    await runner.start(host, PORT);
    this.publish(runner);
  }

  /** Removes the store entry of a runner that no longer renews it, after some time. */
  expire({ runner }: PooledRunner): NodeJS.Timeout {
    return setTimeout(() => this.#store.remove(`servers/${runner.runnerId}`), ENTRY_EXPIRY_MS);
  }

  /**
   * Marks a runner as draining: its answers announce that it leaves.
   * @param isListed whether its store entry says so as well
   */
  drain({ runner }: PooledRunner, isListed: boolean): void {
    const drained = runner;
    drained.isLeaving = true;
    drained.isDraining = isListed;
    this.publish(runner);
  }

  /** Ends a runner for good and removes its store entry. */
  async remove(member: PooledRunner): Promise<void> {
    this.members.splice(this.members.indexOf(member), 1);
    this.#store.remove(`servers/${member.runner.runnerId}`);
    await member.runner.crash();
    member.proxy.stop();
  }

  /** Writes the store entry of a runner; does nothing while it is down. */
  publish(runner: SoakRunner): void {
    const member = this.members.find((one) => one.runner === runner);
    if (!member || !runner.isUp) return;
    this.#store.put(`servers/${runner.runnerId}`, runner.entry(member.address));
  }

  /** Stops all runners and their proxies. */
  async stop(): Promise<void> {
    for (const { proxy } of this.members) proxy.stop();
    await Promise.all(this.members.map(({ runner }) => runner.crash()));
  }

  #takeCache(source: string): boolean {
    const [address = '', handle = ''] = source.split('/');
    const member = this.members.find((one) => one.address === address);
    return member?.runner.takeCache(handle) ?? false;
  }
}
