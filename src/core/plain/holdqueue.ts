/**
 * Requests that one VM holds while all runners of a plain service are full, instead of sending them
 * to runners that reject or queue them in the order of arrival.
 *
 * Made for bursts of up to twice the capacity for a few seconds. The queue is at most as long as the
 * service has slots: a request behind more than one whole round of slots is better off with
 * another attempt of its caller, since every VM has such a queue.
 */

import type { Candidate, Choice } from './loadtable';

/** A request that may be held. */
export interface HeldRequest {
  /** Urgency; 0 is the most urgent. */
  readonly rank: number;
  /** When its response must be complete, in milliseconds. */
  readonly deadlineAt: number;
}

/** What to do with a request: send it, check again after a time, or reject it. */
export type HoldDecision =
  | { readonly kind: 'send' }
  | { readonly kind: 'wait'; readonly ms: number }
  | {
      readonly kind: 'reject';
      readonly retryAfterMs: number;
    };

/** Age of a report from which it does not show that a runner is full, in milliseconds. */
const FRESH_MS = 300;
/**
 * Bounds of the time until a held request is checked again, in milliseconds. The upper one is half
 * of the period in which the copy of the load table is refreshed.
 */
const MIN_CHECK_MS = 5;
const MAX_CHECK_MS = 50;

const SEND: HoldDecision = { kind: 'send' };

/** Requests in the order in which they are sent: by rank, then by deadline. */
export class HoldQueue<T extends HeldRequest> {
  #held: readonly T[] = [];

  /** Number of requests that are held. */
  get size(): number {
    return this.#held.length;
  }

  /** The request that is sent first; undefined if none is held. */
  get first(): T | undefined {
    return this.#held[0];
  }

  /**
   * Decides on a request, held or new. One that waits is in the queue afterwards, others are not.
   * @param choice the best runner for it
   * @param reportAgeMs age of the report that this rests on; undefined if there is none
   * @param slots slots of all runners of the service
   */
  decide(
    now: number,
    request: T,
    { expected, areAllFull }: Pick<Choice<Candidate>, 'expected' | 'areAllFull'>,
    reportAgeMs: number | undefined,
    slots: number,
  ): HoldDecision {
    const isFresh = reportAgeMs !== undefined && reportAgeMs <= FRESH_MS;
    const ahead = this.#held.filter((one) => one !== request && isBefore(one, request)).length;
    if (!isFresh || (ahead === 0 && !areAllFull)) {
      this.remove(request);
      return SEND;
    }
    const aheadMs = (ahead * (expected.finishMs - expected.waitMs)) / Math.max(1, slots);
    const waitMs = expected.waitMs + aheadMs;
    if (now + waitMs + expected.finishMs - expected.waitMs > request.deadlineAt) {
      this.remove(request);
      return { kind: 'reject', retryAfterMs: waitMs };
    }
    if (!this.#held.includes(request)) this.#insert(request);
    return { kind: 'wait', ms: Math.min(MAX_CHECK_MS, Math.max(MIN_CHECK_MS, waitMs)) };
  }

  /** Removes and returns the least urgent, latest request if more are held than the service has slots. */
  overflow(slots: number): T | undefined {
    if (this.#held.length <= slots) return undefined;
    const last = this.#held[this.#held.length - 1];
    if (last) this.remove(last);
    return last;
  }

  /** Removes a request. */
  remove(request: T): void {
    this.#held = this.#held.filter((one) => one !== request);
  }

  #insert(request: T): void {
    const index = this.#held.findIndex((one) => isBefore(request, one));
    const at = index < 0 ? this.#held.length : index;
    this.#held = [...this.#held.slice(0, at), request, ...this.#held.slice(at)];
  }
}

function isBefore(a: HeldRequest, b: HeldRequest): boolean {
  return a.rank < b.rank || (a.rank === b.rank && a.deadlineAt < b.deadlineAt);
}
