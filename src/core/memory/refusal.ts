/** Who among the waiting requests is refused, and when their callers may come back. */

import type { RefusalRules } from './policy';
import type { Release } from './capacity';
import { waitForTokensMs } from './capacity';
import type { Demand } from './types';

/** What is expected of the runners. */
export interface CapacityForecast {
  /** Tokens of memory that a request will take. */
  readonly sizeOf: (demand: Demand) => number;
  /** Least time from a grant to the first event, in milliseconds. */
  readonly minFirstEventMs: (demand: Demand) => number;
  /** Tokens in a millisecond that first attempts leave to the others. */
  readonly spareTokensPerMs: number;
  readonly releases: readonly Release[];
  /** Time until so many tokens of prompts will have been read, in milliseconds. */
  readonly prefillWaitMs: (tokens: number) => number;
}

/** A request that cannot be served while its caller waits. */
export interface UnservableRequest {
  readonly demand: Demand;
  /** Time until its turn would come, in milliseconds. */
  readonly waitMs: number;
  /** Time that its turn takes of what is left over for late requests, in milliseconds. */
  readonly slotMs: number;
}

/** A request whose caller leaves sooner than this after its first event could come is not started, in milliseconds. */
const LOST_MARGIN_MS = 250;
/**
 * Finds what cannot be served while its caller waits, as soon as that is known.
 * A request that would miss its aim waits only if memory is likely to be left
 * over for it. One whose caller came back has no further try, so it waits also
 * for less likely room.
 * @param order waiting requests, who goes first in front
 */
export function findUnservable(
  { lastAttemptFactor: lastTryDoubt }: RefusalRules,
  now: number,
  order: readonly Demand[],
  {
    sizeOf,
    minFirstEventMs: leastMs,
    spareTokensPerMs: spare,
    releases,
    prefillWaitMs: readMs,
  }: CapacityForecast,
): readonly UnservableRequest[] {
  const found: UnservableRequest[] = [];
  let ahead = 0;
  let late = 0;
  for (const demand of order) {
    const size = sizeOf(demand);
    ahead += size;
    const waitMs = Math.max(waitForTokensMs(now, releases, ahead), readMs(ahead));
    const inTime = now + waitMs + leastMs(demand) <= demand.dueAt;
    const lateMs = waitMs + (late + size) / spare;
    const lastAt = demand.lostAt - LOST_MARGIN_MS - leastMs(demand);
    const likelyMs = demand.returned ? lateMs * lastTryDoubt : lateMs;
    const keep = now + (demand.resuming ? 0 : likelyMs) <= lastAt;
    if (!inTime && keep) late += size;
    if (!inTime && !keep) {
      ahead -= size;
      found.push({ demand, waitMs: lateMs, slotMs: size / spare });
    }
  }
  return found;
}

/** Times at which refused callers may come back: one after the other, so that they do not all come at once. */
export class RetryTimes {
  readonly #rules: RefusalRules;

  #lastAt = 0;

  constructor(rules: RefusalRules) {
    this.#rules = rules;
  }

  /** Retry-After of the next one, in milliseconds. */
  next(now: number, { waitMs, slotMs: turnMs }: UnservableRequest): number {
    const { minMs: leastMs, maxMs: mostMs, maxStepMs: stepMs } = this.#rules;
    const earliest = now + Math.min(waitMs, mostMs / 2);
    const next = Math.max(this.#lastAt, earliest) + Math.min(turnMs, stepMs);
    this.#lastAt = next > now + mostMs ? earliest : next;
    return Math.max(leastMs, this.#lastAt - now);
  }
}
