/** Requests under which runners ended, as they go from VM to VM. */

import { z } from 'zod';

import { Failure } from '../../core/failure';
import type { Rumour } from '../../core/membership/types';
import type { Suspect } from '../../core/quarantine/types';

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
export function toRumour(suspect: Suspect): Rumour {
  const { fingerprint, ends } = suspect;
  const path = `${SUSPECT_PATH}${fingerprint}`;
  return { path, revision: ends.length, text: JSON.stringify(suspect) };
}

/** Rejects with `peerRejected` by throwing. */
export function fromRumour({ path, text = '' }: Rumour): Suspect {
  let value: unknown;
  try {
    value = JSON.parse(text);
  } catch {
    throw new Failure('peerRejected', `${path}: found no JSON`);
  }
  const parsed = suspectSchema.safeParse(value);
  if (!parsed.success) throw new Failure('peerRejected', `${path}: does not fit`);
  return parsed.data;
}
