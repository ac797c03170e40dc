/** Controller of ends and of steps back: finished, cancelled, failed and adopted requests. */

import type { QueueController } from './queue';
import type { CellState } from './state';
import type { Entry } from './entry';
import { newEntry } from './entry';
import { estimateOutputTokens } from './forecast';
import { isAttributable } from '../quarantine/quarantine';
import type { Adoption, CellEvent } from './types';

type Failed = Extract<CellEvent, { kind: 'failed' }>;

/** Period of counting running requests, in milliseconds. */
const COUNT_MS = 500;

/** Writes requests that end or step back. */
export class LifecycleController {
  readonly #board: CellState;

  readonly #queue: QueueController;

  #countedAt = 0;

  constructor(board: CellState, queue: QueueController) {
    this.#board = board;
    this.#queue = queue;
  }

  finish(now: number, id: string, tokens: number): void {
    const board = this.#board;
    const entry = board.requests.get(id);
    if (!entry) return;
    if (entry.stage === 'decoding') {
      const fresh = Math.max(1, tokens - entry.resumedTokens);
      board.outputs.addExposure(Math.min(entry.countedTokens, tokens), tokens);
      board.outputs.addCompletion(tokens);
      board.costs.observeTokens(this.#batchOf(entry), (now - entry.since) / fresh);
    }
    board.counters.finished += 1;
    const { fingerprint } = entry.arrival;
    if (fingerprint !== undefined) board.quarantine.recordCompletion(now, fingerprint);
    board.remove(now, entry);
  }

  /** Counts the tokens of running requests into the distribution of output lengths, from time to time. */
  observeRunning(now: number): void {
    if (now - this.#countedAt < COUNT_MS) return;
    this.#countedAt = now;
    const board = this.#board;
    for (const entry of board.decoding) {
      const age = Math.min(entry.arrival.maxTokens, estimateOutputTokens(now, board, entry));
      if (age > entry.countedTokens) {
        board.outputs.addExposure(entry.countedTokens, age);
        entry.countedTokens = age;
      }
    }
  }

  cancel(now: number, id: string): void {
    const board = this.#board;
    const entry = board.requests.get(id);
    if (!entry) return;
    board.counters.cancelled += 1;
    if (entry.stage === 'prefilling' || entry.stage === 'prefilled') board.countWaste(entry);
    for (const runner of [entry.prefillRunner, entry.decodeRunner]) {
      if (runner !== undefined) board.health.recordInconclusive(runner);
    }
    board.remove(now, entry);
  }

  /** What is proven not run, or lost, is queued again within the retry budget. */
  fail(now: number, failed: Failed): void {
    const board = this.#board;
    const { id, runner, reason, tokens } = failed;
    const entry = board.requests.get(id);
    if (!entry || (entry.prefillRunner !== runner && entry.decodeRunner !== runner)) return;
    this.#judge(now, failed);
    if (reason === 'lost') this.#suspect(now, entry, runner);
    const keepsPrefill =
      reason === 'full' && entry.decodeRunner === runner && entry.keptUntil > now;
    if (keepsPrefill) {
      this.#backToPrefilled(now, entry);
      return;
    }
    if (entry.stage === 'prefilled' || entry.stage === 'transferring') board.countWaste(entry);
    board.releaseResources(now, entry);
    entry.lastFailedRunner = runner;
    noteTokensOut(entry, tokens);
    this.#queue.retry(now, entry);
  }

  /**
   * Takes over a request that ran under another owner, or comes into line with
   * its gateway after messages crossed: it holds what the gateway says it holds.
   */
  adopt(now: number, adoption: Adoption): void {
    const board = this.#board;
    const { arrival, prefillRunner } = adoption;
    const known = board.requests.get(arrival.id);
    if (known && agrees(known, adoption)) {
      this.#queue.resendAction(known);
      return;
    }
    if (known) board.remove(now, known);
    const entry = newEntry(arrival, now);
    entry.sent = true;
    entry.prefillRunner = prefillRunner;
    board.requests.set(arrival.id, entry);
    if (adoption.stage === 'decoding') this.#adoptDecoding(now, entry, adoption);
    else this.#adoptPrefill(now, entry, adoption);
  }

  #adoptDecoding(now: number, entry: Entry, { decodeRunner, arrival }: Adoption): void {
    const board = this.#board;
    entry.stage = 'decoding';
    board.decoding.add(entry);
    if (decodeRunner === undefined) return;
    entry.decodeRunner = decodeRunner;
    board.capacity.reserveSlot(decodeRunner, now, arrival.promptTokens);
  }

  #adoptPrefill(now: number, entry: Entry, { stage, prefillRunner, arrival }: Adoption): void {
    const board = this.#board;
    board.awaitingSlot += 1;
    if (stage === 'prefilling') {
      entry.stage = 'prefilling';
      const workMs = board.costs.prefillMs(arrival.promptTokens);
      if (prefillRunner !== undefined) board.capacity.addPrefill(prefillRunner, now, workMs);
      return;
    }
    entry.stage = 'prefilled';
    // Nobody here knows when it was finished; half of the time is a fair guess, and an eviction is only a retry.
    entry.keptUntil = now + board.policy.keepMs / 2;
    board.prefilled.add(entry);
  }

  #judge(now: number, { runner, reason }: Failed): void {
    const { health, prefixes, capacity: places } = this.#board;
    if (reason === 'lost' || reason === 'unreachable') {
      health.recordFailure(now, runner);
      prefixes.clear(runner);
    } else {
      health.recordInconclusive(runner);
    }
    if (reason === 'leaving') places.recordLeavingRefusal(runner, now);
  }

  /** The engine may have ended under this request. Engines keep their ids when they start anew, so each end counts. */
  #suspect(now: number, { arrival, stage, since }: Entry, runner: string): void {
    const { fingerprint } = arrival;
    const answeredAt = stage === 'decoding' ? since : undefined;
    if (fingerprint === undefined || !isAttributable(now, answeredAt)) return;
    this.#board.quarantine.recordCrash(now, fingerprint, `${runner}@${now}`);
  }

  /** A finished prefill whose decode place was lost is used again while it is kept. */
  #backToPrefilled(now: number, entry: Entry): void {
    const board = this.#board;
    board.releaseResources(now, entry);
    entry.stage = 'prefilled';
    entry.since = now;
    board.awaitingSlot += 1;
    board.prefilled.add(entry);
  }

  /** Mean of the batch that a request joined and the one it left. */
  #batchOf({ decodeRunner, batch }: Entry): number {
    const place =
      decodeRunner === undefined ? undefined : this.#board.capacity.decodeLoad(decodeRunner);
    return (batch + (place?.held ?? batch)) / 2;
  }
}

/** Tokens that the caller has become part of the prompt of the next run. */
function noteTokensOut(entry: Entry, tokens: number): void {
  const fresh = tokens - entry.resumedTokens;
  if (fresh <= 0) return;
  entry.resumedTokens = tokens;
  entry.countedTokens = tokens;
  entry.arrival = { ...entry.arrival, promptTokens: entry.arrival.promptTokens + fresh };
}

/** Whether the cell and the gateway see a request alike, but for messages on their way. */
function agrees({ stage, prefillRunner, decodeRunner }: Entry, told: Adoption): boolean {
  if (told.stage === 'decoding') {
    return (stage === 'transferring' || stage === 'decoding') && decodeRunner === told.decodeRunner;
  }
  if (prefillRunner !== told.prefillRunner) return false;
  if (told.stage === 'prefilling') return stage === 'prefilling';
  return stage === 'prefilled' || stage === 'transferring';
}
