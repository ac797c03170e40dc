/** Encoding of peer messages. */

import { Packr } from 'msgpackr';
import type { z } from 'zod';

import { Failure } from '../../core/failure';

// Shared records would keep state for each connection; plain maps cost a few bytes more and none.
const packr = new Packr({ useRecords: false });

/** Largest peer message in bytes: one settings document and its frame. */
export const MESSAGE_LIMIT = 2 * 1024 * 1024;

export function encode(message: unknown): Buffer {
  return packr.pack(message);
}

/** Decodes and checks a message; `peerRejected` if it does not fit. */
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
