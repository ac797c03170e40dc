/** Converts the platform's settings file to the router's settings. */

import { createHash } from 'node:crypto';

import { z } from 'zod';

import { FREE_BYTES } from '../core/delivery/buffers';
import { HEARTBEAT_MS } from '../core/routing/outages';
import { validate, parseJsonc } from '../core/settings/parse';
import { readText } from '../node/config';
import type { RouterSettings } from '../node/router/types';

/** Environment variable that holds the path of the settings file. */
export const SETTINGS_VARIABLE = 'GOLDCRESTDOCK_CONFIG';

const address = z.string().regex(/^[^:]+:\d+$/);

const MIB = 1024 * 1024;
/** What a response may buffer in any case; see `FREE_BYTES` of `src/core/delivery/buffers.ts`. */
const MIN_RESPONSE_BUFFER_BYTES = FREE_BYTES;
const MAX_BUFFER_BYTES = 1024 * MIB;

const fileSchema = z.object({
  'node-name': z.string().min(1).max(64),
  zone: z.string().min(1),
  ip: z.string().min(1),
  listen: z.object({
    front: address,
    ready: address.optional(),
    directory: address.optional(),
  }),
  /** First and last port of the range reserved for links between VMs. */
  'internal-port-range': z.array(z.int()).min(1),
  /** Control addresses of VMs. Only the host is used, because links use the internal port. */
  seeds: z.array(address).default([]),
  /** Whether the whole fleet starts for the first time; false at each later start of a process. */
  bootstrap: z.boolean().default(false),
  'heartbeat-ms': z.number().positive().default(HEARTBEAT_MS),
  bounds: z.object({
    'grace-s': z.number(),
    'retry-budget-ratio': z.number(),
    'budget-window-s': z.number(),
    'retry-budget-extra': z.number(),
    'lease-ms': z.number().default(3000),
    'config-apply-ms': z.number().default(2000),
    /** Whether a revoked API key must not start any request after `revoke-ms`. */
    'strict-revoke': z.boolean().default(false),
    'revoke-ms': z.number().default(5000),
    'quota-window-s': z.number().positive().default(10),
    /** Allowed excess, as a fraction of what a quota allows in a window. */
    'quota-overage': z.number().min(0).default(0),
    'quota-slack': z.number().min(0).default(0),
    ttl_max_s: z.number().default(5),
  }),
  platform: z.object({ address }),
  limits: z
    .object({
      /** Fraction of each core that this VM may use. */
      'cpu-share': z.number().positive().default(1),
      cores: z.number().positive().default(1),
      /** Bytes of one response buffered for a caller that reads slowly. Default: the largest plain response. */
      'response-buffer-bytes': z
        .int()
        .min(MIN_RESPONSE_BUFFER_BYTES)
        .max(MAX_BUFFER_BYTES)
        .default(4 * MIB),
      /** The same of all responses together. */
      'caller-buffer-bytes': z
        .int()
        .min(MIB)
        .max(MAX_BUFFER_BYTES)
        .default(64 * MIB),
      /** How long a caller may read nothing while one of these bounds is reached. */
      'caller-stall-ms': z.int().min(1000).max(60_000).default(5000),
    })
    .refine((limits) => limits['response-buffer-bytes'] <= limits['caller-buffer-bytes'], {
      path: ['response-buffer-bytes'],
      message: 'expected at most caller-buffer-bytes',
    })
    .prefault({}),
});

/** Settings of the router, and the address of the store. */
export interface PlatformSettings {
  readonly router: RouterSettings;
  /** `HOST:PORT` of the store. */
  readonly store: string;
}

/** Maximum time to live of a look-up response, in milliseconds. Some callers cache it for three times as long, and a VM that shuts down must serve them until then. */
const MAX_ADDRESS_TTL_MS = 1000;
/** Margin by which a key expires early, in milliseconds. A busy event loop may run several iterations between the check of the clock and the send. */
const KEY_EXPIRY_MARGIN_MS = 300;
/** Bounds that the platform sets on how far all VMs together may exceed the rate limit that a runner announces. */
const RATE_LIMIT_BOUNDS = { windowMs: 4000, overage: 0.5, slack: 5, wholeRuns: true };
/** Port of the metrics endpoint; must match the deployment files. */
const METRICS_PORT = 9464;

/**
 * Converts the text of a settings file; throws `fileMalformed` or `settingsInvalid`.
 * @param source name of the file in error messages
 */
export function resolveSettings(text: string, source: string): PlatformSettings {
  const file = validate(fileSchema, parseJsonc(text, source), source);
  const { bounds, ip, listen, limits } = file;
  const port = file['internal-port-range'][0] ?? 0;
  const router: RouterSettings = {
    vm: file['node-name'],
    domain: file.zone,
    listen: {
      front: listen.front,
      ready: listen.ready,
      directory: listen.directory,
      metrics: `${ip}:${METRICS_PORT}`,
    },
    peer: `${ip}:${port}`,
    seeds: file.seeds.map((seed) => `${seed.split(':')[0]}:${port}`),
    peerKey: createHash('sha256').update(`peers of ${file.platform.address}`).digest('hex'),
    cores: limits['cpu-share'] * limits.cores,
    isFirstStart: file.bootstrap,
    retries: {
      ratio: bounds['retry-budget-ratio'],
      extra: bounds['retry-budget-extra'],
      windowMs: bounds['budget-window-s'] * 1000,
    },
    ages: {
      keyMs: bounds['strict-revoke'] ? bounds['revoke-ms'] - KEY_EXPIRY_MARGIN_MS : Infinity,
      finalMs: bounds['config-apply-ms'],
    },
    quotas: {
      windowMs: bounds['quota-window-s'] * 1000,
      overage: bounds['quota-overage'],
      slack: bounds['quota-slack'],
      wholeRuns: false,
    },
    rateLimits: RATE_LIMIT_BOUNDS,
    buffers: {
      responseBytes: limits['response-buffer-bytes'],
      vmBytes: limits['caller-buffer-bytes'],
      stallMs: limits['caller-stall-ms'],
    },
    leaseMs: bounds['lease-ms'],
    heartbeatMs: file['heartbeat-ms'],
    graceMs: bounds['grace-s'] * 1000,
    addressTtlMs: Math.min(bounds.ttl_max_s * 1000, MAX_ADDRESS_TTL_MS),
  };
  return { router, store: file.platform.address };
}

/** Reads and converts the settings file at a path; throws `fileUnreadable`, `fileMalformed` or `settingsInvalid`. */
export function loadSettings(file: string): PlatformSettings {
  return resolveSettings(readText(file), file);
}
