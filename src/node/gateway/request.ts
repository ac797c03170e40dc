/** Data types of a model request and its run, and pure functions on them. */

import type { Logger } from 'pino';

import type { CodeName } from '../../core/codes';
import type { StreamLocation } from '../../core/registry/keys';
import type { ModelService } from '../../core/settings/schema';
import type { Metrics } from '../metrics';
import type { Message } from '../peer/messages';
import type { EngineJob, RunnerClient } from '../runner/client';
import type { Canceller } from './canceller';
import type { Fleet } from './fleet';
import type { ModelRun } from './run';
import type { IdleTimeout } from './timeout';

/** A validated model request. */
export interface ModelRequest {
  readonly id: string;
  readonly team: string;
  readonly serviceName: string;
  readonly service: ModelService;
  readonly prompt: string;
  readonly promptTokens: number;
  readonly maxTokens: number;
  /** Content hash; the same for all attempts of one request. */
  readonly fingerprint: string;
  /** Hashes of the prompt's blocks, for matching prefix caches. */
  readonly blocks: readonly number[];
  /** Cache salt that separates the prefix caches of teams. */
  readonly salt: string;
  /** Whether the request has an idempotency key, so that another attempt may fetch its answer. */
  readonly isKeyed: boolean;
}

/** Dependencies of `ModelRun`. */
export interface RunContext {
  readonly fleet: Fleet;
  readonly runners: RunnerClient;
  readonly canceller: Canceller;
  readonly log: Logger;
  readonly metrics: Metrics;
  /** Called once when the run has ended. */
  readonly onEnd: (run: ModelRun, outcome: RunOutcome) => void;
  /** Called with the runner that streams the answer, so that another gateway can resume it. */
  readonly onLocated: (run: ModelRun, location: StreamLocation) => void;
}

/** How a run ended. */
export interface RunOutcome {
  /** Error code; undefined if the run completed or was cancelled. */
  readonly code: CodeName | undefined;
  readonly cancelled: boolean;
  /** Time to first token, in milliseconds; undefined if no token arrived. */
  readonly firstTokenMs: number | undefined;
  /** Mean time between tokens, in milliseconds; undefined for fewer than two tokens. */
  readonly tokenMs: number | undefined;
  readonly tokens: number;
}

/** Description of a run in the status. */
export interface RunDescription {
  readonly id: string;
  readonly stage: string;
  readonly ageMs: number;
  readonly owner: string | undefined;
  readonly prefillRunner: string | undefined;
  readonly decodeRunner: string | undefined;
  readonly tokens: number;
}

/** The execution of one step of a run on a runner. */
export interface Execution {
  readonly runner: string;
  readonly url: string;
  readonly runId: string;
  /** Aborts the step when the runner sends nothing for too long. */
  readonly idleTimeout: IdleTimeout;
}

/** Stage of a run, as tracked by its gateway. */
export type RunStage = 'queued' | 'prefilling' | 'prefilled' | 'decoding' | 'ended';

/** Fields that identify a request in messages to the owner. */
export function requestRefOf({
  id,
  service,
}: ModelRequest): Pick<Message<'started'>, 'pool' | 'id'> {
  return { pool: service.pool, id };
}

/** Fields of a request that the owner needs for placement; `dueInMs` is the time left until the first token is due. */
export function arrivalOf(request: ModelRequest, dueInMs: number): Omit<Message<'arrive'>, 'kind'> {
  const { team, service, promptTokens, maxTokens, blocks, fingerprint } = request;
  const { tier } = service;
  const size = { promptTokens, maxTokens, blocks: [...blocks] };
  return { ...requestRefOf(request), team, tier, ...size, fingerprint, dueInMs };
}

/** The engine's job for a run. Tokens received so far become part of the prompt, so that the engine continues after them. */
export function jobOf(
  { prompt, maxTokens, service, salt, isKeyed }: ModelRequest,
  tokens: readonly string[],
  runId: string,
): EngineJob {
  return {
    runId,
    prompt: prompt + tokens.join(''),
    maxTokens: maxTokens - tokens.length,
    priority: service.tier === 'interactive' ? 0 : 1,
    cacheSalt: salt,
    resumable: isKeyed,
  };
}

/** Latencies of an answer, in milliseconds; `firstTokenAt` is undefined if no token arrived. */
export function timingOf(
  startedAt: number,
  firstTokenAt: number | undefined,
  tokens: number,
  now: number,
): Pick<RunOutcome, 'firstTokenMs' | 'tokenMs' | 'tokens'> {
  if (firstTokenAt === undefined) return { firstTokenMs: undefined, tokenMs: undefined, tokens };
  const tokenMs = tokens < 2 ? undefined : (now - firstTokenAt) / (tokens - 1);
  return { firstTokenMs: firstTokenAt - startedAt, tokenMs, tokens };
}
