/** Planned work on runners, in storms and in calm: they leave and come back, and name rate limits for a while. */

import { setTimeout as pause } from 'node:timers/promises';

import type { PooledRunner, RunnerPool } from './pool';

/** What planned work is done with. */
export interface MaintenanceContext {
  readonly random: () => number;
  readonly pool: RunnerPool;
  /** A runner says that it leaves, or is back. */
  readonly onDraining: (listing: string, leaves: boolean) => void;
  /** A start of a runner names a limit, or none any more. */
  readonly onRateLimit: (runner: string, ratePerS: number | undefined) => void;
}

const PACE_MS = 5000;
/** Time from its word that it leaves to the end of a runner, in milliseconds. */
const LEAVE_MS = 5000;
const DOWN_MS = 500;
/** Time for which a runner names a limit, in milliseconds. */
const LIMIT_MS = 14_000;
const LIMIT_MOST_PER_S = 1.5;

/** Does planned work until the end. */
export class Maintenance {
  readonly #context: MaintenanceContext;

  readonly #busy = new Set<PooledRunner>();

  constructor(context: MaintenanceContext) {
    this.#context = context;
  }

  async run(until: number): Promise<void> {
    const { random, pool } = this.#context;
    const open: Promise<void>[] = [];
    while (Date.now() < until) {
      await pause(PACE_MS * (0.5 + random()));
      const free = pool.members.filter((place) => place.runner.isUp && !this.#busy.has(place));
      const place = free[Math.floor(random() * free.length)];
      if (place) open.push(random() < 0.5 ? this.#leave(place) : this.#limit(place, until));
    }
    await Promise.all(open);
  }

  async #leave(place: PooledRunner): Promise<void> {
    const { pool, onDraining: onLeaving } = this.#context;
    const { runnerId: listing } = place.runner;
    this.#busy.add(place);
    pool.drain(place);
    onLeaving(listing, true);
    await pause(LEAVE_MS);
    if (place.runner.isUp) await pool.restart(place, DOWN_MS);
    onLeaving(listing, false);
    this.#busy.delete(place);
  }

  async #limit(place: PooledRunner, until: number): Promise<void> {
    const { random, onRateLimit: onLimit } = this.#context;
    const { runner } = place;
    const { id } = runner;
    this.#busy.add(place);
    runner.ratePerS = Math.round(random() * LIMIT_MOST_PER_S * 10) / 10;
    onLimit(id, runner.ratePerS);
    await pause(Math.max(0, Math.min(LIMIT_MS, until - Date.now())));
    onLimit(id, undefined);
    if (runner.id === id) runner.ratePerS = undefined;
    this.#busy.delete(place);
  }
}
