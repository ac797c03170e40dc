/**
 * Shares of failed requests by runner, relative to the other runners of a plain service.
 *
 * Made for a runner that fails its requests while its health checks pass: one that answers errors
 * at once looks idle and fast, and would get most of the requests.
 */

/** Requests of one runner that ended, by their results. */
export interface Outcomes {
  readonly runner: string;
  readonly succeeded: number;
  readonly failed: number;
}

/**
 * Time constant with which results are forgotten, in milliseconds: a failing runner of a service with
 * some fifty requests a second is found within a few requests, and tried again after some seconds.
 */
const MEMORY_MS = 1500;
/** Weight of the share of all runners in that of one, in requests. */
const PRIOR_REQUESTS = 3;
/** Difference to the share of all runners that is not held against a runner: some requests fail at any runner. */
const TOLERATED_SHARE = 0.12;

interface Counts {
  succeeded: number;
  failed: number;
  at: number;
}

/** Results of the requests to one service. */
export class FailureShares {
  readonly #runners = new Map<string, Counts>();

  /** Records results at a time in milliseconds. */
  record(now: number, { runner, succeeded, failed }: Outcomes): void {
    const counts = this.#countsOf(now, runner);
    counts.succeeded += succeeded;
    counts.failed += failed;
  }

  /** By how much the share of failed requests of a runner exceeds that of the others, from 0 to 1. */
  excess(now: number, runner: string): number {
    const own = this.#runners.get(runner);
    if (!own) return 0;
    const { succeeded, failed } = decayed(now, own);
    const others = this.#othersShare(now, runner);
    const share = (failed + PRIOR_REQUESTS * others) / (succeeded + failed + PRIOR_REQUESTS);
    return Math.max(0, share - others - TOLERATED_SHARE);
  }

  /** Recent results of all runners, for another VM. */
  rows(now: number): readonly Outcomes[] {
    return [...this.#runners].map(([runner, counts]) => ({
      runner,
      ...decayed(now, counts),
    }));
  }

  /** Replaces the results of a runner by those that another VM has of the whole fleet. */
  replace(now: number, { runner, succeeded, failed }: Outcomes): void {
    this.#runners.set(runner, { succeeded, failed, at: now });
  }

  /** Removes the results of runners that are gone. */
  retain(runners: ReadonlySet<string>): void {
    for (const runner of this.#runners.keys()) {
      if (!runners.has(runner)) this.#runners.delete(runner);
    }
  }

  #othersShare(now: number, runner: string): number {
    let succeeded = 0;
    let failed = 0;
    for (const [other, counts] of this.#runners) {
      if (other !== runner) {
        const recent = decayed(now, counts);
        succeeded += recent.succeeded;
        failed += recent.failed;
      }
    }
    return failed / Math.max(1, succeeded + failed);
  }

  #countsOf(now: number, runner: string): Counts {
    const counts = this.#runners.get(runner) ?? { succeeded: 0, failed: 0, at: now };
    this.#runners.set(runner, counts);
    Object.assign(counts, decayed(now, counts), { at: now });
    return counts;
  }
}

function decayed(
  now: number,
  { succeeded, failed, at }: Counts,
): Pick<Counts, 'succeeded' | 'failed'> {
  const weight = Math.exp(-Math.max(0, now - at) / MEMORY_MS);
  return { succeeded: succeeded * weight, failed: failed * weight };
}
