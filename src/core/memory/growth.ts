/** How the memory of requests grows while they decode. */

import type { Allocation } from './account';

/** Memory is taken in blocks of this many tokens. */
const BLOCK_TOKENS = 16;

/** Tokens with the rest of the last block. */
export function roundUpToBlocks(tokens: number): number {
  return Math.ceil(tokens / BLOCK_TOKENS) * BLOCK_TOKENS;
}

/** Output tokens made so far, as expected. */
export function generatedTokens(
  now: number,
  startedAt: number | undefined,
  tokenMs: number,
): number {
  return startedAt === undefined ? 0 : (now - startedAt) / tokenMs;
}

/** Tokens that a request takes at its end, as expected now. */
export function peakTokens(now: number, holder: Allocation, tokenMs: number): number {
  const { demand, expectedTokens, startedAt } = holder;
  const made = generatedTokens(now, startedAt, tokenMs);
  // A request that has outgrown its estimate goes on for about as long again as it overran.
  const output = made <= expectedTokens ? expectedTokens : made + (made - expectedTokens);
  return roundUpToBlocks(demand.promptTokens + Math.min(demand.maxOutputTokens, output));
}

/** How much memory the requests of one runner count for. */
export interface PeakEstimate {
  /**
   * Tokens that the requests will hold at once at most.
   * @param tokenMs time of an output token there, in milliseconds
   */
  estimate(now: number, holders: Iterable<Allocation>, tokenMs: number): number;
}

/**
 * Most tokens that requests will hold at once, as expected now. They do not all
 * reach their end together: whenever one ends, those that go on have grown by
 * what it still made. Counting each at its full length left 4 % of the memory
 * unused; on stand-in engines in an overload none is pushed out this way either.
 */
export class JointPeak implements PeakEstimate {
  estimate(now: number, holders: Iterable<Allocation>, tokenMs: number): number {
    const entries = [...holders].map((holder) => {
      const held = holder.demand.promptTokens + generatedTokens(now, holder.startedAt, tokenMs);
      return { held, left: Math.max(0, peakTokens(now, holder, tokenMs) - held) };
    });
    entries.sort((a, b) => b.left - a.left);
    let held = 0;
    let peak = 0;
    entries.forEach((entry, index) => {
      held += entry.held;
      peak = Math.max(peak, held + (index + 1) * entry.left);
    });
    return peak;
  }
}
