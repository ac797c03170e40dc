/** One soak run: router processes on several VMs, stand-ins for the platform, callers, faults, and the guarantees that are checked. */

import { mkdtempSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { setTimeout as pause } from 'node:timers/promises';

import { call } from '../../test/fakes/http';
import { FakeStore } from '../../test/fakes/store';
import { seeded } from '../../test/fakes/virtual/workload';
import type { CallerObserver } from './callers';
import { Crowd } from './crowd';
import { FaultInjector } from './faults';
import { ALL_MODEL, ALL_PLAIN } from './kinds';
import { Mesh } from './mesh';
import { Newcomers } from './newcomers';
import { OddEntries, oddKinds } from './oddentries';
import { Operator } from './operator';
import { FIRST_VERSION, Maintenance } from './maintenance';
import { RunnerPool } from './pool';
import type { Breach } from './guarantees';
import { GuaranteeChecker } from './guarantees';
import { QUIET, RunnerSilences, SilenceLog } from './silences';
import { MIN_FAULT_FREE_MS } from './terms';
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

const DOMAINS = ['north', 'centre', 'south'];
/** Name of the kind of planned work in which some answers have no length, and the fraction of them. */
const UNSIZED = 'runner-unsized';
const UNSIZED_RATIO = 0.1;
/** Time within which all VMs must become ready after the start. */
const STARTUP_TIMEOUT_MS = 30_000;
const SECOND_MS = 1000;
/** Time without faults before a request is sent from which on silences of its runner count. */
const UNDISTURBED_MS = 3000;
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

  readonly #silences: RunnerSilences;

  readonly #newcomers: Newcomers;

  readonly #odd: OddEntries;

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
    const silences = new SilenceLog();
    this.#guarantees = new GuaranteeChecker({
      onBreach,
      silences,
      isSteady: (ip, forMs) => this.#isSteady(ip, forMs),
      isUndisturbed: (vm, runnerIds, sentAt) => this.#isUndisturbed(vm, runnerIds, sentAt),
      onLostStreamEnd: (end) => timeline.recordLostStreamEnd(end),
      faultFreeMs: (...families) => this.#faults.faultFreeMs(...families),
      revokedAt: (key) => this.#operator.revokedAt(key),
      quotaOf: (customer) => this.#operator.quotaOf(customer),
      unplannedFreeMs: () => this.#faults.unplannedFreeMs,
      isInTouch: (address) => this.#isInTouch(address),
      wasBesideOdd: (at) => this.#odd.wasStanding(at),
      runnersOf: (version) => this.#pool.decodersOf(version).length,
    });
    const observer = this.#guarantees;
    this.#pool = new RunnerPool(
      store,
      {
        observer,
        random: seeded(seed + 2),
        reportsSlowness: seed % 2 === 1,
        unsizedRatio: this.#isEnabled(UNSIZED) ? UNSIZED_RATIO : 0,
      },
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
        onStoreRestored: () => {
          this.#operator.rewrite();
          this.#odd.clean();
        },
        onRunnersCut: ({ frontAddress }, isCut) =>
          this.#guarantees.setRunnersCut(frontAddress, isCut),
        onLost: ({ runner }) => this.#guarantees.setLost(runner.instanceId),
        onFault: (name, target) => timeline.recordFault(name, target),
      },
      options.faults,
    );
    this.#newcomers = new Newcomers({
      pool: this.#pool,
      vms,
      version: FIRST_VERSION,
      probe: (vm, path) => this.#operator.probe(vm, path),
      isInTouch: (address) => this.#isInTouch(address),
      unplannedFreeMs: () => this.#faults.unplannedFreeMs,
      onBreach,
      onDraining: (instanceId, isDraining) => observer.setDraining(instanceId, isDraining),
    });
    this.#odd = new OddEntries({
      random: seeded(seed + 7),
      kinds: oddKinds.filter((kind) => this.#isEnabled(kind)),
      store,
      pool: this.#pool,
      networkPrefix: this.#networkPrefix,
      newcomers: this.#newcomers,
      onEntry: (kind, what) => timeline.recordFault(kind, what),
    });
    this.#silences = new RunnerSilences({
      random: seeded(seed + 6),
      pool: this.#pool,
      log: silences,
      isBusy: (runnerId) => this.#faults.isBusy([runnerId]),
      onSilence: (runnerId) => timeline.recordFault(QUIET, runnerId),
      onHeldRequest: (requestId, runnerId) => observer.setHeld(requestId, runnerId),
    });
  }

  /** Number of injected faults by kind, and what was counted of the guarantees. */
  get summary(): Readonly<Record<string, unknown>> {
    const odd = { oddEntries: this.#odd.counts, newcomers: this.#newcomers.counts };
    const counts = { faults: this.#faults.counts, ...odd };
    return { ...counts, ...this.#guarantees.summary };
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
        ...this.#planned(until),
        this.#createCrowd().run(until),
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

  /**
   * Whether no fault acts on a VM, on some runners or on the store, and none has from some time before `sentAt`
   * on. Others forward the requests of a VM that is partitioned from all runners, so that all count then.
   */
  #isUndisturbed(address: string, runnerIds: readonly string[], sentAt: number): boolean {
    const forMs = Date.now() - sentAt;
    const vm = this.#vms.find(({ frontAddress }) => frontAddress === address);
    const vms = vm?.isCutFromRunners ? this.#vms : [vm];
    const members = runnerIds.map((id) => this.#pool.find(id));
    const isPlain = members.some((member) => member?.runner.role === 'plain');
    const targets = [
      'store',
      ...this.#vms.map((_, index) => `store link ${index + 1}`),
      ...vms.map((one) => one?.options.name ?? ''),
      ...runnerIds,
      isPlain ? ALL_PLAIN : ALL_MODEL,
    ];
    const isSound = this.#faults.unplannedFreeMsOf(targets) >= forMs + UNDISTURBED_MS;
    return isSound && members.every((member) => (member?.runner.upForMs ?? 0) >= forMs);
  }

  #isSteady(ip: string, forMs: number): boolean {
    const vm = this.#vms.find(({ options }) => options.ip === ip);
    return vm !== undefined && this.#faults.steadyMsOf(vm.options.name) > forMs;
  }

  #planned(until: number): readonly Promise<void>[] {
    return [
      ...(this.#isEnabled(QUIET) ? [this.#silences.run(until)] : []),
      ...(oddKinds.some((kind) => this.#isEnabled(kind)) ? [this.#odd.run(until)] : []),
    ];
  }

  #isEnabled(kind: string): boolean {
    const { faults } = this.#options;
    return faults === undefined || faults.includes(kind);
  }

  #createCrowd(): Crowd {
    const { seed, ratePerS } = this.#options;
    const guarantees = this.#guarantees;
    const observer: CallerObserver = {
      sent: (request, vm) => guarantees.sent(request, vm),
      answered: (request, vm, answer) => {
        this.#timeline.recordAnswer(answer);
        guarantees.answered(request, vm, answer);
      },
      closedEarly: (ip, kept) => guarantees.closedEarly(ip, kept),
      disconnected: (request) => guarantees.disconnected(request),
    };
    return new Crowd({
      seed,
      ratePerS,
      directories: this.#vms.map(({ directoryAddress }) => directoryAddress),
      observer,
      operator: this.#operator,
      isRollingOut: () => this.#faults.isRollingOut,
      isCalm: () => this.#faults.faultFreeMs('vm', 'store', 'runner', 'path') >= MIN_FAULT_FREE_MS,
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
      keepsSettings: this.#options.seed % 2 === 1,
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
