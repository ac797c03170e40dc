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
/** Time of slowed streams that the assumed token time counts as, in milliseconds. */
const ASSUMED_MS = 100;
/** Time of slowed streams from which the token time counts as measured, in milliseconds. */
const MEASURED_MS = 600;
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
  recordPrefill(tokens: number, ms: number): void {
    this.#perToken.add(ms / Math.max(1, tokens));
    this.#prefills += 1;
  }

  /** Records that a stream had `tokens` output tokens in `ms` of local prefills on its runner. */
  recordSlowed(now: number, tokens: number, ms: number): void {
    this.#slowedMs = this.#slowedMs * SLOWED_DECAY + ms;
    this.#slowedTokens = Math.max(0, this.#slowedTokens * SLOWED_DECAY + tokens);
    if (this.#slowedMs >= MEASURED_MS) this.#measuredAt = now;
  }

  /**
   * Time of a local prefill per prompt token, in milliseconds.
   * @param assumedMs value until the first measurement
   */
  tokenMs(assumedMs: number): number {
    return this.#prefills > 0 ? this.#perToken.value : assumedMs;
  }

  /**
   * Time of an output token on a runner that runs a local prefill, in milliseconds.
   * @param assumedMs value until the first measurement
   */
  slowedTokenMs(assumedMs: number): number {
    const assumedTokens = ASSUMED_MS / assumedMs;
    return (this.#slowedMs + ASSUMED_MS) / (this.#slowedTokens + assumedTokens);
  }

  /** Whether the time of slowed streams was measured recently. */
  isMeasured(now: number): boolean {
    return now - this.#measuredAt < MAX_AGE_MS;
  }
}
