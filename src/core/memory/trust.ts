/**
 * How far a runner is trusted, by how its requests went.
 *
 * Some runners fail or slow a part of their requests while they call themselves
 * healthy. Each failure keeps work off a runner for a while, longer with each
 * further one; each good end halves that again, so a runner that is only unlucky
 * is back at once and one that fails half of its work gets little.
 */

import type { TrustRules } from './policy';

/** What is remembered of one runner. */
export interface Trust {
  /** Failures, faded by good ends. */
  readonly strikes: number;
  /** No work before this time. */
  readonly avoidUntil: number;
}

/** A runner of which nothing bad is known. */
export const FULL_TRUST: Trust = { strikes: 0, avoidUntil: 0 };

/**
 * After a failure. Requests that were under way together fail together: ten
 * streams slowed by the same prompt kept a sound runner without work for six
 * seconds. What comes in while the runner is avoided anyway is the same failure.
 */
export function afterFailure({ firstMs, limitMs }: TrustRules, now: number, trust: Trust): Trust {
  if (now < trust.avoidUntil) return trust;
  const avoidMs = Math.min(limitMs, firstMs * 2 ** trust.strikes);
  return { strikes: trust.strikes + 1, avoidUntil: now + avoidMs };
}

/** After a good end. */
export function afterSuccess({ goodEnd }: TrustRules, { strikes, avoidUntil }: Trust): Trust {
  return { strikes: strikes * goodEnd, avoidUntil };
}
