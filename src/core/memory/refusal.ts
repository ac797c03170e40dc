/** Which waiting requests are refused, and when their callers may retry. */

import type { VmAccess } from './backoffs';
import type { RefusalRules } from './policy';
import type { Release } from './releases';
import { waitForTokensMs } from './releases';
import type { Demand, RefusalCause, RefusalReason } from './types';

/** Expected capacity of the runners. */
export interface CapacityForecast {
  /** Tokens of memory that a request will take. */
  readonly sizeOf: (demand: Demand) => number;
  /** Shortest time from a grant to the first event, in milliseconds. */
  readonly minFirstEventMs: (demand: Demand) => number;
  /** Tokens per millisecond that are not used by first attempts. */
  readonly spareTokensPerMs: number;
  readonly releases: readonly Release[];
  /** How far the decode runners are open to the VM of a request. */
  readonly accessOf: (demand: Demand) => VmAccess;
  /**
   * Time until the runners of the software version that a request needs can take a number of tokens,
   * its own included, in milliseconds.
   */
  readonly versionWaitMs: (demand: Demand, tokensAhead: number) => number;
  /** Time until a number of prompt tokens will have been prefilled, in milliseconds. */
  readonly prefillWaitMs: (tokens: number) => number;
}

/** A request that cannot be served before its caller disconnects. */
export interface UnservableRequest {
  readonly demand: Demand;
  /** Expected time until it could start, in milliseconds. */
  readonly waitMs: number;
  /** Time that its memory takes of the capacity left over for late requests, in milliseconds. */
  readonly slotMs: number;
  /** Time until a decode runner accepts requests of its VM, in milliseconds. */
  readonly openInMs: number;
  readonly cause: RefusalCause;
}

/**
 * A request is not started if its caller would disconnect sooner than this after the first possible
 * event, in milliseconds.
 */
const DISCONNECT_MARGIN_MS = 250;
/**
 * Finds the requests that cannot be served before their callers disconnect, as early as that is
 * known. A request that would miss its deadline keeps waiting only if capacity for it is likely to
 * be left over; while memory is idle, that is once its turn comes. A returning caller has no further
 * attempt, so its request also waits for less likely capacity.
 * @param order waiting requests in scheduling order
 */
export function findUnservable(
  { lastAttemptFactor }: RefusalRules,
  now: number,
  order: readonly Demand[],
  {
    sizeOf,
    minFirstEventMs,
    spareTokensPerMs,
    releases,
    accessOf,
    versionWaitMs,
    prefillWaitMs,
  }: CapacityForecast,
): readonly UnservableRequest[] {
  const found: UnservableRequest[] = [];
  let tokensAhead = 0;
  let lateTokens = 0;
  const aheadByVersion = new Map<string | undefined, number>();
  for (const [place, demand] of order.entries()) {
    const size = sizeOf(demand);
    tokensAhead += size;
    const { version } = demand;
    const versionTokens = (aheadByVersion.get(version) ?? 0) + size;
    const { openShare, openInMs } = accessOf(demand);
    // The runners that are open to the VM have a like share of the memory that all will have free.
    const memoryWaitMs =
      openShare === 0 ? 0 : waitForTokensMs(now, releases, tokensAhead / openShare);
    const prefillMs = prefillWaitMs(tokensAhead);
    const waitMs = Math.max(openInMs, memoryWaitMs, prefillMs);
    const firstEventMs = minFirstEventMs(demand);
    const isInTime = now + waitMs + firstEventMs <= demand.dueAt;
    // While all requests before it and itself fit into free memory, only its turn matters.
    const isMemoryIdle = tokensAhead <= (releases[0]?.tokens ?? 0);
    const lateMs = isMemoryIdle ? waitMs : waitMs + (lateTokens + size) / spareTokensPerMs;
    const latestStartAt = demand.lostAt - DISCONNECT_MARGIN_MS - firstEventMs;
    const likelyMs = demand.returned ? Math.max(waitMs, lateMs * lastAttemptFactor) : lateMs;
    const versionMs = versionWaitMs(demand, versionTokens);
    const startInMs = Math.max(openInMs, versionMs, demand.resuming ? 0 : likelyMs);
    const keepsWaiting = now + startInMs <= latestStartAt;
    if (isInTime || keepsWaiting) aheadByVersion.set(version, versionTokens);
    if (!isInTime && keepsWaiting) lateTokens += size;
    if (!isInTime && !keepsWaiting) {
      tokensAhead -= size;
      const leftMs = latestStartAt - now;
      found.push({
        demand,
        waitMs: lateMs,
        slotMs: size / spareTokensPerMs,
        openInMs,
        cause: {
          rank: demand.rank,
          reason: reasonOf(leftMs, { openInMs, versionMs, memoryMs: memoryWaitMs, prefillMs }),
          forecast: {
            place,
            waitMs: Math.round(waitMs),
            lateMs: Math.round(lateMs),
            dueInMs: Math.round(demand.dueAt - firstEventMs - now),
            lostInMs: Math.round(demand.lostAt - now),
          },
        },
      });
    }
  }
  return found;
}

/** Times until parts of the capacity that a request needs are available, in milliseconds. */
interface CapacityWaits {
  readonly openInMs: number;
  readonly versionMs: number;
  readonly memoryMs: number;
  readonly prefillMs: number;
}

/** The part of the capacity that comes too late; `late` if each comes in time on its own. */
function reasonOf(
  leftMs: number,
  { openInMs, versionMs, memoryMs, prefillMs }: CapacityWaits,
): RefusalReason {
  if (openInMs > leftMs) return 'paused';
  if (versionMs > leftMs) return 'version';
  if (Math.max(memoryMs, prefillMs) <= leftMs) return 'late';
  return memoryMs >= prefillMs ? 'memory' : 'prefill';
}

/** Retry times of refused callers, spread over time so that they do not all retry at once. */
export class RetryTimes {
  readonly #rules: RefusalRules;

  #lastAt = 0;

  constructor(rules: RefusalRules) {
    this.#rules = rules;
  }

  /** Retry-After of the next refused request, in milliseconds. */
  next(now: number, { waitMs, slotMs, openInMs }: UnservableRequest): number {
    const { minMs, maxMs, maxStepMs } = this.#rules;
    const earliest = now + Math.max(openInMs, Math.min(waitMs, maxMs / 2));
    const next = Math.max(this.#lastAt, earliest) + Math.min(slotMs, maxStepMs);
    this.#lastAt = next > now + Math.max(maxMs, openInMs + maxMs / 2) ? earliest : next;
    return Math.max(minMs, this.#lastAt - now);
  }
}
