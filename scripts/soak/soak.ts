/** One soak run: router processes on several VMs, stand-ins for the platform, callers, faults, and the guarantees that are checked. */

import { mkdtempSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { setTimeout as pause } from 'node:timers/promises';

import { call } from '../../test/fakes/http';
import { FakeStore } from '../../test/fakes/store';
import { seeded } from '../../test/fakes/virtual/workload';
import type { AddressBook } from './addresses';
import { OwnAddresses, SharedAddresses } from './addresses';
import type { StreamUse } from './callers';
import { allKinds, CallerGroup, shortStreams, streamKinds } from './callers';
import { FaultInjector } from './faults';
import { Mesh } from './mesh';
import { customerPriorities, MODEL_TIMEOUT_MS, Operator } from './operator';
import { FIRST_VERSION, Maintenance } from './maintenance';
import { RunnerPool } from './pool';
import type { Breach } from './guarantees';
import { GuaranteeChecker, MIN_FAULT_FREE_MS } from './guarantees';
import type { FleetView, Timeline } from './timeline';
import { Vm } from './vm';

/** Size and duration of a run. */
export interface SoakOptions {
  readonly seed: number;
  readonly seconds: number;
  readonly vms: number;
  /** Number of decode runners; there are as many plain runners, and a third as many prefill runners. */
  readonly runners: number;
  /** Requests per second of all callers together. */
  readonly ratePerS: number;
  /** Kinds of faults to draw from; undefined for all. */
  readonly faults: readonly string[] | undefined;
  /** File of the program that the VMs run. */
  readonly program: string;
}

/** How a group of callers differs from the usual. */
interface CallerOptions {
  /** Whose streams its callers send; undefined for all requests of all customers. */
  readonly customer?: string | undefined;
  readonly addresses?: AddressBook;
  readonly streams?: StreamUse;
}

const DOMAINS = ['north', 'centre', 'south'];
const CALLER_GROUPS = 6;
/** Callers that look up addresses for themselves and use long streams, during planned stops and restarts. */
const LONG_CALLERS = 16;
/** Their requests per second, relative to those of all others outside of that time, and those of the others in it. */
const LONG_CALLER_FACTOR = 0.3;
const ROLLOUT_FACTOR = 0.3;
/** Event counts of their streams: short ones, ones of 2 to 6 s, and ones that may outlast the grace period. */
const EVENT_RANGES = [
  [5, 33],
  [33, 100],
  [33, 100],
  [110, 190],
] as const;
const longStreams: StreamUse = {
  drawEvents: (random) => {
    const [min, max] = EVENT_RANGES[Math.floor(random() * EVENT_RANGES.length)] ?? EVENT_RANGES[0];
    return min + Math.floor(random() * (max - min));
  },
  deadlineMs: MODEL_TIMEOUT_MS,
  maxAttempts: 20,
  maxPauseMs: 800,
};
/**
 * Streams per second of a flood, relative to all requests of all customers: its customer then sends seven
 * times its usual streams, and all together nearly twice what the decode runners can serve.
 */
const FLOOD_FACTOR = 1;
const FLOOD_INTERVAL_MS = 6000;
const FLOOD_MS = 4000;
/** Time within which all VMs must become ready after the start. */
const STARTUP_TIMEOUT_MS = 30_000;
const SECOND_MS = 1000;
/** Time since its start after which a VM is in touch. */
const IN_TOUCH_MS = 3000;
/** Time within which all VMs must be ready again after the last fault. */
const RECOVERY_TIMEOUT_MS = 15_000;

/** Runs the soak and owns its processes and stand-ins. */
export class Soak {
  /** Folder of the VMs' settings and logs. */
  readonly folder = mkdtempSync(join(tmpdir(), 'goldcrestdock-soak-'));

  readonly #options: SoakOptions;

  readonly #timeline: Timeline;

  readonly #store = new FakeStore();

  readonly #vms: Vm[] = [];

  readonly #mesh: Mesh;

  readonly #guarantees: GuaranteeChecker;

  readonly #operator: Operator;

  readonly #pool: RunnerPool;

  readonly #faults: FaultInjector;

  readonly #maintenance: Maintenance;

  readonly #networkPrefix: string;

  constructor(options: SoakOptions, timeline: Timeline) {
    this.#options = options;
    this.#timeline = timeline;
    // Derived from the process id, so that concurrent runs use different addresses (except for equal remainders).
    this.#networkPrefix = `127.${60 + (process.pid % 60)}`;
    const { seed } = options;
    this.#mesh = new Mesh(this.#networkPrefix, this.#vms);
    const random = seeded(seed);
    const store = this.#store;
    const vms = this.#vms;
    const onBreach = (breach: Breach): void => timeline.recordBreach(breach);
    this.#operator = new Operator({
      store,
      vms,
      random: seeded(seed + 1),
      onBreach,
      onSent: (request, vm) => this.#guarantees.sent(request, vm),
      faultFreeMs: () => this.#faults.faultFreeMs('vm', 'store'),
    });
    this.#guarantees = new GuaranteeChecker({
      onBreach,
      onLostStreamEnd: (end) => timeline.recordLostStreamEnd(end),
      faultFreeMs: (...families) => this.#faults.faultFreeMs(...families),
      revokedAt: (key) => this.#operator.revokedAt(key),
      quotaOf: (customer) => this.#operator.quotaOf(customer),
      unplannedFreeMs: () => this.#faults.unplannedFreeMs,
      isInTouch: (address) => this.#isInTouch(address),
      runnersOf: (version) => this.#pool.decodersOf(version).length,
    });
    const observer = this.#guarantees;
    this.#pool = new RunnerPool(
      store,
      { observer, random: seeded(seed + 2), reportsSlowness: seed % 2 === 1 },
      this.#networkPrefix,
      DOMAINS,
    );
    this.#maintenance = new Maintenance({
      random: seeded(seed + 3),
      pool: this.#pool,
      onDraining: (instanceId, isDraining) => observer.setDraining(instanceId, isDraining),
      onRateLimit: (instanceId, ratePerS) => observer.setRateLimit(instanceId, ratePerS),
    });
    this.#faults = new FaultInjector(
      {
        random,
        vms,
        mesh: this.#mesh,
        store,
        pool: this.#pool,
        rolloutRandom: seeded(seed + 5),
        onFleetKill: () => this.#guarantees.setFleetKilled(),
        onRelease: () => {
          this.#maintenance.release().catch((error: Error) => console.error(error.message));
        },
        onStoreRestored: () => this.#operator.rewrite(),
        onRunnersCut: ({ frontAddress }, isCut) =>
          this.#guarantees.setRunnersCut(frontAddress, isCut),
        onLost: ({ runner }) => this.#guarantees.setLost(runner.instanceId),
        onFault: (id, name, target, begins) => timeline.recordFault(id, name, target, begins),
      },
      options.faults,
    );
  }

  /** Number of injected faults by kind. */
  get faultCounts(): Readonly<Record<string, number>> {
    return this.#faults.counts;
  }

  /** Streams that callers took up again, and how many of them went on. */
  get streamCounts(): Readonly<Record<string, number>> {
    return this.#guarantees.streamCounts;
  }

  /** Requests that ended while their VM stopped. */
  get stopCounts(): Readonly<Record<string, number>> {
    return this.#guarantees.stopCounts;
  }

  /** By how much less urgent kinds of streams were served more often than more urgent ones. */
  get leads(): Readonly<Record<string, number>> {
    return this.#guarantees.leads;
  }

  /** Highest observed value of each bounded amount, as a fraction of its bound. */
  get peakUsage(): Readonly<Record<string, number>> {
    return this.#guarantees.peakUsage;
  }

  /** Runs for the configured time, checks the recovery and stops all processes. Throws if the VMs do not become ready. */
  async run(): Promise<void> {
    try {
      await this.#start();
      const until = Date.now() + this.#options.seconds * 1000;
      const recording = setInterval(() => this.#recordSecond(), SECOND_MS);
      await Promise.all([
        this.#faults.run(until),
        this.#operator.run(until),
        this.#maintenance.run(until),
        ...this.#callers(until),
        ...this.#longCallers(until),
        this.#flood(until),
      ]);
      await this.#checkRecovery();
      this.#guarantees.finish();
      clearInterval(recording);
    } finally {
      await this.#stop();
    }
  }

  #isInTouch(address: string): boolean {
    const vm = this.#vms.find(({ frontAddress }) => frontAddress === address);
    const targets = ['store', vm?.options.name ?? ''];
    return (
      vm !== undefined && !vm.isPaused && vm.upForMs > IN_TOUCH_MS && !this.#faults.isBusy(targets)
    );
  }

  #callers(until: number): readonly Promise<void>[] {
    const { seed, ratePerS } = this.#options;
    return Array.from({ length: CALLER_GROUPS }, (_, group) =>
      this.#callerGroup(seeded(seed + 10 + group)).run(
        () => (ratePerS / CALLER_GROUPS) * (this.#faults.isRollingOut ? ROLLOUT_FACTOR : 1),
        until,
      ),
    );
  }

  #longCallers(until: number): readonly Promise<void>[] {
    const { seed, ratePerS } = this.#options;
    return Array.from({ length: LONG_CALLERS }, async (_, index) => {
      const random = seeded(seed + 100 + index);
      const addresses = new OwnAddresses(this.#directories, random);
      const caller = this.#callerGroup(random, { addresses, streams: longStreams });
      await caller.run(
        () => (this.#faults.isRollingOut ? (ratePerS * LONG_CALLER_FACTOR) / LONG_CALLERS : 0),
        until,
      );
    });
  }

  /** Floods of one customer at a time, alternately at any moment and while no fault is in progress. */
  async #flood(until: number): Promise<void> {
    const { seed, ratePerS } = this.#options;
    const random = seeded(seed + 4);
    for (let flood = 0; Date.now() < until - FLOOD_MS; flood += 1) {
      await pause(FLOOD_INTERVAL_MS * (0.5 + random()));
      const awaitsCalm = flood % 2 === 0;
      while (Date.now() < until && (this.#faults.isRollingOut || (awaitsCalm && !this.#isCalm))) {
        await pause(100);
      }
      // Without a quota, so that the model runners are overloaded.
      const names = Object.keys(customerPriorities).filter(
        (name) => !awaitsCalm || this.#operator.quotaOf(name) === undefined,
      );
      const customer = names[Math.floor(random() * names.length)];
      const end = Math.min(until, Date.now() + FLOOD_MS);
      await this.#callerGroup(random, { customer }).run(() => ratePerS * FLOOD_FACTOR, end);
    }
  }

  get #isCalm(): boolean {
    return this.#faults.faultFreeMs('vm', 'store', 'runner', 'path') >= MIN_FAULT_FREE_MS;
  }

  get #directories(): readonly string[] {
    return this.#vms.map(({ directoryAddress }) => directoryAddress);
  }

  /** By default, its callers share look-ups and use short streams. */
  #callerGroup(
    random: () => number,
    {
      customer,
      addresses = new SharedAddresses(this.#directories, random),
      streams = shortStreams,
    }: CallerOptions = {},
  ): CallerGroup {
    const guarantees = this.#guarantees;
    const timeline = this.#timeline;
    return new CallerGroup({
      observer: {
        sent: (request, vm) => guarantees.sent(request, vm),
        answered: (request, vm, answer) => {
          timeline.recordAnswer(answer);
          guarantees.answered(request, vm, answer);
        },
        disconnected: (request) => guarantees.disconnected(request),
      },
      random,
      keys: { drawKey: () => this.#operator.drawKey(customer) },
      kinds: customer === undefined ? allKinds : streamKinds,
      addresses,
      streams,
    });
  }

  async #start(): Promise<void> {
    const { vms, runners } = this.#options;
    this.#store.era = '0';
    await this.#store.start();
    this.#operator.writeNext();
    for (let i = 0; i < Math.ceil(runners / 3); i += 1) {
      await this.#pool.add('prefill', FIRST_VERSION);
    }
    for (let i = 0; i < runners; i += 1) {
      await this.#pool.add('decode', FIRST_VERSION);
      await this.#pool.add('plain', FIRST_VERSION);
    }
    for (let i = 1; i <= vms; i += 1) this.#vms.push(this.#createVm(i));
    await this.#mesh.start(this.#store.address);
    for (const vm of this.#vms) vm.start();
    await this.#waitUntilReady(STARTUP_TIMEOUT_MS);
  }

  #createVm(number: number): Vm {
    return new Vm({
      name: `vm-${number}`,
      ip: `${this.#networkPrefix}.0.${number}`,
      domain: DOMAINS[number % DOMAINS.length] ?? '',
      store: this.#store.address,
      seed: `${this.#networkPrefix}.0.1`,
      folder: this.folder,
      program: this.#options.program,
      onStopping: ({ frontAddress }) => this.#guarantees.setStopping(frontAddress),
    });
  }

  /** Resolves once all VMs are ready; throws after `limitMs`. */
  async #waitUntilReady(limitMs: number): Promise<void> {
    const until = Date.now() + limitMs;
    let missing: readonly string[] = ['all'];
    while (missing.length > 0) {
      if (Date.now() > until) throw new Error(`not ready: ${missing.join(' ')}`);
      await pause(100);
      const ready = await Promise.all(this.#vms.map((vm) => isReady(vm)));
      missing = this.#vms.filter((_, i) => !ready[i]).map(({ options }) => options.name);
    }
  }

  async #checkRecovery(): Promise<void> {
    await this.#waitUntilReady(RECOVERY_TIMEOUT_MS).catch((error: Error) =>
      this.#timeline.recordBreach({ promise: 'recovery', detail: error.message }),
    );
    for (const { crashes } of this.#vms) {
      for (const detail of crashes) this.#timeline.recordBreach({ promise: 'own end', detail });
    }
  }

  #recordSecond(): void {
    this.#guarantees.prune();
    this.#readFleet()
      .then((view) => this.#timeline.recordSecond(view))
      .catch((error: Error) => console.error(error.message));
  }

  async #readFleet(): Promise<FleetView> {
    const up = this.#vms.filter((vm) => vm.isUp && !vm.isPaused);
    const answers = await Promise.all(
      up.map((vm) =>
        Promise.race([
          call('GET', vm.snapshotUrl).catch(() => undefined),
          pause(SECOND_MS / 2, undefined, { ref: false }),
        ]),
      ),
    );
    const versions = answers.flatMap((answer) => {
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

async function isReady({ options }: Vm): Promise<boolean> {
  const answer = call('GET', `http://${options.ip}:8141/v1/readiness`).catch(() => undefined);
  const limit = pause(SECOND_MS, undefined, { ref: false });
  return (await Promise.race([answer, limit]))?.status === 200;
}
