/** Parts of the schemas of messages between processes. */

import { z } from 'zod';

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
