/** Faults of all kinds, drawn at random. */

import { setTimeout as pause } from 'node:timers/promises';

import type { Deployment } from '../../test/fakes/deployment';
import { call } from '../../test/fakes/http';
import type { Random } from '../../test/fakes/virtual/workload';
import { snapshotRuns } from './checks';

type Fault = () => Promise<void>;

/** Draws faults and heals them. */
export class Faults {
  readonly #deployment: Deployment;

  readonly #random: Random;

  readonly #ran: Set<string>;

  readonly #counts: Record<string, number> = {};

  /** Processes that a fault works on; another fault leaves them alone until it is over. */
  readonly #busy = new Set<string>();

  readonly #open = new Set<Promise<void>>();

  constructor(deployment: Deployment, random: Random, ran: Set<string>) {
    this.#deployment = deployment;
    this.#random = random;
    this.#ran = ran;
  }

  get summary(): string {
    return JSON.stringify(this.#counts);
  }

  async run(end: number): Promise<void> {
    const kinds: Readonly<Record<string, Fault>> = {
      killGateway: () => this.#restart('gateway', 'SIGKILL'),
      killScheduler: () => this.#restart('scheduler', 'SIGKILL'),
      stopGateway: () => this.#restart('gateway', 'SIGTERM'),
      stopScheduler: () => this.#restart('scheduler', 'SIGTERM'),
      freezeGateway: () => this.#freeze('gateway'),
      freezeScheduler: () => this.#freeze('scheduler'),
      killVm: () => this.#killVm(),
      killEngine: () => this.#killEngine(),
      freezeEngine: () => this.#freezeEngine(),
      cutStreams: () => this.#engineFault({ cut: true }, {}),
      leavingEngine: () => this.#engineFault({ leaving: true }, { leaving: false }),
      dropAnswers: () => this.#serviceFault({ dropAnswers: true }, { dropAnswers: false }),
      leavingService: () => this.#serviceFault({ leaving: true }, { leaving: false }),
      outage: () => this.#platformFault({ outage: true }, { outage: false }),
      slowStore: () => this.#platformFault({ delayMs: 400 }, { delayMs: 0 }),
      lostAnswers: () => this.#platformFault({ loseWriteAnswers: 3 }, { loseWriteAnswers: 0 }),
    };
    const names = Object.keys(kinds);
    while (Date.now() < end) {
      const name = names[Math.floor(this.#random() * names.length)] as string;
      this.#counts[name] = (this.#counts[name] ?? 0) + 1;
      const work = (kinds[name] as Fault)()
        .catch(() => {})
        .finally(() => this.#open.delete(work));
      this.#open.add(work);
      await pause(200 + this.#random() * 1500);
    }
  }

  /** Waits until all faults are over and everything serves again. */
  async heal(): Promise<void> {
    await Promise.all(this.#open);
    await this.#deployment.ready();
  }

  #someVm(): number {
    return 1 + Math.floor(this.#random() * this.#deployment.spec.vms);
  }

  #domainOf(vm: number): string {
    const { domains } = this.#deployment.spec;
    return domains[(vm - 1) % domains.length] as string;
  }

  /** Runs a fault on a process that no other fault works on. */
  async #alone(name: string, fault: Fault): Promise<void> {
    if (this.#busy.has(name)) return;
    this.#busy.add(name);
    try {
      await fault();
    } finally {
      this.#busy.delete(name);
    }
  }

  async #restart(role: 'gateway' | 'scheduler', signal: 'SIGKILL' | 'SIGTERM'): Promise<void> {
    const vm = this.#someVm();
    await this.#alone(`${role}-${vm}`, async () => {
      await this.#deployment.signal(`${role}-${vm}`, signal);
      await pause(this.#random() * 2000);
      if (role === 'gateway') this.#deployment.startGateway(vm, this.#domainOf(vm));
      else this.#deployment.startScheduler(vm, this.#domainOf(vm));
    });
  }

  async #killVm(): Promise<void> {
    const vm = this.#someVm();
    await this.#alone(`gateway-${vm}`, () =>
      this.#alone(`scheduler-${vm}`, async () => {
        await Promise.all([
          this.#deployment.signal(`gateway-${vm}`, 'SIGKILL'),
          this.#deployment.signal(`scheduler-${vm}`, 'SIGKILL'),
        ]);
        await pause(this.#random() * 4000);
        this.#deployment.startScheduler(vm, this.#domainOf(vm));
        this.#deployment.startGateway(vm, this.#domainOf(vm));
      }),
    );
  }

  async #freeze(role: 'gateway' | 'scheduler'): Promise<void> {
    const name = `${role}-${this.#someVm()}`;
    await this.#alone(name, async () => {
      await this.#deployment.signal(name, 'SIGSTOP');
      await pause(200 + this.#random() * 6000);
      await this.#deployment.signal(name, 'SIGCONT');
    });
  }

  #someEngine(): { pool: string; id: string; url: string; role: string } {
    const { runners } = this.#deployment.consortium.pools.deeds ?? { runners: [] };
    const runner = runners[Math.floor(this.#random() * runners.length)];
    if (!runner) throw new Error('there is no engine');
    return { pool: 'deeds', ...runner };
  }

  async #killEngine(): Promise<void> {
    const { pool, id, url, role } = this.#someEngine();
    await this.#alone(id, async () => {
      await snapshotRuns(this.#deployment, this.#ran);
      await this.#deployment.signal(id, 'SIGKILL');
      await pause(this.#random() * 2000);
      this.#deployment.startRunner(pool, id, url, role);
    });
  }

  async #freezeEngine(): Promise<void> {
    const { id } = this.#someEngine();
    await this.#alone(id, async () => {
      await this.#deployment.signal(id, 'SIGSTOP');
      await pause(200 + this.#random() * 3000);
      await this.#deployment.signal(id, 'SIGCONT');
    });
  }

  async #engineFault(begin: object, end: object): Promise<void> {
    const { id, url } = this.#someEngine();
    await this.#alone(id, () => this.#faultAt(url, begin, end));
  }

  async #serviceFault(begin: object, end: object): Promise<void> {
    const { runners } = this.#deployment.consortium.pools.registry ?? { runners: [] };
    const runner = runners[Math.floor(this.#random() * runners.length)];
    if (runner) await this.#alone(runner.id, () => this.#faultAt(runner.url, begin, end));
  }

  async #platformFault(begin: object, end: object): Promise<void> {
    await this.#alone('platform', () => this.#faultAt(this.#deployment.platformUrl, begin, end));
  }

  async #faultAt(url: string, begin: object, end: object): Promise<void> {
    await call('POST', `${url}/fault`, begin);
    await pause(200 + this.#random() * 3000);
    await call('POST', `${url}/fault`, end);
  }
}
