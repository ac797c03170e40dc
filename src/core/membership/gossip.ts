/** Queue of updates that are piggybacked on packets, each a bounded number of times. */

interface Item<T> {
  readonly value: T;
  remaining: number;
}

/**
 * Holds the latest update for each key. Updates that were never sent go first and the
 * rest in round-robin order, so that the size of a packet stays bounded even if the
 * whole fleet changes at once.
 */
export class GossipQueue<T> {
  readonly #fresh = new Map<string, Item<T>>();

  readonly #sent = new Map<string, Item<T>>();

  /** Number of queued updates. */
  get size(): number {
    return this.#fresh.size + this.#sent.size;
  }

  /** Queues an update to be sent `times` times; it replaces an older update of the same key. */
  add(key: string, value: T, times: number): void {
    this.#sent.delete(key);
    this.#fresh.set(key, { value, remaining: times });
  }

  /**
   * Takes up to `limit` updates for one packet.
   * @param maxSize total size of the updates; the first one is always included
   * @param sizeOf size of one update
   */
  take(limit: number, maxSize = Infinity, sizeOf: (value: T) => number = () => 0): readonly T[] {
    const taken: [string, Item<T>][] = [];
    let size = 0;
    for (const entry of this.#entries()) {
      size += sizeOf(entry[1].value);
      if (taken.length === limit || (size > maxSize && taken.length > 0)) break;
      taken.push(entry);
    }
    for (const [key, item] of taken) this.#requeue(key, item);
    return taken.map(([, { value }]) => value);
  }

  *#entries(): Generator<[string, Item<T>]> {
    yield* this.#fresh;
    yield* this.#sent;
  }

  /** Moves an update that was sent to the end of the queue, or drops it after its last send. */
  #requeue(key: string, { value, remaining }: Item<T>): void {
    this.#fresh.delete(key);
    this.#sent.delete(key);
    if (remaining > 1) this.#sent.set(key, { value, remaining: remaining - 1 });
  }
}
