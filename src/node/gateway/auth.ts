/** Who a request comes from. */

import type { IncomingMessage } from 'node:http';

import { Failure } from '../../core/failure';
import type { Settings } from '../../core/settings/documents';

const BEARER = 'Bearer ';

/** The bearer token of a request; `unauthorized` if there is none. */
export function tokenOf(req: IncomingMessage): string {
  const { authorization = '' } = req.headers;
  if (!authorization.startsWith(BEARER)) {
    throw new Failure(
      'unauthorized',
      'found no bearer token, expected an Authorization header with one',
    );
  }
  return authorization.slice(BEARER.length);
}

/** The team of a request; `unauthorized` if its token belongs to none. */
export function teamOf(req: IncomingMessage, settings: Settings): string {
  const team = settings.teamOf(tokenOf(req));
  if (team === undefined) throw new Failure('unauthorized', 'found an unknown bearer token');
  return team;
}
