/**
 * Statistics of a service's requests and runners: times, sizes, output lengths, and estimates
 * derived from them.
 */

import type { Allocation, DecodeState, PendingPrompt, PrefillState } from './account';
import { localPrefillMsSince, recordLocalPrefillSpan } from './account';
import type { CostModel } from './cost';
import { expectedPrefillMs, updatedSlowness, prefillMs, residenceMs } from './cost';
import { TokenFlow } from './flow';
import type { RequestSizes } from './flow';
import { OutputLengths } from './lengths';
import type { LengthRules } from './policy';
import type { UsualRequest } from './prefills';
import type { Demand, ReportedRun } from './types';

/**
 * Number of events that an answer must exceed for its pace to be measured, since its last event is
 * not full.
 */
const MIN_EVENTS = 3;

/**
 * Largest share of a stream's time with local prefills on its runner at which the rest still gives
 * the token time.
 */
const MAX_SLOWED_SHARE = 0.25;
/**
 * Smallest such share at which the stream shows how slow streams are during local prefills. With a
 * smaller one, the error of the token time otherwise exceeds what is measured.
 */
const MIN_SLOWED_SHARE = 0.4;
/** Largest such share at which a report shows the token time. */
const MAX_REPORT_SHARE = 0.1;
/** Time between two reports of a runner, in milliseconds. */
const REPORT_INTERVAL_MS = 1000;

/**
 * Updates a runner's slowness after work that took `ms`, where `expectedMs` is the time at slowness
 * 1.
 */
function updateSlowness(runner: DecodeState | PrefillState, expectedMs: number, ms: number): void {
  const state = runner;
  state.slowness = updatedSlowness(state.slowness, expectedMs, ms);
}

/** Statistics of one service's requests and runners. */
export class WorkloadStats {
  readonly #costs: CostModel;

  readonly #lengths: OutputLengths;

  readonly #flow = new TokenFlow();

  constructor(rules: LengthRules, costs: CostModel) {
    this.#lengths = new OutputLengths(rules);
    this.#costs = costs;
  }

  /** Records a request for a reservation; `first` is false if it is a repeated attempt. */
  recordDemand(now: number, demand: Demand, first: boolean): void {
    this.#flow.recordSize(demand.promptTokens, this.#lengths.expectedTokens(demand));
    if (first) this.#flow.recordDemand(now, this.sizeOf(demand));
  }

