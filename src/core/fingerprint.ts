/** Fingerprints of requests: digests that are the same for all attempts of one request. */

import { createHash } from 'node:crypto';

/** Characters of a content id, six bits each: enough to make collisions within a fleet negligible. */
const CONTENT_ID_LENGTH = 16;

/**
 * Digest of a request's content.
 * @param head what is read before the body: method, target and the like
 * @returns SHA-256 in base64url
 */
export function fingerprintOf(head: string, body: string | Uint8Array): string {
  return createHash('sha256').update(`${head}\0`).update(body).digest('base64url');
}

/** Short form of the fingerprint that identifies a request in messages and logs. */
export function contentIdOf(head: string, body: string | Uint8Array): string {
  return fingerprintOf(head, body).slice(0, CONTENT_ID_LENGTH);
}
