/**
 * Prediction of the contents of each prefill runner's prefix cache.
 *
 * It is primarily based on the cell's own assignments. The runners' cache events are delayed and
 * incomplete, so they only add and remove single blocks, and nothing waits for them.
 */

/** Read-only view of the prediction. */
export interface PrefixPrediction {
  /** Number of leading blocks of a prompt that are predicted to be cached at the runner. */
  cachedBlocks(runner: string, blocks: readonly number[]): number;
}

/** Maximum number of blocks kept per runner; the least recently used are removed first. */
const MAX_BLOCKS_PER_RUNNER = 4096;

/** Predicted cache contents, updated by assignments and cache events. */
export class PrefixMap implements PrefixPrediction {
  readonly #runners = new Map<string, Set<number>>();

  cachedBlocks(runner: string, blocks: readonly number[]): number {
    const known = this.#runners.get(runner);
    if (!known) return 0;
    const miss = blocks.findIndex((block) => !known.has(block));
    return miss < 0 ? blocks.length : miss;
  }

  /** Records that a runner has these blocks cached. */
  add(runner: string, blocks: readonly number[]): void {
    const known = this.#runners.get(runner) ?? new Set<number>();
    this.#runners.set(runner, known);
    for (const block of blocks) {
      known.delete(block);
      known.add(block);
    }
    for (const oldest of known) {
      if (known.size <= MAX_BLOCKS_PER_RUNNER) break;
      known.delete(oldest);
    }
  }

  /** Records that a runner has evicted these blocks. */
  remove(runner: string, blocks: readonly number[]): void {
    const known = this.#runners.get(runner);
    for (const block of blocks) known?.delete(block);
  }

  /** Clears the prediction for a runner that was lost, since it restarts with an empty cache. */
  clear(runner: string): void {
    this.#runners.delete(runner);
  }
}
