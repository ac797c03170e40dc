/** Messages between processes. Every field is validated by the receiver. */

import { z } from 'zod';

import type { CodeName } from '../../core/codes';
import { codes } from '../../core/codes';

/** Version of the protocol; incremented with each incompatible change. */
export const PROTOCOL_VERSION = 7;

const id = z.string().min(1).max(200);
const name = z.string().min(1).max(64);
const ms = z.number().finite();
const count = z.int().min(0).max(1e9);
const codeName = z.string().refine((value): value is CodeName => Object.hasOwn(codes, value));

const documentSchema = z.object({
  path: z.string().max(200),
  revision: count,
  text: z.string().max(1_000_000).nullable(),
});

const arrivalFields = {
  id,
  team: name,
  tier: z.enum(['interactive', 'batch']),
  promptTokens: count,
  maxTokens: count,
  /** Time left until the first token is due, in milliseconds; relative because the clocks of VMs differ. */
  dueInMs: ms,
  blocks: z.array(z.int().min(0)).max(64),
  fingerprint: z.string().max(64).optional(),
};

const hello = z.object({
  kind: z.literal('hello'),
  version: z.int(),
  key: z.string().max(200),
  role: z.enum(['gateway', 'scheduler', 'operator']),
  id,
  vm: name,
  /** Address that callers connect to; sent by gateways only. */
  address: z.string().max(100).optional(),
});
const welcome = z.object({ kind: z.literal('welcome'), version: z.int(), vm: name });

const arrive = z.object({ kind: z.literal('arrive'), pool: name, ...arrivalFields });
const adopt = z.object({
  kind: z.literal('adopt'),
  pool: name,
  ...arrivalFields,
  stage: z.enum(['prefilling', 'prefilled', 'decoding']),
  prefillRunner: name.optional(),
  decodeRunner: name.optional(),
});
const prefilled = z.object({
  kind: z.literal('prefilled'),
  pool: name,
  id,
  cachedTokens: count,
  keptMs: ms,
});
const started = z.object({ kind: z.literal('started'), pool: name, id });
const finished = z.object({ kind: z.literal('finished'), pool: name, id, tokens: count });
const failed = z.object({
  kind: z.literal('failed'),
  pool: name,
  id,
  runner: name,
  reason: z.enum(['full', 'evicted', 'leaving', 'unreachable', 'lost']),
  tokens: count,
});
const cancelled = z.object({ kind: z.literal('cancelled'), pool: name, id });

const prefill = z.object({ kind: z.literal('prefill'), id, runner: name });
const decode = z.object({ kind: z.literal('decode'), id, runner: name, source: name });
const refuse = z.object({
  kind: z.literal('refuse'),
  id,
  code: codeName,
  notRun: z.boolean(),
  retryAfterMs: ms,
});
const notOwner = z.object({ kind: z.literal('notOwner'), id, pool: name });

const settings = z.object({ kind: z.literal('settings'), documents: z.array(documentSchema) });
const member = z.object({
  vm: name,
  domain: name,
  address: z.string(),
  state: z.enum(['alive', 'suspect', 'left', 'dead']),
  draining: z.boolean(),
  gateways: z.array(z.string().max(100)).max(16),
});
const members = z.object({ kind: z.literal('members'), members: z.array(member) });
const draining = z.object({ kind: z.literal('draining') });

const callMessage = z.object({
  kind: z.literal('call'),
  seq: count,
  method: z.string().max(40),
  params: z.unknown(),
});
const reply = z.object({
  kind: z.literal('reply'),
  seq: count,
  result: z.unknown(),
  code: codeName.optional(),
  detail: z.string().max(10_000).optional(),
  retryAfterMs: ms.optional(),
});

/** Messages that a scheduler accepts from gateways, other schedulers and operators' tools. */
export const toSchedulerSchema = z.discriminatedUnion('kind', [
  hello,
  arrive,
  adopt,
  prefilled,
  started,
  finished,
  failed,
  cancelled,
  draining,
  callMessage,
  reply,
]);
/** Messages that a gateway accepts from schedulers. */
export const toGatewaySchema = z.discriminatedUnion('kind', [
  welcome,
  prefill,
  decode,
  refuse,
  notOwner,
  settings,
  members,
  callMessage,
  reply,
]);

/** A message to a scheduler. */
export type ToScheduler = z.infer<typeof toSchedulerSchema>;
/** A message from the listening side of a link: to a gateway or to any other process that opened the link. */
export type ToGateway = z.infer<typeof toGatewaySchema>;
/** A member as reported to gateways. */
export type MemberNotice = z.infer<typeof member>;
/** A message of one kind. */
export type Message<K extends (ToScheduler | ToGateway)['kind']> = Extract<
  ToScheduler | ToGateway,
  { kind: K }
>;
