/**
 * Outlier ejection of runners by the results of their requests.
 *
 * Some runners fail or slow down part of their requests while their health checks pass. Each
 * failure ejects a runner for some time, which doubles with each further one; each success halves
 * the score again. A runner with a single failure returns soon, and one that fails half of its
 * requests gets little work.
 */

import type { EjectionRules } from './policy';

/** Failure score of one runner. */
export interface FailureScore {
  /** Number of failures, reduced with each success. */
  readonly failures: number;
  /** The runner is ejected before this time. */
  readonly ejectedUntil: number;
}

/** Score of a runner without failures. */
export const NO_FAILURES: FailureScore = { failures: 0, ejectedUntil: 0 };

/**
 * Score after a failure. Requests that run at the same time fail together: ten streams slowed by
 * the same prompt ejected a healthy runner for six seconds. Failures while the runner is ejected
 * anyway are therefore not counted again.
 */
export function afterFailure(
  { firstMs, maxMs }: EjectionRules,
  now: number,
  score: FailureScore,
): FailureScore {
  if (now < score.ejectedUntil) return score;
  const ejectionMs = Math.min(maxMs, firstMs * 2 ** score.failures);
  return { failures: score.failures + 1, ejectedUntil: now + ejectionMs };
}

/** Score after a success. */
export function afterSuccess(
  { successFactor }: EjectionRules,
  { failures, ejectedUntil }: FailureScore,
): FailureScore {
  return { failures: failures * successFactor, ejectedUntil };
}

/**
 * Score of a runner that answers again. The failure that led to the checks came of its silence, and
 * those while it is ejected are not counted.
 */
export function afterReturn({ failures }: FailureScore): FailureScore {
  return { failures: Math.max(0, failures - 1), ejectedUntil: 0 };
}

/** Score of a runner that did not answer a check: it stays ejected until the check after the next one. */
export function afterSilence(
  { recheckMs }: EjectionRules,
  now: number,
  { failures, ejectedUntil }: FailureScore,
): FailureScore {
  return { failures, ejectedUntil: Math.max(ejectedUntil, now + 2 * recheckMs) };
}
