/** Encoding of peer messages as MessagePack. */

import { Packr } from 'msgpackr';
import type { z } from 'zod';

import { Failure } from '../../core/failure';

// Shared record definitions would need state per connection; plain maps need none and cost a few bytes more.
const packr = new Packr({ useRecords: false });

/** Largest peer message, in bytes: one settings document and its framing. */
export const MESSAGE_LIMIT = 2 * 1024 * 1024;

/** Encodes a message as MessagePack. */
export function encode(message: unknown): Buffer {
  return packr.pack(message);
}

/** Decodes a message and validates it against the schema; throws `peerRejected` if it is malformed. */
export function decode<T>(schema: z.ZodType<T>, data: Buffer): T {
  let value: unknown;
  try {
    value = packr.unpack(data);
  } catch {
    throw new Failure('peerRejected', `found ${data.length} bytes that are no message`);
  }
  const result = schema.safeParse(value);
  if (result.success) return result.data;
  const [issue] = result.error.issues;
  throw new Failure(
    'peerRejected',
    `at ${issue?.path.join('.') ?? '?'}: ${issue?.message ?? 'does not fit'}`,
  );
}
