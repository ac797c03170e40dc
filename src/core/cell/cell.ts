/**
 * Scheduler of one cell: processes events, updates the shared state through its
 * controllers and returns actions. It has no clock, no socket and no random source,
 * so equal events give equal actions.
 */

import { match } from 'ts-pattern';

import type { Admission } from './admission';
import { DeadlineAdmission } from './admission';
import { QueueController } from './queue';
import type { CellCounters } from './state';
import { CellState } from './state';
import { LifecycleController } from './lifecycle';
import type { Placement } from './placement';
import { CostPlacement } from './placement';
import { PrefillController } from './prefill';
import type { StartRule } from './start';
import { SlotForecastStart } from './start';
import { TransferController } from './transfer';
import type { CellAction, CellEvent, CellPolicy, LoadReport, Runner } from './types';
import type { CellRequest, CellView } from './view';

/** Policy and replaceable strategies of a cell. */
export interface CellOptions {
  readonly policy: CellPolicy;
  /** Default: refuse requests that cannot meet their deadline. */
  readonly admission?: Admission;
  /** Default: start a prefill when a decode slot will probably be free in time. */
  readonly startRule?: StartRule;
  /** Default: the runner with the least cost in milliseconds. */
  readonly placement?: Placement;
  /**
   * End of the warm-up: no prefill is started before this time. The state of a new
   * owner is incomplete until the gateways have reported what its predecessor assigned.
   * Default: 0.
   */
  readonly warmUpUntil?: number;
}

/** Maximum interval between scheduling passes while requests are queued, in milliseconds. */
const SCHEDULING_INTERVAL_MS = 20;

/** Schedules the requests of one cell. */
export class Cell {
  readonly #state: CellState;

  readonly #queue: QueueController;

  readonly #prefills: PrefillController;

  readonly #transfers: TransferController;

  readonly #lifecycle: LifecycleController;

  readonly #warmUpUntil: number;

  constructor({ policy, admission, startRule, placement, warmUpUntil }: CellOptions) {
    const chosenPlacement = placement ?? new CostPlacement();
    this.#state = new CellState(policy);
    this.#queue = new QueueController(this.#state, admission ?? new DeadlineAdmission());
    this.#prefills = new PrefillController(
      this.#state,
      this.#queue,
      startRule ?? new SlotForecastStart(),
      chosenPlacement,
    );
    this.#transfers = new TransferController(this.#state, chosenPlacement);
    this.#lifecycle = new LifecycleController(this.#state, this.#queue);
    this.#warmUpUntil = warmUpUntil ?? 0;
  }

  /** Read-only state, for policies and metrics. */
  get view(): CellView {
    return this.#state;
  }

  /** Totals since the cell was created. */
  get counters(): Readonly<CellCounters> {
    return this.#state.counters;
  }

  /** Requests that the cell currently holds, by id. */
  get requests(): ReadonlyMap<string, CellRequest> {
    return this.#state.requests;
  }

  /** Violated invariants, one line each; empty if there are none. */
  violations(): readonly string[] {
    return this.#state.violations();
  }

  /** Processes one event and returns the resulting actions, in order. */
  handle(now: number, event: CellEvent): readonly CellAction[] {
    match(event)
      .with({ kind: 'arrived' }, ({ arrival }) => this.#queue.arrive(now, arrival))
      .with({ kind: 'prefilled' }, ({ id, cachedTokens, keptUntil }) =>
        this.#prefills.finish(now, id, cachedTokens, keptUntil),
      )
      .with({ kind: 'started' }, ({ id }) => this.#transfers.finish(now, id))
      .with({ kind: 'finished' }, ({ id, tokens }) => this.#lifecycle.finish(now, id, tokens))
      .with({ kind: 'failed' }, (failed) => this.#lifecycle.fail(now, failed))
      .with({ kind: 'cancelled' }, ({ id }) => this.#lifecycle.cancel(now, id))
      .with({ kind: 'adopted' }, ({ adoption }) => this.#lifecycle.adopt(now, adoption))
      .with({ kind: 'reported' }, ({ report }) => this.#applyReport(now, report))
      .with({ kind: 'cached' }, ({ runner, added, removed }) => {
        this.#state.prefixes.add(runner, added);
        this.#state.prefixes.remove(runner, removed);
      })
      .with({ kind: 'runners' }, ({ runners }) => this.#setRunners(runners))
      .with({ kind: 'policy' }, ({ policy }) => this.#setPolicy(policy))
      .with({ kind: 'departing' }, ({ runners }) => this.#state.capacity.setDeparting(runners))
      .with({ kind: 'woke' }, () => {})
      .exhaustive();
    this.#schedule(now);
    return this.#state.takeActions();
  }

  /** Time of the next `woke` event that the cell needs if no other event occurs; Infinity if none. */
  nextWake(now: number): number {
    const next = Math.min(this.#queue.nextUnservableAt, this.#prefills.nextExpiry);
    if (this.#state.waiting.size === 0) return next;
    return Math.min(next, Math.max(now + SCHEDULING_INTERVAL_MS, this.#warmUpUntil));
  }

  #schedule(now: number): void {
    this.#lifecycle.observeRunning(now);
    this.#prefills.expire(now);
    this.#transfers.startAll(now);
    this.#queue.refuseUnservable(now);
    if (now >= this.#warmUpUntil) this.#prefills.startAll(now);
  }

  #applyReport(now: number, report: LoadReport): void {
    this.#state.capacity.applyReport(now, report);
    this.#applyCaps();
  }

  #setRunners(runners: readonly Runner[]): void {
    this.#state.capacity.setRunners(runners);
    this.#state.health.setPoolSize(runners.length);
    this.#applyCaps();
  }

  #setPolicy(policy: CellPolicy): void {
    this.#state.policy = policy;
    this.#applyCaps();
  }

  /** Limits the batch sizes so that the time between tokens stays within the target. */
  #applyCaps(): void {
    const { capacity, costs, policy } = this.#state;
    for (const { runner } of capacity.decodeRunners) {
      capacity.setBatchCap(runner.id, costs.maxBatchWithin(policy.tokenTargetMs, runner.slots));
    }
  }
}
