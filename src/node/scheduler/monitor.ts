/**
 * Polls the runners of the cells planned here for load reports, cache events and held
 * runs, and cancels orphaned runs: those that no gateway holds a request for any more.
 */

import type { Logger } from 'pino';

import type { Cell } from '../../core/cell/cell';
import type { Settings } from '../../core/settings/documents';
import type { RunnerSettings } from '../../core/settings/schema';
import { requestOf } from '../../core/ids';
import type { Metrics } from '../metrics';
import type { RunnerClient } from '../runner/client';
import type { CellHost } from './cells';

/** Returns whether the request's gateway still holds it: `unknown` if the gateway does not answer. */
export type HolderLookup = (id: string) => Promise<'held' | 'gone' | 'unknown'>;

/** Dependencies of a `RunnerMonitor`. */
export interface RunnerMonitorOptions {
  readonly settings: () => Settings;
  readonly cells: CellHost;
  readonly runners: RunnerClient;
  readonly findHolder: HolderLookup;
  readonly log: Logger;
  readonly metrics: Metrics;
}

/** Polling interval of load reports, in milliseconds. */
const LOAD_INTERVAL_MS = 500;
/** Polling interval of cache events and held runs, in milliseconds. */
const LIST_INTERVAL_MS = 1000;
/** A run without a request in its cell is checked with its gateway after this time, in milliseconds. */
const ORPHAN_CHECK_MS = 1500;
/** Number of `unknown` answers after which the gateway of a run is considered dead. */
const MAX_UNKNOWN_ANSWERS = 3;

interface Candidate {
  /** When the run was first seen without a request, in milliseconds since 1970. */
  readonly since: number;
  /** Number of `unknown` answers so far. */
  unknown: number;
}

/** Polls runners on timers. Each runner has at most one poll of a kind in progress, so a slow runner delays no other. */
export class RunnerMonitor {
  readonly #options: RunnerMonitorOptions;

  readonly #candidates = new Map<string, Candidate>();

  readonly #lastEventSeq = new Map<string, number>();

  readonly #busy = new Set<string>();

  #loadTimer: NodeJS.Timeout | undefined;

  #listTimer: NodeJS.Timeout | undefined;

  constructor(options: RunnerMonitorOptions) {
    this.#options = options;
  }

  /** Starts polling. */
  start(): void {
    this.#loadTimer = setInterval(
      () => this.#pollAll('load', (pool, runner) => this.#readLoad(pool, runner)),
      LOAD_INTERVAL_MS,
    );
    this.#listTimer = setInterval(() => {
      this.#pollAll('held', (pool, runner, cell) => this.#readHeld(pool, runner, cell));
      this.#pollAll('cache', (pool, runner) => this.#readCache(pool, runner));
    }, LIST_INTERVAL_MS);
  }

  /** Stops polling; polls in progress still complete. */
  stop(): void {
    clearInterval(this.#loadTimer);
    clearInterval(this.#listTimer);
  }

  #pollAll(
    what: string,
    read: (pool: string, runner: RunnerSettings, cell: Cell) => Promise<void>,
  ): void {
    for (const [pool, cell] of this.#options.cells.cells) {
      for (const runner of this.#options.settings().pool(pool)?.runners ?? []) {
        const key = `${what}/${pool}/${runner.id}`;
        if (!this.#busy.has(key)) {
          this.#busy.add(key);
          read(pool, runner, cell)
            .catch(() => this.#options.metrics.count(`runner.${what}_failed`))
            .finally(() => this.#busy.delete(key));
        }
      }
    }
  }

  async #readLoad(pool: string, { id, url }: RunnerSettings): Promise<void> {
    const requestedAt = Date.now();
    const { ageMs, running, waiting, leaving } = await this.#options.runners.load(url);
    const report = { runner: id, asOf: requestedAt - ageMs, running: running + waiting, leaving };
    this.#options.cells.handle(pool, { kind: 'reported', report });
  }

  async #readCache(pool: string, { id, url, role }: RunnerSettings): Promise<void> {
    if (role !== 'prefill') return;
    const events = await this.#options.runners.cacheEvents(url, this.#lastEventSeq.get(id) ?? 0);
    for (const { seq, added, removed } of events) {
      this.#lastEventSeq.set(id, Math.max(seq, this.#lastEventSeq.get(id) ?? 0));
      this.#options.cells.handle(pool, { kind: 'cached', runner: id, added, removed });
    }
  }

  /**
   * Detects orphaned runs: a crashed gateway cannot cancel its runs, and a cancellation
   * may be lost. Both leave a run without a request in the cell. A run whose request is
   * at another owner of the pool looks the same for a short time, so the run's gateway
   * is asked before the run is cancelled.
   */
  async #readHeld(pool: string, runner: RunnerSettings, cell: Cell): Promise<void> {
    const now = Date.now();
    const held = await this.#options.runners.heldRuns(runner.url);
    const unaccounted = held.filter((runId) => !cell.requests.has(requestOf(runId)));
    this.#dropOtherCandidates(runner.id, new Set(unaccounted));
    for (const runId of unaccounted) {
      const key = `${runner.id}/${runId}`;
      const candidate = this.#candidates.get(key) ?? { since: now, unknown: 0 };
      this.#candidates.set(key, candidate);
      if (now - candidate.since >= ORPHAN_CHECK_MS) await this.#checkRun(runner, runId, candidate);
    }
  }

  #dropOtherCandidates(runner: string, unaccounted: ReadonlySet<string>): void {
    for (const key of this.#candidates.keys()) {
      const [owner, runId] = [key.slice(0, runner.length), key.slice(runner.length + 1)];
      if (owner === runner && !unaccounted.has(runId)) this.#candidates.delete(key);
    }
  }

  async #checkRun(runner: RunnerSettings, runId: string, candidate: Candidate): Promise<void> {
    const holder = await this.#options.findHolder(requestOf(runId));
    if (holder === 'held') return;
    Object.assign(candidate, { unknown: candidate.unknown + 1 });
    if (holder === 'unknown' && candidate.unknown < MAX_UNKNOWN_ANSWERS) return;
    await this.#options.runners.cancel(runner.url, runId);
    this.#options.metrics.count('runner.strangers_cancelled');
    this.#options.log.warn({ request: runId }, `Cancelled an orphaned run on ${runner.id}.`);
  }
}
