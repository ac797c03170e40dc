/** Pace of a runner's answers, seen from what it reports of them. */

import type { ReportedRun } from './types';

/** Least time between two reports that are compared, in milliseconds: a report is as of some moment before. */
const LEAST_MS = 500;
/** Longest time: the pace may have changed meanwhile. */
const MOST_MS = 3000;

interface Seen {
  readonly at: number;
  readonly tokens: ReadonlyMap<string, number>;
}

/** The last report of one runner. */
export class ReportedPace {
  #seen: Seen | undefined;

  /** Milliseconds for each token between this report and the last; undefined if they cannot be compared. */
  update(now: number, runs: readonly ReportedRun[]): number | undefined {
    const before = this.#seen;
    this.#seen = { at: now, tokens: new Map(runs.map(({ request, tokens }) => [request, tokens])) };
    const spanMs = now - (before?.at ?? now);
    if (!before || spanMs < LEAST_MS || spanMs > MOST_MS) return undefined;
    let made = 0;
    let compared = 0;
    for (const { request, tokens } of runs) {
      const had = before.tokens.get(request);
      // A request that has fewer than before was pushed out and read again.
      if (had !== undefined && tokens > had) {
        made += tokens - had;
        compared += 1;
      }
    }
    return made === 0 ? undefined : (spanMs * compared) / made;
  }
}
