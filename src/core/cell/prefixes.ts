/**
 * What each prefill runner probably has in its prefix cache.
 *
 * Our own routing is told first; the runners' cache events come late and with
 * gaps, so they only add and remove single blocks and are never waited for.
 */

/** Read-only view of the prediction. */
export interface PrefixPrediction {
  /** Leading blocks of a prompt that the runner should have. */
  cachedBlocks(runner: string, blocks: readonly number[]): number;
}

/** Blocks remembered for each runner, least recently used out first. */
const BLOCKS_PER_RUNNER = 4096;

/** Prediction from routing and events. */
export class PrefixMap implements PrefixPrediction {
  readonly #runners = new Map<string, Set<number>>();

  cachedBlocks(runner: string, blocks: readonly number[]): number {
    const known = this.#runners.get(runner);
    if (!known) return 0;
    const miss = blocks.findIndex((block) => !known.has(block));
    return miss < 0 ? blocks.length : miss;
  }

  /** Notes that a runner has worked through these blocks. */
  add(runner: string, blocks: readonly number[]): void {
    const known = this.#runners.get(runner) ?? new Set<number>();
    this.#runners.set(runner, known);
    for (const block of blocks) {
      known.delete(block);
      known.add(block);
    }
    for (const oldest of known) {
      if (known.size <= BLOCKS_PER_RUNNER) break;
      known.delete(oldest);
    }
  }

  remove(runner: string, blocks: readonly number[]): void {
    const known = this.#runners.get(runner);
    for (const block of blocks) known?.delete(block);
  }

  /** A runner that was lost comes back with an empty cache. */
  clear(runner: string): void {
    this.#runners.delete(runner);
  }
}
