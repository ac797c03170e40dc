/** Rate limits of runners in the messages between VMs. */

import { z } from 'zod';

import type { GossipUpdate } from '../../core/membership/types';
import type { RunnerRate } from '../../core/ratelimits/types';
import { toUpdate } from './updates';

/** Path of news of one runner's limit, followed by the id of its start. */
export const RATE_PATH = 'rate/';

/** One runner's limit in a message. */
export const rateSchema = z.object({
  runner: z.string().min(1),
  service: z.string(),
  version: z.int().min(1),
  /** Left out if the limit has ended. */
  ratePerS: z.number().min(0).optional(),
});

/** News of one runner's limit. */
export function rateUpdate(rate: RunnerRate): GossipUpdate {
  return toUpdate(`${RATE_PATH}${rate.runner}`, rate.version, rate);
}
