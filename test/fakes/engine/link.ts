/** A link of limited rate that concurrent transfers share equally. */

/** A transfer with at most this remainder counts as complete: with times in milliseconds since 1970 rounding errors keep the remainder from reaching exactly zero. */
const COMPLETE_TOKENS = 0.05;

/** Transfers by request id. Times in milliseconds. */
export class Link {
  readonly #tokensPerMs: number;

  readonly #remaining = new Map<string, number>();

  #updatedAt = 0;

  constructor(tokensPerMs: number) {
    this.#tokensPerMs = tokensPerMs;
  }

  /** Starts a transfer. */
  start(now: number, id: string, tokens: number): void {
    this.#advance(now);
    this.#remaining.set(id, tokens);
  }

  /** Aborts a transfer, if there is one. */
  stop(now: number, id: string): void {
    this.#advance(now);
    this.#remaining.delete(id);
  }

  /** Time at which the next transfer completes; `Infinity` without transfers. */
  next(): number {
    if (this.#remaining.size === 0) return Infinity;
    const smallest = Math.min(...this.#remaining.values());
    return this.#updatedAt + (Math.max(0, smallest) * this.#remaining.size) / this.#tokensPerMs;
  }

  /** Removes the transfers that are complete at `now` and returns their ids. */
  finish(now: number): readonly string[] {
    if (this.next() > now) return [];
    this.#advance(now);
    const done = [...this.#remaining]
      .filter(([, tokens]) => tokens <= COMPLETE_TOKENS)
      .map(([id]) => id);
    for (const id of done) this.#remaining.delete(id);
    return done;
  }

  #advance(now: number): void {
    const sentTokens =
      ((now - this.#updatedAt) * this.#tokensPerMs) / Math.max(1, this.#remaining.size);
    for (const [id, tokens] of this.#remaining) this.#remaining.set(id, tokens - sentTokens);
    this.#updatedAt = now;
  }
}
