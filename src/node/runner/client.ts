/** Client of the runners' HTTP interface: prefill, decode streams, cancellation, held runs, load reports and cache events. */

import type { IncomingMessage } from 'node:http';
import { Agent } from 'node:http';

import { z } from 'zod';

import type { FailureReason } from '../../core/cell/types';
import { END_OF_EVENTS, openStream, readEvents } from '../../utils/events';
import { call, isConnectionRefused } from '../../utils/http';

/**
 * Thrown when a call to a runner fails. For `full`, `evicted` and `leaving` the runner itself
 * reports that it did not run the request.
 */
export class RunnerFailure extends Error {
  readonly reason: FailureReason;

  constructor(reason: FailureReason, detail: string) {
    super(detail);
    this.name = 'RunnerFailure';
    this.reason = reason;
  }
}

/** A request to an engine. */
export interface EngineJob {
  /** Id that identifies the run at the engine. */
  readonly runId: string;
  readonly prompt: string;
  readonly maxTokens: number;
  readonly priority: number;
  readonly cacheSalt: string;
  /** Whether the engine keeps generating for a limited time after a broken connection, so that another gateway can resume the stream. */
  readonly resumable: boolean;
}

/** Result of a finished prefill. */
export interface PrefillResult {
  /** Prompt tokens served from the prefix cache. */
  readonly cachedTokens: number;
  /** How long the prefill runner keeps the KV cache for the transfer, in milliseconds. */
  readonly keptMs: number;
}

/** One output token. */
export interface Token {
  /** Position in the output of this run, from 0. */
  readonly offset: number;
  readonly text: string;
}

/** Load report of a runner. */
export interface RunnerLoad {
  /** Age of the figures when the runner answered, in milliseconds; relative because the clocks of VMs differ. */
  readonly ageMs: number;
  /** Number of requests in execution. */
  readonly running: number;
  /** Number of requests in the runner's queue. */
  readonly waiting: number;
  /** Whether the runner shuts down and accepts no new requests. */
  readonly leaving: boolean;
}

/** Blocks added to or removed from a runner's prefix cache. */
export interface CacheEvent {
  /** Sequence number of the event at its runner. */
  readonly seq: number;
  readonly added: readonly number[];
  readonly removed: readonly number[];
}

/** Calls of gateways and schedulers to runners, addressed by base URL. */
export interface RunnerClient {
  /** Runs the prefill only; rejects with `RunnerFailure`. */
  prefill(url: string, job: EngineJob, signal: AbortSignal): Promise<PrefillResult>;
  /** Fetches the KV cache from `source` and streams the output tokens; throws `RunnerFailure`. */
  decode(url: string, job: EngineJob, source: KvSource, signal: AbortSignal): AsyncIterable<Token>;
  /** Streams the tokens of a run that another gateway started, from position `offset`. */
  resume(url: string, runId: string, offset: number, signal: AbortSignal): AsyncIterable<Token>;
  /** Cancels a run; resolves to true once the runner holds nothing for it. */
  cancel(url: string, runId: string): Promise<boolean>;
  /** Ids of the runs that the runner holds. */
  heldRuns(url: string): Promise<readonly string[]>;
  load(url: string): Promise<RunnerLoad>;
  /** Cache events after sequence number `since`. */
  cacheEvents(url: string, since: number): Promise<readonly CacheEvent[]>;
}

/** Runner and run that the KV cache is fetched from. */
export interface KvSource {
  readonly url: string;
  readonly runId: string;
}

const prefillSchema = z.object({ cached_tokens: z.number(), kept_ms: z.number() });
const heldSchema = z.object({ held: z.array(z.string()) });
const loadSchema = z.object({
  age_ms: z.number(),
  running: z.number(),
  waiting: z.number(),
  leaving: z.boolean(),
});
const tokenSchema = z.object({
  offset: z.int(),
  choices: z.tuple([z.object({ text: z.string() })]),
});
const eventsSchema = z.object({
  events: z.array(
    z.object({ seq: z.int(), added: z.array(z.number()), removed: z.array(z.number()) }),
  ),
});

/** Timeout of a prefill call, in milliseconds. */
const PREFILL_TIMEOUT_MS = 60_000;
/** Timeout of all other calls that are not streams, in milliseconds. */
const CALL_TIMEOUT_MS = 1000;

const reasonsByStatus: Readonly<Record<number, FailureReason>> = {
  429: 'full',
  410: 'evicted',
  503: 'leaving',
};

