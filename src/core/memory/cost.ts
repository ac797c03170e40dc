/**
 * Measured times of an engine's work: prefill, first event, output tokens. Engines differ by
 * factors of ten and more; with fixed figures of one engine, estimates of growth, ends and waits
 * were off by a factor of seven on another.
 */

import type { PendingPrompt, PrefillState } from './account';
import { Estimate } from './estimate';
import { LocalPrefillTimes } from './localprefill';

/** Times of an engine whose runners have slowness 1. */
export interface Costs {
  /** Fixed time of each prefill, in milliseconds. */
  readonly prefillBaseMs: number;
  /** Time of a prefill runner per prompt token, in milliseconds. */
  readonly prefillTokenMs: number;
  /**
   * Time from the end of the prefill to the first event, in milliseconds: the transfer of the KV
   * cache and a step for each token of an event.
   */
  readonly firstEventMs: number;
  /** Time of an output token on a decode runner, in milliseconds. */
  readonly tokenMs: number;
  /** Lower bound of `tokenMs` by its measured error. */
  readonly minTokenMs: number;
  /** Time of a local prefill on a decode runner per prompt token, in milliseconds. */
  readonly localPrefillTokenMs: number;
  /** Time of an output token on a decode runner that runs a local prefill, in milliseconds. */
  readonly slowedTokenMs: number;
  /** Whether these two times were measured recently and are no assumptions. */
  isLocalPrefillMeasured(now: number): boolean;
}

/** Initial values until the first measurement: those of a mid-sized engine. */
const INITIAL_PREFILL_BASE_MS = 70;
const INITIAL_PREFILL_TOKEN_MS = 0.018;
const INITIAL_FIRST_EVENT_MS = 100;
const INITIAL_TOKEN_MS = 7;
/**
 * Prompt tokens that a decode runner prefills between two token steps, until that is measured: the
 * usual chunk size of chunked prefill.
 */
const CHUNK_TOKENS = 512;
/** The same on the engines with the smallest chunks. */
const MIN_CHUNK_TOKENS = 128;
/**
 * Cost of a local prefill relative to a prefill runner, until that is measured: a decode runner
 * prefills at half the speed.
 */
export const LOCAL_PREFILL_COST = 2;
/**
 * A prompt is overdue after this multiple of its expected time, but not before `MIN_OVERDUE_MS`.
 */
const OVERDUE_FACTOR = 2;
/**
 * Lower bound of the overdue limit, in milliseconds. On engines with fast prefills, a queue of two
 * prompts exceeded the multiple: all were overdue, none was counted, and the runner got more of
 * them until every prefill ran into its timeout.
 */
const MIN_OVERDUE_MS = 600;
/** Weight of one measurement of a runner's slowness. */
const SLOWNESS_WEIGHT = 0.15;
/** Bounds of one measurement, so that a single outlier has little effect. */
const MIN_SLOWNESS = 0.3;
const MAX_SLOWNESS = 8;
/** The first measurement replaces the initial value; after that, the mean covers some fifty. */
const ESTIMATE_OPTIONS = { startWeight: 0, leastStep: 0.02 };
/**
 * Prompt sizes, in tokens, for which the initial values count as measurements, and the weight of
 * each.
 */
const INITIAL_SIZES_TOKENS: readonly number[] = [1000, 9000];
const INITIAL_SIZE_WEIGHT = 0.1;
/**
 * Smallest part of the mean prefill time that depends on the prompt. Where a slow runner got small
 * prompts, no dependence was measured: all backlogs counted as 0, one runner got every prompt, and
 * as only idle runners are measured, that never ended.
 */
const MIN_TOKEN_PART = 1 / 3;
/** Decay of older prefill measurements with each further one. */
const PREFILL_DECAY = 0.98;

/** Time that a prompt occupies a runner of the given slowness, in milliseconds. */
export function prefillWorkMs({ prefillTokenMs }: Costs, tokens: number, slowness = 1): number {
  return tokens * prefillTokenMs * slowness;
}

/** Time of a prefill on an idle runner, in milliseconds. */
export function prefillMs(costs: Costs, tokens: number, slowness = 1): number {
  return costs.prefillBaseMs + prefillWorkMs(costs, tokens, slowness);
}

/** Time for which a request of the given size holds its reservation, in milliseconds. */
export function residenceMs(costs: Costs, promptTokens: number, outputTokens: number): number {
  return prefillMs(costs, promptTokens) + costs.firstEventMs + outputTokens * costs.tokenMs;
}

