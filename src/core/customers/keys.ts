/** API keys of customers. Only their digests are stored, compared and sent between VMs. */

import { createHash } from 'node:crypto';

/** Digest of a key: its SHA-256 in base64url. */
export function digestOfKey(key: string | Uint8Array): string {
  return createHash('sha256').update(key).digest('base64url');
}
