/** Lifecycle controller: handles finished, cancelled, failed and adopted requests. */

import type { QueueController } from './queue';
import type { CellState } from './state';
import type { Entry } from './entry';
import { newEntry } from './entry';
import { estimateOutputTokens } from './forecast';
import { isAttributable, isLate } from '../quarantine/quarantine';
import type { Adoption, CellEvent } from './types';
import { fingerprintsOf } from './types';

type Failed = Extract<CellEvent, { kind: 'failed' }>;

/** Interval between observations of running requests, in milliseconds. */
const OBSERVATION_INTERVAL_MS = 500;

/** Ends requests, returns them to an earlier stage, or takes them over from a previous owner. */
export class LifecycleController {
  readonly #state: CellState;

  readonly #queue: QueueController;

  #observedAt = 0;

  constructor(state: CellState, queue: QueueController) {
    this.#state = state;
    this.#queue = queue;
  }

  /** Records a completed request with its output length in tokens. */
  finish(now: number, id: string, tokens: number): void {
    const state = this.#state;
    const entry = state.requests.get(id);
    if (!entry) return;
    if (entry.stage === 'decoding') {
      const newTokens = Math.max(1, tokens - entry.resumedTokens);
      state.outputs.addExposure(Math.min(entry.countedTokens, tokens), tokens);
      state.outputs.addCompletion(tokens);
      state.costs.observeTokens(this.#meanBatch(entry), (now - entry.since) / newTokens);
    }
    state.counters.finished += 1;
    for (const one of fingerprintsOf(entry.arrival)) {
      state.quarantine.recordCompletion(now, one);
      state.trials.end(one);
    }
    state.remove(now, entry);
  }

  /** Adds the estimated tokens of running requests to the distribution of output lengths, at a fixed interval. */
  observeRunning(now: number): void {
    if (now - this.#observedAt < OBSERVATION_INTERVAL_MS) return;
    this.#observedAt = now;
    const state = this.#state;
    for (const entry of state.decoding) {
      const tokens = Math.min(entry.arrival.maxTokens, estimateOutputTokens(now, state, entry));
      if (tokens > entry.countedTokens) {
        state.outputs.addExposure(entry.countedTokens, tokens);
        entry.countedTokens = tokens;
      }
    }
  }

  /** Ends a request that its caller cancelled. */
  cancel(now: number, id: string): void {
    const state = this.#state;
    const entry = state.requests.get(id);
    if (!entry) return;
    state.counters.cancelled += 1;
    if (entry.stage === 'prefilling' || entry.stage === 'prefilled') state.countWaste(entry);
    for (const runner of [entry.prefillRunner, entry.decodeRunner]) {
      if (runner !== undefined) state.health.recordInconclusive(runner);
    }
    state.remove(now, entry);
  }

  /** Queues a failed request again within the retry budget, whether it provably did not run or its outcome is unknown. */
  fail(now: number, failed: Failed): void {
    const state = this.#state;
    const { id, runner, reason, tokens } = failed;
    const entry = state.requests.get(id);
    if (!entry || (entry.prefillRunner !== runner && entry.decodeRunner !== runner)) return;
    this.#recordHealth(now, failed);
    if (reason === 'lost') this.#recordCrash(now, entry, runner);
    const keepsPrefill =
      reason === 'full' && entry.decodeRunner === runner && entry.keptUntil > now;
    if (keepsPrefill) {
      this.#returnToPrefilled(now, entry);
      return;
    }
    if (entry.stage === 'prefilled' || entry.stage === 'transferring') state.countWaste(entry);
    state.releaseResources(now, entry);
    entry.lastFailedRunner = runner;
    extendPrompt(entry, tokens);
    this.#queue.retry(now, entry);
    if (reason === 'lost') this.#queue.refuseScreened(now);
  }

  /**
   * Takes over a request that ran under another owner, or reconciles it with its gateway
   * after messages crossed. The gateway's record of the assigned runners takes precedence.
   */
  adopt(now: number, adoption: Adoption): void {
    const state = this.#state;
    const { arrival, prefillRunner } = adoption;
    const known = state.requests.get(arrival.id);
    if (known && isConsistent(known, adoption)) {
      this.#queue.resendAction(known);
      return;
    }
    if (known) state.remove(now, known);
    const entry = newEntry(arrival, now);
    entry.sent = true;
    entry.prefillRunner = prefillRunner;
    state.requests.set(arrival.id, entry);
    if (adoption.stage === 'decoding') this.#adoptDecoding(now, entry, adoption);
    else this.#adoptPrefill(now, entry, adoption);
  }

  #adoptDecoding(now: number, entry: Entry, { decodeRunner, arrival }: Adoption): void {
    const state = this.#state;
    entry.stage = 'decoding';
    state.decoding.add(entry);
    if (decodeRunner === undefined) return;
    entry.decodeRunner = decodeRunner;
    state.capacity.reserveSlot(decodeRunner, now, arrival.promptTokens);
  }

  #adoptPrefill(now: number, entry: Entry, { stage, prefillRunner, arrival }: Adoption): void {
    const state = this.#state;
    state.awaitingSlot += 1;
    if (stage === 'prefilling') {
      entry.stage = 'prefilling';
      const workMs = state.costs.prefillMs(arrival.promptTokens);
      if (prefillRunner !== undefined) state.capacity.addPrefill(prefillRunner, now, workMs);
      return;
    }
    entry.stage = 'prefilled';
    // The completion time is unknown: assume that half of the retention time is left. An earlier eviction only causes a retry.
    entry.keptUntil = now + state.policy.keepMs / 2;
    state.prefilled.add(entry);
  }

