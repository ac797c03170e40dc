/** Admission control: whether a new request is queued or refused immediately. */

import { createHash } from 'node:crypto';

import type { CodeName } from '../codes';
import { BLOCK_TOKENS } from '../prefix';
import { forecastFirstTokenMs } from './forecast';
import type { Arrival } from './types';
import type { CellView } from './view';

/** Result of the admission check: the forecast of the first token in milliseconds, or the reason for the refusal. */
export type AdmissionDecision =
  | { readonly admitted: true; readonly forecastMs: number }
  | { readonly admitted: false; readonly code: CodeName; readonly retryAfterMs: number };

/** An admission policy. */
export interface Admission {
  decide(now: number, view: CellView, arrival: Arrival): AdmissionDecision;
}

/** Minimum retry delay of a refused request before jitter, in milliseconds. */
const MIN_RETRY_AFTER_MS = 100;
/** Retry delay when no runner is available, in milliseconds. */
const NO_RUNNER_RETRY_MS = 2000;

/** Maps a request id to a number in [0, 1) by its hash, so that equal inputs give equal decisions. */
export function hashFraction(id: string): number {
  return createHash('sha1').update(id).digest().readUInt32BE(0) / 2 ** 32;
}

/**
 * Spreads the retries of refused callers over half to one and a half times the
 * delay. Callers refused together would otherwise retry together and be refused again.
 */
export function jitter(id: string, ms: number): number {
  return Math.round(Math.max(MIN_RETRY_AFTER_MS, ms) * (0.5 + hashFraction(id)));
}

/** Number of leading prompt blocks cached at the prefill runner that has most of them. */
export function bestHitBlocks(view: CellView, blocks: readonly number[]): number {
  if (blocks.length === 0) return 0;
  const hits = view.capacity.prefillRunners.map(({ runner }) =>
    view.prefixes.cachedBlocks(runner.id, blocks),
  );
  return Math.max(0, ...hits);
}

/** Refuses requests whose forecast first token, plus the learnt margin, is later than their deadline. */
export class DeadlineAdmission implements Admission {
  decide(now: number, view: CellView, arrival: Arrival): AdmissionDecision {
    const { policy, capacity, waiting } = view;
    if (capacity.decodeSlots === 0 || capacity.prefillRunners.every(({ leaving }) => leaving)) {
      return {
        admitted: false,
        code: 'noRunner',
        retryAfterMs: jitter(arrival.id, NO_RUNNER_RETRY_MS),
      };
    }
    const ahead = waiting.countAhead(arrival.team);
    const hitTokens = bestHitBlocks(view, arrival.blocks) * BLOCK_TOKENS;
    const forecastMs = forecastFirstTokenMs(now, view, arrival.promptTokens, hitTokens, ahead);
    const lateMs =
      forecastMs + view.margins.marginMs(arrival.team, forecastMs) - (arrival.deadline - now);
    if (lateMs > 0) {
      return {
        admitted: false,
        code: 'deadlineUnreachable',
        retryAfterMs: jitter(arrival.id, lateMs),
      };
    }
    if (waiting.size >= policy.queueLimit) {
      return { admitted: false, code: 'queueFull', retryAfterMs: jitter(arrival.id, forecastMs) };
    }
    return { admitted: true, forecastMs };
  }
}

/** Baseline: admits every request until the queue is full. */
export class QueueLimitAdmission implements Admission {
  decide(_now: number, view: CellView, arrival: Arrival): AdmissionDecision {
    if (view.waiting.size >= view.policy.queueLimit) {
      return { admitted: false, code: 'queueFull', retryAfterMs: jitter(arrival.id, 0) };
    }
    return { admitted: true, forecastMs: 0 };
  }
}
