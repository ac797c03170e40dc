/** The state exchange between two VMs: configuration, runners and members in one call. */

import { z } from 'zod';

import { Failure, toFailure } from '../../core/failure';
import type { Member } from '../../core/membership/types';
import type { Suspect } from '../../core/quarantine/types';
import { DIGEST_PARTS } from '../../core/routing/digest';
import type { RunnerRecord } from '../../core/routing/directory';
import type { Position } from '../../core/routing/position';
import { MAX_BORN, MAX_SLOTS } from '../../core/routing/types';
import { bootNow } from '../../utils/clock';
import { memberSchema } from '../scheduler/members';
import { listOf } from '../wire';
import { packConfig, unpackConfig } from './configwire';
import type { RouterFleet } from './fleet';
import type { RoutingState } from './routingstate';
import type { QuarantineController } from './quarantine';
import type { RateLimitController } from './ratelimits';
import { rateSchema } from './ratewire';
import { suspectSchema } from './suspects';

/** Dependencies of the state exchange. */
export interface StateExchangeContext {
  readonly routingState: RoutingState;
  readonly quarantine: QuarantineController;
  readonly rateLimits: RateLimitController;
  readonly fleet: RouterFleet;
}

/** Time limit of one exchange, in milliseconds. */
const FETCH_TIMEOUT_MS = 1000;
/**
 * Approximate limit of runner records in one answer: at some 250 bytes each they fit into the
 * largest message. The rest follows with the next exchange.
 */
const MAX_RUNNER_RECORDS = 2000;
/**
 * Limit of runner records in one answer to a VM that needs the latest only, some 50 KB: it may ask
 * once a second while runners change all the time.
 */
const MAX_RECENT_RECORDS = 200;
/** Limit of rate limits in one answer, for the same reason. */
const MAX_RATE_LIMITS = 2000;

const runnerSchema = z.object({
  id: z.string(),
  listing: z.string(),
  bornAt: z.int().min(0).max(MAX_BORN),
  service: z.string(),
  address: z.string(),
  domain: z.string(),
  role: z.enum(['prefill', 'decode', 'plain']),
  /** Omitted by VMs whose program does not know it. */
  version: z.string().default(''),
  slots: z.int().min(1).max(MAX_SLOTS),
  leaving: z.boolean(),
});
const positionSchema = z.object({ era: z.int().min(0), revision: z.int().min(0) });
/** Start positions of the store's latest eras, the latest first. */
const erasSchema = z.array(positionSchema).max(8);
const factSchema = z.object({
  id: z.string(),
  position: positionSchema,
  /** Omitted if the runner is gone. */
  runner: runnerSchema.optional(),
  graceMs: z.number().optional(),
  /** Omitted if the runner is not held. */
  held: z.boolean().optional(),
});
const fetchSchema = z.object({
  configVersion: z.number(),
  /** Parts of the digest of the runners that the calling VM knows. */
  parts: z.array(z.number()).length(DIGEST_PARTS),
  /** Whether the answer must include the members. */
  members: z.boolean(),
  /** Whether the latest of the differing records suffice. */
  recentOnly: z.boolean().default(false),
  eras: erasSchema.default([]),
  /** Digest of the requests that the calling VM has in quarantine. */
  refused: z.string().default(''),
  /** Digest of the rate limits that the calling VM knows. */
  limited: z.string().default(''),
});
const answerSchema = z.object({
  /** Omitted if it is not newer than the caller's. */
  config: z.custom<Uint8Array>((value) => value instanceof Uint8Array).optional(),
  facts: listOf(factSchema),
  eras: erasSchema.default([]),
  members: listOf(memberSchema).optional(),
  /** Number of VMs that may run, with the members. */
  vms: z.int().min(0).default(0),
  suspects: listOf(suspectSchema).default([]),
  rates: listOf(rateSchema).default([]),
  proof: z.object({ version: z.number(), ageMs: z.number().min(0) }).optional(),
  /** Software versions that served lately. */
  versions: listOf(
    z.object({ service: z.string(), version: z.string(), agoMs: z.number().min(0) }),
  ).default([]),
  /** Whether there were no others. */
  hasAllVersions: z.boolean().default(false),
});

/** What to fetch besides the configuration and runner records. */
export interface FetchOptions {
  /** Whether to fetch the members, too. Default: false */
  readonly members?: boolean;
  /** Whether the latest of the differing runner records suffice. Default: false */
  readonly recentOnly?: boolean;
}

type Answer = Readonly<z.infer<typeof answerSchema>>;
type WireRecord = Answer['facts'][number];

function toWire({ id, position, runner, graceMs, held }: RunnerRecord): WireRecord {
  return {
    id,
    position,
    ...(runner ? { runner } : {}),
    ...(graceMs === undefined ? {} : { graceMs }),
    ...(held ? { held } : {}),
  };
}

function toWireMember(member: Member): z.infer<typeof memberSchema> {
  return { ...member, gateways: [...member.gateways] };
}

