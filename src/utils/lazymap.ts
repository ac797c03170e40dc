/** A map that creates the value of a key at its first use. */
export class LazyMap<K, V> {
  readonly #values = new Map<K, V>();

  readonly #create: (key: K) => V;

  constructor(make: (key: K) => V) {
    this.#create = make;
  }

  /** The value of a key, created if it does not exist yet. */
  get(key: K): V {
    const known = this.#values.get(key);
    if (known !== undefined) return known;
    const created = this.#create(key);
    this.#values.set(key, created);
    return created;
  }
}
