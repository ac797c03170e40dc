/** Decides from what several VMs know which software version began a stream. */

import type { KnownOrigin, StreamOrigin } from './types';
import { isSameOrigin } from './types';

/** What one VM knows of a stream and of the service that it is to continue at. */
export interface OriginView {
  /** Undefined if the VM does not know the stream. */
  readonly origin: KnownOrigin | undefined;
  /** Software versions that served the service lately. */
  readonly versions: readonly string[];
  /** Whether there were no others. */
  readonly isComplete: boolean;
}

/** The origin that VMs recorded; undefined if none did, or if they disagree. */
export function recordedOrigin(views: readonly OriginView[]): StreamOrigin | undefined {
  const known = views.flatMap(({ origin }) => (origin === undefined ? [] : [origin]));
  const [first] = known;
  if (first === undefined || first === 'conflicting') return undefined;
  const agrees = (origin: KnownOrigin): boolean =>
    origin !== 'conflicting' && isSameOrigin(origin, first);
  return known.every(agrees) ? first : undefined;
}

/**
 * The origin of a stream that no VM recorded: the only version that served lately; undefined if a
 * VM knows of several, or knows the stream.
 */
export function inferredOrigin(
  service: string,
  views: readonly OriginView[],
): StreamOrigin | undefined {
  const isInferable = views.every(({ origin, isComplete }) => origin === undefined && isComplete);
  const [version, ...others] = new Set(views.flatMap(({ versions }) => versions));
  const isSole = version !== undefined && version !== '' && others.length === 0;
  return isInferable && isSole ? { service, version } : undefined;
}
