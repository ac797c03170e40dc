/**
 * How far a runner is trusted, by how its requests went.
 *
 * Some runners fail or slow a part of their requests while they call themselves
 * healthy. Each failure keeps work off a runner for a while, longer with each
 * further one; each good end halves that again, so a runner that is only unlucky
 * is back at once and one that fails half of its work gets little.
 */

/** What is remembered of one runner. */
export interface Trust {
  /** Failures, faded by good ends. */
  readonly strikes: number;
  /** No work before this time. */
  readonly avoidUntil: number;
}

/** A runner of which nothing bad is known. */
export const FULL_TRUST: Trust = { strikes: 0, avoidUntil: 0 };

/** Time without work after the first failure, in milliseconds; doubles with each further one. */
const AVOID_MS = 400;
/** Longest time without work, in milliseconds: then one request tries again. */
const AVOID_LIMIT_MS = 6000;
/** What a good end leaves of the strikes. */
const GOOD_END = 0.5;

/**
 * After a failure. Requests that were under way together fail together: ten
 * streams slowed by the same prompt kept a sound runner without work for six
 * seconds. What comes in while the runner is avoided anyway is the same failure.
 */
export function afterFailure(now: number, trust: Trust): Trust {
  if (now < trust.avoidUntil) return trust;
  const avoidMs = Math.min(AVOID_LIMIT_MS, AVOID_MS * 2 ** trust.strikes);
  return { strikes: trust.strikes + 1, avoidUntil: now + avoidMs };
}

/** After a good end. */
export function afterSuccess({ strikes, avoidUntil }: Trust): Trust {
  return { strikes: strikes * GOOD_END, avoidUntil };
}
