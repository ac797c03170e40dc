/** One run: the program on some VMs, stand-ins around it, callers, faults, and the promises that are checked. */

import { mkdtempSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { setTimeout as pause } from 'node:timers/promises';

import { call } from '../../test/fakes/http';
import { FakeStore } from '../../test/fakes/store';
import { seeded } from '../../test/fakes/virtual/workload';
import { CallerGroup } from './callers';
import { FaultInjector } from './faults';
import { Mesh } from './mesh';
import { Operator } from './operator';
import { Maintenance } from './maintenance';
import { RunnerPool } from './pool';
import type { Breach } from './guarantees';
import { GuaranteeChecker } from './guarantees';
import type { FleetView, Timeline } from './timeline';
import { Vm } from './vm';

/** What to run. */
export interface SoakOptions {
  readonly seed: number;
  readonly seconds: number;
  readonly vms: number;
  /** Runners that decode, and as many plain ones; a third as many prefill. */
  readonly runners: number;
  /** Requests a second of all callers. */
  readonly ratePerS: number;
  /** Kinds of faults to draw from. Default: all. */
  readonly faults: readonly string[] | undefined;
}

const DOMAINS = ['north', 'centre', 'south'];
const CALLER_GROUPS = 6;
/** Time in which all VMs must serve, in milliseconds. */
const START_MS = 30_000;
const SECOND_MS = 1000;
/** Time after the last fault in which all VMs must serve again, in milliseconds. */
const RECOVERY_MS = 15_000;

/** A run with its processes. */
export class Soak {
  readonly folder = mkdtempSync(join(tmpdir(), 'goldcrestdock-soak-'));

  readonly #options: SoakOptions;

  readonly #timeline: Timeline;

  readonly #store = new FakeStore();

  readonly #vms: Vm[] = [];

  readonly #mesh: Mesh;

  readonly #promises: GuaranteeChecker;

  readonly #operator: Operator;

  readonly #pool: RunnerPool;

  readonly #faults: FaultInjector;

  readonly #net: string;

  constructor(options: SoakOptions, timeline: Timeline) {
    this.#options = options;
    this.#timeline = timeline;
    // Runs at the same time have addresses of their own.
    this.#net = `127.${60 + (process.pid % 60)}`;
    const { seed } = options;
    this.#mesh = new Mesh(this.#net, this.#vms);
    const random = seeded(seed);
    const store = this.#store;
    const vms = this.#vms;
    const onBreach = (breach: Breach): void => timeline.recordBreach(breach);
    this.#operator = new Operator({
      store,
      vms,
      random: seeded(seed + 1),
      onBreach,
      onSent: (request) => this.#promises.sent(request),
      faultFreeMs: () => this.#faults.faultFreeMs('vm', 'store'),
    });
    this.#promises = new GuaranteeChecker({
      onBreach,
      faultFreeMs: (...families) => this.#faults.faultFreeMs(...families),
      revokedAt: (key) => this.#operator.revokedAt(key),
      quotaOf: (customer) => this.#operator.quotaOf(customer),
    });
    const witness = this.#promises;
    this.#pool = new RunnerPool(store, { witness, random: seeded(seed + 2) }, this.#net, DOMAINS);
    this.#faults = new FaultInjector(
      {
        random,
        vms,
        mesh: this.#mesh,
        store,
        pool: this.#pool,
        onStoreRestored: () => this.#operator.rewrite(),
        onFault: (id, name, target, begins) => timeline.fault(id, name, target, begins),
      },
      options.faults,
    );
  }

  /** Counts of faults by kind. */
  get faultCounts(): Readonly<Record<string, number>> {
    return this.#faults.counts;
  }

  /** The most that was seen of each bounded amount, as a part of what is allowed. */
  get peakUsage(): Readonly<Record<string, number>> {
    return this.#promises.peakUsage;
  }

  async run(): Promise<void> {
    try {
      await this.#start();
      const until = Date.now() + this.#options.seconds * 1000;
      const ticks = setInterval(() => this.#tick(), SECOND_MS);
      const plan = new Maintenance({
        random: seeded(this.#options.seed + 3),
        pool: this.#pool,
        onDraining: (listing, leaves) => this.#promises.setDraining(listing, leaves),
        onRateLimit: (runner, ratePerS) => this.#promises.setRateLimit(runner, ratePerS),
      });
      await Promise.all([
        this.#faults.run(until),
        this.#operator.run(until),
        plan.run(until),
        ...this.#callers(until),
      ]);
      await this.#checkRecovery();
      clearInterval(ticks);
    } finally {
      await this.#stop();
    }
  }

  #callers(until: number): readonly Promise<void>[] {
    const { seed, ratePerS: perS } = this.#options;
    const promises = this.#promises;
    const timeline = this.#timeline;
    return Array.from({ length: CALLER_GROUPS }, (_, group) =>
      new CallerGroup({
        observer: {
          sent: (request) => promises.sent(request),
          answered: (request, vm, answer) => {
            timeline.recordAnswer(answer);
            promises.answered(request, vm, answer);
          },
          disconnected: (request) => promises.disconnected(request),
        },
        random: seeded(seed + 10 + group),
        keys: this.#operator,
        directories: this.#vms.map(({ directoryAddress: directory }) => directory),
      }).run(perS / CALLER_GROUPS, until),
    );
  }

  async #start(): Promise<void> {
    const { vms, runners } = this.#options;
    this.#store.era = '0';
    await this.#store.start();
    this.#operator.writeNext();
    for (let i = 0; i < Math.ceil(runners / 3); i += 1) await this.#pool.add('prefill');
    for (let i = 0; i < runners; i += 1) {
      await this.#pool.add('decode');
      await this.#pool.add('plain');
    }
    for (let i = 1; i <= vms; i += 1) this.#vms.push(this.#vm(i));
    await this.#mesh.start(this.#store.address);
    for (const vm of this.#vms) vm.start();
    await this.#serving(START_MS);
  }

  #vm(number: number): Vm {
    return new Vm({
      name: `vm-${number}`,
      ip: `${this.#net}.0.${number}`,
      domain: DOMAINS[number % DOMAINS.length] ?? '',
      store: this.#store.address,
      seed: `${this.#net}.0.1`,
      folder: this.folder,
    });
  }

  /** Resolves once all VMs are ready; throws after a limit. */
  async #serving(limitMs: number): Promise<void> {
    const until = Date.now() + limitMs;
    let missing: readonly string[] = ['all'];
    while (missing.length > 0) {
      if (Date.now() > until) throw new Error(`not ready: ${missing.join(' ')}`);
      await pause(100);
      const ready = await Promise.all(this.#vms.map((vm) => isReady(vm)));
      missing = this.#vms.filter((_, i) => !ready[i]).map(({ place }) => place.name);
    }
  }

  async #checkRecovery(): Promise<void> {
    await this.#serving(RECOVERY_MS).catch((error: Error) =>
      this.#timeline.recordBreach({ promise: 'recovery', detail: error.message }),
    );
    for (const { crashes: ownEnds } of this.#vms) {
      for (const detail of ownEnds) this.#timeline.recordBreach({ promise: 'own end', detail });
    }
  }

  #tick(): void {
    this.#promises.prune();
    this.#view()
      .then((view) => this.#timeline.recordSecond(view))
      .catch((error: Error) => console.error(error.message));
  }

  async #view(): Promise<FleetView> {
    const up = this.#vms.filter((vm) => vm.isUp && !vm.isPaused);
    const beliefs = await Promise.all(
      up.map((vm) =>
        Promise.race([
          call('GET', vm.snapshotUrl).catch(() => undefined),
          pause(SECOND_MS / 2, undefined, { ref: false }),
        ]),
      ),
    );
    const versions = beliefs.flatMap((answer) => {
      const { configVersion } = (answer?.body ?? {}) as { configVersion?: number };
      return configVersion === undefined || configVersion === 0 ? [] : [configVersion];
    });
    return { vmsUp: up.length, configVersions: versions };
  }

  async #stop(): Promise<void> {
    for (const vm of this.#vms) vm.signal('SIGKILL');
    await Promise.all(this.#vms.map((vm) => vm.waitForExit()));
    await this.#pool.stop();
    this.#mesh.stop();
    this.#store.stop();
  }
}

async function isReady({ place }: Vm): Promise<boolean> {
  const answer = call('GET', `http://${place.ip}:8141/v1/readiness`).catch(() => undefined);
  const limit = pause(SECOND_MS, undefined, { ref: false });
  return (await Promise.race([answer, limit]))?.status === 200;
}
