/** How far a model request has come over its attempts, and what follows from that alone. */

import { Failure } from '../../core/failure';
import type { Exchange } from './exchange';
import type { LocalDemand } from './messages';
import { AnswerStream } from '../../core/stream/answer';

/** Size assumed of a request that tells none, in tokens. */
const PROMPT_TOKENS = 1000;
const OUTPUT_TOKENS = 500;
/** When a caller may come back after runners turned the request away, in milliseconds. */
const RETRY_MS = 400;

/** State of one request across its attempts. */
export interface Progress {
  readonly stream: AnswerStream;
  /** Decode runners that it was sent to. */
  readonly sentTo: Set<string>;
  readonly avoid: string[];
  prefills: number;
  reservations: number;
  /** Whether a decode runner may have run it. */
  mayHaveRun: boolean;
}

/** State of a request that has just come in. */
export function newProgress(): Progress {
  return {
    stream: new AnswerStream(),
    sentTo: new Set(),
    avoid: [],
    prefills: 0,
    reservations: 0,
    mayHaveRun: false,
  };
}

/** What the owner is asked for; each place has an id of its own. */
export function demandOf(exchange: Exchange, progress: Progress): LocalDemand {
  const { request, route, arrivedAt } = exchange;
  const { usage } = request;
  const resuming = progress.stream.events > 0;
  progress.reservations += 1;
  const patience = resuming ? performance.now() : arrivedAt;
  return {
    id: `${request.id}/${progress.reservations}`,
    customer: request.customer,
    rank: exchange.rank,
    promptId: usage?.promptId,
    promptTokens: usage?.promptTokens ?? PROMPT_TOKENS,
    maxOutputTokens: usage?.maxOutputTokens ?? OUTPUT_TOKENS,
    hintTokens: usage?.hintTokens,
    dueAt: resuming ? performance.now() : arrivedAt + route.aimMs,
    gapMs: route.gapMs,
    lostAt: Math.min(patience + route.patienceMs, exchange.deadlineAt),
    resuming,
    avoid: [...progress.avoid],
  };
}

/** A request that no decode runner took. */
export function runnerFullFailure(detail: string): Failure {
  return new Failure('runnerFull', detail, { retryAfterMs: RETRY_MS });
}

/** What the caller is told. A refusal of a later attempt says that nothing ran, which an earlier one may have. */
export function callerFailure({ signal }: Exchange, progress: Progress, failure: Failure): Failure {
  if (signal.aborted) return timeoutFailure(progress);
  const untrue = progress.mayHaveRun && failure.code.notRun;
  return untrue ? new Failure('runnerFailed', failure.message) : failure;
}

/** Whether a request that may run again has another decode runner left. */
export function canResume({ route }: Exchange, { sentTo, stream }: Progress): boolean {
  return route.resumable && stream.canContinue && sentTo.size < route.attempts;
}

/** What a caller is told whose time is up. */
export function timeoutFailure({ sentTo }: Progress): Failure {
  return sentTo.size === 0
    ? new Failure('deadlineUnreachable', 'no place in time', { retryAfterMs: RETRY_MS })
    : new Failure('timedOut', 'the answer is not complete in time');
}
