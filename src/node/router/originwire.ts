/** Messages between VMs about the software versions that began streams. */

import { z } from 'zod';

import { listOf } from '../wire';

/** Most origins in one message. */
export const MAX_RECORDS = 500;

const text = z.string().max(200);
const originSchema = z.object({ service: text, version: text });
/** Tells which versions began streams. */
export const recordsSchema = z.object({
  records: listOf(originSchema.extend({ key: text }), MAX_RECORDS),
});
/** Asks for the origin of a stream. */
export const querySchema = z.object({ key: text, service: text });
/** What a VM knows of it. */
export const viewSchema = z.object({
  origin: z.union([originSchema, z.literal('conflicting')]).optional(),
  /** Time since the stream was last recorded. */
  agoMs: z.number().min(0).optional(),
  versions: listOf(text),
  isComplete: z.boolean(),
});

export type OriginQuery = Readonly<z.infer<typeof querySchema>>;
export type OriginAnswer = Readonly<z.infer<typeof viewSchema>>;
