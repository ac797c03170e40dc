/** Injects faults drawn from a seed: bursts of consecutive and overlapping faults, separated by fault-free periods. */

import { setTimeout as pause } from 'node:timers/promises';

import type { ActiveFault, FaultTargets } from './kinds';
import { FaultKinds, LOSS } from './kinds';
import type { Rollout } from './rollouts';
import { RolloutPlanner } from './rollouts';
import type { Vm } from './vm';

/** What faults act on, and callbacks about them. */
export interface FaultContext extends FaultTargets {
  /** Begins a release of another software version of runners. */
  readonly onRelease: () => void;
  /** Called when all VMs are killed at once. */
  readonly onFleetKill: () => void;
  /** Random numbers of planned stops and restarts, apart from those of other faults. */
  readonly rolloutRandom: () => number;
  /** Called when a fault begins; returns what to call when it ends. */
  readonly onFault: (name: string, target: string) => () => void;
}

/** A fault that has begun, and that has ended if it says when. */
interface FaultRecord {
  readonly name: string;
  readonly targets: readonly string[];
  readonly began: number;
  /** Infinite while the fault is in progress. */
  ended: number;
}

/** What a kind of fault acts on: the prefix of its name. */
export type FaultFamily = 'vm' | 'store' | 'runner' | 'path';

/** Time during which faults are injected. */
const BURST_MS = 16_000;
/** Fault-free time between two bursts. */
const PAUSE_MS = 12_000;
/** Time in which planned stops begin. */
const ROLLOUT_MS = 12_000;
/** Largest pause between the beginnings of two planned stops. */
const MAX_STOP_INTERVAL_MS = 1500;
/** Pause between parts of a cycle that are no bursts. */
const SHORT_PAUSE_MS = 3500;
/** Kinds of planned work, beside those that begin with `stop-`. */
const PLANNED_KINDS: ReadonlySet<string> = new Set(['vm-stop', 'vm-hangup', 'vm-hangups']);
/** Kinds after which the process of a VM goes on as before. */
const STEADY_KINDS: ReadonlySet<string> = new Set(['vm-hangup', 'vm-hangups', 'vm-clock']);
/** Kinds that act on the links between the VM that they name and others. */
const MESH_KINDS: ReadonlySet<string> = new Set(['vm-cut', 'vm-alone', 'vm-cut-some', 'vm-links']);
/** How often the store is copied for later restoration. */
const STORE_COPY_INTERVAL_MS = 5000;
/** Between the names of targets. */
const BETWEEN_TARGETS = ', ';

/** Draws faults, begins them and ends them. */
export class FaultInjector {
  readonly #context: FaultContext;

  readonly #enabledKinds: ReadonlySet<string> | undefined;

  readonly #counts: Record<string, number> = {};

  /** Targets of faults in progress; no other fault chooses them until the fault has ended. */
  readonly #busyTargets = new Set<string>();

  /** Work of the faults in progress. */
  readonly #active = new Set<Promise<void>>();

  readonly #records: FaultRecord[] = [];

  readonly #startedAt = Date.now();

  readonly #kinds: FaultKinds;

  readonly #rollouts: RolloutPlanner;

  #isRollingOut = false;

