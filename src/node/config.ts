/** Settings of the daemons: JSON with comments, parsed once into a complete, read-only object. */

import { readFileSync } from 'node:fs';

import { z } from 'zod';

import { Failure } from '../core/failure';
import { validate, parseJsonc } from '../core/settings/parse';

const address = z
  .strictObject({
    host: z.string().describe('IP address to listen on.'),
    port: z.int().min(0).max(65_535).describe('Port to listen on; 0 takes any free one.'),
  })
  .describe('An address.');

const shared = {
  vm: z
    .string()
    .regex(/^[a-z0-9][a-z0-9-]{0,62}$/)
    .describe('Name of this VM, unique in the fleet.'),
  domain: z.string().min(1).describe('Failure domain of this VM.'),
  peerKey: z.string().min(16).describe('Key that all processes of the fleet share.'),
  platform: z.url().describe('Base URL of the key-value service.'),
  log: z
    .enum(['debug', 'info', 'warn', 'error', 'silent'])
    .default('info')
    .describe('Least level that is logged.'),
  metrics: z
    .strictObject({ host: z.string(), port: z.int().positive() })
    .optional()
    .describe('Where StatsD metrics go. Default: nowhere.'),
};

const limitsSchema = z.strictObject({
  bodyBytes: z
    .int()
    .positive()
    .default(4 * 1024 * 1024)
    .describe('Largest request body.'),
  headerBytes: z
    .int()
    .positive()
    .default(16 * 1024)
    .describe('Largest request header.'),
  connections: z.int().positive().default(10_000).describe('Connections of callers at once.'),
  headerTimeoutMs: z
    .int()
    .positive()
    .default(10_000)
    .describe('Time in which a request header must be complete.'),
});

/** Settings of `goldcrestdock gateway`. */
export const gatewaySchema = z.strictObject({
  role: z.literal('gateway'),
  ...shared,
  listen: address.describe('Address for callers.'),
  operator: address.describe('Address for operators.'),
  scheduler: z
    .string()
    .regex(/^[^:]+:\d+$/)
    .describe('Peer address of the scheduler on this VM, as HOST:PORT.'),
  limits: limitsSchema.prefault({}).describe('Limits on what callers send.'),
  addressTtlMs: z
    .int()
    .positive()
    .default(5000)
    .describe('How long callers may keep an address answer, in milliseconds.'),
});

/** Settings of `goldcrestdock scheduler`. */
export const schedulerSchema = z.strictObject({
  role: z.literal('scheduler'),
  ...shared,
  peer: address.describe('Address for gateways and other schedulers (TCP) and for probes (UDP).'),
  probeMs: z
    .int()
    .positive()
    .default(1000)
    .describe('Period of membership probes, in milliseconds.'),
  suspectMs: z
    .int()
    .positive()
    .default(2000)
    .describe('Time that a suspect has to answer, in milliseconds.'),
  keyMemory: z.int().positive().default(100_000).describe('Request keys remembered for replay.'),
});

const daemonSchema = z.discriminatedUnion('role', [gatewaySchema, schedulerSchema]);

/** Complete settings of a gateway. */
export type GatewayConfig = Readonly<z.infer<typeof gatewaySchema>>;
/** Complete settings of a scheduler. */
export type SchedulerConfig = Readonly<z.infer<typeof schedulerSchema>>;

/** Reads a UTF-8 text file; throws `fileUnreadable` with the path and the error code. */
export function readText(path: string): string {
  try {
    return readFileSync(path, 'utf8');
  } catch (error) {
    const { code } = error as NodeJS.ErrnoException;
    throw new Failure(
      'fileUnreadable',
      `${path}: found ${code ?? 'an error'}, expected a readable file`,
    );
  }
}

/** Reads the settings file of either daemon and fills in the defaults; throws if it does not match the schema. */
export function loadConfig(path: string): GatewayConfig | SchedulerConfig {
  return Object.freeze(validate(daemonSchema, parseJsonc(readText(path), path), path));
}

/** Reads the settings file of one role; throws `settingsInvalid` if the file is for the other role. */
export function loadConfigOf<R extends 'gateway' | 'scheduler'>(
  path: string,
  role: R,
): Extract<GatewayConfig | SchedulerConfig, { role: R }> {
  const config = loadConfig(path);
  if (config.role !== role) {
    throw new Failure(
      'settingsInvalid',
      `${path}: at role: found ${config.role}, expected ${role}`,
    );
  }
  return config as Extract<GatewayConfig | SchedulerConfig, { role: R }>;
}
