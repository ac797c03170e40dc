/**
 * Times of an engine's work, as measured: reading prompts, the way to the first
 * event, output tokens. Engines differ by tens of times; rules on the figures of
 * one engine were wrong by seven times on the next, for growth, ends and waits.
 */

import type { PendingPrompt, PrefillState } from './account';
import { Estimate } from './estimate';

/** Times of an engine whose runners have slowness 1. */
export interface Costs {
  /** Milliseconds of every prefill beside its tokens. */
  readonly prefillBaseMs: number;
  /** Milliseconds of a prefill runner's work for each prompt token. */
  readonly prefillTokenMs: number;
  /** Time from the end of the prefill to the first event, in milliseconds: the move, and a step for each token of an event. */
  readonly firstEventMs: number;
  /** Milliseconds of an output token on a decode runner. */
  readonly tokenMs: number;
  /** The least that `tokenMs` may be by what was measured. */
  readonly minTokenMs: number;
}

/** Figures that decide until something was measured: those of a mid-sized engine. */
const START_READ_BASE_MS = 70;
const START_READ_TOKEN_MS = 0.018;
const START_FIRST_EVENT_MS = 100;
const START_TOKEN_MS = 7;
/** Prompt tokens that a decode runner reads between two of its token steps: the usual size of a piece in engines of this kind. */
const PIECE_TOKENS = 512;
/** A decode runner reads a prompt at half the speed of a prefill runner. */
export const LOCAL_PREFILL_COST = 2;
/** A prompt counts as overdue after this many times the time that it should take, and not before a time in milliseconds. */
const OVERDUE_TIMES = 2;
/**
 * On engines that read fast a queue of two prompts took longer than that: all
 * were overdue, none was counted, and the runner got more and more of them until
 * every prefill ran into its time limit.
 */
const OVERDUE_LEAST_MS = 600;
/** Weight of one measurement of a runner's slowness. */
const STEP = 0.15;
/** Bounds of one measurement, so that a single stray one moves little. */
const SLOWNESS_LEAST = 0.3;
const SLOWNESS_MOST = 8;
/** How measured times begin and how long they last: the first replaces the start value, some fifty are remembered. */
const TIMES = { startWeight: 0, leastStep: 0.02 };
/** Sizes at which the start figures count as measured, in prompt tokens, and what each counts as. */
const START_SIZES: readonly number[] = [1000, 9000];
const START_WEIGHT = 0.1;
/** What is kept of a measured prefill with each further one. */
const READ_KEPT = 0.98;

/** Time that a runner of that slowness is busy with a prompt, in milliseconds. */
export function prefillWorkMs(
  { prefillTokenMs: readTokenMs }: Costs,
  tokens: number,
  slowness = 1,
): number {
  return tokens * readTokenMs * slowness;
}

/** Time of a prompt on an idle runner, in milliseconds. */
export function prefillMs(costs: Costs, tokens: number, slowness = 1): number {
  return costs.prefillBaseMs + prefillWorkMs(costs, tokens, slowness);
}

/** Time for which a request of such a size holds its place, in milliseconds. */
export function residenceMs(costs: Costs, promptTokens: number, outputTokens: number): number {
  return prefillMs(costs, promptTokens) + costs.firstEventMs + outputTokens * costs.tokenMs;
}

/**
 * Time between two events of an answer at a decode runner that reads a prompt
 * itself, in milliseconds. A piece is read before each token; where an event
 * holds many tokens, all pieces of a prompt fall between two events, and up to
 * ten answers at a time had a pause over their limit.
 */
export function localPrefillPauseMs(
  costs: Costs,
  promptTokens: number,
  eventTokens: number,
): number {
  const tokens = Math.min(promptTokens, eventTokens * PIECE_TOKENS);
  return eventTokens * costs.tokenMs + LOCAL_PREFILL_COST * prefillWorkMs(costs, tokens);
}

/** Time that a prompt should take on a runner of slowness 1 with what lay before it, in milliseconds. */
export function expectedPrefillMs(costs: Costs, { tokens, aheadTokens }: PendingPrompt): number {
  return prefillMs(costs, tokens + aheadTokens);
}