  /** @param enabledKinds names of the kinds to draw from; all if undefined */
  constructor(context: FaultContext, enabledKinds?: readonly string[]) {
    this.#context = context;
    this.#kinds = new FaultKinds(context, (target) => this.#busyTargets.has(target));
    this.#rollouts = new RolloutPlanner({
      ...context,
      random: context.rolloutRandom,
      onAllFail: (doFail) => this.#kinds.failRunners(doFail),
    });
    this.#enabledKinds = enabledKinds && new Set(enabledKinds);
  }

  /** Number of injected faults by kind. */
  get counts(): Readonly<Record<string, number>> {
    return this.#counts;
  }

  /**
   * Time since the last fault of the given families ended, in milliseconds; since the start if there
   * was none, and 0 while one is in progress.
   */
  faultFreeMs(...families: readonly FaultFamily[]): number {
    return this.#freeMs(({ name }) => families.includes(familyOf(name)));
  }

  /** The same for all faults that are no planned stops. */
  get unplannedFreeMs(): number {
    return this.#freeMs(({ name }) => !isPlanned(name));
  }

  /**
   * The same for those that act on one of some targets. A VM that is partitioned from all runners counts
   * as undisturbed between the beginning and the end of the partition.
   */
  unplannedFreeMsOf(targets: readonly string[]): number {
    const actsOn = (fault: FaultRecord): boolean =>
      MESH_KINDS.has(fault.name) || fault.targets.some((one) => targets.includes(one));
    return this.#freeMs(
      (fault) => !isPlanned(fault.name) && actsOn(fault),
      (fault) => (familyOf(fault.name) === 'path' ? fault.began : Date.now()),
    );
  }

  /** The same for those, planned or not, that end, suspend or cut off a VM. */
  steadyMsOf(vm: string): number {
    const isMeant = ({ name, targets }: FaultRecord): boolean =>
      familyOf(name) === 'vm' && !STEADY_KINDS.has(name) && targets.includes(vm);
    return this.#freeMs(isMeant);
  }

  #freeMs(
    counts: (fault: FaultRecord) => boolean,
    lastActOf: (active: FaultRecord) => number = () => Date.now(),
  ): number {
    const acts = this.#records
      .filter(counts)
      .map((fault) => (fault.ended === Infinity ? lastActOf(fault) : fault.ended));
    return Date.now() - acts.reduce((last, at) => Math.max(last, at), this.#startedAt);
  }

  /** Whether a fault acts on one of some targets. */
  isBusy(targets: readonly string[]): boolean {
    return targets.some((target) => this.#busyTargets.has(target));
  }

  /** Injects faults until the given time (epoch milliseconds), and waits until they have ended. */
  async run(until: number): Promise<void> {
    const copying = setInterval(() => this.#kinds.copyStore(), STORE_COPY_INTERVAL_MS);
    while (Date.now() < until) {
      await this.#runRollout((end) => this.#stopVms(end), until);
      await this.#runStorm(until);
      await this.#runRollout(() => this.#restartFleet(), until);
    }
    clearInterval(copying);
  }

  async #runStorm(until: number): Promise<void> {
    if (this.#enabled(this.#kinds.starters).length === 0) return;
    await this.#runBurst(Math.min(until, Date.now() + BURST_MS));
    await Promise.all(this.#active);
    await pause(Math.max(0, Math.min(PAUSE_MS, until - Date.now())));
  }

  /** Whether planned stops or restarts of the fleet are under way. */
  get isRollingOut(): boolean {
    return this.#isRollingOut;
  }

  async #runRollout(work: (until: number) => Promise<void>, until: number): Promise<void> {
    if (Date.now() >= until) return;
    this.#isRollingOut = true;
    await work(Math.min(until, Date.now() + ROLLOUT_MS));
    await Promise.all(this.#active);
    this.#isRollingOut = false;
    await pause(SHORT_PAUSE_MS);
  }

  async #restartFleet(): Promise<void> {
    const kinds = this.#enabled(this.#rollouts.restarts());
    const [name, draw] = kinds[Math.floor(this.#context.rolloutRandom() * kinds.length)] ?? [];
    if (name === undefined || !draw) return;
    this.#begin(name, activeOf(draw()));
  }

  async #stopVms(until: number): Promise<void> {
    const { rolloutRandom: random } = this.#context;
    const isFree = ({ options }: Vm): boolean => !this.#busyTargets.has(options.name);
    const kinds = this.#enabled(this.#rollouts.stops(isFree));
    while (Date.now() < until && kinds.length > 0) {
      const [name, draw] = kinds[Math.floor(random() * kinds.length)] ?? [];
      const rollout = draw?.();
      if (name !== undefined && rollout) this.#begin(name, activeOf(rollout));
      await pause(random() * MAX_STOP_INTERVAL_MS);
    }
  }

  #enabled<T>(kinds: Readonly<Record<string, T>>): readonly (readonly [string, T])[] {
    return Object.entries(kinds).filter(
      ([name]) => !this.#enabledKinds || this.#enabledKinds.has(name),
    );
  }

  async #runBurst(until: number): Promise<void> {
    const { random } = this.#context;
    const kinds = this.#enabled(this.#kinds.starters);
    const loss = kinds.find(([name]) => name === LOSS);
    if (loss) this.#begin(LOSS, loss[1]());
    while (Date.now() < until && kinds.length > 0) {
      const [name, start] = kinds[Math.floor(random() * kinds.length)] ?? [];
      if (name !== undefined && start) this.#begin(name, start());
      await pause(100 + random() * 1800);
    }
  }

  #begin(name: string, fault: ActiveFault | undefined): void {
    if (!fault) return;
    const { targets, done } = fault;
    const record: FaultRecord = { name, targets, began: Date.now(), ended: Infinity };
    this.#records.push(record);
    targets.forEach((one) => this.#busyTargets.add(one));
    this.#counts[name] = (this.#counts[name] ?? 0) + 1;
    const onEnd = this.#context.onFault(name, targets.join(BETWEEN_TARGETS));
    const work = done
      .catch((error: Error) => console.error(`${name}: ${error.message}`))
      .finally(() => {
        this.#active.delete(work);
        targets.forEach((one) => this.#busyTargets.delete(one));
        record.ended = Date.now();
        onEnd();
      });
    this.#active.add(work);
  }
}

function activeOf({ vms, run }: Rollout): ActiveFault {
  return { targets: vms.map(({ options }) => options.name), done: run() };
}

function isPlanned(name: string): boolean {
  return name.startsWith('stop-') || PLANNED_KINDS.has(name);
}

function familyOf(name: string): FaultFamily {
  const [family] = name.split('-');
  return family === 'stop' || family === 'fleet' ? 'vm' : (family as FaultFamily);
}
