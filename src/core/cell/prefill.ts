/** Prefill controller: starts prefills whose results will be used in time and discards results that were not used. */

import { uncachedTokens } from '../prefix';
import type { QueueController } from './queue';
import type { CellState } from './state';
import type { Entry } from './entry';
import { residenceMs } from './forecast';
import type { PrefillLoad } from './capacity';
import { preferOtherRunners } from './capacity';
import type { Placement } from './placement';
import type { StartRule } from './start';

/** A prefill runner gets its next prefill this long before its current work ends, in milliseconds. */
const LOOKAHEAD_MS = 15;
/** Maximum number of prefills at one runner: one running and one queued. */
const MAX_PENDING = 2;
/** A result is discarded this long before its eviction, in milliseconds. */
const EVICTION_MARGIN_MS = 5;
/** Weight of the newest prefill in the exponential moving average of the prefill cost. */
const NEWEST_WEIGHT = 0.05;

/** Assigns queued requests to prefill runners. */
export class PrefillController {
  readonly #state: CellState;

  readonly #queue: QueueController;

  readonly #rule: StartRule;

  readonly #placement: Placement;

  constructor(state: CellState, queue: QueueController, rule: StartRule, placement: Placement) {
    this.#state = state;
    this.#queue = queue;
    this.#rule = rule;
    this.#placement = placement;
  }

  /** Starts prefills while the start rule allows it and runners are available. */
  startAll(now: number): void {
    while (this.#startNext(now));
  }

  /** Records a finished prefill; the request then waits for a decode slot. */
  finish(now: number, id: string, cachedTokens: number, keptUntil: number): void {
    const state = this.#state;
    const entry = state.requests.get(id);
    if (entry?.stage !== 'prefilling' || entry.prefillRunner === undefined) return;
    const workTokens = Math.max(0, entry.arrival.promptTokens - cachedTokens);
    // The duration of a prefill measures its cost only if it had the runner to itself.
    const ranAlone = state.prefillLoadOf(entry)?.pending === 1;
    if (ranAlone) state.costs.observePrefill(workTokens, now - entry.since);
    state.capacity.removePrefill(entry.prefillRunner, now);
    state.health.recordSuccess(entry.prefillRunner);
    state.counters.prefillTokens += workTokens;
    entry.stage = 'prefilled';
    entry.since = now;
    entry.keptUntil = keptUntil;
    state.prefilled.add(entry);
  }

  /** Discards results that were not used in time and queues their requests again, before the runner evicts them without notice. */
  expire(now: number): void {
    const state = this.#state;
    for (const entry of state.prefilled) {
      if (now >= entry.keptUntil - EVICTION_MARGIN_MS) {
        state.countWaste(entry);
        state.releaseResources(now, entry);
        this.#queue.retry(now, entry);
      }
    }
  }

  /** Time at which the next result is discarded; Infinity if there is none. */
  get nextExpiry(): number {
    let next = Infinity;
    for (const { keptUntil } of this.#state.prefilled) {
      next = Math.min(next, keptUntil - EVICTION_MARGIN_MS);
    }
    return next;
  }

  #startNext(now: number): boolean {
    const state = this.#state;
    const entry = state.waiting.peek();
    const load = entry ? this.#selectRunner(now, entry) : undefined;
    if (!entry || !load) return false;
    const { arrival } = entry;
    const hitBlocks = state.prefixes.cachedBlocks(load.runner.id, arrival.blocks);
    const workMs = state.costs.prefillMs(uncachedTokens(arrival.promptTokens, hitBlocks));
    const readyInMs = Math.max(0, load.busyUntil - now) + workMs;
    if (!this.#rule.mayStart(now, state, readyInMs)) return false;
    state.waiting.take(this.#costMs(workMs));
    this.#start(now, entry, load, hitBlocks, workMs);
    return true;
  }

  /** Share of the cell's processing time that a request takes, in milliseconds: at prefill or at decode, whichever is scarcer. */
  #costMs(workMs: number): number {
    const { capacity } = this.#state;
    const prefillMs = workMs / Math.max(1, capacity.prefillRunners.length);
    const decodeMs = residenceMs(this.#state) / Math.max(1, capacity.decodeSlots);
    return Math.max(prefillMs, decodeMs);
  }

  #selectRunner(now: number, entry: Entry): PrefillLoad | undefined {
    const state = this.#state;
    const candidates = state.capacity.prefillRunners.filter(
      (load) =>
        !load.leaving &&
        load.busyUntil - now <= LOOKAHEAD_MS &&
        load.pending < MAX_PENDING &&
        state.health.allows(now, load.runner.id),
    );
    return this.#placement.prefill(
      now,
      state,
      entry.arrival,
      preferOtherRunners(candidates, entry.lastFailedRunner),
    );
  }

  #start(now: number, entry: Entry, load: PrefillLoad, hitBlocks: number, workMs: number): void {
    const state = this.#state;
    const runner = load.runner.id;
    entry.stage = 'prefilling';
    entry.since = now;
    entry.prefillRunner = runner;
    entry.hitBlocks = hitBlocks;
    entry.sent = true;
    state.awaitingSlot += 1;
    state.meanPrefillMs += NEWEST_WEIGHT * (workMs - state.meanPrefillMs);
    state.capacity.addPrefill(runner, now, workMs);
    state.prefixes.add(runner, entry.arrival.blocks);
    state.health.recordDispatch(now, runner);
    state.emit({ kind: 'prefill', id: entry.arrival.id, runner });
  }
}
