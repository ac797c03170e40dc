/** Reads the platform's settings file into the router's own settings. */

import { createHash } from 'node:crypto';

import { z } from 'zod';

import { validate, parseJsonc } from '../core/settings/parse';
import { readText } from '../node/config';
import type { RouterSettings } from '../node/router/types';

/** Environment variable that holds the path of the settings file. */
export const SETTINGS_VARIABLE = 'GOLDCRESTDOCK_CONFIG';

const address = z.string().regex(/^[^:]+:\d+$/);

const fileSchema = z.object({
  'node-name': z.string().min(1).max(64),
  zone: z.string().min(1),
  ip: z.string().min(1),
  listen: z.object({
    front: address,
    ready: address.optional(),
    directory: address.optional(),
  }),
  /** First and last port that are free for links between VMs. */
  'internal-port-range': z.array(z.int()).min(1),
  /** Control addresses of VMs; the host is what matters, since links use the internal port. */
  seeds: z.array(address).default([]),
  bounds: z.object({
    'grace-s': z.number(),
    'retry-budget-ratio': z.number(),
    'budget-window-s': z.number(),
    'retry-budget-extra': z.number(),
    'lease-ms': z.number().default(3000),
    'config-apply-ms': z.number().default(2000),
    /** Whether a key that was taken away must run nothing `revoke-ms` later. */
    'strict-revoke': z.boolean().default(false),
    'revoke-ms': z.number().default(5000),
    'quota-window-s': z.number().positive().default(10),
    /** Part of what a quota allows in a window. */
    'quota-overage': z.number().min(0).default(0),
    'quota-slack': z.number().min(0).default(0),
    ttl_max_s: z.number().default(5),
  }),
  platform: z.object({ address }),
  limits: z
    .object({
      /** Part of each core that this VM may use. */
      'cpu-share': z.number().positive().default(1),
      cores: z.number().positive().default(1),
    })
    .prefault({}),
});

/** Settings of the router and where the store is. */
export interface PlatformSettings {
  readonly router: RouterSettings;
  /** `HOST:PORT` of the store. */
  readonly store: string;
}

/** Longest time that callers may keep a directory answer: they keep some for thrice as long, and a VM that stops has to serve these still, in milliseconds. */
const ADDRESS_TTL_MS = 1000;
/** By how much sooner than it must a key stop counting, in milliseconds: some turns of a busy event loop lie between the look at the clock and the send. */
const KEY_MARGIN_MS = 300;
/** By how much all VMs together may be over the rate limit that a runner names: the platform's bound. */
const RATE_LIMITS = { windowMs: 4000, overage: 0.5, slack: 5, wholeRuns: true };
/** Port of the metrics page; the deploy file names the same. */
const METRICS_PORT = 9464;

/** Resolves the text of a settings file. */
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
    retries: {
      ratio: bounds['retry-budget-ratio'],
      extra: bounds['retry-budget-extra'],
      windowMs: bounds['budget-window-s'] * 1000,
    },
    ages: {
      keyMs: bounds['strict-revoke'] ? bounds['revoke-ms'] - KEY_MARGIN_MS : Infinity,
      finalMs: bounds['config-apply-ms'],
    },
    quotas: {
      windowMs: bounds['quota-window-s'] * 1000,
      overage: bounds['quota-overage'],
      slack: bounds['quota-slack'],
      wholeRuns: false,
    },
    rateLimits: RATE_LIMITS,
    leaseMs: bounds['lease-ms'],
    graceMs: bounds['grace-s'] * 1000,
    addressTtlMs: Math.min(bounds.ttl_max_s * 1000, ADDRESS_TTL_MS),
  };
  return { router, store: file.platform.address };
}

/** Reads and resolves the settings file at a path. */
export function loadSettings(file: string): PlatformSettings {
  return resolveSettings(readText(file), file);
}
