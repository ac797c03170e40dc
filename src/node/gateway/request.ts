/** Data of a model request and its run, and what is worked out from them alone. */

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

/** A checked model request. */
export interface ModelRequest {
  readonly id: string;
  readonly team: string;
  readonly serviceName: string;
  readonly service: ModelService;
  readonly prompt: string;
  readonly promptTokens: number;
  readonly maxTokens: number;
  /** The same for all attempts of one request. */
  readonly fingerprint: string;
  readonly blocks: readonly number[];
  /** Keeps the prefix caches of teams apart. */
  readonly salt: string;
  /** Whether another attempt with the same key may come for the answer. */
  readonly isKeyed: boolean;
}

/** What runs work with. */
export interface RunContext {
  readonly fleet: Fleet;
  readonly runners: RunnerClient;
  readonly canceller: Canceller;
  readonly log: Logger;
  readonly metrics: Metrics;
  /** Told once when the run has ended. */
  readonly onEnd: (run: ModelRun, outcome: RunOutcome) => void;
  /** Told where the answer streams, so that another gateway could go on with it. */
  readonly onLocated: (run: ModelRun, place: StreamLocation) => void;
}

/** How a run ended. */
export interface RunOutcome {
  readonly code: CodeName | undefined;
  readonly cancelled: boolean;
  readonly firstTokenMs: number | undefined;
  /** Mean time between tokens, in milliseconds. */
  readonly tokenMs: number | undefined;
  readonly tokens: number;
}

/** A run as the status shows it. */
export interface RunDescription {
  readonly id: string;
  readonly stage: string;
  readonly ageMs: number;
  readonly owner: string | undefined;
  readonly prefillRunner: string | undefined;
  readonly decodeRunner: string | undefined;
  readonly tokens: number;
}

/** A run's place on a runner. */
export interface Execution {
  readonly runner: string;
  readonly url: string;
  readonly runId: string;
  /** Ends the step at this place when the runner goes silent. */
  readonly idleTimeout: IdleTimeout;
}

/** How far a run has come, as its gateway sees it. */
export type RunStage = 'queued' | 'prefilling' | 'prefilled' | 'decoding' | 'ended';

/** How messages to the owner name a request. */
export function requestRefOf({
  id,
  service,
}: ModelRequest): Pick<Message<'started'>, 'pool' | 'id'> {
  return { pool: service.pool, id };
}

/** What the owner needs to know of a request to place it. */
export function arrivalOf(request: ModelRequest, dueInMs: number): Omit<Message<'arrive'>, 'kind'> {
  const { team, service, promptTokens, maxTokens, blocks, fingerprint } = request;
  const { tier } = service;
  const size = { promptTokens, maxTokens, blocks: [...blocks] };
  return { ...requestRefOf(request), team, tier, ...size, fingerprint, dueInMs };
}

/** The engine's job for a run. Tokens that are out become part of the prompt, so that the engine goes on behind them. */
export function jobOf(
  { prompt, maxTokens, service, salt, isKeyed: keyed }: ModelRequest,
  tokens: readonly string[],
  runId: string,
): EngineJob {
  return {
    runId,
    prompt: prompt + tokens.join(''),
    maxTokens: maxTokens - tokens.length,
    priority: service.tier === 'interactive' ? 0 : 1,
    cacheSalt: salt,
    resumable: keyed,
  };
}

/** Times of an answer, in milliseconds; `firstAt` is undefined if no token came. */
export function timingOf(
  startedAt: number,
  firstAt: number | undefined,
  tokens: number,
  now: number,
): Pick<RunOutcome, 'firstTokenMs' | 'tokenMs' | 'tokens'> {
  if (firstAt === undefined) return { firstTokenMs: undefined, tokenMs: undefined, tokens };
  const tokenMs = tokens < 2 ? undefined : (now - firstAt) / (tokens - 1);
  return { firstTokenMs: firstAt - startedAt, tokenMs, tokens };
}
