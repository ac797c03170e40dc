/** Retry budgets: a token bucket for each team, filled by its first attempts. */

/** Retries earned by each first attempt. */
const EARNED = 0.2;
/** Most retries saved up. */
const LIMIT = 10;

/**
 * Without a budget, a lost failure domain makes each of its requests come again
 * at once and overloads the domains that are left. A budget bounds the extra
 * load to a fixed share of the accepted load, whatever fails.
 */
export class RetryBudget {
  readonly #saved = new Map<string, number>();

  earn(team: string): void {
    const saved = this.#saved.get(team) ?? LIMIT;
    const next = Math.min(LIMIT, saved + EARNED);
    // A full bucket is the default, so it need not be stored.
    if (next >= LIMIT) this.#saved.delete(team);
    else this.#saved.set(team, next);
  }

  /** Takes one retry, or says that none is left. */
  spend(team: string): boolean {
    const saved = this.#saved.get(team) ?? LIMIT;
    if (saved < 1) return false;
    this.#saved.set(team, saved - 1);
    return true;
  }
}