function toWireSuspect(suspect: Suspect): z.infer<typeof suspectSchema> {
  return { ...suspect, ends: [...suspect.ends] };
}

function fromWire({ id, position, runner, graceMs, held }: WireRecord): RunnerRecord {
  return { id, position, runner, graceMs, held };
}

/** Decodes start positions of eras; throws a `peerRejected` failure. */
export function decodeEras(text: string): readonly Position[] {
  const parsed = erasSchema.safeParse(parseJson(text));
  if (!parsed.success) throw new Failure('peerRejected', 'found eras that do not fit the schema');
  return parsed.data;
}

/** Encodes a runner record as the text of a gossip update. */
export function encodeRecord(fact: RunnerRecord): string {
  return JSON.stringify(toWire(fact));
}

/** Decodes a runner record; throws a `peerRejected` failure. */
export function decodeRecord(text: string): RunnerRecord {
  const parsed = factSchema.safeParse(parseJson(text));
  if (!parsed.success) throw new Failure('peerRejected', 'found a record that does not fit');
  return fromWire(parsed.data);
}

function parseJson(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    throw new Failure('peerRejected', 'found a gossip update that is no JSON');
  }
}

/** Both sides of the state exchange. */
export class StateExchange {
  readonly #context: StateExchangeContext;

  /** Cache of the last compressed configuration. */
  #packed: { readonly version: number; readonly bytes: Uint8Array } | undefined;

  constructor(context: StateExchangeContext) {
    this.#context = context;
  }

  /** Answers another VM with the state in which the two differ. */
  answer(now: number, params: unknown): Answer {
    const { routingState, quarantine, rateLimits, fleet } = this.#context;
    const { configVersion, parts, members, recentOnly, eras, refused, limited } =
      fetchSchema.parse(params);
    routingState.learnEras(now, eras, 'asked');
    const includesSuspects = members || refused !== quarantine.digest(now);
    const includesRates = members || limited !== rateLimits.digest(now);
    const records = recentOnly
      ? routingState.latestDiffering(now, parts, MAX_RECENT_RECORDS)
      : routingState.recordsDiffering(now, parts, MAX_RUNNER_RECORDS);
    return {
      ...(configVersion < routingState.configVersion ? { config: this.#packedConfig() } : {}),
      facts: records.map(toWire),
      eras: [...routingState.eras],
      ...(members ? { members: fleet.all.map(toWireMember) } : {}),
      vms: members ? fleet.census.size(now) : 0,
      suspects: includesSuspects ? quarantine.suspects(now).map(toWireSuspect) : [],
      rates: includesRates ? rateLimits.shared(now).slice(0, MAX_RATE_LIMITS) : [],
      ...routingState.proof(bootNow()),
      versions: [...routingState.versions.sightings(now)],
      hasAllVersions: routingState.versions.isComplete(now),
    };
  }

  /** Fetches the state of another VM and applies what is newer. Rejects if that is not all of it. */
  async fetch(
    address: string,
    { members = false, recentOnly = false }: FetchOptions = {},
  ): Promise<void> {
    const { routingState, quarantine, rateLimits, fleet } = this.#context;
    const { configVersion, digestParts } = routingState;
    const sentAt = performance.now();
    const refused = quarantine.digest(sentAt);
    const limited = rateLimits.digest(sentAt);
    const { eras } = routingState;
    const askedAt = bootNow();
    const answer = answerSchema.parse(
      await fleet.call(
        address,
        'facts',
        { configVersion, parts: digestParts, members, recentOnly, eras, refused, limited },
        FETCH_TIMEOUT_MS,
      ),
    );
    const now = performance.now();
    // Before the configuration, since this VM accepts callers once it has one.
    quarantine.learn(now, answer.suspects, address);
    rateLimits.learn(now, answer.rates, address);
    const failure = this.#learnConfig(now, answer, address);
    if (answer.proof) {
      routingState.freshness.acceptProof(askedAt, answer.proof, routingState.configVersion);
    }
    routingState.learnEras(now, answer.eras, address);
    routingState.learnRunners(now, answer.facts.map(fromWire), address);
    routingState.versions.learn(now, answer.versions, answer.hasAllVersions);
    if (answer.members) {
      fleet.sync(answer.members);
      fleet.census.learn(now, answer.vms);
    }
    if (failure) throw failure;
  }

  /** Applies the configuration of an answer; returns why it cannot be, which says nothing about the rest. */
  #learnConfig(now: number, { config }: Answer, address: string): Failure | undefined {
    try {
      if (config) this.#context.routingState.learnConfig(now, unpackConfig(config), address);
      return undefined;
    } catch (error) {
      return toFailure(error);
    }
  }

  #packedConfig(): Uint8Array | undefined {
    const { table } = this.#context.routingState;
    if (!table) return undefined;
    const { version } = table.config;
    if (this.#packed?.version !== version) {
      this.#packed = { version, bytes: packConfig(table.config) };
    }
    return this.#packed.bytes;
  }
}
