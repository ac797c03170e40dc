/** Customers' keys. Only digests of them are kept, compared and passed between VMs. */

import { createHash } from 'node:crypto';

/** What stands for a key: its SHA-256 in base64url. */
export function digestOfKey(key: string | Uint8Array): string {
  return createHash('sha256').update(key).digest('base64url');
}
