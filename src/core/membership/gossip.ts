/** News waiting to be piggybacked on packets, each for a bounded number of times. */

interface Item<T> {
  readonly value: T;
  left: number;
}

/**
 * Newest news for each key. What was never sent goes first, the rest by turns, so
 * that a packet costs no more where the whole of a fleet is news.
 */
export class GossipQueue<T> {
  readonly #fresh = new Map<string, Item<T>>();

  readonly #sent = new Map<string, Item<T>>();

  get size(): number {
    return this.#fresh.size + this.#sent.size;
  }

  /** Queues a piece of news to be sent `times` times; it replaces older news of the same key. */
  add(key: string, value: T, times: number): void {
    this.#sent.delete(key);
    this.#fresh.set(key, { value, left: times });
  }

  /**
   * Takes up to `limit` pieces for one packet.
   * @param room size that the pieces may have together; the first always fits
   * @param sizeOf size of one piece
   */
  take(limit: number, room = Infinity, sizeOf: (value: T) => number = () => 0): readonly T[] {
    const taken: [string, Item<T>][] = [];
    let size = 0;
    for (const entry of this.#inTurn()) {
      size += sizeOf(entry[1].value);
      if (taken.length === limit || (size > room && taken.length > 0)) break;
      taken.push(entry);
    }
    for (const [key, item] of taken) this.#requeue(key, item);
    return taken.map(([, { value }]) => value);
  }

  *#inTurn(): Generator<[string, Item<T>]> {
    yield* this.#fresh;
    yield* this.#sent;
  }

  /** Puts a piece that was sent behind all others, or drops it after its last time. */
  #requeue(key: string, { value, left }: Item<T>): void {
    this.#fresh.delete(key);
    this.#sent.delete(key);
    if (left > 1) this.#sent.set(key, { value, left: left - 1 });
  }
}
