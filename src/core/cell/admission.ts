/** Admission: whether a new request is taken in or refused at once. */

import { createHash } from 'node:crypto';

import type { CodeName } from '../codes';
import { BLOCK_TOKENS } from '../prefix';
import { forecastFirstTokenMs } from './forecast';
import type { Arrival } from './types';
import type { CellView } from './view';

/** What admission says of a request. */
export type AdmissionDecision =
  | { readonly admitted: true; readonly forecastMs: number }
  | { readonly admitted: false; readonly code: CodeName; readonly retryAfterMs: number };

/** A way to decide on new requests. */
export interface Admission {
  decide(now: number, view: CellView, arrival: Arrival): AdmissionDecision;
}

/** Shortest time that a refused caller is told to stay away, in milliseconds. */
const RETRY_AFTER_FLOOR_MS = 100;
/** Time to stay away when no runner is able, in milliseconds. */
const NO_RUNNER_RETRY_MS = 2000;

/** A number in [0, 1) drawn from a request id, so that equal inputs give equal decisions. */
export function hashFraction(id: string): number {
  return createHash('sha1').update(id).digest().readUInt32BE(0) / 2 ** 32;
}

/**
 * Spreads the return of refused callers over half to one and a half times the
 * wait. Callers refused together would otherwise return together and be refused again.
 */
export function jitter(id: string, ms: number): number {
  return Math.round(Math.max(RETRY_AFTER_FLOOR_MS, ms) * (0.5 + hashFraction(id)));
}

/** Leading blocks of the prompt that the best placed prefill runner has cached. */
export function bestHitBlocks(view: CellView, blocks: readonly number[]): number {
  if (blocks.length === 0) return 0;
  const hits = view.capacity.prefillRunners.map(({ runner }) =>
    view.prefixes.cachedBlocks(runner.id, blocks),
  );
  return Math.max(0, ...hits);
}

/** Refuses what cannot have its first token by its deadline. */
export class DeadlineAdmission implements Admission {
  decide(now: number, view: CellView, arrival: Arrival): AdmissionDecision {
    const { policy, capacity: places, waiting } = view;
    if (places.decodeSlots === 0 || places.prefillRunners.every(({ leaving }) => leaving)) {
      return {
        admitted: false,
        code: 'noRunner',
        retryAfterMs: jitter(arrival.id, NO_RUNNER_RETRY_MS),
      };
    }
    const ahead = waiting.countAhead(arrival.team);
    const hitTokens = bestHitBlocks(view, arrival.blocks) * BLOCK_TOKENS;
    const forecastMs = forecastFirstTokenMs(now, view, arrival.promptTokens, hitTokens, ahead);
    const late =
      forecastMs + view.margins.marginMs(arrival.team, forecastMs) - (arrival.deadline - now);
    if (late > 0) {
      return {
        admitted: false,
        code: 'deadlineUnreachable',
        retryAfterMs: jitter(arrival.id, late),
      };
    }
    if (waiting.size >= policy.queueLimit) {
      return { admitted: false, code: 'queueFull', retryAfterMs: jitter(arrival.id, forecastMs) };
    }
    return { admitted: true, forecastMs };
  }
}

/** Baseline: takes everything in until the queue is full. */
export class QueueLimitAdmission implements Admission {
  decide(_now: number, view: CellView, arrival: Arrival): AdmissionDecision {
    if (view.waiting.size >= view.policy.queueLimit) {
      return { admitted: false, code: 'queueFull', retryAfterMs: jitter(arrival.id, 0) };
    }
    return { admitted: true, forecastMs: 0 };
  }
}
