/** What all attempts of one request have in common, in short. */

import { createHash } from 'node:crypto';

/** Characters of a content id, six bits each: no two requests of a fleet have the same by chance. */
const CONTENT_ID_LENGTH = 16;

/**
 * Digest of a request's content.
 * @param head what is read before the body: method, target and the like
 * @returns SHA-256 in base64url
 */
export function fingerprintOf(head: string, body: string | Uint8Array): string {
  return createHash('sha256').update(`${head}\0`).update(body).digest('base64url');
}

/** A short form of that digest, to name a request in messages and logs. */
export function contentIdOf(head: string, body: string | Uint8Array): string {
  return fingerprintOf(head, body).slice(0, CONTENT_ID_LENGTH);
}
