/** Planned changes of runners, independent of faults: runners drain and restart, or announce a rate limit for a limited time. */

import { setTimeout as pause } from 'node:timers/promises';

import type { Place, RunnerPool } from './pool';

/** Dependencies of planned changes. */
export interface PlanContext {
  readonly random: () => number;
  readonly pool: RunnerPool;
  /** Called when a runner begins to drain, and when it is back. */
  readonly onLeaving: (listing: string, isDraining: boolean) => void;
  /** Called when a runner instance announces a rate limit; with undefined when it stops doing so. */
  readonly onLimit: (runner: string, ratePerS: number | undefined) => void;
}

/** Mean time between planned changes. */
const INTERVAL_MS = 5000;
/** Time for which a runner drains before it restarts. */
const DRAIN_MS = 5000;
const DOWN_MS = 500;
/** Time for which a runner announces a rate limit. */
const RATE_LIMIT_MS = 14_000;
const MAX_RATE_LIMIT_PER_S = 1.5;

/** Applies planned changes to random runners. */
export class Plan {
  readonly #context: PlanContext;

  readonly #busyRunners = new Set<Place>();

  constructor(context: PlanContext) {
    this.#context = context;
  }

  /** Applies changes until `until` (epoch milliseconds), and waits for those in progress. */
  async run(until: number): Promise<void> {
    const { random, pool } = this.#context;
    const jobs: Promise<void>[] = [];
    while (Date.now() < until) {
      await pause(INTERVAL_MS * (0.5 + random()));
      const free = pool.places.filter((place) => place.runner.up && !this.#busyRunners.has(place));
      const place = free[Math.floor(random() * free.length)];
      if (place) jobs.push(random() < 0.5 ? this.#restart(place) : this.#limitRate(place, until));
    }
    await Promise.all(jobs);
  }

  async #restart(place: Place): Promise<void> {
    const { pool, onLeaving } = this.#context;
    const { listing } = place.runner;
    this.#busyRunners.add(place);
    pool.leave(place);
    onLeaving(listing, true);
    await pause(DRAIN_MS);
    if (place.runner.up) await pool.restart(place, DOWN_MS);
    onLeaving(listing, false);
    this.#busyRunners.delete(place);
  }

  async #limitRate(place: Place, until: number): Promise<void> {
    const { random, onLimit } = this.#context;
    const { runner } = place;
    const { instanceId } = runner;
    this.#busyRunners.add(place);
    runner.ratePerS = Math.round(random() * MAX_RATE_LIMIT_PER_S * 10) / 10;
    onLimit(instanceId, runner.ratePerS);
    await pause(Math.max(0, Math.min(RATE_LIMIT_MS, until - Date.now())));
    onLimit(instanceId, undefined);
    if (runner.instanceId === instanceId) runner.ratePerS = undefined;
    this.#busyRunners.delete(place);
  }
}
