/** Authentication of requests by bearer token. */

import type { IncomingMessage } from 'node:http';

import { Failure } from '../../core/failure';
import type { Settings } from '../../core/settings/documents';

const BEARER_PREFIX = 'Bearer ';

/** Returns the bearer token of a request; throws `unauthorized` if there is none. */
export function tokenOf(req: IncomingMessage): string {
  const { authorization = '' } = req.headers;
  if (!authorization.startsWith(BEARER_PREFIX)) {
    throw new Failure(
      'unauthorized',
      'found no bearer token, expected an Authorization header with one',
    );
  }
  return authorization.slice(BEARER_PREFIX.length);
}

/** Returns the team of a request; throws `unauthorized` if its token belongs to no team. */
export function teamOf(req: IncomingMessage, settings: Settings): string {
  const team = settings.teamOf(tokenOf(req));
  if (team === undefined) throw new Failure('unauthorized', 'found an unknown bearer token');
  return team;
}
