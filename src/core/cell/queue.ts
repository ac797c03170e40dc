/** Controller of the queue: takes requests in, and refuses them as soon as they cannot be served in time. */

import type { CodeName } from '../codes';
import { uncachedTokens } from '../prefix';
import type { Admission, AdmissionDecision } from './admission';
import { bestHitBlocks, jitter } from './admission';
import type { CellState } from './state';
import { RESUME_QUEUE } from './state';
import type { Entry } from './entry';
import { newEntry } from './entry';
import type { Arrival } from './types';

/** Time that a resumed request may wait for a slot, in milliseconds. */
const RESUME_WAIT_MS = 20_000;

/** Writes the queue. */
export class QueueController {
  readonly #board: CellState;

  readonly #admission: Admission;

  /** When the first queued request is lost. */
  #nextLoss = Infinity;

  constructor(board: CellState, admission: Admission) {
    this.#board = board;
    this.#admission = admission;
  }

  get nextUnservableAt(): number {
    return this.#nextLoss;
  }

  arrive(now: number, arrival: Arrival): void {
    const board = this.#board;
    const known = board.requests.get(arrival.id);
    if (known) {
      this.#arriveAgain(now, known);
      return;
    }
    board.counters.arrived += 1;
    const verdict = this.#decide(now, arrival);
    if (!verdict.admitted) {
      board.counters.refused += 1;
      const { code, retryAfterMs } = verdict;
      board.emit({ kind: 'refuse', id: arrival.id, code, notRun: true, retryAfterMs });
      return;
    }
    board.budget.earn(arrival.team);
    const entry = newEntry(arrival, now);
    entry.forecastMs = verdict.forecastMs;
    entry.hitBlocks = bestHitBlocks(board, arrival.blocks);
    board.requests.set(arrival.id, entry);
    board.waiting.push(arrival.team, entry);
    this.#expectLoss(entry);
  }

  /** A request that ended its engines is not taken in, whatever room there is. */
  #decide(now: number, arrival: Arrival): AdmissionDecision {
    const retryAfterMs = this.#refusedForMs(now, arrival);
    if (retryAfterMs !== undefined) return { admitted: false, code: 'quarantined', retryAfterMs };
    return this.#admission.decide(now, this.#board, arrival);
  }

  #refusedForMs(now: number, { fingerprint }: Arrival): number | undefined {
    if (fingerprint === undefined) return undefined;
    return this.#board.quarantine.refusedForMs(now, fingerprint);
  }

  /** Queues a request again, before the others, if the retry budget allows; gives it up otherwise. */
  retry(now: number, entry: Entry): void {
    const board = this.#board;
    if (this.#refusedForMs(now, entry.arrival) !== undefined) {
      this.refuse(now, entry, 'quarantined');
      return;
    }
    if (!board.budget.spend(entry.arrival.team)) {
      this.refuse(now, entry, 'retriesSpent');
      return;
    }
    board.counters.retries += 1;
    entry.stage = 'queued';
    entry.since = now;
    if (entry.resumedTokens > 0) {
      entry.arrival = { ...entry.arrival, deadline: now + RESUME_WAIT_MS };
      board.waiting.unshift(RESUME_QUEUE, entry);
    } else {
      board.waiting.unshift(entry.arrival.team, entry);
    }
    this.#expectLoss(entry);
  }

  /** Ends a request that will not be served; after it was sent to a runner this is not "not run". */
  refuse(now: number, entry: Entry, code: CodeName): void {
    const board = this.#board;
    board.counters.refused += 1;
    const { id } = entry.arrival;
    const retryAfterMs = jitter(id, board.meanPrefillMs);
    board.emit({ kind: 'refuse', id, code, notRun: !entry.sent, retryAfterMs });
    board.remove(now, entry);
  }

  /** Refuses what can no longer have its first token in time, at the moment that is known. */
  refuseUnservable(now: number): void {
    if (now < this.#nextLoss) return;
    const board = this.#board;
    const lost = board.waiting.removeWhere((entry) => now >= this.#lossTime(entry));
    for (const entry of lost) {
      // It would have come later still; counting only first tokens that came would make the forecast look better than it is.
      if (!entry.sent) {
        board.margins.observe(
          entry.arrival.team,
          entry.forecastMs,
          entry.arrival.deadline - entry.arrivedAt,
        );
      }
      this.refuse(now, entry, entry.sent ? 'timedOut' : 'deadlineUnreachable');
    }
    this.#nextLoss = Infinity;
    for (const entry of board.requests.values()) {
      if (entry.stage === 'queued') this.#expectLoss(entry);
    }
  }

  /** Tells again what was lost with a link. */
  resendAction({ arrival: { id }, stage, prefillRunner, decodeRunner }: Entry): void {
    if (prefillRunner === undefined) return;
    if (stage === 'prefilling') this.#board.emit({ kind: 'prefill', id, runner: prefillRunner });
    if (stage === 'transferring' && decodeRunner !== undefined) {
      this.#board.emit({ kind: 'decode', id, runner: decodeRunner, source: prefillRunner });
    }
  }

  /**
   * A gateway asks again for a request that it holds nothing for: what it was
   * told, or what it told, was lost with its link. Without starting over, the
   * request would hold its place here and wait for ever.
   */
  #arriveAgain(now: number, entry: Entry): void {
    if (entry.stage === 'queued') return;
    if (entry.stage === 'prefilling') {
      this.resendAction(entry);
      return;
    }
    this.#board.countWaste(entry);
    this.#board.releaseResources(now, entry);
    this.retry(now, entry);
  }

  #expectLoss(entry: Entry): void {
    this.#nextLoss = Math.min(this.#nextLoss, this.#lossTime(entry));
  }

  /** Time from which even an idle cell could not deliver the first token by the deadline. */
  #lossTime({ arrival, hitBlocks }: Entry): number {
    const { costs } = this.#board;
    const work = uncachedTokens(arrival.promptTokens, hitBlocks);
    const leastMs =
      costs.prefillMs(work) + costs.transferMs(arrival.promptTokens) + costs.tokenMs(1);
    return arrival.deadline - leastMs;
  }
}
