/** Values by key, made when they are first asked for. */
export class LazyMap<K, V> {
  readonly #values = new Map<K, V>();

  readonly #make: (key: K) => V;

  constructor(make: (key: K) => V) {
    this.#make = make;
  }

  get(key: K): V {
    const known = this.#values.get(key);
    if (known !== undefined) return known;
    const made = this.#make(key);
    this.#values.set(key, made);
    return made;
  }
}
