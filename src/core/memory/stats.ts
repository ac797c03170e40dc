/** What a planner learns of its requests and runners: times, sizes, lengths, and what follows from them. */

import type { DecodeState, PendingPrompt, PrefillState } from './account';
import type { CostModel } from './cost';
import { expectedPrefillMs, updatedSlowness, prefillMs, residenceMs } from './cost';
import { TokenFlow } from './flow';
import type { RequestSizes } from './flow';
import { OutputLengths } from './lengths';
import type { LengthRules } from './policy';
import type { Demand, ReportedRun } from './types';

/** Events of which an answer must have more for its pace to be learnt: the last one is part of one. */
const LEAST_EVENTS = 3;

/** Work of a runner took `ms` where `expectedMs` are expected of slowness 1. */
function noteTime(runner: DecodeState | PrefillState, expectedMs: number, ms: number): void {
  const state = runner;
  state.slowness = updatedSlowness(state.slowness, expectedMs, ms);
}

/** Learns from what happens to the requests of one service. */
export class WorkloadStats {
  readonly #costs: CostModel;

  readonly #lengths: OutputLengths;

  readonly #flow = new TokenFlow();

  constructor(rules: LengthRules, costs: CostModel) {
    this.#lengths = new OutputLengths(rules);
    this.#costs = costs;
  }

  /** A request waits for a place; `first` unless its caller asked before. */
  recordDemand(now: number, demand: Demand, first: boolean): void {
    this.#flow.recordSize(demand.promptTokens, this.#lengths.expectedTokens(demand));
    if (first) this.#flow.recordDemand(now, this.sizeOf(demand));
  }

  /** A prompt was read in `ms`. */
  recordPrefill(prefill: PrefillState, pending: PendingPrompt, ms: number): void {
    if (pending.aheadTokens === 0) this.#costs.recordPrefill(pending.tokens, ms);
    noteTime(prefill, expectedPrefillMs(this.#costs, pending), ms);
  }

  /**
   * A prompt was given up: it has taken at least as long as it lay there. Learnt from
   * those that are read in time alone, a runner that falls behind looks as fast as ever.
   */
  recordAbandonedPrefill(now: number, prefill: PrefillState, pending: PendingPrompt): void {
    const ms = now - pending.queuedAt;
    const expectedMs = expectedPrefillMs(this.#costs, pending);
    if (ms > expectedMs) noteTime(prefill, expectedMs, ms);
  }

  /** The first event came `ms` after the prompt was read and a decode runner was bound. */
  recordFirstEvent(ms: number): void {
    this.#costs.recordFirstEvent(ms);
  }

  /** A request made all of its output. */
  recordOutput(demand: Demand, outputTokens: number): void {
    this.#lengths.record(demand, outputTokens);
  }

  /** A request made its output in `ms` after its first event. */
  recordStream(decode: DecodeState, outputTokens: number, eventTokens: number, ms: number): void {
    const tokens = outputTokens - eventTokens;
    if (tokens >= LEAST_EVENTS * eventTokens) this.#paced(decode, ms / tokens);
  }

  /** A runner told what it runs. */
  recordReport(now: number, decode: DecodeState, runs: readonly ReportedRun[]): void {
    const ms = decode.pace.update(now, runs);
    if (ms !== undefined) this.#paced(decode, ms);
  }

  /** A token took so long at a decode runner, in milliseconds. */
  #paced(decode: DecodeState, ms: number): void {
    this.#costs.recordTokenTime(ms);
    noteTime(decode, this.#costs.tokenMs, ms);
  }

  /** Output tokens that are expected of a request. */
  expectedOutputTokens(demand: Demand): number {
    return this.#lengths.expectedTokens(demand);
  }

  /** By how many tokens that is usually off. */
  deviationTokens(demand: Demand): number {
    return this.#lengths.deviationTokens(demand);
  }

  /** Tokens of memory that a request will take. */
  sizeOf(demand: Demand): number {
    return demand.promptTokens + this.#lengths.expectedTokens(demand);
  }

  get sizes(): RequestSizes {
    return this.#flow.sizes;
  }

  /** What one ending request gives back: a larger one would wait for several ends at one runner. */
  get usualSizeTokens(): number {
    const { promptTokens, outputTokens } = this.#flow.sizes;
    return promptTokens + outputTokens;
  }

  /** Time for which a usual request holds its place, in milliseconds. */
  get residenceMs(): number {
    const { promptTokens, outputTokens } = this.#flow.sizes;
    return residenceMs(this.#costs, promptTokens, outputTokens);
  }

  /** Time of a usual prefill, in milliseconds. */
  get prefillMs(): number {
    return prefillMs(this.#costs, this.#flow.sizes.promptTokens);
  }

  /**
   * Tokens in a millisecond that first attempts leave to the others.
   * @param capacity tokens that come free in a millisecond when all memory is in use
   */
  spareTokensPerMs(now: number, capacity: number): number {
    return this.#flow.spareTokensPerMs(now, capacity);
  }
}
