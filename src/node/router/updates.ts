/** Encodes gossip updates: small values that VMs send each other as JSON text under a path. */

import type { z } from 'zod';

import { Failure } from '../../core/failure';
import type { GossipUpdate } from '../../core/membership/types';

/**
 * Encodes a gossip update.
 * @param revision a higher one replaces a lower one of the same path
 */
export function toUpdate(path: string, revision: number, value: unknown): GossipUpdate {
  return { path, revision, text: JSON.stringify(value) };
}

/** Decodes and checks a gossip update; throws a `peerRejected` failure. */
export function fromUpdate<T>({ path, text = '' }: GossipUpdate, schema: z.ZodType<T>): T {
  let value: unknown;
  try {
    value = JSON.parse(text);
  } catch {
    throw new Failure('peerRejected', `${path}: found no JSON, expected a value`);
  }
  const parsed = schema.safeParse(value);
  if (!parsed.success) throw new Failure('peerRejected', `${path}: found a malformed value`);
  return parsed.data;
}
