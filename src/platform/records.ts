/** Decodes entries of the store into the router's types, and encodes those that the router writes. */

import { isIPv4 } from 'node:net';

import { z } from 'zod';

import { digestOfKey } from '../core/customers/keys';
import type { Customer } from '../core/customers/types';
import { Failure } from '../core/failure';
import { contentIdOf } from '../core/fingerprint';
import type { Suspect } from '../core/quarantine/types';
import { MAX_AMOUNT } from '../core/quotas/account';
import type { CallKind, RoutingConfig, Runner, RunnerRole } from '../core/routing/types';
import { MAX_BORN, MAX_SLOTS, instanceId } from '../core/routing/types';
import type { VersionsByService } from '../core/versions/types';
import { MAX_TIMER_MS } from '../utils/clock';

/** Call kinds by the value of `kind` in a route. */
const callKinds: Readonly<Record<string, CallKind>> = {
  idempotent: 'repeatable',
  non_idempotent: 'once',
  streaming: 'stream',
};

/** Timeout of a route that specifies none, in milliseconds. */
const DEFAULT_TIMEOUT_MS = 60_000;
/**
 * Callers of a stream disconnect if its first event does not arrive within the longest of these
 * times: a fixed one, and multiples of the route's latency and gap targets.
 */
const MIN_PATIENCE_MS = 2000;
const PATIENCE_LATENCY_TARGETS = 4;
const PATIENCE_GAP_TARGETS = 8;

/** A number of which more than `most` means the same. */
function atMost(most: number): z.ZodType<number, number> {
  return z.number().transform((value) => Math.min(value, most));
}

const milliseconds = atMost(MAX_TIMER_MS);
const seconds = atMost(MAX_TIMER_MS / 1000);
/** Largest number of tokens, requests or parts: what messages between VMs carry, and far from the end of a double. */
export const MAX_COUNT = 1_000_000_000;
const count = atMost(MAX_COUNT);
/** More does not fit into one buffer. */
const MAX_BODY_BYTES = 2 ** 31 - 1;
const positiveCount = z.number().min(0).pipe(count);
const amount = z.number().min(0).pipe(atMost(MAX_AMOUNT));

const routeSchema = z.object({
  name: z.string(),
  host: z.string(),
  'path-prefix': z.string(),
  kind: z.string(),
  service: z.string().optional(),
  'traffic-split': z.array(z.object({ service: z.string(), weight: count })).optional(),
  'timeout-ms': milliseconds.default(DEFAULT_TIMEOUT_MS),
  'target-latency-ms': milliseconds.default(1000),
  'max-attempts': z.int().default(1),
  priority: z.int().default(5),
  resumable: z.boolean().default(false),
  /** Target for the longest pause between two events of a stream, in milliseconds; 0 means no target. */
  'gap-target-ms': milliseconds.default(0),
  /** Whether requests without an API key are admitted. */
  'allow-anonymous': z.boolean().default(false),
});

const customerSchema = z.object({
  name: z.string().min(1),
  'api-keys': z.array(z.string()).default([]),
  priority: z.int().min(0).optional(),
  unit: z.enum(['requests', 'tokens']).default('requests'),
  'plain-tokens': positiveCount.default(0),
  /** 0 means no limit. */
  'rate-per-s': amount.default(0),
  burst: amount.default(0),
});

const engineSchema = z.object({
  slots: z.int().transform((slots) => Math.min(slots, MAX_SLOTS)),
  'kv-capacity-tokens': count,
  stride: count.default(1),
  'kv-hold-s': seconds.default(1),
  'switch-s': seconds.optional(),
});

const configSchema = z.object({
  version: z.number(),
  routes: z.array(routeSchema),
  services: z.array(
    z.object({
      name: z.string(),
      'max-connections': count.default(100),
      engine: engineSchema.optional(),
    }),
  ),
  /** Undefined if requests need no API key. */
  tenants: z
    .array(customerSchema)
    .refine(
      (all) => new Set(all.map(({ name }) => name)).size === all.length,
      'found a duplicate name',
    )
    .optional(),
  limits: z
    .object({
      'max-body-bytes': atMost(MAX_BODY_BYTES).default(4_194_304),
      'header-timeout-ms': milliseconds.default(10_000),
      'idle-timeout-ms': milliseconds.default(15_000),
    })
    .prefault({}),
});

/** Maximum length of the name of a service or failure domain, in characters: messages between VMs carry no longer ones. */
const MAX_NAME_CHARS = 200;
/** Maximum length of a software version, in characters. */
const MAX_VERSION_CHARS = 100;

const MAX_PORT = 65_535;

/** Whether a text has the form `HOST:PORT` and a host that fits. */
function isHostPort(text: string, isHost: (host: string) => boolean): boolean {
  const [host = '', port = '', ...rest] = text.split(':');
  const number = Number(port);
  return (
    rest.length === 0 && isHost(host) && /^\d+$/.test(port) && number > 0 && number <= MAX_PORT
  );
}

