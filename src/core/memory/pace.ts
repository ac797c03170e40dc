/** Token time of a runner, measured from its reports of running requests. */

import type { ReportedRun } from './types';

/**
 * Shortest time between two compared reports, in milliseconds: the exact time of a report is not
 * known.
 */
const MIN_SPAN_MS = 500;
/**
 * Longest time between two compared reports, in milliseconds: the pace may have changed in between.
 */
const MAX_SPAN_MS = 3000;

interface Snapshot {
  readonly at: number;
  readonly tokens: ReadonlyMap<string, number>;
}

/** Compares each report of one runner with the previous one. */
export class ReportedPace {
  #previous: Snapshot | undefined;

  /**
   * Milliseconds per token between this report and the previous one; undefined if they cannot be
   * compared.
   */
  update(now: number, runs: readonly ReportedRun[]): number | undefined {
    const previous = this.#previous;
    this.#previous = {
      at: now,
      tokens: new Map(runs.map(({ request, tokens }) => [request, tokens])),
    };
    const spanMs = now - (previous?.at ?? now);
    if (!previous || spanMs < MIN_SPAN_MS || spanMs > MAX_SPAN_MS) return undefined;
    let generated = 0;
    let compared = 0;
    for (const { request, tokens } of runs) {
      const previousTokens = previous.tokens.get(request);
      // A request with fewer tokens than before was preempted and prefilled again.
      if (previousTokens !== undefined && tokens > previousTokens) {
        generated += tokens - previousTokens;
        compared += 1;
      }
    }
    return generated === 0 ? undefined : (spanMs * compared) / generated;
  }
}
