/** Encodes requests that crashed runners for the messages between VMs. */

import { z } from 'zod';

import type { GossipUpdate } from '../../core/membership/types';
import type { Suspect } from '../../core/quarantine/types';
import { toUpdate } from './updates';

/** Path prefix of gossip updates about a suspect request, followed by its fingerprint. */
export const SUSPECT_PATH = 'suspect/';

const ageSchema = z.number().nonnegative();

/** Schema of one suspect request in a message. */
export const suspectSchema = z.object({
  fingerprint: z.string().max(64),
  ends: z
    .array(
      z.object({
        runner: z.string().max(300),
        agoMs: ageSchema,
        /** Both are omitted by VMs whose program does not know them. */
        late: z.boolean().optional(),
        cleared: z.boolean().optional(),
      }),
    )
    .max(8),
  completedAgoMs: ageSchema.optional(),
});

/** The gossip update about one suspect request. */
export function suspectUpdate(suspect: Suspect): GossipUpdate {
  const { fingerprint, ends } = suspect;
  return toUpdate(`${SUSPECT_PATH}${fingerprint}`, ends.length, suspect);
}
