/** Reads the caller's API key from the headers of a request. Only its digest leaves this module. */

import type { IncomingMessage } from 'node:http';

import type { Credential } from '../core/customers/identity';
import { digestOfKey } from '../core/customers/keys';
import { header } from './names';

/** Value of the `authorization` header. The scheme is case-insensitive, and the key has no white space. */
const BEARER_PATTERN = /^bearer +(\S+)$/i;

/** All values of a header; `message.headers` keeps only the first `authorization`. */
function valuesOf({ rawHeaders }: IncomingMessage, name: string): readonly string[] {
  return rawHeaders.filter(
    (_, index) => index % 2 === 1 && rawHeaders[index - 1]?.toLowerCase() === name,
  );
}

/**
 * The credential of a request. Two keys in one request are invalid, because readers could
 * disagree on which one applies.
 */
export function credentialOf(message: IncomingMessage): Credential {
  const [value, ...others] = valuesOf(message, header.authorization);
  if (value === undefined) return { kind: 'none' };
  if (others.length > 0) return { kind: 'unfit', detail: 'found two keys, expected one' };
  const key = BEARER_PATTERN.exec(value.trim())?.[1];
  if (key === undefined) return { kind: 'unfit', detail: 'found no key of the form Bearer KEY' };
  // Node decodes header bytes as Latin-1; keys are compared as bytes.
  return { kind: 'key', digest: digestOfKey(Buffer.from(key, 'latin1')) };
}
