/** Progress of a model request over its attempts, and the decisions that depend on it alone. */

import { Failure } from '../../core/failure';
import { contentIdOf } from '../../core/fingerprint';
import type { Exchange } from './exchange';
import type { LocalDemand } from './messages';
import type { CallRequest } from './types';
import { AnswerStream } from '../../core/stream/answer';

/** Sizes assumed for a request that states none, in tokens. */
const DEFAULT_PROMPT_TOKENS = 1000;
const DEFAULT_OUTPUT_TOKENS = 500;
/** Longest id of a request that is used as it is, in characters; a message has room for it and a counter. */
const MAX_REQUEST_ID_CHARS = 200;
/** Number of runners to avoid that a demand names, the latest ones. */
const MAX_AVOIDED = 64;
/** Retry delay for callers whose request the runners rejected. */
const RETRY_MS = 400;

/** State of one request across its attempts. */
export interface Progress {
  readonly stream: AnswerStream;
  /** Decode runners that have received the request. */
  readonly sentTo: Set<string>;
  /** Runners that failed this request and should not be planned for it again. */
  readonly avoid: string[];
  /** Prefill attempts so far. */
  prefills: number;
  /** Reservations requested so far. */
  reservations: number;
  /** Whether a decode runner may have executed the request. */
  mayHaveRun: boolean;
}

/** State of a request before its first attempt. */
export function newProgress({ continues }: Exchange): Progress {
  return {
    stream: new AnswerStream(continues?.afterEvent),
    sentTo: new Set(),
    avoid: [],
    prefills: 0,
    reservations: 0,
    mayHaveRun: false,
  };
}

/** The id of a request in messages between VMs; a longer one, which callers choose, is replaced by its digest. */
function nameOf({ id }: Pick<CallRequest, 'id'>): string {
  return id.length > MAX_REQUEST_ID_CHARS ? contentIdOf('request', id) : id;
}

/**
 * The demand to send to the owner. Each reservation has its own id, made of the request's id and a
 * counter.
 * @param excluded ids of runners that must not get the request
 */
export function demandOf(
  exchange: Exchange,
  progress: Progress,
  excluded: readonly string[] = [],
): LocalDemand {
  const { request, route, arrivedAt } = exchange;
  const { usage } = request;
  const resuming = progress.stream.events > 0 || exchange.continues !== undefined;
  progress.reservations += 1;
  const waitingSince = resuming ? performance.now() : arrivedAt;
  return {
    id: `${nameOf(request)}/${progress.reservations}`,
    customer: request.customer,
    rank: exchange.rank,
    promptId: usage?.promptId,
    promptTokens: usage?.promptTokens ?? DEFAULT_PROMPT_TOKENS,
    maxOutputTokens: usage?.maxOutputTokens ?? DEFAULT_OUTPUT_TOKENS,
    hintTokens: usage?.hintTokens,
    dueAt: resuming ? performance.now() : arrivedAt + route.aimMs,
    gapMs: route.gapMs,
    lostAt: Math.min(waitingSince + route.patienceMs, exchange.deadlineAt),
    endsBy: exchange.deadlineAt,
    resuming,
    version: exchange.version,
    avoid: [...new Set([...excluded, ...progress.avoid])].slice(-MAX_AVOIDED),
  };
}

/** The failure of a request that no runner accepted. */
export function runnerFullFailure(detail: string): Failure {
  return new Failure('runnerFull', detail, { retryAfterMs: RETRY_MS });
}

/** The failure to send to the caller. A failure whose code states that nothing was executed is replaced if an earlier attempt may have been. */
export function callerFailure(exchange: Exchange, progress: Progress, failure: Failure): Failure {
  if (exchange.signal.aborted) return timeoutFailure(exchange, progress);
  const isContradicted = progress.mayHaveRun && failure.code.notRun;
  return isContradicted ? new Failure('runnerFailed', failure.message) : failure;
}

/** Whether the stream may be resumed and has attempts left. */
export function canResume({ route }: Exchange, { sentTo, stream }: Progress): boolean {
  return route.resumable && stream.canContinue && sentTo.size < route.attempts;
}

/** The failure of a request whose deadline has passed, or whose VM stops before. */
export function timeoutFailure({ refusal }: Exchange, { sentTo }: Progress): Failure {
  if (sentTo.size > 0) return new Failure('timedOut', 'the response was not complete in time');
  const unplaced = { retryAfterMs: RETRY_MS };
  return refusal ?? new Failure('deadlineUnreachable', 'no reservation in time', unplaced);
}

/** Excludes a runner that takes no requests any more; returns whether to ask for another one. */
export function planAgain(
  { trail, signal }: Exchange,
  progress: Progress,
  runner: string | undefined,
): boolean {
  if (runner !== undefined) progress.avoid.push(runner);
  trail.push(`${runner} unavailable`);
  return !signal.aborted;
}
