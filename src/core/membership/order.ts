/** Random choices of members: whom to probe next, and whom to tell. */

/** Each member once a round, in an order that is shuffled anew. */
export class ProbeOrder {
  readonly #random: () => number;

  #round: string[] = [];

  constructor(random: () => number) {
    this.#random = random;
  }

  /**
   * The next one; undefined if there is none.
   * @param all members that are known now
   * @param isProbed whether one of them is to be probed
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

/** Some of a list, in random order. */
export function sample<T>(from: readonly T[], count: number, random: () => number): readonly T[] {
  const pool = [...from];
  const most = Math.min(count, pool.length);
  for (let i = 0; i < most; i += 1) {
    const j = i + Math.floor(random() * (pool.length - i));
    [pool[i], pool[j]] = [pool[j] as T, pool[i] as T];
  }
  return pool.slice(0, most);
}
