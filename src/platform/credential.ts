/** Reads the caller's key from a request's headers. The key goes no further than this; its digest stands for it. */

import type { IncomingMessage } from 'node:http';

import type { Credential } from '../core/customers/identity';
import { digestOfKey } from '../core/customers/keys';
import { header } from './names';

/** The scheme may be spelled in any case; the key is one word. */
const BEARER = /^bearer +(\S+)$/i;

function valuesOf({ rawHeaders }: IncomingMessage, name: string): readonly string[] {
  return rawHeaders.filter(
    (_, index) => index % 2 === 1 && rawHeaders[index - 1]?.toLowerCase() === name,
  );
}

/** Two keys in one request name nobody: which one counts would be up to whoever reads it. */
export function credentialOf(message: IncomingMessage): Credential {
  const [value, ...others] = valuesOf(message, header.authorization);
  if (value === undefined) return { kind: 'none' };
  if (others.length > 0) return { kind: 'unfit', detail: 'found two keys, expected one' };
  const key = BEARER.exec(value.trim())?.[1];
  if (key === undefined) return { kind: 'unfit', detail: 'found no key of the form Bearer KEY' };
  // Node gives header bytes as Latin-1; a key is compared by its bytes.
  return { kind: 'key', digest: digestOfKey(Buffer.from(key, 'latin1')) };
}
