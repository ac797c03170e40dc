/** The exchange of what two VMs know: configuration, runners and members in one call. */

import { z } from 'zod';

import { Failure } from '../../core/failure';
import type { Member } from '../../core/membership/types';
import type { Suspect } from '../../core/quarantine/types';
import { DIGEST_PARTS } from '../../core/routing/digest';
import type { RunnerRecord } from '../../core/routing/directory';
import type { Position } from '../../core/routing/position';
import { bootNow } from '../../utils/clock';
import { memberSchema } from '../scheduler/members';
import { packConfig, unpackConfig } from './configwire';
import type { RouterFleet } from './fleet';
import type { RoutingState } from './routingstate';
import type { QuarantineController } from './quarantine';
import type { RateLimitController } from './ratelimits';
import { rateSchema } from './ratewire';
import { suspectSchema } from './suspects';

/** What an exchange works with. */
export interface StateExchangeContext {
  readonly knowledge: RoutingState;
  readonly quarantine: QuarantineController;
  readonly rateLimits: RateLimitController;
  readonly fleet: RouterFleet;
}

/** Time limit of one exchange, in milliseconds. */
const LIMIT_MS = 1000;
/** Facts in one answer, about: some 250 bytes each within the largest message; the rest comes with the next exchange. */
const FACTS_MOST = 2000;
/** Rate limits in one answer, for the same reason. */
const RATES_MOST = 2000;

const runnerSchema = z.object({
  id: z.string(),
  listing: z.string(),
  bornAt: z.number(),
  service: z.string(),
  address: z.string(),
  domain: z.string(),
  role: z.enum(['prefill', 'decode', 'plain']),
  slots: z.number(),
  leaving: z.boolean(),
});
const positionSchema = z.object({ era: z.int().min(0), revision: z.int().min(0) });
/** Starts of the store's latest eras, the latest first. */
const erasSchema = z.array(positionSchema).max(8);
const factSchema = z.object({
  id: z.string(),
  position: positionSchema,
  /** Left out if the runner is gone. */
  runner: runnerSchema.optional(),
  graceMs: z.number().optional(),
});
const requestSchema = z.object({
  configVersion: z.number(),
  /** Digest of the runners that the asking VM knows, by parts. */
  parts: z.array(z.number()).length(DIGEST_PARTS),
  /** Whether the members are asked for. */
  members: z.boolean(),
  eras: erasSchema.default([]),
  /** Digest of the requests that the asking VM refuses. */
  refused: z.string().default(''),
  /** Digest of the runners that the asking VM knows to be rate limited. */
  limited: z.string().default(''),
});
const answerSchema = z.object({
  /** Left out if it is not newer. */
  config: z.custom<Uint8Array>((value) => value instanceof Uint8Array).optional(),
  facts: z.array(factSchema),
  eras: erasSchema.default([]),
  members: z.array(memberSchema).optional(),
  suspects: z.array(suspectSchema).default([]),
  rates: z.array(rateSchema).default([]),
  proof: z.object({ version: z.number(), ageMs: z.number().min(0) }).optional(),
});

type Answer = Readonly<z.infer<typeof answerSchema>>;
type WireFact = Answer['facts'][number];

function toWire({ id, position, runner, graceMs }: RunnerRecord): WireFact {
  return {
    id,
    position,
    ...(runner ? { runner } : {}),
    ...(graceMs === undefined ? {} : { graceMs }),
  };
}

function toWireMember(member: Member): z.infer<typeof memberSchema> {
  return { ...member, gateways: [...member.gateways] };
}

function toWireSuspect(suspect: Suspect): z.infer<typeof suspectSchema> {
  return { ...suspect, ends: [...suspect.ends] };
}

function fromWire({ id, position, runner, graceMs }: WireFact): RunnerRecord {
  return { id, position, runner, graceMs };
}

/** Rejects with `peerRejected` by throwing. */
export function decodeEras(text: string): readonly Position[] {
  const parsed = erasSchema.safeParse(parseJson(text));
  if (!parsed.success) throw new Failure('peerRejected', 'found eras that do not fit');
  return parsed.data;
}

/** One fact as the text of a message. */
export function encodeRecord(fact: RunnerRecord): string {
  return JSON.stringify(toWire(fact));
}

/** Rejects with `peerRejected` by throwing. */
export function decodeRecord(text: string): RunnerRecord {
  const parsed = factSchema.safeParse(parseJson(text));
  if (!parsed.success) throw new Failure('peerRejected', 'found a fact that does not fit');
  return fromWire(parsed.data);
}

function parseJson(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    throw new Failure('peerRejected', 'found news that is no JSON');
  }
}

/** Both sides of the exchange. */
export class StateExchange {
  readonly #context: StateExchangeContext;

  /** The configuration that was packed last. */
  #packed: { readonly version: number; readonly bytes: Uint8Array } | undefined;

  constructor(context: StateExchangeContext) {
    this.#context = context;
  }

  /** What this VM knows beside what the asking one does. */
  answer(now: number, params: unknown): Answer {
    const { knowledge, quarantine, rateLimits, fleet } = this.#context;
    const { configVersion, parts, members, eras, refused, limited } = requestSchema.parse(params);
    knowledge.learnEras(now, eras, 'asked');
    const tellsSuspects = members || refused !== quarantine.digest(now);
    const tellsRates = members || limited !== rateLimits.digest(now);
    return {
      ...(configVersion < knowledge.configVersion ? { config: this.#packedConfig() } : {}),
      facts: knowledge.recordsDiffering(now, parts, FACTS_MOST).map(toWire),
      eras: [...knowledge.eras],
      ...(members ? { members: fleet.all.map(toWireMember) } : {}),
      suspects: tellsSuspects ? quarantine.suspects(now).map(toWireSuspect) : [],
      rates: tellsRates ? rateLimits.shared(now).slice(0, RATES_MOST) : [],
      ...knowledge.proof(bootNow()),
    };
  }

  /** Asks another VM and takes over what is newer there. */
  async fetch(address: string, members: boolean): Promise<void> {
    const { knowledge, quarantine, rateLimits, fleet } = this.#context;
    const { configVersion, digestParts } = knowledge;
    const sentAt = performance.now();
    const refused = quarantine.digest(sentAt);
    const limited = rateLimits.digest(sentAt);
    const { eras } = knowledge;
    const askedAt = bootNow();
    const request = { configVersion, parts: digestParts, members, eras, refused, limited };
    const answer = answerSchema.parse(await fleet.call(address, 'facts', request, LIMIT_MS));
    const now = performance.now();
    // Before the configuration, with which this VM begins to take callers.
    quarantine.learn(now, answer.suspects, address);
    rateLimits.learn(now, answer.rates, address);
    if (answer.config) knowledge.learnConfig(now, unpackConfig(answer.config), address);
    if (answer.proof) {
      knowledge.freshness.acceptProof(askedAt, answer.proof, knowledge.configVersion);
    }
    knowledge.learnEras(now, answer.eras, address);
    knowledge.learnRunners(now, answer.facts.map(fromWire), address);
    if (answer.members) fleet.sync(answer.members);
  }

  #packedConfig(): Uint8Array | undefined {
    const { table } = this.#context.knowledge;
    if (!table) return undefined;
    const { version } = table.config;
    if (this.#packed?.version !== version) {
      this.#packed = { version, bytes: packConfig(table.config) };
    }
    return this.#packed.bytes;
  }
}
