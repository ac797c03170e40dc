/** Requests that runners lately ran to a whole answer, within a bounded memory. */

/** Most requests in each half of the memory: some 100 bytes each. */
const HALF_MOST = 1000;

/** Times of the latest completions, by fingerprint. The older half is dropped whole, so that a request costs no search. */
export class Completions {
  readonly #keptMs: number;

  #young = new Map<string, number>();

  #old = new Map<string, number>();

  /** @param keptMs time for which a completion matters, in milliseconds */
  constructor(keptMs: number) {
    this.#keptMs = keptMs;
  }

  add(now: number, fingerprint: string): void {
    if (this.#young.size >= HALF_MOST) {
      this.#old = this.#young;
      this.#young = new Map();
    }
    this.#young.set(fingerprint, now);
  }

  /** When a request was completed last; minus infinity if that is not known or long ago. */
  lastOf(now: number, fingerprint: string): number {
    const at = this.#young.get(fingerprint) ?? this.#old.get(fingerprint) ?? -Infinity;
    return now - at < this.#keptMs ? at : -Infinity;
  }
}