/** Time in which a decode runner writes an answer, in milliseconds. */
export function decodeMs(costs: Costs, outputTokens: number, slowness: number): number {
  return costs.firstEventMs + outputTokens * costs.tokenMs * slowness;
}

/** Time of a local prefill on a runner of the given slowness, in milliseconds. */
export function localPrefillMs(costs: Costs, tokens: number, slowness = 1): number {
  return tokens * costs.localPrefillTokenMs * slowness;
}

/**
 * Time between two events of a stream on a decode runner that runs a local prefill, in
 * milliseconds. A chunk is prefilled before each token; where an event holds many tokens, all
 * chunks of a prompt fall between two events, and up to ten streams at a time exceeded their
 * allowed pause. Local prefills are measured on runners with few streams too, where they are
 * faster, so the pauses of streams do not go by a measured time below the assumed one.
 */
export function localPrefillPauseMs(
  costs: Costs,
  promptTokens: number,
  eventTokens: number,
): number {
  const assumedMs = LOCAL_PREFILL_COST * prefillWorkMs(costs, promptTokens);
  const promptMs = Math.max(assumedMs, localPrefillMs(costs, promptTokens));
  const wholePromptMs = eventTokens * costs.tokenMs + promptMs;
  return Math.min(eventTokens * costs.slowedTokenMs, wholePromptMs);
}

/** The same on an engine with the smallest chunks; a longer pause is not worth measuring. */
export function minLocalPrefillPauseMs(costs: Costs, eventTokens: number): number {
  return eventTokens * slowedTokenMsOf(costs, MIN_CHUNK_TOKENS);
}

/** Time of an output token on a runner that prefills a chunk before each, in milliseconds. */
export function slowedTokenMsOf(
  costs: Pick<Costs, 'tokenMs' | 'prefillTokenMs'>,
  chunkTokens: number,
): number {
  return costs.tokenMs + LOCAL_PREFILL_COST * chunkTokens * costs.prefillTokenMs;
}

/**
 * Expected time of a prompt on a runner of slowness 1, including the tokens queued before it, in
 * milliseconds.
 */
export function expectedPrefillMs(costs: Costs, { tokens, aheadTokens }: PendingPrompt): number {
  return prefillMs(costs, tokens + aheadTokens);
}

/** Prompt tokens that a runner has yet to prefill; long overdue prompts are not counted. */
function pendingTokens(costs: Costs, now: number, { pending, slowness }: PrefillState): number {
  let tokens = 0;
  for (const entry of pending.values()) {
    const usualMs = expectedPrefillMs(costs, entry) * Math.max(1, slowness);
    const limitMs = Math.max(MIN_OVERDUE_MS, OVERDUE_FACTOR * usualMs);
    if (now < entry.queuedAt + limitMs) tokens += entry.tokens;
  }
  return tokens;
}

/** Adds a prompt to a runner's pending ones. */
export function addPending(
  costs: Costs,
  now: number,
  state: PrefillState,
  id: string,
  tokens: number,
): void {
  const aheadTokens = pendingTokens(costs, now, state);
  state.pending.set(id, { tokens, queuedAt: now, aheadTokens });
}

/**
 * Time until a runner has prefilled its pending prompts, in milliseconds. A long overdue prompt is
 * not counted: its answer was lost or its VM is paused. Counted until that was reported, one kept
 * the only prefill runner without work for three seconds while eleven requests waited.
 */
export function backlogMs(costs: Costs, now: number, state: PrefillState): number {
  return prefillWorkMs(costs, pendingTokens(costs, now, state), state.slowness);
}

/**
 * Updates a runner's slowness after work that took `ms`, where `expectedMs` is the time at slowness
 * 1.
 */
export function updatedSlowness(slowness: number, expectedMs: number, ms: number): number {
  const measured = Math.min(MAX_SLOWNESS, Math.max(MIN_SLOWNESS, ms / expectedMs));
  return slowness + SLOWNESS_WEIGHT * (measured - slowness);
}

/** Fixed time of a prefill and time per token, in milliseconds. */
interface PrefillTimes {
  readonly baseMs: number;
  readonly tokenMs: number;
}

/**
 * Linear regression of prefill times on prompt tokens, with exponential decay of old measurements.
 */
class PrefillRegression {
  #weight = 0;

  #tokens = 0;

  #ms = 0;

  #tokensSquared = 0;

  #product = 0;

  /** Fixed time and time per token, in milliseconds; neither is negative. */
  line: PrefillTimes = { baseMs: INITIAL_PREFILL_BASE_MS, tokenMs: INITIAL_PREFILL_TOKEN_MS };

