/** Rates of one service: how fast memory is asked for and how fast it comes free. */

/** Time over which a rate is averaged, in milliseconds: bursts of some seconds must show, single requests must not. */
const WINDOW_MS = 1500;
/** Time that a request holds its memory before any was seen, in milliseconds. */
const RESIDENCE_MS = 3500;
/** Size of a prompt before any was seen, in tokens. */
const PROMPT_TOKENS = 5000;
/** Weight of one finished request in the mean time. */
const STEP = 0.03;
/** Least part of the memory's flow that is counted on for those who wait beyond their aim: bursts end. */
const LEAST_SPARE = 0.12;

/** Flow of tokens. */
export class TokenFlow {
  #residenceMs = RESIDENCE_MS;

  #promptTokens = PROMPT_TOKENS;

  #askedPerMs = 0;

  #askedAt = 0;

  /** Notes that a first attempt asked for that many tokens. */
  asked(now: number, tokens: number): void {
    this.#fade(now);
    this.#askedPerMs += tokens / WINDOW_MS;
  }

  /** Notes the size of a prompt. */
  prompt(tokens: number): void {
    this.#promptTokens += STEP * (tokens - this.#promptTokens);
  }

  /** What requests are like. */
  get workload(): { readonly promptTokens: number; readonly residenceMs: number } {
    return { promptTokens: this.#promptTokens, residenceMs: this.#residenceMs };
  }

  /** Notes how long a request held its memory. */
  held(ms: number): void {
    this.#residenceMs += STEP * (ms - this.#residenceMs);
  }

  /** Tokens that come free in a millisecond when all memory is in use. */
  capacity(memoryTokens: number): number {
    return memoryTokens / Math.max(1, this.#residenceMs);
  }

  /** Tokens in a millisecond that first attempts leave to the others. */
  spare(now: number, memoryTokens: number): number {
    this.#fade(now);
    const capacity = this.capacity(memoryTokens);
    return Math.max(LEAST_SPARE * capacity, capacity - this.#askedPerMs);
  }

  #fade(now: number): void {
    this.#askedPerMs *= Math.exp(-Math.max(0, now - this.#askedAt) / WINDOW_MS);
    this.#askedAt = now;
  }
}