  /** Records a prefill that took `ms`. */
  recordPrefill(prefill: PrefillState, pending: PendingPrompt, ms: number): void {
    if (pending.aheadTokens === 0) this.#costs.recordPrefill(pending.tokens, ms);
    updateSlowness(prefill, expectedPrefillMs(this.#costs, pending), ms);
  }

  /**
   * Records a prefill that was abandoned: it would have taken at least as long as it has been
   * pending. If only prefills that finish in time were measured, a runner that falls behind would
   * still look fast.
   */
  recordAbandonedPrefill(now: number, prefill: PrefillState, pending: PendingPrompt): void {
    const ms = now - pending.queuedAt;
    const expectedMs = expectedPrefillMs(this.#costs, pending);
    if (ms > expectedMs) updateSlowness(prefill, expectedMs, ms);
  }

  /**
   * Records that the first event came `ms` after both the prefill and the assignment of a decode
   * runner.
   */
  recordFirstEvent(ms: number): void {
    this.#costs.recordFirstEvent(ms);
  }

  /** Records the output length of a finished request. */
  recordOutput(demand: Demand, outputTokens: number): void {
    this.#lengths.record(demand, outputTokens);
  }

  /**
   * Records the first event of a request whose prompt its decode runner prefilled itself.
   * @param eventTokens output tokens of the first event
   */
  recordLocalPrefill(
    now: number,
    decode: DecodeState,
    { demand, grantedAt }: Allocation,
    eventTokens: number,
  ): void {
    const to = now - eventTokens * this.#costs.tokenMs * decode.slowness;
    if (to <= grantedAt) return;
    this.#costs.recordLocalPrefill(now, demand.promptTokens, (to - grantedAt) / decode.slowness);
    recordLocalPrefillSpan(decode, { from: grantedAt, to });
  }

  /** Records a stream that ended and had its first event at `startedAt`. */
  recordStream(
    now: number,
    decode: DecodeState,
    outputTokens: number,
    eventTokens: number,
    startedAt: number,
  ): void {
    const tokens = outputTokens - eventTokens;
    if (tokens < MIN_EVENTS * eventTokens) return;
    const ms = now - startedAt;
    const slowedMs = localPrefillMsSince(now, decode, startedAt);
    const { tokenMs, slowedTokenMs } = this.#costs;
    if (slowedMs >= MIN_SLOWED_SHARE * ms) {
      const slowedTokens = tokens - (ms - slowedMs) / (tokenMs * decode.slowness);
      this.#costs.recordSlowedTokens(slowedTokens, slowedMs / decode.slowness);
    }
    const usualTokens = tokens - slowedMs / (slowedTokenMs * decode.slowness);
    if (slowedMs <= MAX_SLOWED_SHARE * ms && usualTokens > tokens / 2) {
      this.#recordTokenTime(decode, (ms - slowedMs) / usualTokens);
    }
  }

  /** Records a runner's report of its running requests. */
  recordReport(now: number, decode: DecodeState, runs: readonly ReportedRun[]): void {
    const ms = decode.pace.update(now, runs);
    const slowedMs = localPrefillMsSince(now, decode, now - REPORT_INTERVAL_MS);
    const isSlowed = slowedMs > MAX_REPORT_SHARE * REPORT_INTERVAL_MS;
    if (ms !== undefined && !isSlowed) this.#recordTokenTime(decode, ms);
  }

  /** Records a measured token time of a decode runner, in milliseconds. */
  #recordTokenTime(decode: DecodeState, ms: number): void {
    this.#costs.recordTokenTime(ms);
    updateSlowness(decode, this.#costs.tokenMs, ms);
  }

  /** Expected output tokens of a request. */
  expectedOutputTokens(demand: Demand): number {
    return this.#lengths.expectedTokens(demand);
  }

  /** Usual error of that estimate, in tokens. */
  deviationTokens(demand: Demand): number {
    return this.#lengths.deviationTokens(demand);
  }

  /** Tokens of memory that a request will take. */
  sizeOf(demand: Demand): number {
    return demand.promptTokens + this.#lengths.expectedTokens(demand);
  }

  /** Usual sizes of the requests. */
  get sizes(): RequestSizes {
    return this.#flow.sizes;
  }

  /**
   * Tokens that one ending request usually frees. A larger request would have to wait for several
   * ends on one runner.
   */
  get usualSizeTokens(): number {
    const { promptTokens, outputTokens } = this.#flow.sizes;
    return promptTokens + outputTokens;
  }

  /** The usual request. */
  get usual(): UsualRequest {
    const { usualSizeTokens, residenceMs: holdsMs } = this;
    const { promptTokens } = this.#flow.sizes;
    return { sizeTokens: usualSizeTokens, promptTokens, residenceMs: holdsMs };
  }

  /** Time for which a usual request holds its reservation, in milliseconds. */
  get residenceMs(): number {
    const { promptTokens, outputTokens } = this.#flow.sizes;
    return residenceMs(this.#costs, promptTokens, outputTokens);
  }

  /** Time of a usual prefill, in milliseconds. */
  get prefillMs(): number {
    return prefillMs(this.#costs, this.#flow.sizes.promptTokens);
  }

  /**
   * Tokens per millisecond that are not used by first attempts.
   * @param capacity tokens freed per millisecond when all memory is in use
   */
  spareTokensPerMs(now: number, capacity: number): number {
    return this.#flow.spareTokensPerMs(now, capacity);
  }
}
