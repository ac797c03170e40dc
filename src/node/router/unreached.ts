/** Rejection of requests that no runner can get from this VM. */

import { Failure } from '../../core/failure';
import type { Runner } from '../../core/routing/types';
import type { RunnerPaths } from './types';

/** Time after which rejected callers return, in milliseconds: by then lost paths have been probed. */
const RETRY_MS = 500;
/** Time over which they return, in milliseconds. */
const RETURN_SPREAD_MS = 1000;

/** Time after which callers return whose stream no runner can continue, in milliseconds: one that crashed may restart. */
const VERSION_RETRY_MS = 1000;

/** The failure if this VM reaches none of the runners of a service; undefined if it reaches some, or if there are none. */
export function unreachedFailure(
  service: string,
  runners: readonly Runner[],
  paths: RunnerPaths,
): Failure | undefined {
  if (runners.length === 0 || runners.some((runner) => paths.reaches(runner))) return undefined;
  return new Failure('runnerUnreachable', `no path to a runner of ${service}`, {
    retryAfterMs: RETRY_MS + Math.random() * RETURN_SPREAD_MS,
  });
}

/** The failure of a request whose stream no runner of a service can continue. */
export function versionGoneFailure(service: string, version: string): Failure {
  return new Failure('versionGone', `no runner of ${service} has version ${version}`, {
    retryAfterMs: VERSION_RETRY_MS,
  });
}