  constructor() {
    for (const tokens of INITIAL_SIZES_TOKENS) {
      this.add(
        tokens,
        INITIAL_PREFILL_BASE_MS + INITIAL_PREFILL_TOKEN_MS * tokens,
        INITIAL_SIZE_WEIGHT,
      );
    }
  }

  add(tokens: number, ms: number, weight = 1): void {
    this.#weight = this.#weight * PREFILL_DECAY + weight;
    this.#tokens = this.#tokens * PREFILL_DECAY + weight * tokens;
    this.#ms = this.#ms * PREFILL_DECAY + weight * ms;
    this.#tokensSquared = this.#tokensSquared * PREFILL_DECAY + weight * tokens * tokens;
    this.#product = this.#product * PREFILL_DECAY + weight * tokens * ms;
    this.line = this.#fit();
  }

  #fit(): PrefillTimes {
    const tokens = this.#tokens / this.#weight;
    const ms = this.#ms / this.#weight;
    const spread = this.#tokensSquared / this.#weight - tokens * tokens;
    const slope = (this.#product / this.#weight - tokens * ms) / Math.max(1, spread);
    const meanTokenMs = ms / Math.max(1, tokens);
    const tokenMs = Math.min(meanTokenMs, Math.max(MIN_TOKEN_PART * meanTokenMs, slope));
    return { baseMs: ms - tokenMs * tokens, tokenMs };
  }
}

/** Costs that are updated by measurements. */
export interface CostModel extends Costs {
  /** Records that an idle runner prefilled a prompt in `ms`. */
  recordPrefill(tokens: number, ms: number): void;
  /**
   * Records that the first event came `ms` after both the prefill and the assignment of a decode
   * runner.
   */
  recordFirstEvent(ms: number): void;
  /** Records a token time of a request. */
  recordTokenTime(ms: number): void;
  /** Records that a decode runner prefilled a prompt in `ms`. */
  recordLocalPrefill(now: number, tokens: number, ms: number): void;
  /** Records that a stream had `tokens` output tokens in `ms` of local prefills on its runner. */
  recordSlowedTokens(tokens: number, ms: number): void;
}

/** Costs of one engine, measured while it runs. */
export class MeasuredCosts implements CostModel {
  readonly #prefills = new PrefillRegression();

  readonly #firstEvent = new Estimate(INITIAL_FIRST_EVENT_MS, ESTIMATE_OPTIONS);

  readonly #token = new Estimate(INITIAL_TOKEN_MS, ESTIMATE_OPTIONS);

  readonly #local = new LocalPrefillTimes();

  get prefillBaseMs(): number {
    return this.#prefills.line.baseMs;
  }

  get prefillTokenMs(): number {
    return this.#prefills.line.tokenMs;
  }

  get firstEventMs(): number {
    return this.#firstEvent.value;
  }

  get tokenMs(): number {
    return this.#token.value;
  }

  get minTokenMs(): number {
    return Math.max(0, this.#token.value - this.#token.error);
  }

  get localPrefillTokenMs(): number {
    return this.#local.tokenMs(LOCAL_PREFILL_COST * this.prefillTokenMs);
  }

  get slowedTokenMs(): number {
    const workMs = LOCAL_PREFILL_COST * this.prefillTokenMs;
    const chunkTokens = this.#local.chunkTokens(workMs, this.tokenMs, CHUNK_TOKENS);
    const expectedMs = slowedTokenMsOf(this, chunkTokens);
    return Math.max(this.tokenMs, this.#local.slowedTokenMs(expectedMs));
  }

  isLocalPrefillMeasured(now: number): boolean {
    return this.#local.isMeasured(now);
  }

  recordPrefill(tokens: number, ms: number): void {
    this.#prefills.add(tokens, ms);
  }

  recordFirstEvent(ms: number): void {
    this.#firstEvent.add(ms);
  }

  recordTokenTime(ms: number): void {
    // A start and an end that arrive in the same packet carry no information; a token time of 0
    // would make the expected growth infinite.
    if (ms > 0) this.#token.add(ms);
  }

  recordLocalPrefill(now: number, tokens: number, ms: number): void {
    // A local prefill that is faster than one on a prefill runner began before this planner.
    if (ms >= tokens * this.prefillTokenMs) this.#local.recordPrefill(now, tokens, ms);
  }

  recordSlowedTokens(tokens: number, ms: number): void {
    this.#local.recordSlowed(tokens, ms);
  }
}