function body(job: EngineJob, transfer: object): string {
  return JSON.stringify({
    request_id: job.runId,
    prompt: job.prompt,
    max_tokens: job.maxTokens,
    priority: job.priority,
    cache_salt: job.cacheSalt,
    resumable: job.resumable,
    stream: true,
    kv_transfer_params: transfer,
  });
}

function connectionFailure(error: Error): RunnerFailure {
  return new RunnerFailure(isConnectionRefused(error) ? 'unreachable' : 'lost', error.message);
}

/** Runner client over HTTP. */
export class HttpRunnerClient implements RunnerClient {
  readonly #agent = new Agent({ keepAlive: true, maxSockets: 512 });

  async prefill(url: string, job: EngineJob, signal: AbortSignal): Promise<PrefillResult> {
    const answer = await call({
      method: 'POST',
      url: `${url}/v1/completions`,
      body: body(job, { do_remote_decode: true }),
      agent: this.#agent,
      timeoutMs: PREFILL_TIMEOUT_MS,
      signal,
    }).catch((error: Error) => {
      throw connectionFailure(error);
    });
    if (answer.status !== 200) {
      throw new RunnerFailure(reasonsByStatus[answer.status] ?? 'lost', `status ${answer.status}`);
    }
    const { cached_tokens: cachedTokens, kept_ms: keptMs } = prefillSchema.parse(
      JSON.parse(answer.body),
    );
    return { cachedTokens, keptMs };
  }

  decode(url: string, job: EngineJob, source: KvSource, signal: AbortSignal): AsyncIterable<Token> {
    const transfer = {
      do_remote_prefill: true,
      remote_url: source.url,
      remote_request_id: source.runId,
    };
    return this.#streamTokens('POST', `${url}/v1/completions`, body(job, transfer), signal);
  }

  resume(url: string, runId: string, offset: number, signal: AbortSignal): AsyncIterable<Token> {
    const path = `/v1/streams/${encodeURIComponent(runId)}?offset=${offset}`;
    return this.#streamTokens('GET', url + path, undefined, signal);
  }

  async cancel(url: string, runId: string): Promise<boolean> {
    const answer = await this.#callBriefly(
      'POST',
      `${url}/v1/cancel`,
      JSON.stringify({ request_id: runId }),
    );
    return answer.status === 200;
  }

  async heldRuns(url: string): Promise<readonly string[]> {
    const answer = await this.#callBriefly('GET', `${url}/v1/requests`);
    return heldSchema.parse(JSON.parse(answer.body)).held;
  }

  async load(url: string): Promise<RunnerLoad> {
    const answer = await this.#callBriefly('GET', `${url}/v1/load`);
    const { age_ms: ageMs, ...rest } = loadSchema.parse(JSON.parse(answer.body));
    return { ageMs, ...rest };
  }

  async cacheEvents(url: string, since: number): Promise<readonly CacheEvent[]> {
    const answer = await this.#callBriefly('GET', `${url}/v1/cache/events?since=${since}`);
    return eventsSchema.parse(JSON.parse(answer.body)).events;
  }

  /** Closes all pooled connections. */
  close(): void {
    this.#agent.destroy();
  }

  #callBriefly(method: string, url: string, text?: string): ReturnType<typeof call> {
    const options = { method, url, agent: this.#agent, timeoutMs: CALL_TIMEOUT_MS };
    return call(text === undefined ? options : { ...options, body: text });
  }

  async *#streamTokens(
    method: string,
    url: string,
    text: string | undefined,
    signal: AbortSignal,
  ): AsyncGenerator<Token> {
    const stream = await this.#openStream(method, url, text, signal);
    try {
      for await (const line of readEvents(stream)) {
        if (line === END_OF_EVENTS) return;
        const { offset, choices } = tokenSchema.parse(JSON.parse(line));
        yield { offset, text: choices[0].text };
      }
    } catch (error) {
      throw new RunnerFailure('lost', (error as Error).message);
    }
    // Only the engine's end mark completes the answer; a closed connection alone means that it is truncated.
    throw new RunnerFailure('lost', 'the stream ended before its end mark');
  }

  async #openStream(
    method: string,
    url: string,
    text: string | undefined,
    signal: AbortSignal,
  ): Promise<IncomingMessage> {
    const stream = await openStream({ method, url, body: text, agent: this.#agent, signal }).catch(
      (error: Error) => {
        throw connectionFailure(error);
      },
    );
    const { statusCode = 0 } = stream;
    if (statusCode === 200) return stream;
    stream.resume();
    throw new RunnerFailure(reasonsByStatus[statusCode] ?? 'lost', `status ${statusCode}`);
  }
}
