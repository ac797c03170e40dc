/** Planned changes of runners, independent of faults: runners drain and restart, announce a rate limit, or reject everything for a limited time. */

import { setTimeout as pause } from 'node:timers/promises';

import type { PooledRunner, RunnerPool } from './pool';

/** Dependencies of planned changes. */
export interface MaintenanceContext {
  readonly random: () => number;
  readonly pool: RunnerPool;
  /** Called when a runner begins to drain, and when it is back. */
  readonly onDraining: (runnerId: string, isDraining: boolean) => void;
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

/** Applies planned changes to random runners. */
export class Maintenance {
  readonly #context: MaintenanceContext;

  readonly #busyRunners = new Set<PooledRunner>();

  constructor(context: MaintenanceContext) {
    this.#context = context;
  }

  /** Applies changes until `until` (epoch milliseconds), and waits for those in progress. */
  async run(until: number): Promise<void> {
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
    const { runnerId } = member.runner;
    this.#busyRunners.add(member);
    const isListed = random() >= UNLISTED_RATIO;
    pool.drain(member, isListed);
    if (isListed) onDraining(runnerId, true);
    await pause(DRAIN_MS);
    if (member.runner.isUp) await pool.restart(member, DOWN_MS);
    onDraining(runnerId, false);
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
