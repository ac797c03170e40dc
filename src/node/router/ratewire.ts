/** Encodes rate limits of runners for the messages between VMs. */

import { z } from 'zod';

import type { GossipUpdate } from '../../core/membership/types';
import type { RunnerRate } from '../../core/ratelimits/types';
import { toUpdate } from './updates';

/** Path prefix of gossip updates about a rate limit, followed by the id of the runner's instance. */
export const RATE_PATH = 'rate/';

/** Schema of one runner's rate limit in a message. */
export const rateSchema = z.object({
  runner: z.string().min(1),
  service: z.string(),
  version: z.int().min(1),
  /** Requests per second; omitted if the limit has ended. */
  ratePerS: z.number().min(0).optional(),
});

/** The gossip update about one runner's rate limit. */
export function rateUpdate(rate: RunnerRate): GossipUpdate {
  return toUpdate(`${RATE_PATH}${rate.runner}`, rate.version, rate);
}
