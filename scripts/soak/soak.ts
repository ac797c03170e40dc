/** One run: the program on some VMs, stand-ins around it, callers, faults, and the promises that are checked. */

import { mkdtempSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { setTimeout as pause } from 'node:timers/promises';

import { call } from '../../test/fakes/http';
import { FakeStore } from '../../test/fakes/store';
import { seeded } from '../../test/fakes/virtual/workload';
import { CallerGroup } from './callers';
import { Faults } from './faults';
import { Mesh } from './mesh';
import { Operator } from './operator';
import { Plan } from './plan';
import { RunnerPool } from './pool';
import type { Breach } from './promises';
import { Promises } from './promises';
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
  readonly perS: number;
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

  readonly #promises: Promises;

  readonly #operator: Operator;

  readonly #pool: RunnerPool;

  readonly #faults: Faults;

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
    const onBreach = (breach: Breach): void => timeline.breach(breach);
    this.#operator = new Operator({
      store,
      vms,
      random: seeded(seed + 1),
      onBreach,
      onSent: (request) => this.#promises.sent(request),
      calmMs: () => this.#faults.calmMs('vm', 'store'),
    });
    this.#promises = new Promises({
      onBreach,
      calmMs: (...families) => this.#faults.calmMs(...families),
      revokedAt: (key) => this.#operator.revokedAt(key),
      quotaOf: (customer) => this.#operator.quotaOf(customer),
    });
    const witness = this.#promises;
    this.#pool = new RunnerPool(store, { witness, random: seeded(seed + 2) }, this.#net, DOMAINS);
    this.#faults = new Faults(
      {
        random,
        vms,
        mesh: this.#mesh,
        store,
        pool: this.#pool,
        onReturn: () => this.#operator.writeAgain(),
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
  get used(): Readonly<Record<string, number>> {
    return this.#promises.used;
  }

  async run(): Promise<void> {
    try {
      await this.#start();
      const until = Date.now() + this.#options.seconds * 1000;
      const ticks = setInterval(() => this.#tick(), SECOND_MS);
      const plan = new Plan({
        random: seeded(this.#options.seed + 3),
        pool: this.#pool,
        onLeaving: (listing, leaves) => this.#promises.leaving(listing, leaves),
        onLimit: (runner, ratePerS) => this.#promises.limited(runner, ratePerS),
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
    const { seed, perS } = this.#options;
    const promises = this.#promises;
    const timeline = this.#timeline;
    return Array.from({ length: CALLER_GROUPS }, (_, group) =>
      new CallerGroup({
        witness: {
          sent: (request) => promises.sent(request),
          answered: (request, vm, answer) => {
            timeline.answered(answer);
            promises.answered(request, vm, answer);
          },
          left: (request) => promises.left(request),
        },
        random: seeded(seed + 10 + group),
        keys: this.#operator,
        directories: this.#vms.map(({ directory }) => directory),
      }).run(perS / CALLER_GROUPS, until),
    );
  }

  async #start(): Promise<void> {
    const { vms, runners } = this.#options;
    this.#store.era = '0';
    await this.#store.start();
    this.#operator.write();
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
      this.#timeline.breach({ promise: 'recovery', detail: error.message }),
    );
    for (const { ownEnds } of this.#vms) {
      for (const detail of ownEnds) this.#timeline.breach({ promise: 'own end', detail });
    }
  }

  #tick(): void {
    this.#promises.prune();
    this.#view()
      .then((view) => this.#timeline.tick(view))
      .catch((error: Error) => console.error(error.message));
  }

  async #view(): Promise<FleetView> {
    const up = this.#vms.filter((vm) => vm.up && !vm.frozen);
    const beliefs = await Promise.all(
      up.map((vm) =>
        Promise.race([
          call('GET', vm.beliefs).catch(() => undefined),
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
    await Promise.all(this.#vms.map((vm) => vm.gone()));
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
