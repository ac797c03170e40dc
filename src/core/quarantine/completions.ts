/** Fingerprints of recently completed requests, in bounded memory. */

/** Maximum number of fingerprints in each generation: some 100 bytes each. */
const MAX_GENERATION_SIZE = 4096;

/** Times of recent completions, by fingerprint. The older generation is dropped as a whole, so that no request has to search for expired entries. */
export class Completions {
  readonly #ttlMs: number;

  #current = new Map<string, number>();

  #previous = new Map<string, number>();

  /** @param ttlMs time for which a completion counts, in milliseconds */
  constructor(ttlMs: number) {
    this.#ttlMs = ttlMs;
  }

  /** Records a completion. */
  add(now: number, fingerprint: string): void {
    if (this.#current.size >= MAX_GENERATION_SIZE) {
      this.#previous = this.#current;
      this.#current = new Map();
    }
    this.#current.set(fingerprint, now);
  }

  /** When a request was last completed; minus infinity if that is unknown or expired. */
  lastOf(now: number, fingerprint: string): number {
    const at = this.#current.get(fingerprint) ?? this.#previous.get(fingerprint) ?? -Infinity;
    return now - at < this.#ttlMs ? at : -Infinity;
  }
}
