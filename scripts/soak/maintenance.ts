/** Planned changes of runners, independent of faults: runners drain and restart, announce a rate limit, reject everything for a limited time, or are replaced by runners of another software version; one plain runner slows down at times. */

import { setTimeout as pause } from 'node:timers/promises';

import type { PooledRunner, RunnerPool } from './pool';

/** Dependencies of planned changes. */
export interface MaintenanceContext {
  readonly random: () => number;
  readonly pool: RunnerPool;
  /** Called when a runner instance begins to drain, and when it has ended. */
  readonly onDraining: (instanceId: string, isDraining: boolean) => void;
  /** Called when a runner instance announces a rate limit; with undefined when it stops doing so. */
  readonly onRateLimit: (instanceId: string, ratePerS: number | undefined) => void;
}

/** Mean time between planned changes. */
const INTERVAL_MS = 5000;
/** Time for which a runner drains before it restarts. */
const DRAIN_MS = 5000;
const DOWN_MS = 500;
/** Time for which a runner announces a rate limit. */
const RATE_LIMIT_MS = 14_000;
const MAX_RATE_LIMIT_PER_S = 1.5;
/** Time for which a runner rejects everything. */
const REJECTION_MS = 8000;
/** Longest pause that a rejecting runner asks for, in seconds; whole and fractional ones. */
const MAX_PAUSE_S = 4;
/** Fraction of draining runners whose store entry says nothing of it. */
const UNLISTED_RATIO = 0.5;

/** Mean time between two releases of another software version. */
const RELEASE_INTERVAL_MS = 12_000;
/** Mean time between the replacement of two runners in a release. */
const RELEASE_STEP_MS = 700;
/** Smallest fraction of the runners that a release replaces. */
const MIN_RELEASE_RATIO = 0.3;

/** Mean time between two slowdowns of one plain runner, their duration and the factor on its work; from docs/OVERLOAD.md. */
const SLOWDOWN_INTERVAL_MS = 2000;
const SLOWDOWN_MS = 600;
const SLOWDOWN_FACTOR = 2.5;

/** Software version of all runners at the start of a run. */
export const FIRST_VERSION = 'v1';

/** Applies planned changes to random runners. */
export class Maintenance {
  readonly #context: MaintenanceContext;

  readonly #busyRunners = new Set<PooledRunner>();

  /** Number of software versions so far. */
  #releases = 1;

  constructor(context: MaintenanceContext) {
    this.#context = context;
  }

  /** Applies changes until `until` (epoch milliseconds), and waits for those in progress. */
  async run(until: number): Promise<void> {
    await Promise.all([
      this.#changeRunners(until),
      this.#releaseVersions(until),
      this.#slowDown(until),
    ]);
  }

  async #slowDown(until: number): Promise<void> {
    const { random, pool } = this.#context;
    const runner = pool.membersUp('plain')[0]?.runner;
    while (runner && Date.now() < until) {
      await pause(SLOWDOWN_INTERVAL_MS * (0.5 + random()));
      runner.momentarySlowdown = SLOWDOWN_FACTOR;
      await pause(SLOWDOWN_MS);
      runner.momentarySlowdown = 1;
    }
  }

  async #changeRunners(until: number): Promise<void> {
    const { random, pool } = this.#context;
    const work: Promise<void>[] = [];
    while (Date.now() < until) {
      await pause(INTERVAL_MS * (0.5 + random()));
      const free = pool.members.filter(
        (member) => member.runner.isUp && !this.#busyRunners.has(member),
      );
      const member = free[Math.floor(random() * free.length)];
      if (member) work.push(this.#change(member, until));
    }
    await Promise.all(work);
  }

  async #releaseVersions(until: number): Promise<void> {
    const { random } = this.#context;
    while (Date.now() < until) {
      await pause(RELEASE_INTERVAL_MS * (0.5 + random()));
      await this.release();
    }
  }

  /** Replaces some of the model runners by runners of the next software version. */
  async release(): Promise<void> {
    const { random, pool } = this.#context;
    this.#releases += 1;
    const version = `v${this.#releases}`;
    const ratio = MIN_RELEASE_RATIO + random() * (1 - MIN_RELEASE_RATIO);
    const replaced = pool.members.filter(
      ({ runner }) => runner.role !== 'plain' && random() < ratio,
    );
    const work: Promise<void>[] = [];
    for (const member of replaced.filter((one) => !this.#busyRunners.has(one))) {
      await pause(RELEASE_STEP_MS * (0.5 + random()));
      if (!this.#busyRunners.has(member)) work.push(this.#replace(member, version));
    }
    await Promise.all(work);
  }

  /** Starts a runner of another version, then drains and ends the old one. */
  async #replace(member: PooledRunner, version: string): Promise<void> {
    const { pool, onDraining } = this.#context;
    const { instanceId, role } = member.runner;
    this.#busyRunners.add(member);
    await pool.add(role, version);
    pool.drain(member, true);
    onDraining(instanceId, true);
    await pause(DRAIN_MS);
    await pool.remove(member);
    onDraining(instanceId, false);
    this.#busyRunners.delete(member);
  }

  #change(member: PooledRunner, until: number): Promise<void> {
    const kind = this.#context.random();
    if (kind < 0.4) return this.#restart(member);
    return kind < 0.7 ? this.#limit(member, until) : this.#reject(member, until);
  }

  async #reject(member: PooledRunner, until: number): Promise<void> {
    const { random } = this.#context;
    const { runner } = member;
    const { instanceId } = runner;
    this.#busyRunners.add(member);
    runner.pauseMs = Math.ceil(random() * MAX_PAUSE_S * 2) * 500;
    await pause(Math.max(0, Math.min(REJECTION_MS, until - Date.now())));
    if (runner.instanceId === instanceId) runner.pauseMs = undefined;
    this.#busyRunners.delete(member);
  }

  async #restart(member: PooledRunner): Promise<void> {
    const { random, pool, onDraining } = this.#context;
    const { instanceId } = member.runner;
    this.#busyRunners.add(member);
    const isListed = random() >= UNLISTED_RATIO;
    pool.drain(member, isListed);
    if (isListed) onDraining(instanceId, true);
    await pause(DRAIN_MS);
    if (member.runner.isUp) await pool.restart(member, DOWN_MS);
    onDraining(instanceId, false);
    this.#busyRunners.delete(member);
  }

  async #limit(member: PooledRunner, until: number): Promise<void> {
    const { random, onRateLimit } = this.#context;
    const { runner } = member;
    const { instanceId } = runner;
    this.#busyRunners.add(member);
    runner.ratePerS = Math.round(random() * MAX_RATE_LIMIT_PER_S * 10) / 10;
    onRateLimit(instanceId, runner.ratePerS);
    await pause(Math.max(0, Math.min(RATE_LIMIT_MS, until - Date.now())));
    onRateLimit(instanceId, undefined);
    if (runner.instanceId === instanceId) runner.ratePerS = undefined;
    this.#busyRunners.delete(member);
  }
}
