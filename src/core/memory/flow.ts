/**
 * Rate at which first attempts of one service request memory, and the usual sizes of its requests.
 */

import { Estimate } from './estimate';

/**
 * Time over which a rate is averaged, in milliseconds: bursts of a few seconds are visible, single
 * requests are not.
 */
const WINDOW_MS = 1500;
/** Sizes before the first request, in tokens. */
const INITIAL_PROMPT_TOKENS = 5000;
const INITIAL_OUTPUT_TOKENS = 500;
/** The first request replaces the initial value; after that, the mean covers some thirty. */
const SIZE_OPTIONS = { startWeight: 0, leastStep: 0.03 };
/**
 * Smallest share of the freed memory that is expected to be left for late requests, since bursts
 * end.
 */
const MIN_SPARE_SHARE = 0.12;

/** Usual sizes of a service's requests, in tokens. */
export interface RequestSizes {
  readonly promptTokens: number;
  readonly outputTokens: number;
}

/** Rate of requested tokens and request sizes of one service. */
export class TokenFlow {
  readonly #promptTokens = new Estimate(INITIAL_PROMPT_TOKENS, SIZE_OPTIONS);

  readonly #outputTokens = new Estimate(INITIAL_OUTPUT_TOKENS, SIZE_OPTIONS);

  #requestedPerMs = 0;

  #updatedAt = 0;

  /** Records that a first attempt requested a number of tokens. */
  recordDemand(now: number, tokens: number): void {
    this.#decay(now);
    this.#requestedPerMs += tokens / WINDOW_MS;
  }

  /** Records the size of a request, with its expected output. */
  recordSize(promptTokens: number, outputTokens: number): void {
    this.#promptTokens.add(promptTokens);
    this.#outputTokens.add(outputTokens);
  }

  /** Usual sizes of the requests. */
  get sizes(): RequestSizes {
    return { promptTokens: this.#promptTokens.value, outputTokens: this.#outputTokens.value };
  }

  /**
   * Tokens per millisecond that are not used by first attempts.
   * @param capacity tokens freed per millisecond when all memory is in use
   */
  spareTokensPerMs(now: number, capacity: number): number {
    this.#decay(now);
    return Math.max(MIN_SPARE_SHARE * capacity, capacity - this.#requestedPerMs);
  }

  #decay(now: number): void {
    this.#requestedPerMs *= Math.exp(-Math.max(0, now - this.#updatedAt) / WINDOW_MS);
    this.#updatedAt = now;
  }
}
