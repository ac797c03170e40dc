/** Runners that are registered beside odd entries, for a service of their own: each VM must use them soon. */

import { setTimeout as pause } from 'node:timers/promises';

import type { Breach } from './guarantees';
import type { RunnerPool } from './pool';
import { services } from './pool';
import type { SoakRunner } from './runner';
import type { Vm } from './vm';

/** Path prefix of the route of their service. */
export const LATE_PREFIX = '/late/';

/** Dependencies of the runners. */
export interface NewcomerContext {
  readonly pool: RunnerPool;
  readonly vms: readonly Vm[];
  /** Software version of the runners. */
  readonly version: string;
  /** Sends a request to a VM; returns the status of the answer, 0 without one. */
  readonly probe: (vm: Vm, path: string) => Promise<number>;
  /** Whether the VM at an address is undisturbed, and has been for a while. */
  readonly isInTouch: (vm: string) => boolean;
  /** Time since the last fault that is no planned stop ended, in milliseconds; 0 while one is in progress. */
  readonly unplannedFreeMs: () => number;
  readonly onBreach: (breach: Breach) => void;
  /** Called when a runner begins to drain, and when it has ended. */
  readonly onDraining: (instanceId: string, isDraining: boolean) => void;
}

/** Time in which VMs may learn of a runner, and by which each must have used it. */
const LEARN_MS = 2500;
const USED_MS = 6000;
const PROBE_INTERVAL_MS = 400;
const DRAIN_MS = 4000;
const SERVED = 200;

/** Registers runners and sends requests for them. */
export class Newcomers {
  readonly #context: NewcomerContext;

  readonly #counts = { registered: 0, usedAtVms: 0, excusedAtVms: 0, unusedAtVms: 0 };

  constructor(context: NewcomerContext) {
    this.#context = context;
  }

  /** Runners registered so far, and the VMs that used them, were disturbed, or did not use them. */
  get counts(): Readonly<Record<string, number>> {
    return this.#counts;
  }

  /** Registers a runner, lets it serve for a while, and removes it. */
  async run(): Promise<void> {
    const { pool, version, onDraining } = this.#context;
    const member = await pool.add('plain', version, services.late);
    const { runner } = member;
    const { instanceId } = runner;
    this.#counts.registered += 1;
    await pause(LEARN_MS);
    await this.#check(runner);
    pool.drain(member, true);
    onDraining(instanceId, true);
    await pause(DRAIN_MS);
    await pool.remove(member);
    onDraining(instanceId, false);
  }

  async #check(runner: SoakRunner): Promise<void> {
    const { vms, isInTouch, unplannedFreeMs, onBreach } = this.#context;
    const { instanceId } = runner;
    const pending = new Set(vms);
    const excused = new Set<Vm>();
    while (runner.upForMs < USED_MS && runner.instanceId === instanceId && pending.size > 0) {
      await Promise.all([...pending].map((vm) => this.#probe(vm, pending)));
      for (const vm of pending) if (!isInTouch(vm.frontAddress)) excused.add(vm);
      await pause(PROBE_INTERVAL_MS);
    }
    const { isLeaving, pauseMs, ratePerS, isUp } = runner;
    const wantsRequests = isUp && !isLeaving && pauseMs === undefined && ratePerS === undefined;
    const isSound = wantsRequests && runner.instanceId === instanceId;
    const isUndisturbed = unplannedFreeMs() >= USED_MS;
    for (const vm of pending) {
      if (isSound && isUndisturbed && !excused.has(vm)) {
        this.#counts.unusedAtVms += 1;
        const detail = `${vm.options.name} has served nothing by ${instanceId} in ${USED_MS} ms`;
        onBreach({ promise: 'used', detail });
      } else this.#counts.excusedAtVms += 1;
    }
  }

  async #probe(vm: Vm, pending: Set<Vm>): Promise<void> {
    if (!vm.isUp || vm.isPaused) return;
    const status = await this.#context.probe(vm, LATE_PREFIX);
    if (status !== SERVED) return;
    pending.delete(vm);
    this.#counts.usedAtVms += 1;
  }
}
