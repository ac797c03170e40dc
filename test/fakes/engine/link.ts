/** A link of limited rate that its transfers share equally. */

/** Less than this counts as sent, in tokens; clocks in milliseconds since 1970 round by more than an exact zero would bear. */
const DONE = 0.05;

/** Transfers by request id. */
export class Link {
  readonly #rate: number;

  readonly #left = new Map<string, number>();

  #asOf = 0;

  constructor(tokensPerMs: number) {
    this.#rate = tokensPerMs;
  }

  start(now: number, id: string, tokens: number): void {
    this.#progress(now);
    this.#left.set(id, tokens);
  }

  stop(now: number, id: string): void {
    this.#progress(now);
    this.#left.delete(id);
  }

  next(): number {
    if (this.#left.size === 0) return Infinity;
    const least = Math.min(...this.#left.values());
    return this.#asOf + (Math.max(0, least) * this.#left.size) / this.#rate;
  }

  /** Ids whose transfers are complete at `now`. */
  finish(now: number): readonly string[] {
    if (this.next() > now) return [];
    this.#progress(now);
    const done = [...this.#left].filter(([, left]) => left <= DONE).map(([id]) => id);
    for (const id of done) this.#left.delete(id);
    return done;
  }

  #progress(now: number): void {
    const each = ((now - this.#asOf) * this.#rate) / Math.max(1, this.#left.size);
    for (const [id, left] of this.#left) this.#left.set(id, left - each);
    this.#asOf = now;
  }
}
