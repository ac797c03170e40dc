/**
 * The cell: takes events, lets its controllers write the blackboard, and answers
 * with actions. It has no clock, no socket and no random source; equal events
 * give equal actions.
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

/** The variable parts of a cell. */
export interface CellOptions {
  readonly policy: CellPolicy;
  /** Default: refuse what cannot meet its deadline. */
  readonly admission?: Admission;
  /** Default: start when a decode slot is likely in time. */
  readonly startRule?: StartRule;
  /** Default: least cost in milliseconds. */
  readonly placement?: Placement;
  /**
   * No request is granted before this time. A new owner does not know what its
   * predecessor granted until the gateways have told it. Default: 0.
   */
  readonly warmUpUntil?: number;
}

/** Longest time without a look at a queue that is not empty, in milliseconds. */
const REVIEW_MS = 20;

/** Plans one cell. */
export class Cell {
  readonly #board: CellState;

  readonly #queue: QueueController;

  readonly #prefills: PrefillController;

  readonly #transfers: TransferController;

  readonly #lifecycle: LifecycleController;

  readonly #grantsFrom: number;

  constructor({ policy, admission, startRule, placement, warmUpUntil: grantsFrom }: CellOptions) {
    const chosen = placement ?? new CostPlacement();
    this.#board = new CellState(policy);
    this.#queue = new QueueController(this.#board, admission ?? new DeadlineAdmission());
    this.#prefills = new PrefillController(
      this.#board,
      this.#queue,
      startRule ?? new SlotForecastStart(),
      chosen,
    );
    this.#transfers = new TransferController(this.#board, chosen);
    this.#lifecycle = new LifecycleController(this.#board, this.#queue);
    this.#grantsFrom = grantsFrom ?? 0;
  }

  get view(): CellView {
    return this.#board;
  }

  get counters(): Readonly<CellCounters> {
    return this.#board.counters;
  }

  /** Requests known to the cell. */
  get requests(): ReadonlyMap<string, CellRequest> {
    return this.#board.requests;
  }

  /** Broken invariants, one line each. */
  violations(): readonly string[] {
    return this.#board.violations();
  }

  /** Takes one event and returns what is to be done, in order. */
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
      .with({ kind: 'reported' }, ({ report }) => this.#report(now, report))
      .with({ kind: 'cached' }, ({ runner, added, removed }) => {
        this.#board.prefixes.add(runner, added);
        this.#board.prefixes.remove(runner, removed);
      })
      .with({ kind: 'runners' }, ({ runners }) => this.#setRunners(runners))
      .with({ kind: 'policy' }, ({ policy }) => this.#setPolicy(policy))
      .with({ kind: 'departing' }, ({ runners }) => this.#board.capacity.setDeparting(runners))
      .with({ kind: 'woke' }, () => {})
      .exhaustive();
    this.#pump(now);
    return this.#board.takeActions();
  }

  /** When the cell wants to be woken if nothing else happens. */
  nextWake(now: number): number {
    const next = Math.min(this.#queue.nextUnservableAt, this.#prefills.nextExpiry);
    if (this.#board.waiting.size === 0) return next;
    return Math.min(next, Math.max(now + REVIEW_MS, this.#grantsFrom));
  }

  #pump(now: number): void {
    this.#lifecycle.observeRunning(now);
    this.#prefills.expire(now);
    this.#transfers.startAll(now);
    this.#queue.refuseUnservable(now);
    if (now >= this.#grantsFrom) this.#prefills.startAll(now);
  }

  #report(now: number, report: LoadReport): void {
    this.#board.capacity.applyReport(now, report);
    this.#applyCaps();
  }

  #setRunners(runners: readonly Runner[]): void {
    this.#board.capacity.setRunners(runners);
    this.#board.health.setPoolSize(runners.length);
    this.#applyCaps();
  }

  #setPolicy(policy: CellPolicy): void {
    this.#board.policy = policy;
    this.#applyCaps();
  }

  /** Caps the batches so that the time between tokens stays within the target. */
  #applyCaps(): void {
    const { capacity: places, costs, policy } = this.#board;
    for (const { runner } of places.decodeRunners) {
      places.setBatchCap(runner.id, costs.maxBatchWithin(policy.tokenTargetMs, runner.slots));
    }
  }
}
