/**
 * Measured times of local prefills: how long one takes, and how slow the other streams on its runner
 * are meanwhile.
 *
 * Engines differ in the number of prompt tokens that a decode runner prefills between two output
 * tokens. With an assumed number twice the real one, decode runners did not prefill any long prompt,
 * and requests were refused while four fifths of the decode memory were free.
 */

import { Estimate } from './estimate';

/** The first measurement replaces the assumed value; after that, the mean covers some twenty. */
const PER_TOKEN_OPTIONS = { startWeight: 0, leastStep: 0.05 };
/** Decay of older measurements of slowed streams with each further one. */
const SLOWED_DECAY = 0.97;
/**
 * Time of slowed streams that the expected token time counts as, in milliseconds. With 100, short
 * local prefills of small prompts gave 32 to 47 ms where 25 are true, and decode runners that could
 * have prefilled did not.
 */
const EXPECTED_MS = 3000;
/** Chunks of known engines, in prompt tokens. */
const MIN_CHUNK_TOKENS = 128;
const MAX_CHUNK_TOKENS = 2048;
/** Age at which a measurement is repeated, in milliseconds: the engine's configuration may change. */
const MAX_AGE_MS = 10_000;

/** Times of the local prefills of one engine. */
export class LocalPrefillTimes {
  readonly #perToken = new Estimate(0, PER_TOKEN_OPTIONS);

  #prefills = 0;

  #slowedMs = 0;

  #slowedTokens = 0;

  #measuredAt = -Infinity;

  /** Records that a local prefill of a prompt took `ms`. */
  recordPrefill(now: number, tokens: number, ms: number): void {
    this.#measuredAt = now;
    this.#perToken.add(ms / Math.max(1, tokens));
    this.#prefills += 1;
  }

  /** Records that a stream had `tokens` output tokens in `ms` of local prefills on its runner. */
  recordSlowed(tokens: number, ms: number): void {
    this.#slowedMs = this.#slowedMs * SLOWED_DECAY + ms;
    this.#slowedTokens = Math.max(0, this.#slowedTokens * SLOWED_DECAY + tokens);
  }

  /**
   * Time of a local prefill per prompt token, in milliseconds.
   * @param assumedMs value until the first measurement
   */
  tokenMs(assumedMs: number): number {
    return this.#prefills > 0 ? this.#perToken.value : assumedMs;
  }

  /**
   * Prompt tokens that a decode runner prefills between two output tokens: the time of a local
   * prefill beyond its work consists of one output token for each chunk.
   * @param workTokenMs time of that work per prompt token, in milliseconds
   * @param tokenMs time of an output token otherwise, in milliseconds
   * @param assumedTokens value until the first measurement
   */
  chunkTokens(workTokenMs: number, tokenMs: number, assumedTokens: number): number {
    const stepMs = this.tokenMs(workTokenMs) - workTokenMs;
    if (stepMs <= 0) return assumedTokens;
    return Math.min(MAX_CHUNK_TOKENS, Math.max(MIN_CHUNK_TOKENS, tokenMs / stepMs));
  }

  /**
   * Time of an output token on a runner that runs a local prefill, in milliseconds.
   * @param expectedMs value by the time of local prefills
   */
  slowedTokenMs(expectedMs: number): number {
    return (this.#slowedMs + EXPECTED_MS) / (this.#slowedTokens + EXPECTED_MS / expectedMs);
  }

  /** Whether a local prefill was measured recently. */
  isMeasured(now: number): boolean {
    return now - this.#measuredAt < MAX_AGE_MS;
  }
}
