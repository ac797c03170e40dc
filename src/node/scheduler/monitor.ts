/**
 * Watches the runners of the cells planned here: load reports, cache events, and
 * what each runner holds. Runs that nobody asks for any more are cancelled.
 */

import type { Logger } from 'pino';

import type { Cell } from '../../core/cell/cell';
import type { Settings } from '../../core/settings/documents';
import type { RunnerSettings } from '../../core/settings/schema';
import { requestOf } from '../../core/ids';
import type { Metrics } from '../metrics';
import type { RunnerClient } from '../runner/client';
import type { CellHost } from './cells';

/** Whether a gateway still holds a request: `unknown` if it does not answer. */
export type HolderLookup = (id: string) => Promise<'held' | 'gone' | 'unknown'>;

/** What the monitor works with. */
export interface RunnerMonitorOptions {
  readonly settings: () => Settings;
  readonly cells: CellHost;
  readonly runners: RunnerClient;
  readonly findHolder: HolderLookup;
  readonly log: Logger;
  readonly metrics: Metrics;
}

/** Period of load reports, in milliseconds. */
const LOAD_MS = 500;
/** Period of cache events and lists of held runs, in milliseconds. */
const LIST_MS = 1000;
/** A run that no request here accounts for is looked into after this time, in milliseconds. */
const STRANGER_MS = 1500;
/** Answers of "unknown" after which a stranger's gateway is held for dead. */
const UNKNOWN_LIMIT = 3;

interface Stranger {
  readonly since: number;
  unknown: number;
}

/** Polls on timers; a slow runner holds up only itself. */
export class RunnerMonitor {
  readonly #options: RunnerMonitorOptions;

  readonly #strangers = new Map<string, Stranger>();

  readonly #eventsSince = new Map<string, number>();

  readonly #busy = new Set<string>();

  #loads: NodeJS.Timeout | undefined;

  #lists: NodeJS.Timeout | undefined;

  constructor(options: RunnerMonitorOptions) {
    this.#options = options;
  }

  start(): void {
    this.#loads = setInterval(
      () => this.#each('load', (pool, runner) => this.#readLoad(pool, runner)),
      LOAD_MS,
    );
    this.#lists = setInterval(() => {
      this.#each('held', (pool, runner, cell) => this.#readHeld(pool, runner, cell));
      this.#each('cache', (pool, runner) => this.#readCache(pool, runner));
    }, LIST_MS);
  }

  stop(): void {
    clearInterval(this.#loads);
    clearInterval(this.#lists);
  }

  #each(
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
    const asked = Date.now();
    const { ageMs, running, waiting, leaving } = await this.#options.runners.load(url);
    const report = { runner: id, asOf: asked - ageMs, running: running + waiting, leaving };
    this.#options.cells.handle(pool, { kind: 'reported', report });
  }

  async #readCache(pool: string, { id, url, role }: RunnerSettings): Promise<void> {
    if (role !== 'prefill') return;
    const events = await this.#options.runners.cacheEvents(url, this.#eventsSince.get(id) ?? 0);
    for (const { seq, added, removed } of events) {
      this.#eventsSince.set(id, Math.max(seq, this.#eventsSince.get(id) ?? 0));
      this.#options.cells.handle(pool, { kind: 'cached', runner: id, added, removed });
    }
  }

  /**
   * A gateway that died cannot cancel its runs, and a cancel may be lost. Either
   * shows as a run that no request accounts for. Another owner's request looks
   * the same for a moment, so the run's gateway is asked before it is cancelled.
   */
  async #readHeld(pool: string, runner: RunnerSettings, cell: Cell): Promise<void> {
    const now = Date.now();
    const held = await this.#options.runners.heldRuns(runner.url);
    const strange = held.filter((runId) => !cell.requests.has(requestOf(runId)));
    this.#forgetOthers(runner.id, new Set(strange));
    for (const runId of strange) {
      const key = `${runner.id}/${runId}`;
      const stranger = this.#strangers.get(key) ?? { since: now, unknown: 0 };
      this.#strangers.set(key, stranger);
      if (now - stranger.since >= STRANGER_MS) await this.#lookInto(runner, runId, stranger);
    }
  }

  #forgetOthers(runner: string, strange: ReadonlySet<string>): void {
    for (const key of this.#strangers.keys()) {
      const [owner, runId] = [key.slice(0, runner.length), key.slice(runner.length + 1)];
      if (owner === runner && !strange.has(runId)) this.#strangers.delete(key);
    }
  }

  async #lookInto(runner: RunnerSettings, runId: string, stranger: Stranger): Promise<void> {
    const holder = await this.#options.findHolder(requestOf(runId));
    if (holder === 'held') return;
    Object.assign(stranger, { unknown: stranger.unknown + 1 });
    if (holder === 'unknown' && stranger.unknown < UNKNOWN_LIMIT) return;
    await this.#options.runners.cancel(runner.url, runId);
    this.#options.metrics.count('runner.strangers_cancelled');
    this.#options.log.warn(
      { request: runId },
      `Cancelled a run on ${runner.id} that nobody asks for.`,
    );
  }
}
