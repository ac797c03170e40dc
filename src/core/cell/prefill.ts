/** Controller of prefills: starts them when their results will be used, and gives up results that were not. */

import { uncachedTokens } from '../prefix';
import type { QueueController } from './queue';
import type { CellState } from './state';
import type { Entry } from './entry';
import { residenceMs } from './forecast';
import type { PrefillLoad } from './capacity';
import { preferOtherRunners } from './capacity';
import type { Placement } from './placement';
import type { StartRule } from './start';

/** A prefill runner gets its next prefill this long before it is done with the last, in milliseconds. */
const LOOKAHEAD_MS = 15;
/** Prefills at one runner: one at work and one that follows. */
const PENDING_LIMIT = 2;
/** A result is given up this long before its eviction, in milliseconds. */
const EVICTION_MARGIN_MS = 5;
/** Weight of the newest prefill in the fading mean. */
const MEAN_WEIGHT = 0.05;

/** Writes the prefill backlog. */
export class PrefillController {
  readonly #board: CellState;

  readonly #queue: QueueController;

  readonly #rule: StartRule;

  readonly #placement: Placement;

  constructor(board: CellState, queue: QueueController, rule: StartRule, placement: Placement) {
    this.#board = board;
    this.#queue = queue;
    this.#rule = rule;
    this.#placement = placement;
  }

  /** Starts prefills while the rule allows and runners are able. */
  startAll(now: number): void {
    while (this.#startNext(now));
  }

  finish(now: number, id: string, cachedTokens: number, keptUntil: number): void {
    const board = this.#board;
    const entry = board.requests.get(id);
    if (entry?.stage !== 'prefilling' || entry.prefillRunner === undefined) return;
    const work = Math.max(0, entry.arrival.promptTokens - cachedTokens);
    // Only a prefill that had the runner to itself tells what it costs.
    const alone = board.prefillLoadOf(entry)?.pending === 1;
    if (alone) board.costs.observePrefill(work, now - entry.since);
    board.capacity.removePrefill(entry.prefillRunner, now);
    board.health.recordSuccess(entry.prefillRunner);
    board.counters.prefillTokens += work;
    entry.stage = 'prefilled';
    entry.since = now;
    entry.keptUntil = keptUntil;
    board.prefilled.add(entry);
  }

  /** Results that were not used in time are queued again before the runner evicts them unseen. */
  expire(now: number): void {
    const board = this.#board;
    for (const entry of board.prefilled) {
      if (now >= entry.keptUntil - EVICTION_MARGIN_MS) {
        board.countWaste(entry);
        board.releaseResources(now, entry);
        this.#queue.retry(now, entry);
      }
    }
  }

  /** When the next result is given up. */
  get nextExpiry(): number {
    let next = Infinity;
    for (const { keptUntil } of this.#board.prefilled) {
      next = Math.min(next, keptUntil - EVICTION_MARGIN_MS);
    }
    return next;
  }

  #startNext(now: number): boolean {
    const board = this.#board;
    const entry = board.waiting.peek();
    const place = entry ? this.#choose(now, entry) : undefined;
    if (!entry || !place) return false;
    const { arrival } = entry;
    const hitBlocks = board.prefixes.cachedBlocks(place.runner.id, arrival.blocks);
    const workMs = board.costs.prefillMs(uncachedTokens(arrival.promptTokens, hitBlocks));
    const readyInMs = Math.max(0, place.busyUntil - now) + workMs;
    if (!this.#rule.mayStart(now, board, readyInMs)) return false;
    board.waiting.take(this.#costMs(workMs));
    this.#start(now, entry, place, hitBlocks, workMs);
    return true;
  }

  /** Time of the whole cell that a request takes, on prefill or on decode, whichever is scarcer. */
  #costMs(workMs: number): number {
    const { capacity: places } = this.#board;
    const prefillMs = workMs / Math.max(1, places.prefillRunners.length);
    const decodeMs = residenceMs(this.#board) / Math.max(1, places.decodeSlots);
    return Math.max(prefillMs, decodeMs);
  }

  #choose(now: number, entry: Entry): PrefillLoad | undefined {
    const board = this.#board;
    const able = board.capacity.prefillRunners.filter(
      (place) =>
        !place.leaving &&
        place.busyUntil - now <= LOOKAHEAD_MS &&
        place.pending < PENDING_LIMIT &&
        board.health.allows(now, place.runner.id),
    );
    return this.#placement.prefill(
      now,
      board,
      entry.arrival,
      preferOtherRunners(able, entry.lastFailedRunner),
    );
  }

  #start(now: number, entry: Entry, place: PrefillLoad, hitBlocks: number, workMs: number): void {
    const board = this.#board;
    const runner = place.runner.id;
    entry.stage = 'prefilling';
    entry.since = now;
    entry.prefillRunner = runner;
    entry.hitBlocks = hitBlocks;
    entry.sent = true;
    board.awaitingSlot += 1;
    board.meanPrefillMs += MEAN_WEIGHT * (workMs - board.meanPrefillMs);
    board.capacity.addPrefill(runner, now, workMs);
    board.prefixes.add(runner, entry.arrival.blocks);
    board.health.recordDispatch(now, runner);
    board.emit({ kind: 'prefill', id: entry.arrival.id, runner });
  }
}
