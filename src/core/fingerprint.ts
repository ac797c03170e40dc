/** What all attempts of one request have in common, in short. */

import { createHash } from 'node:crypto';

/**
 * Digest of a request's content.
 * @param head what is read before the body: method, target and the like
 * @returns SHA-256 in base64url
 */
export function fingerprintOf(head: string, body: string | Uint8Array): string {
  return createHash('sha256').update(`${head}\0`).update(body).digest('base64url');
}
