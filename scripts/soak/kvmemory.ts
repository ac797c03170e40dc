/** KV memory of one runner: caches of prefilled prompts, and what running requests use. */

/** KV cache of a prefilled prompt. */
interface PromptCache {
  readonly tokens: number;
  /** Epoch milliseconds; infinite until the prefill has ended. */
  readonly expiry: number;
}

/** Tokens in use, by cache handle and by running request. */
export class KvMemory {
  readonly #caches = new Map<string, PromptCache>();

  readonly running = new Map<string, number>();

  get cacheCount(): number {
    return this.#caches.size;
  }

  /** Tokens in use; removes expired caches. */
  get usedTokens(): number {
    const now = Date.now();
    for (const [handle, { expiry }] of this.#caches) if (expiry < now) this.#caches.delete(handle);
    const cached = [...this.#caches.values()].reduce((sum, { tokens }) => sum + tokens, 0);
    return [...this.running.values()].reduce((sum, tokens) => sum + tokens, cached);
  }

  /** @param expiry epoch milliseconds; infinite until the prefill has ended */
  keep(handle: string, tokens: number, expiry: number): void {
    this.#caches.set(handle, { tokens, expiry });
  }

  /** Removes a KV cache; returns whether it existed and had not expired. */
  take(handle: string): boolean {
    const cached = this.#caches.get(handle);
    this.#caches.delete(handle);
    return cached !== undefined && cached.expiry >= Date.now();
  }

  clear(): void {
    this.#caches.clear();
    this.running.clear();
  }
}
