/** News waiting to be piggybacked on packets, each for a bounded number of times. */

interface Item<T> {
  readonly value: T;
  left: number;
}

/** Newest news for each key, least often sent first. */
export class Gossip<T> {
  readonly #items = new Map<string, Item<T>>();

  get size(): number {
    return this.#items.size;
  }

  /** Queues a piece of news to be sent `times` times; it replaces older news of the same key. */
  add(key: string, value: T, times: number): void {
    this.#items.set(key, { value, left: times });
  }

  /** Takes up to `limit` pieces for one packet. */
  take(limit: number): readonly T[] {
    if (this.#items.size === 0) return [];
    const fresh = [...this.#items.entries()].sort((a, b) => b[1].left - a[1].left).slice(0, limit);
    for (const [key, item] of fresh) {
      item.left -= 1;
      if (item.left <= 0) this.#items.delete(key);
    }
    return fresh.map(([, { value }]) => value);
  }
}
