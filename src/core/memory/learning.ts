/** What a planner learns of its requests and runners: times, sizes, lengths, and what follows from them. */

import type { DecodeState, PendingPrompt, PrefillState } from './account';
import type { CostModel } from './cost';
import { expectedReadMs, learntSlowness, prefillMs, residenceMs } from './cost';
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
  state.slowness = learntSlowness(state.slowness, expectedMs, ms);
}

/** Learns from what happens to the requests of one service. */
export class Learning {
  readonly #costs: CostModel;

  readonly #lengths: OutputLengths;

  readonly #flow = new TokenFlow();

  constructor(rules: LengthRules, costs: CostModel) {
    this.#lengths = new OutputLengths(rules);
    this.#costs = costs;
  }

  /** A request waits for a place; `first` unless its caller asked before. */
  asked(now: number, demand: Demand, first: boolean): void {
    this.#flow.sized(demand.promptTokens, this.#lengths.expect(demand));
    if (first) this.#flow.asked(now, this.sizeOf(demand));
  }

  /** A prompt was read in `ms`. */
  prefilled(prefill: PrefillState, pending: PendingPrompt, ms: number): void {
    if (pending.aheadTokens === 0) this.#costs.read(pending.tokens, ms);
    noteTime(prefill, expectedReadMs(this.#costs, pending), ms);
  }

  /**
   * A prompt was given up: it has taken at least as long as it lay there. Learnt from
   * those that are read in time alone, a runner that falls behind looks as fast as ever.
   */
  givenUp(now: number, prefill: PrefillState, pending: PendingPrompt): void {
    const ms = now - pending.givenAt;
    const expectedMs = expectedReadMs(this.#costs, pending);
    if (ms > expectedMs) noteTime(prefill, expectedMs, ms);
  }

  /** The first event came `ms` after the prompt was read and a decode runner was bound. */
  began(ms: number): void {
    this.#costs.began(ms);
  }

  /** A request made all of its output. */
  finished(demand: Demand, outputTokens: number): void {
    this.#lengths.learn(demand, outputTokens);
  }

  /** A request made its output in `ms` after its first event. */
  streamed(decode: DecodeState, outputTokens: number, eventTokens: number, ms: number): void {
    const tokens = outputTokens - eventTokens;
    if (tokens >= LEAST_EVENTS * eventTokens) this.#paced(decode, ms / tokens);
  }

  /** A runner told what it runs. */
  reported(now: number, decode: DecodeState, runs: readonly ReportedRun[]): void {
    const ms = decode.pace.next(now, runs);
    if (ms !== undefined) this.#paced(decode, ms);
  }

  /** A token took so long at a decode runner, in milliseconds. */
  #paced(decode: DecodeState, ms: number): void {
    this.#costs.made(ms);
    noteTime(decode, this.#costs.tokenMs, ms);
  }

  /** Output tokens that are expected of a request. */
  expect(demand: Demand): number {
    return this.#lengths.expect(demand);
  }

  /** By how many tokens that is usually off. */
  deviation(demand: Demand): number {
    return this.#lengths.deviation(demand);
  }

  /** Tokens of memory that a request will take. */
  sizeOf(demand: Demand): number {
    return demand.promptTokens + this.#lengths.expect(demand);
  }

  get sizes(): RequestSizes {
    return this.#flow.sizes;
  }

  /** What one ending request gives back: a larger one would wait for several ends at one runner. */
  get usualSize(): number {
    const { promptTokens, outputTokens } = this.#flow.sizes;
    return promptTokens + outputTokens;
  }

  /** Time for which a usual request holds its place, in milliseconds. */
  get residenceMs(): number {
    const { promptTokens, outputTokens } = this.#flow.sizes;
    return residenceMs(this.#costs, promptTokens, outputTokens);
  }

  /** Time of a usual prefill, in milliseconds. */
  get readMs(): number {
    return prefillMs(this.#costs, this.#flow.sizes.promptTokens);
  }

  /**
   * Tokens in a millisecond that first attempts leave to the others.
   * @param capacity tokens that come free in a millisecond when all memory is in use
   */
  spare(now: number, capacity: number): number {
    return this.#flow.spare(now, capacity);
  }
}
