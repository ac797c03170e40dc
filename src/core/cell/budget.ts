/** Retry budgets: one token bucket per team, filled by the team's first attempts. */

/** Number of retries that each first attempt earns. */
const RETRIES_PER_ATTEMPT = 0.2;
/** Maximum number of retries that a team can accumulate. */
const MAX_SAVED_RETRIES = 10;

/**
 * Retry budgets of all teams. Without them, the failure of a failure domain would
 * repeat all of its requests immediately and overload the remaining domains. A budget
 * bounds the additional load to a fixed share of the accepted load, whatever fails.
 */
export class RetryBudget {
  readonly #saved = new Map<string, number>();

  /** Adds what a first attempt of the team earns. */
  earn(team: string): void {
    const saved = this.#saved.get(team) ?? MAX_SAVED_RETRIES;
    const next = Math.min(MAX_SAVED_RETRIES, saved + RETRIES_PER_ATTEMPT);
    // A full bucket is the default, so it is not stored.
    if (next >= MAX_SAVED_RETRIES) this.#saved.delete(team);
    else this.#saved.set(team, next);
  }

  /** Takes one retry from the team's budget; false if none is left. */
  spend(team: string): boolean {
    const saved = this.#saved.get(team) ?? MAX_SAVED_RETRIES;
    if (saved < 1) return false;
    this.#saved.set(team, saved - 1);
    return true;
  }
}
