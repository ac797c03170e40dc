/** Random selection of members: the next probe target, and receivers of gossip. */

/** Probes each member once per round, in an order that is reshuffled for each round. */
export class ProbeOrder {
  readonly #random: () => number;

  #round: string[] = [];

  constructor(random: () => number) {
    this.#random = random;
  }

  /**
   * The next member to probe; undefined if there is none.
   * @param all currently known members
   * @param isProbed whether a member has to be probed
   */
  next(all: readonly string[], isProbed: (vm: string) => boolean): string | undefined {
    while (this.#round.length > 0) {
      const vm = this.#round.pop();
      if (vm !== undefined && isProbed(vm)) return vm;
    }
    const probed = all.filter(isProbed);
    this.#round = [...sample(probed, probed.length, this.#random)];
    return this.#round.pop();
  }
}

/** Up to `count` distinct elements of a list, in random order. */
export function sample<T>(from: readonly T[], count: number, random: () => number): readonly T[] {
  const pool = [...from];
  const size = Math.min(count, pool.length);
  for (let i = 0; i < size; i += 1) {
    const j = i + Math.floor(random() * (pool.length - i));
    [pool[i], pool[j]] = [pool[j] as T, pool[i] as T];
  }
  return pool.slice(0, size);
}
