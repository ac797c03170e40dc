/** Small news in the messages between VMs: a value as text under a path. */

import type { z } from 'zod';

import { Failure } from '../../core/failure';
import type { GossipUpdate } from '../../core/membership/types';

/** @param revision grows with what is newer */
export function toUpdate(path: string, revision: number, value: unknown): GossipUpdate {
  return { path, revision, text: JSON.stringify(value) };
}

/** Rejects with `peerRejected` by throwing. */
export function fromUpdate<T>({ path, text = '' }: GossipUpdate, schema: z.ZodType<T>): T {
  let value: unknown;
  try {
    value = JSON.parse(text);
  } catch {
    throw new Failure('peerRejected', `${path}: found no JSON`);
  }
  const parsed = schema.safeParse(value);
  if (!parsed.success) throw new Failure('peerRejected', `${path}: does not fit`);
  return parsed.data;
}
