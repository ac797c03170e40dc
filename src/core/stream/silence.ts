/** Decides when what a runner does not answer is done at another runner: the rest of a stream, or a prefill. */

/**
 * What a check of a runner shows. `gone`: the instance has certainly ended; `unknown`: it did not
 * answer, as a runner that lost power, and as a sound one that is silent for a moment.
 */
export type RunnerState = 'running' | 'gone' | 'unknown';

/** What a route says about pauses, in milliseconds. */
export interface SilenceBounds {
  /** Longest pause between events that is still on time; 0 if none is named. */
  readonly gapMs: number;
  /** Callers disconnect after this time without an event. */
  readonly patienceMs: number;
}

/** What to do about a silent stream. */
export type SilenceStep =
  /** The runner is sound: its silence is measured anew. */
  | { readonly kind: 'rest' }
  /** The runner is to be checked again after a time in milliseconds. */
  | { readonly kind: 'wait'; readonly ms: number }
  /** Another run is to be prepared. */
  | { readonly kind: 'prepare' };

/** Multiple of the longest allowed pause between events after which a stream counts as silent. */
const SILENCE_PAUSES = 2;
/** Silence of streams whose routes allow short pauses or set none, in milliseconds: longer than a preempted request usually waits. */
const MIN_SILENCE_MS = 600;
/** Part of the callers' patience that another run needs for a reservation, the prompt and its first event, in milliseconds. */
const CONTINUATION_MS = 1000;
/** Time that the runner of a silent stream has to answer a check, in milliseconds. */
export const CHECK_MS = 400;
/** Longest time between the ends of two checks of a silent runner, in milliseconds. */
const RECHECK_MS = 650;
/** Time before the end of the wait for a runner that is too short for a check, in milliseconds. */
const MIN_WAIT_MS = 100;
/** Time until another run is asked for again after the first refusal, in milliseconds; doubles with each further one. */
const FIRST_RETRY_MS = 100;
const MAX_RETRY_MS = 800;
/** The same if the retry budget of this VM allowed none: repeats that are earned and not taken soon are lost. */
const MAX_BUDGET_RETRY_MS = 400;
/** Smallest part of a retry delay: streams of one runner fall silent at once and must not ask at once. */
const MIN_RETRY_PART = 0.5;

/** Time for which a sound runner may be silent, in milliseconds: two seconds, and a margin. */
export const SOUND_SILENCE_MS = 2500;

/** Time that most prefills take at most, in milliseconds. */
export const PREFILL_MS = 900;

/** A prefill that has not ended. */
export interface PendingPrefill extends Pick<SilenceBounds, 'patienceMs'> {
  readonly sentAt: number;
  /** Since when the caller waits for an event. */
  readonly waitingSince: number;
}

/** Time without events after which the runner of a stream is checked, in milliseconds. */
export function silenceMsOf({ gapMs }: Pick<SilenceBounds, 'gapMs'>): number {
  return Math.max(MIN_SILENCE_MS, SILENCE_PAUSES * gapMs);
}

/**
 * The next step after a check. A runner that is gone is replaced at once, and one that does not
 * answer as late as the patience of callers allows, since it may go on.
 * @param heardAt when the last events arrived
 */
export function nextStep(
  now: number,
  heardAt: number,
  state: RunnerState,
  { patienceMs }: Pick<SilenceBounds, 'patienceMs'>,
): SilenceStep {
  if (state === 'running') return { kind: 'rest' };
  const waitMs = heardAt + patienceMs - CONTINUATION_MS - now;
  if (state === 'gone' || waitMs < MIN_WAIT_MS) return { kind: 'prepare' };
  // The last check ends when the wait does.
  const checks = Math.ceil(waitMs / RECHECK_MS);
  return { kind: 'wait', ms: Math.max(0, waitMs / checks - CHECK_MS) };
}

/**
 * Time until another run is asked for again, in milliseconds.
 * @param refusals how often one was refused during this silence, at least 1
 * @param isBudgetSpent whether the retry budget of this VM allowed none, so that nobody else was asked
 * @param random a number from 0 to below 1
 */
export function retryDelayMs(refusals: number, isBudgetSpent: boolean, random: number): number {
  const limit = isBudgetSpent ? MAX_BUDGET_RETRY_MS : MAX_RETRY_MS;
  const longest = Math.min(limit, FIRST_RETRY_MS * 2 ** (refusals - 1));
  return longest * (MIN_RETRY_PART + (1 - MIN_RETRY_PART) * random);
}

/**
 * Whether a prefill may be given up. One at another prefill runner takes its place early. A decode
 * runner may refuse to do it, and is asked as late as the patience of callers allows. After that
 * nothing can take its place, and it is kept for as long as its runner may be sound.
 */
export function mayAbandon(
  now: number,
  { sentAt, waitingSince, patienceMs }: PendingPrefill,
  hasOtherRunner: boolean,
): boolean {
  if (now < sentAt + PREFILL_MS) return false;
  // The owner gives no place any more: the request would certainly be refused.
  if (now >= waitingSince + patienceMs) return now >= sentAt + SOUND_SILENCE_MS;
  return hasOtherRunner || now >= waitingSince + patienceMs - CONTINUATION_MS;
}
