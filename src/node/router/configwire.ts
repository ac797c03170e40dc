/**
 * Encodes configurations for the messages between VMs: decoded, with digests in place of API keys,
 * and compressed.
 */

import { gunzipSync, gzipSync } from 'node:zlib';

import { z } from 'zod';

import { Failure } from '../../core/failure';
import type { RoutingConfig } from '../../core/routing/types';

/** Largest size of a decompressed configuration. */
const MAX_CONFIG_BYTES = 16 * 1024 * 1024;

const routeSchema = z.object({
  name: z.string(),
  host: z.string(),
  prefix: z.string(),
  kind: z.enum(['once', 'repeatable', 'stream']),
  targets: z.array(z.object({ service: z.string(), weight: z.number() })),
  timeoutMs: z.number(),
  aimMs: z.number(),
  patienceMs: z.number(),
  gapMs: z.number(),
  attempts: z.number(),
  priority: z.number(),
  resumable: z.boolean(),
  anonymous: z.boolean(),
});
const serviceSchema = z.object({
  name: z.string(),
  connections: z.number(),
  engine: z
    .object({
      slots: z.number(),
      memoryTokens: z.number(),
      eventTokens: z.number(),
      keepMs: z.number(),
      switchMs: z.number().optional(),
    })
    .optional(),
});
const customerSchema = z.object({
  name: z.string(),
  keys: z.array(z.string()),
  rank: z.number().optional(),
  quota: z
    .object({
      unit: z.enum(['requests', 'tokens']),
      ratePerS: z.number(),
      burst: z.number(),
      plainTokens: z.number(),
    })
    .optional(),
});
const configSchema = z.object({
  version: z.number(),
  routes: z.array(routeSchema),
  services: z.array(serviceSchema),
  customers: z.array(customerSchema).optional(),
  limits: z.object({
    bodyBytes: z.number(),
    headerTimeoutMs: z.number(),
    idleTimeoutMs: z.number(),
  }),
});

/** Compresses a configuration with gzip, to about a tenth of its size at 1,400 routes. */
export function packConfig(config: RoutingConfig): Uint8Array {
  return gzipSync(JSON.stringify(config));
}

/**
 * Decompresses and decodes a configuration; throws a `peerRejected` failure if it does not fit the
 * schema.
 */
export function unpackConfig(bytes: Uint8Array): RoutingConfig {
  const text = gunzipSync(bytes, { maxOutputLength: MAX_CONFIG_BYTES }).toString();
  const parsed = configSchema.safeParse(JSON.parse(text));
  if (!parsed.success) throw new Failure('peerRejected', 'found a malformed configuration');
  const { services, ...rest } = parsed.data;
  return {
    ...rest,
    services: services.map(({ name, connections, engine }) => ({
      name,
      connections,
      engine: engine && { ...engine, switchMs: engine.switchMs },
    })),
  };
}
