/**
 * Decode runners that are kept free for waiting requests which come first and do not fit yet.
 * Otherwise smaller or less urgent requests take the memory of each request that ends, and a large
 * urgent one, which needs the memory of two or three, never starts.
 */

import type { Demand } from './types';

interface Hold {
  readonly runner: string;
  /** Rank of the request; the runner gets no less urgent ones. */
  readonly rank: number;
  /** Whether the runner gets no others at all. */
  readonly excludesAll: boolean;
}

/**
 * Most runners held at a time. While more requests of a rank do not fit, no less urgent one starts:
 * all memory that is freed soon is needed for the more urgent ones.
 */
const MAX_HOLDS = 8;

/** Runners held during one scheduling step. */
export class RunnerHolds {
  readonly #holds: Hold[] = [];

  /** Holds a runner for a request of a rank. */
  add(runner: string, rank: number, excludesAll: boolean): void {
    this.#holds.push({ runner, rank, excludesAll });
  }

  /** Whether a request of a rank has to wait for more urgent ones, whatever fits. */
  blocks(rank: number): boolean {
    return this.#holds.length >= MAX_HOLDS && (this.#holds.at(-1)?.rank ?? rank) < rank;
  }

  /** Whether more runners may be held. */
  get isFull(): boolean {
    return this.#holds.length >= MAX_HOLDS;
  }

  /** Adds the runners that are held from a request to those that it avoids. */
  applyTo(demand: Demand, rank: number): Demand {
    const held = this.#holds
      .filter((hold) => hold.rank < rank || hold.excludesAll)
      .map(({ runner }) => runner);
    return held.length === 0 ? demand : { ...demand, avoid: [...demand.avoid, ...held] };
  }
}