/** A runner that is slow for longer is not starting, in milliseconds. */
const MAX_COLD_MS = 24 * 3600 * 1000;
/** More orders than one each millisecond for a week. */
const MAX_ORDERS = 1_000_000_000;

/**
 * The entry of a runner, with all fields that runners write. An entry that lacks a field, has
 * one of another type or a number that cannot be true was not written by a runner, and requests
 * sent to its address would be lost.
 */
const runnerSchema = z.object({
  service: z.string().min(1).max(MAX_NAME_CHARS),
  address: z.string().refine((text) => isHostPort(text, isIPv4), 'expected IPV4:PORT'),
  zone: z.string().max(MAX_NAME_CHARS),
  /** Software version of the runner. */
  version: z.string(),
  slots: z.int().min(1).max(MAX_SLOTS),
  state: z.enum(['ready', 'draining']),
  /** Below zero once the runner is no longer starting; it has run since a time that its clock can show. */
  'cold-remaining-ms': z.number().min(-MAX_BORN).max(MAX_COLD_MS),
  /** Number of orders that the runner accepted since it started. */
  sequence: z.int().min(0).max(MAX_ORDERS),
  stage: z.enum(['prefill', 'decode']).optional(),
  /** Start time of the runner, in Unix milliseconds; 0 if it reports none. */
  born: z.int().min(0).max(MAX_BORN).default(0),
});

/** A fleet of more VMs is taken for an error. */
const MAX_VMS = 100_000;

/** The entry of a VM. Sending a packet to an address without a usable port throws. */
const vmSchema = z.object({
  address: z
    .string()
    .refine((text) => isHostPort(text, (host) => host !== ''), 'expected HOST:PORT'),
});

/** Longest fingerprint and runner id, and most crashes, of a quarantined request, as in messages between VMs. */
const MAX_FINGERPRINT_CHARS = 64;
const MAX_RUNNER_CHARS = 300;
const MAX_CRASHES = 8;
/** The largest time that a date can have, in Unix milliseconds. */
const MAX_TIME = 8.64e15;
const unixMs = z.number().min(0).max(MAX_TIME);

/** A quarantined request. Times are wall-clock times in Unix milliseconds, because all VMs may have restarted before the entry is read. */
const suspectSchema = z.object({
  ends: z
    .array(
      z.object({
        runner: z.string().max(MAX_RUNNER_CHARS),
        at: unixMs,
        late: z.boolean().optional(),
      }),
    )
    .max(MAX_CRASHES),
  completedAt: unixMs.optional(),
});

/** The number of VMs. */
const fleetSizeSchema = z.object({ vms: z.int().min(1).max(MAX_VMS) });

/** Software versions by service. */
const versionsSchema = z.record(z.string(), z.array(z.string()));

/**
 * Longest entry other than the configuration, in characters; runners write some 300. Parsing takes
 * time by the length, and thirty times its memory for a value that is nested deeply.
 */
const MAX_ENTRY_CHARS = 65_536;

/** Longest path of a field in an error message, in characters: other writers choose the names of their fields. */
const MAX_PATH_CHARS = 200;

/** Parses a JSON text with a schema; throws `factUnreadable`. */
function parse<T>(
  schema: z.ZodType<T>,
  text: string,
  what: string,
  mostChars = MAX_ENTRY_CHARS,
): T {
  if (text.length > mostChars) {
    const detail = `found ${text.length} characters, expected ${mostChars} at most`;
    throw new Failure('factUnreadable', `${what}: ${detail}`);
  }
  let value: unknown;
  try {
    value = JSON.parse(text);
  } catch {
    throw new Failure('factUnreadable', `${what}: found invalid JSON, expected an object`);
  }
  const result = schema.safeParse(value);
  if (result.success) return result.data;
  const [issue] = result.error.issues;
  const where = issue?.path.join('.').slice(0, MAX_PATH_CHARS) ?? '';
  throw new Failure('factUnreadable', `${what}: at ${where}: ${issue?.message ?? 'unfit'}`);
}

function targetsOf(route: z.infer<typeof routeSchema>): RoutingConfig['routes'][number]['targets'] {
  const split = route['traffic-split'];
  if (split && split.length > 0) return split;
  return route.service === undefined ? [] : [{ service: route.service, weight: 1 }];
}

function routeOf(route: z.infer<typeof routeSchema>): RoutingConfig['routes'][number] {
  const aimMs = route['target-latency-ms'];
  const gapMs = route['gap-target-ms'];
  return {
    name: route.name,
    host: route.host.toLowerCase(),
    prefix: route['path-prefix'],
    // Unknown kinds are treated as non-idempotent, which is the safe choice.
    kind: callKinds[route.kind] ?? 'once',
    targets: targetsOf(route),
    timeoutMs: route['timeout-ms'],
    aimMs,
    gapMs,
    patienceMs: Math.min(
      MAX_TIMER_MS,
      Math.max(MIN_PATIENCE_MS, PATIENCE_LATENCY_TARGETS * aimMs, PATIENCE_GAP_TARGETS * gapMs),
    ),
    attempts: Math.max(1, route['max-attempts']),
    priority: route.priority,
    resumable: route.resumable,
    anonymous: route['allow-anonymous'],
  };
}

