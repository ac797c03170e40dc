/** Whether a request is at an instance of a runner that is gone, after another instance became known. */

/** What is known of a request that was sent at about the start of the new instance. */
export interface RequestSilence {
  /** Time without bytes, in milliseconds, of those since the new instance became known. */
  readonly silentMs: number;
  /** Whether events are expected from now on, so that a sound runner sends bytes often. */
  readonly isStream: boolean;
  /** Whether the request may be sent again, and what that takes is set aside. */
  readonly hasReplacement: () => boolean;
}

/** `lost`: no answer will come; `unknown`: either instance may have it; `kept`: the new instance has it. */
export type RequestFate = 'lost' | 'unknown' | 'kept';

/** Largest difference assumed between the clocks of a VM and a runner, in milliseconds: wall clocks are stepped by seconds. */
const MAX_CLOCK_SKEW_MS = 5000;
/** Time without bytes after which a request is sent again where that is certain, in milliseconds. */
const REPLACED_MS = 250;
/** Time without events after which a stream has ended, in milliseconds: a sound runner may be silent for two seconds. */
const STREAM_SILENCE_MS = 2500;

/**
 * What the times of a request and of the new instance tell.
 * @param sentAt in Unix milliseconds
 * @param bornAt start of the new instance, in Unix milliseconds
 */
export function fateByClock(sentAt: number, bornAt: number): RequestFate {
  if (sentAt + MAX_CLOCK_SKEW_MS < bornAt) return 'lost';
  return sentAt - MAX_CLOCK_SKEW_MS > bornAt ? 'kept' : 'unknown';
}

/**
 * What silence tells. Calls send nothing before their answers, and a sound runner may be silent for
 * a moment: without a replacement they wait for the rest of their time.
 */
export function fateBySilence({
  silentMs,
  isStream,
  hasReplacement,
}: RequestSilence): Exclude<RequestFate, 'kept'> {
  if (isStream && silentMs >= STREAM_SILENCE_MS) return 'lost';
  return silentMs >= REPLACED_MS && hasReplacement() ? 'lost' : 'unknown';
}
