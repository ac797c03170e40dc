/** Requests under which runners ended, in the messages between VMs. */

import { z } from 'zod';

import type { GossipUpdate } from '../../core/membership/types';
import type { Suspect } from '../../core/quarantine/types';
import { toUpdate } from './updates';

/** Path of news of one request, followed by its fingerprint. */
export const SUSPECT_PATH = 'suspect/';

const ageSchema = z.number().nonnegative();

/** One request in a message. */
export const suspectSchema = z.object({
  fingerprint: z.string().max(64),
  ends: z.array(z.object({ runner: z.string().max(300), agoMs: ageSchema })).max(8),
  completedAgoMs: ageSchema.optional(),
});

/** News of one request. */
export function suspectUpdate(suspect: Suspect): GossipUpdate {
  const { fingerprint, ends } = suspect;
  return toUpdate(`${SUSPECT_PATH}${fingerprint}`, ends.length, suspect);
}
