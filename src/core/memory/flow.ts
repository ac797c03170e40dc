/** Rates of one service: how fast memory is asked for and how fast it comes free. */

import { Estimate } from './estimate';

/** Time over which a rate is averaged, in milliseconds: bursts of some seconds must show, single requests must not. */
const WINDOW_MS = 1500;
/** Sizes before any request was seen, in tokens. */
const START_PROMPT_TOKENS = 5000;
const START_OUTPUT_TOKENS = 500;
/** How sizes are learnt: the first request replaces the start value, some thirty are remembered. */
const SIZES = { startWeight: 0, leastStep: 0.03 };
/** Least part of the memory's flow that is counted on for those who wait beyond their aim: bursts end. */
const LEAST_SPARE = 0.12;

/** What requests of a service are like. */
export interface RequestSizes {
  readonly promptTokens: number;
  readonly outputTokens: number;
}

/** Flow of tokens. */
export class TokenFlow {
  readonly #promptTokens = new Estimate(START_PROMPT_TOKENS, SIZES);

  readonly #outputTokens = new Estimate(START_OUTPUT_TOKENS, SIZES);

  #askedPerMs = 0;

  #askedAt = 0;

  /** Notes that a first attempt asked for that many tokens. */
  recordDemand(now: number, tokens: number): void {
    this.#fade(now);
    this.#askedPerMs += tokens / WINDOW_MS;
  }

  /** Notes the size of a request, its output as expected. */
  recordSize(promptTokens: number, outputTokens: number): void {
    this.#promptTokens.add(promptTokens);
    this.#outputTokens.add(outputTokens);
  }

  get sizes(): RequestSizes {
    return { promptTokens: this.#promptTokens.value, outputTokens: this.#outputTokens.value };
  }

  /**
   * Tokens in a millisecond that first attempts leave to the others.
   * @param capacity tokens that come free in a millisecond when all memory is in use
   */
  spareTokensPerMs(now: number, capacity: number): number {
    this.#fade(now);
    return Math.max(LEAST_SPARE * capacity, capacity - this.#askedPerMs);
  }

  #fade(now: number): void {
    this.#askedPerMs *= Math.exp(-Math.max(0, now - this.#askedAt) / WINDOW_MS);
    this.#askedAt = now;
  }
}
