/**
 * Schema of the operators' settings. `docs/SETTINGS.md` is generated from it.
 *
 * There is one document for the consortium and one for each team. A team's token can
 * only read and write the team's own document.
 */

import { z } from 'zod';

const name = z
  .string()
  .regex(/^[a-z0-9][a-z0-9-]{0,62}$/, 'expected lower-case letters, digits and hyphens');
const hash = z.string().regex(/^[0-9a-f]{64}$/, 'expected the SHA-256 of a token in hexadecimal');
const milliseconds = z.number().positive().max(86_400_000);
const weight = z.number().positive().max(1e6);

const runnerSchema = z.strictObject({
  id: name.describe('Name of the runner, unique in its pool.'),
  url: z.url().describe('Base URL of its HTTP interface.'),
  role: z.enum(['prefill', 'decode', 'plain']).describe('What it does.'),
  domain: name.describe('Failure domain it stands in.'),
  slots: z.int().positive().default(20).describe('Requests it runs at once.'),
  memoryTokens: z.int().positive().default(200_000).describe('KV cache it holds, in tokens.'),
  link: z
    .string()
    .optional()
    .describe('Link its KV cache leaves by; runners may share one. Default: a link of its own.'),
  checksFence: z
    .boolean()
    .default(false)
    .describe('Whether it refuses orders with an old fence number.'),
});

const policySchema = z.strictObject({
  goodputWeight: weight.default(1).describe('Weight of a request completed within its targets.'),
  wasteWeight: weight.default(50).describe('Weight of prefill work thrown away.'),
  tokenTargetMs: milliseconds.default(60).describe('Target between tokens, in milliseconds.'),
  queueLimit: z.int().positive().max(100_000).default(256).describe('Requests that may wait.'),
  keepMs: milliseconds
    .default(800)
    .describe('How long an engine keeps a finished prefill, in milliseconds.'),
  prefillBaseMs: milliseconds
    .default(20)
    .describe('First guess at the fixed cost of a prefill, in milliseconds.'),
  prefillTokenMs: milliseconds
    .default(0.1)
    .describe('First guess at the cost of each prompt token, in milliseconds.'),
  linkTokensPerMs: z
    .number()
    .positive()
    .default(50)
    .describe('Link rate in tokens of KV cache per millisecond.'),
  decodeBaseMs: milliseconds
    .default(12)
    .describe('First guess at the time between tokens of an empty batch, in milliseconds.'),
  decodeSlotMs: milliseconds
    .default(1)
    .describe('First guess at what each request in the batch adds, in milliseconds.'),
  outputTokens: z.int().positive().default(200).describe('First guess at the tokens of an answer.'),
});

const poolSchema = z.strictObject({
  teams: z.array(name).describe('Teams whose services may use the pool.'),
  policy: policySchema.prefault({}).describe('How the pool decides.'),
  runners: z.array(runnerSchema).max(512).describe('The runners.'),
});

const teamSchema = z.strictObject({
  tokens: z
    .array(hash)
    .min(1)
    .describe('SHA-256 hashes of the bearer tokens of callers and operators of the team.'),
  weight: weight.default(1).describe('Share of the team against the others.'),
});

/** The consortium's document, at path `consortium`. */
export const consortiumSchema = z.strictObject({
  operators: z
    .array(hash)
    .min(1)
    .describe('SHA-256 hashes of the tokens that may write this document.'),
  teams: z.record(name, teamSchema).describe('Teams by name.'),
  pools: z.record(name, poolSchema).describe('Pools of runners by name.'),
});

const objectiveSchema = z.strictObject({
  target: z.number().gt(0).lt(1).default(0.95).describe('Share of requests that shall be good.'),
  windowDays: z
    .number()
    .positive()
    .max(90)
    .default(28)
    .describe('Days over which the share counts.'),
});

const modelServiceSchema = z.strictObject({
  kind: z.literal('model'),
  pool: name.describe('Pool that serves it.'),
  tier: z
    .enum(['interactive', 'batch'])
    .default('interactive')
    .describe('`interactive` has callers waiting; `batch` is patient.'),
  firstTokenMs: milliseconds
    .default(1300)
    .describe('Deadline of the first token, in milliseconds.'),
  tokenMs: milliseconds.default(60).describe('Target between tokens, in milliseconds.'),
  maxTokens: z
    .int()
    .positive()
    .max(65_536)
    .default(512)
    .describe('Most output tokens of one answer.'),
  totalMs: milliseconds.default(300_000).describe('Time limit of a whole answer, in milliseconds.'),
  sharingGroup: name
    .optional()
    .describe('Teams naming the same group share prefix caches. Default: shared with nobody.'),
  objective: objectiveSchema.prefault({}).describe('Service level that the burn report goes by.'),
});

const plainServiceSchema = z.strictObject({
  kind: z.literal('plain'),
  pool: name.describe('Pool that serves it.'),
  nonIdempotent: z
    .array(z.string())
    .default([])
    .describe('Calls that may run at most once, as `METHOD /path-prefix`.'),
  timeoutMs: milliseconds.default(30_000).describe('Time limit of a call, in milliseconds.'),
  objective: objectiveSchema.prefault({}).describe('Service level that the burn report goes by.'),
});

/** A team's document, at path `teams/NAME`. */
export const teamDocumentSchema = z.strictObject({
  services: z
    .record(name, z.discriminatedUnion('kind', [modelServiceSchema, plainServiceSchema]))
    .describe('Services by name.'),
});

/** The consortium's settings with defaults filled in. */
export type Consortium = z.infer<typeof consortiumSchema>;
/** Settings of a pool of runners. */
export type Pool = z.infer<typeof poolSchema>;
/** Settings of a runner. */
export type RunnerSettings = z.infer<typeof runnerSchema>;
/** A team's settings with defaults filled in. */
export type TeamDocument = z.infer<typeof teamDocumentSchema>;
/** Settings of a service that serves a model. */
export type ModelService = z.infer<typeof modelServiceSchema>;
/** Settings of a service for plain calls. */
export type PlainService = z.infer<typeof plainServiceSchema>;
/** Settings of a service of either kind. */
export type Service = ModelService | PlainService;