  #recordHealth(now: number, { runner, reason }: Failed): void {
    const { health, prefixes, capacity } = this.#state;
    if (reason === 'lost' || reason === 'unreachable') {
      health.recordFailure(now, runner);
      prefixes.clear(runner);
    } else {
      health.recordInconclusive(runner);
    }
    if (reason === 'leaving') capacity.recordLeavingRefusal(runner, now);
  }

  /** Records that the engine may have crashed while processing this request. Engines keep their ids when they restart, so each crash gets its own key. */
  #recordCrash(now: number, { arrival, stage, since }: Entry, runner: string): void {
    const answeredAt = stage === 'decoding' ? since : undefined;
    if (!isAttributable(now, answeredAt)) return;
    const { quarantine, trials } = this.#state;
    const key = `${runner}@${now}`;
    for (const one of quarantine.accused(now, fingerprintsOf(arrival), key)) {
      quarantine.recordCrash(now, one, key, isLate(now, answeredAt));
      trials.end(one);
    }
  }

  /** Returns a request to the stage `prefilled` after it lost its decode slot, so that the prefill result is reused while it is kept. */
  #returnToPrefilled(now: number, entry: Entry): void {
    const state = this.#state;
    state.releaseResources(now, entry);
    entry.stage = 'prefilled';
    entry.since = now;
    state.awaitingSlot += 1;
    state.prefilled.add(entry);
  }

  /** Mean of the batch sizes when the request joined and when it left. */
  #meanBatch({ decodeRunner, batch }: Entry): number {
    const load =
      decodeRunner === undefined ? undefined : this.#state.capacity.decodeLoad(decodeRunner);
    return (batch + (load?.held ?? batch)) / 2;
  }
}

/** Extends the prompt of the next run by the output tokens that the caller has already received. */
function extendPrompt(entry: Entry, tokens: number): void {
  const newTokens = tokens - entry.resumedTokens;
  if (newTokens <= 0) return;
  entry.resumedTokens = tokens;
  entry.countedTokens = tokens;
  entry.arrival = { ...entry.arrival, promptTokens: entry.arrival.promptTokens + newTokens };
}

/** Whether the state of a request matches the gateway's report, allowing for messages in flight. */
function isConsistent({ stage, prefillRunner, decodeRunner }: Entry, reported: Adoption): boolean {
  if (reported.stage === 'decoding') {
    return (
      (stage === 'transferring' || stage === 'decoding') && decodeRunner === reported.decodeRunner
    );
  }
  if (prefillRunner !== reported.prefillRunner) return false;
  if (reported.stage === 'prefilling') return stage === 'prefilling';
  return stage === 'prefilled' || stage === 'transferring';
}
