/** Queue of updates that are piggybacked on packets, each a bounded number of times. */

interface Item<T> {
  readonly value: T;
  remaining: number;
}

/**
 * Holds the latest update for each key. Those that were sent least often go first, so that
 * a new update does not wait behind a backlog of others that most members have received
 * already. The size of a packet stays bounded even if the whole fleet changes at once.
 */
export class GossipQueue<T> {
  /** Queued updates by the number of times they were sent, then by key. */
  readonly #bySends: Map<string, Item<T>>[] = [new Map()];

  /** Number of queued updates. */
  get size(): number {
    return this.#bySends.reduce((sum, { size }) => sum + size, 0);
  }

  /** Whether any queued update was never sent. */
  get hasUnsent(): boolean {
    return this.#bySends[0]?.size !== 0;
  }

  /** Queues an update to be sent `times` times; it replaces an older update of the same key. */
  add(key: string, value: T, times: number): void {
    for (const updates of this.#bySends) updates.delete(key);
    this.#bySends[0]?.set(key, { value, remaining: times });
  }

  /**
   * Takes up to `limit` updates for packets of equal content.
   * @param packets number of these packets; each counts as one time that an update is sent
   * @param maxSize total size of the updates; the first one is always included
   * @param sizeOf size of one update
   */
  take(
    limit: number,
    packets = 1,
    maxSize = Infinity,
    sizeOf: (value: T) => number = () => 0,
  ): readonly T[] {
    const taken: [key: string, item: Item<T>, sends: number][] = [];
    let size = 0;
    for (const [key, item, sends] of this.#entries()) {
      size += sizeOf(item.value);
      if (taken.length === limit || (size > maxSize && taken.length > 0)) break;
      taken.push([key, item, sends]);
    }
    for (const [key, item, sends] of taken) this.#requeue(key, item, sends, packets);
    return taken.map(([, { value }]) => value);
  }

  *#entries(): Generator<[string, Item<T>, number]> {
    for (const [sends, updates] of this.#bySends.entries()) {
      for (const [key, item] of updates) yield [key, item, sends];
    }
  }

  /** Moves an update behind all that were sent as often, or drops it after its last send. */
  #requeue(key: string, { value, remaining }: Item<T>, sends: number, packets: number): void {
    this.#bySends[sends]?.delete(key);
    if (remaining <= packets) return;
    while (this.#bySends.length <= sends + packets) this.#bySends.push(new Map());
    this.#bySends[sends + packets]?.set(key, { value, remaining: remaining - packets });
  }
}