function customerOf(entry: z.infer<typeof customerSchema>): Customer {
  const { name, priority: rank, unit, burst, 'rate-per-s': ratePerS } = entry;
  const quota = { unit, ratePerS, burst, plainTokens: entry['plain-tokens'] };
  return {
    name,
    // An empty key is dropped: it would match requests that carry no key.
    keys: entry['api-keys'].filter((one) => one !== '').map(digestOfKey),
    ...(rank === undefined ? {} : { rank }),
    ...(ratePerS > 0 ? { quota } : {}),
  };
}

/** Decodes the configuration; throws `factUnreadable`. */
export function decodeConfig(text: string): RoutingConfig {
  const file = parse(configSchema, text, 'the configuration', Infinity);
  return {
    version: file.version,
    routes: file.routes.map(routeOf),
    services: file.services.map(({ name, engine, 'max-connections': connections }) => ({
      name,
      connections,
      engine: engine && {
        slots: engine.slots,
        memoryTokens: engine['kv-capacity-tokens'],
        eventTokens: engine.stride,
        keepMs: engine['kv-hold-s'] * 1000,
        switchMs: engine['switch-s'] === undefined ? undefined : engine['switch-s'] * 1000,
      },
    })),
    ...(file.tenants ? { customers: file.tenants.map(customerOf) } : {}),
    limits: {
      bodyBytes: file.limits['max-body-bytes'],
      headerTimeoutMs: file.limits['header-timeout-ms'],
      idleTimeoutMs: file.limits['idle-timeout-ms'],
    },
  };
}

/** A long version is replaced by its digest, since it is part of messages about each stream. */
function versionOf(version: string): string {
  return version.length > MAX_VERSION_CHARS ? contentIdOf('version', version) : version;
}

/**
 * Decodes the entry of a runner; throws `factUnreadable`.
 * @param id the part of its key after `servers/`
 */
export function decodeRunner(id: string, text: string): Runner {
  const entry = parse(runnerSchema, text, `runner ${id}`);
  const role: RunnerRole = entry.stage ?? 'plain';
  return {
    id: instanceId(id, entry.born),
    listing: id,
    bornAt: entry.born,
    service: entry.service,
    address: entry.address,
    domain: entry.zone,
    role,
    version: versionOf(entry.version),
    slots: entry.slots,
    leaving: entry.state === 'draining',
  };
}

/** Decodes the entry that a router writes for its VM; throws `factUnreadable`. */
export function decodeVm(
  vm: string,
  text: string,
): { readonly vm: string; readonly address: string } {
  return { vm, address: parse(vmSchema, text, `VM ${vm}`).address };
}

/** Encodes the entry of a VM. */
export function encodeVm(address: string): string {
  return JSON.stringify({ address });
}

/** Decodes the record of the software versions that served each service; throws `factUnreadable`. */
export function decodeVersions(text: string): VersionsByService {
  return parse(versionsSchema, text, 'the software versions');
}

/** Encodes the record of the software versions that served each service. */
export function encodeVersions(versions: VersionsByService): string {
  return JSON.stringify(versions);
}

/** Decodes the number of VMs; throws `factUnreadable`. */
export function decodeFleetSize(text: string): number {
  return parse(fleetSizeSchema, text, 'the number of VMs').vms;
}

/** Encodes the number of VMs. */
export function encodeFleetSize(vms: number): string {
  return JSON.stringify({ vms });
}

/**
 * Decodes the entry that a router writes for a quarantined request; throws `factUnreadable`.
 * @param wallNow wall-clock time, in Unix milliseconds; clocks of VMs differ, so a crash in the future is taken to be at this time
 */
export function decodeSuspect(wallNow: number, fingerprint: string, text: string): Suspect {
  const what = `request ${fingerprint}`;
  if (fingerprint.length > MAX_FINGERPRINT_CHARS) {
    throw new Failure('factUnreadable', `${what}: found an id of ${fingerprint.length} characters`);
  }
  const { ends, completedAt } = parse(suspectSchema, text, what);
  const agoMsOf = (at: number): number => Math.max(0, wallNow - at);
  return {
    fingerprint,
    ends: ends.map(({ runner, at, late }) => ({
      runner,
      agoMs: agoMsOf(at),
      ...(late ? { late } : {}),
    })),
    ...(completedAt === undefined ? {} : { completedAgoMs: agoMsOf(completedAt) }),
  };
}

/**
 * Encodes the entry of a quarantined request.
 * @param wallNow wall-clock time, in Unix milliseconds
 */
export function encodeSuspect(wallNow: number, { ends, completedAgoMs }: Suspect): string {
  return JSON.stringify({
    ends: ends.map(({ runner, agoMs, late }) => ({
      runner,
      at: Math.round(wallNow - agoMs),
      ...(late ? { late } : {}),
    })),
    ...(completedAgoMs === undefined ? {} : { completedAt: Math.round(wallNow - completedAgoMs) }),
  });
}