/** Prompt tokens that a runner has still to read. Those of a prompt that is long overdue are not counted. */
function pendingTokens(costs: Costs, now: number, { pending, slowness }: PrefillState): number {
  let tokens = 0;
  for (const entry of pending.values()) {
    const usualMs = expectedPrefillMs(costs, entry) * Math.max(1, slowness);
    const limitMs = Math.max(OVERDUE_LEAST_MS, OVERDUE_TIMES * usualMs);
    if (now < entry.queuedAt + limitMs) tokens += entry.tokens;
  }
  return tokens;
}

/** Gives a runner a prompt. */
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
 * Time until a runner has read what it was given, in milliseconds. A prompt that
 * is long overdue is not counted: its answer was lost or its VM stands still, and
 * counted for as long as nobody says so, it kept the one prefill runner without
 * work for three seconds while eleven requests waited.
 */
export function backlogMs(costs: Costs, now: number, state: PrefillState): number {
  return prefillWorkMs(costs, pendingTokens(costs, now, state), state.slowness);
}

/** What a runner's slowness becomes by work that took `ms` where `expectedMs` had been expected of slowness 1. */
export function updatedSlowness(slowness: number, expectedMs: number, ms: number): number {
  const measured = Math.min(SLOWNESS_MOST, Math.max(SLOWNESS_LEAST, ms / expectedMs));
  return slowness + STEP * (measured - slowness);
}

/** Time of a prefill beside its tokens and for each of them, in milliseconds. */
interface ReadTimes {
  readonly baseMs: number;
  readonly tokenMs: number;
}

/** Line through measured prefills by their tokens; old ones fade. */
class ReadLine {
  #weight = 0;

  #tokens = 0;

  #ms = 0;

  #tokensSquared = 0;

  #product = 0;

  /** Milliseconds beside the tokens and for each of them; neither is negative. */
  line: ReadTimes = { baseMs: START_READ_BASE_MS, tokenMs: START_READ_TOKEN_MS };

  constructor() {
    for (const tokens of START_SIZES) {
      this.add(tokens, START_READ_BASE_MS + START_READ_TOKEN_MS * tokens, START_WEIGHT);
    }
  }

  add(tokens: number, ms: number, weight = 1): void {
    this.#weight = this.#weight * READ_KEPT + weight;
    this.#tokens = this.#tokens * READ_KEPT + weight * tokens;
    this.#ms = this.#ms * READ_KEPT + weight * ms;
    this.#tokensSquared = this.#tokensSquared * READ_KEPT + weight * tokens * tokens;
    this.#product = this.#product * READ_KEPT + weight * tokens * ms;
    this.line = this.#fit();
  }

  #fit(): ReadTimes {
    const tokens = this.#tokens / this.#weight;
    const ms = this.#ms / this.#weight;
    const spread = this.#tokensSquared / this.#weight - tokens * tokens;
    const slope = (this.#product / this.#weight - tokens * ms) / Math.max(1, spread);
    const tokenMs = Math.min(ms / Math.max(1, tokens), Math.max(0, slope));
    return { baseMs: ms - tokenMs * tokens, tokenMs };
  }
}

/** Takes measurements of the times of one engine. */
export interface CostModel extends Costs {
  /** A prompt was read in `ms` by a runner that had no other. */
  recordPrefill(tokens: number, ms: number): void;
  /** The first event came `ms` after the prompt was read and a decode runner had room. */
  recordFirstEvent(ms: number): void;
  /** A request made tokens at `ms` for each. */
  recordTokenTime(ms: number): void;
}

/** Learns the times of one engine from what is measured. */
export class MeasuredCosts implements CostModel {
  readonly #reads = new ReadLine();

  readonly #firstEvent = new Estimate(START_FIRST_EVENT_MS, TIMES);

  readonly #token = new Estimate(START_TOKEN_MS, TIMES);

  get prefillBaseMs(): number {
    return this.#reads.line.baseMs;
  }

  get prefillTokenMs(): number {
    return this.#reads.line.tokenMs;
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

  recordPrefill(tokens: number, ms: number): void {
    this.#reads.add(tokens, ms);
  }

  recordFirstEvent(ms: number): void {
    this.#firstEvent.add(ms);
  }

  recordTokenTime(ms: number): void {
    // Notes of a start and an end that arrive together tell nothing, and growth is counted by this figure.
    if (ms > 0) this.#token.add(ms);
  }
}
