/**
 * Outlier ejection of runners by the results of their requests.
 *
 * Some runners fail or slow down part of their requests while their health checks pass. Each
 * failure ejects a runner for some time, which doubles with each further one; each success halves
 * the score again. A runner with a single failure returns soon, and one that fails half of its
 * requests gets little work.
 */

import type { TrustRules } from './policy';

/** Failure score of one runner. */
export interface Trust {
  /** Number of failures, reduced with each success. */
  readonly strikes: number;
  /** The runner is ejected before this time. */
  readonly avoidUntil: number;
}

/** Score of a runner without failures. */
export const FULL_TRUST: Trust = { strikes: 0, avoidUntil: 0 };

/**
 * Score after a failure. Requests that run at the same time fail together: ten streams slowed by
 * the same prompt ejected a healthy runner for six seconds. Failures while the runner is ejected
 * anyway are therefore not counted again.
 */
export function afterFailure({ firstMs, limitMs }: TrustRules, now: number, score: Trust): Trust {
  if (now < score.avoidUntil) return score;
  const avoidMs = Math.min(limitMs, firstMs * 2 ** score.strikes);
  return { strikes: score.strikes + 1, avoidUntil: now + avoidMs };
}

/** Score after a success. */
export function afterSuccess({ goodEnd }: TrustRules, { strikes, avoidUntil }: Trust): Trust {
  return { strikes: strikes * goodEnd, avoidUntil };
}
