/** Planned stops of VMs in many orders, and restarts of the whole fleet during a release of runners. */

import { setTimeout as pause } from 'node:timers/promises';

import type { Vm } from './vm';
import { SLICE_MS } from './vm';

/** What planned stops and restarts act on. */
export interface RolloutContext {
  readonly random: () => number;
  readonly vms: readonly Vm[];
  /** Begins to replace some runners by others of another software version. */
  readonly onRelease: () => void;
  /** Called when all VMs are killed at once. */
  readonly onFleetKill: () => void;
  /** Makes all runners fail most of their requests, or none. */
  readonly onAllFail: (doFail: boolean) => void;
}

/** Work on some VMs. */
export interface Rollout {
  readonly vms: readonly Vm[];
  readonly run: () => Promise<void>;
}

/** Fraction of the VMs that may be stopping or starting at the same time. */
const MAX_STOPPED_RATIO = 0.6;
/** Time after the start of a process that counts as part of its stop: the others do not know it yet. */
const START_MS = 2000;
const MAX_DOWN_MS = 1000;
/** Range of the time for which a VM is slow before it is stopped. */
const MAX_SLOW_MS = 2000;
/** Largest fraction of the time for which the event loop of a slow VM is blocked. */
const MAX_BLOCKED_RATIO = 0.8;
/** Range of the age of a process that is stopped soon after its start. */
const MAX_YOUNG_MS = 3000;
/** Range of the time from SIGHUP to SIGTERM. */
const MAX_HANGUP_MS = 1000;
/** Range of the times of repeated signals. */
const MAX_REPEAT_MS = 5000;
/** Range of the time from the beginning of a release to the restart of the fleet; the old version leaves meanwhile. */
const MAX_RELEASE_MS = 7000;
/** Kills of a fleet, as the fraction of the VMs and the pause after it. */
const ONE_KILL = [[1, 0]] as const;
const THREE_KILLS = [
  [0.6, 1400],
  [1, 5600],
  [1, 0],
] as const;
/** Kills of a fleet whose runners fail: within one window of the retry budget. */
const KILLS_UNDER_FAILURE = [
  [1, 1800],
  [1, 1800],
  [1, 3000],
] as const;
/** Time for which runners fail before the first of these, in milliseconds. */
const FAILURE_MS = 2000;

/** Draws planned stops of VMs and restarts of the fleet. */
export class RolloutPlanner {
  readonly #context: RolloutContext;

  constructor(context: RolloutContext) {
    this.#context = context;
  }

  /** Kinds of planned stops by name; each returns undefined if too few VMs are free. */
  stops(isFree: (vm: Vm) => boolean): Readonly<Record<string, () => Rollout | undefined>> {
    const { random } = this.#context;
    const one =
      (before: (vm: Vm) => Promise<void>, count = 1): (() => Rollout | undefined) =>
      () =>
        this.#stop(count, isFree, before);
    return {
      'stop-one': one(async () => undefined),
      'stop-two': one(async () => undefined, 2),
      'stop-again': one(async (vm) => this.#repeat(vm)),
      'stop-hangup': one(async (vm) => {
        vm.signal('SIGHUP');
        await pause(random() * MAX_HANGUP_MS);
      }),
      'stop-young': one(async (vm) => {
        await vm.terminate();
        vm.start();
        await pause(random() * MAX_YOUNG_MS);
      }),
      'stop-slow': one((vm) => this.#slowDown(vm)),
    };
  }

  /** Restarts of all VMs at once, while a release is under way or has just ended, or all runners fail. */
  restarts(): Readonly<Record<string, () => Rollout>> {
    const { vms } = this.#context;
    return {
      'fleet-kill': () => ({ vms, run: () => this.#restartFleet(ONE_KILL) }),
      'fleet-kills': () => ({ vms, run: () => this.#restartFleet(THREE_KILLS) }),
      'fleet-kills-failing': () => ({ vms, run: () => this.#restartUnderFailure() }),
    };
  }

  #stop(
    count: number,
    isFree: (vm: Vm) => boolean,
    before: (vm: Vm) => Promise<void>,
  ): Rollout | undefined {
    const { vms, random } = this.#context;
    const free = vms.filter((vm) => vm.isUp && isFree(vm));
    if (vms.length - free.length + count > vms.length * MAX_STOPPED_RATIO) return undefined;
    const chosen = Array.from({ length: count }, () =>
      free.splice(Math.floor(random() * free.length), 1),
    ).flat();
    const run = async (): Promise<void> => {
      await Promise.all(
        chosen.map(async (vm) => {
          await before(vm);
          await vm.terminate();
          await pause(random() * MAX_DOWN_MS);
          vm.start();
          await pause(START_MS);
        }),
      );
    };
    return { vms: chosen, run };
  }

  #repeat(vm: Vm): void {
    const { random } = this.#context;
    const life = vm.startCount;
    const repeat = (): void => {
      if (vm.startCount === life) vm.signal('SIGTERM');
    };
    for (let i = 0; i < 3; i += 1) setTimeout(repeat, random() * MAX_REPEAT_MS);
  }

  async #slowDown(vm: Vm): Promise<void> {
    const { random } = this.#context;
    vm.block(SLICE_MS * MAX_BLOCKED_RATIO * (0.3 + 0.7 * random()));
    await pause(random() * MAX_SLOW_MS);
  }

  async #restartUnderFailure(): Promise<void> {
    const { onAllFail } = this.#context;
    onAllFail(true);
    await pause(FAILURE_MS);
    await this.#killInTurn(KILLS_UNDER_FAILURE);
    onAllFail(false);
    await pause(START_MS);
  }

  async #restartFleet(kills: readonly (readonly [number, number])[]): Promise<void> {
    const { random, onRelease } = this.#context;
    onRelease();
    await pause(random() * MAX_RELEASE_MS);
    await this.#killInTurn(kills);
    await pause(START_MS);
  }

  async #killInTurn(kills: readonly (readonly [number, number])[]): Promise<void> {
    const { vms, onFleetKill } = this.#context;
    for (const [ratio, pauseMs] of kills) {
      const killed = vms.slice(0, Math.ceil(vms.length * ratio));
      if (killed.length === vms.length) onFleetKill();
      await Promise.all(killed.map((vm) => this.#restart(vm)));
      await pause(pauseMs);
    }
  }

  async #restart(vm: Vm): Promise<void> {
    vm.signal('SIGKILL');
    await vm.waitForExit();
    await pause(this.#context.random() * MAX_DOWN_MS);
    vm.start();
  }
}
