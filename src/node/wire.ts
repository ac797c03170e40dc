/** Parts of the schemas of messages between processes. */

import { z } from 'zod';

/**
 * Longest id in a message, in characters: an instance is named by its key in the store, of 200 bytes
 * at most, and its start time.
 */
export const MAX_ID_CHARS = 256;

/**
 * A list whose malformed items are left out, so that one odd item does not cost the message.
 * @param most length beyond which the message is malformed
 */
export function listOf<T>(item: z.ZodType<T>, most = Infinity): z.ZodType<T[]> {
  return z
    .array(z.unknown())
    .max(most)
    .transform((values) =>
      values.flatMap((value) => {
        const parsed = item.safeParse(value);
        return parsed.success ? [parsed.data] : [];
      }),
    );
}
