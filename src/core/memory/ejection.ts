/**
 * How far a runner is trusted, by how its requests went.
 *
 * Some runners fail or slow a part of their requests while they call themselves
 * healthy. Each failure keeps work off a runner for a while, longer with each
 * further one; each good end halves that again, so a runner that is only unlucky
 * is back at once and one that fails half of its work gets little.
 */

import type { EjectionRules } from './policy';

/** What is remembered of one runner. */
export interface FailureScore {
  /** Failures, faded by good ends. */
  readonly failures: number;
  /** No work before this time. */
  readonly ejectedUntil: number;
}

/** A runner of which nothing bad is known. */
export const NO_FAILURES: FailureScore = { failures: 0, ejectedUntil: 0 };

/**
 * After a failure. Requests that were under way together fail together: ten
 * streams slowed by the same prompt kept a sound runner without work for six
 * seconds. What comes in while the runner is avoided anyway is the same failure.
 */
export function afterFailure({ firstMs, maxMs: limitMs }: EjectionRules, now: number, trust: FailureScore): FailureScore {
  if (now < trust.ejectedUntil) return trust;
  const avoidMs = Math.min(limitMs, firstMs * 2 ** trust.failures);
  return { failures: trust.failures + 1, ejectedUntil: now + avoidMs };
}

/** After a good end. */
export function afterSuccess({ successFactor: goodEnd }: EjectionRules, { failures: strikes, ejectedUntil: avoidUntil }: FailureScore): FailureScore {
  return { failures: strikes * goodEnd, ejectedUntil: avoidUntil };
}
