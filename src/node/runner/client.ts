/** Client of the runners: prefill, decode streams, cancels, lists and reports. */

import type { IncomingMessage } from 'node:http';
import { Agent } from 'node:http';

import { z } from 'zod';

import type { FailureReason } from '../../core/cell/types';
import { END_OF_EVENTS, openStream, readEvents } from '../../utils/events';
import { call, isConnectionRefused } from '../../utils/http';

/** Thrown when a runner did not do what it was asked; `full`, `evicted` and `leaving` are its own word that it ran nothing. */
export class RunnerFailure extends Error {
  readonly reason: FailureReason;

  constructor(reason: FailureReason, detail: string) {
    super(detail);
    this.name = 'RunnerFailure';
    this.reason = reason;
  }
}

/** A prompt for the engine. */
export interface EngineJob {
  /** Id under which the engine knows the job. */
  readonly runId: string;
  readonly prompt: string;
  readonly maxTokens: number;
  readonly priority: number;
  readonly cacheSalt: string;
  /** Whether the engine goes on for a while when the connection breaks, so that another gateway can pick the stream up. */
  readonly resumable: boolean;
}

/** A finished prefill. */
export interface PrefillResult {
  readonly cachedTokens: number;
  readonly keptMs: number;
}

/** One output token. */
export interface Token {
  /** Position in the output of this run, from 0. */
  readonly offset: number;
  readonly text: string;
}

/** A load report. */
export interface RunnerLoad {
  /** How old the figures were when the runner answered, in milliseconds; no clock crosses between VMs. */
  readonly ageMs: number;
  readonly running: number;
  readonly waiting: number;
  readonly leaving: boolean;
}

/** Blocks that came into or left a runner's prefix cache. */
export interface CacheEvent {
  readonly seq: number;
  readonly added: readonly number[];
  readonly removed: readonly number[];
}

/** What gateways and schedulers ask of runners. */
export interface RunnerClient {
  prefill(url: string, job: EngineJob, signal: AbortSignal): Promise<PrefillResult>;
  decode(url: string, job: EngineJob, source: KvSource, signal: AbortSignal): AsyncIterable<Token>;
  /** Tokens of a run that another gateway began. */
  resume(url: string, runId: string, offset: number, signal: AbortSignal): AsyncIterable<Token>;
  /** True once the runner holds nothing for the run. */
  cancel(url: string, runId: string): Promise<boolean>;
  heldRuns(url: string): Promise<readonly string[]>;
  load(url: string): Promise<RunnerLoad>;
  cacheEvents(url: string, since: number): Promise<readonly CacheEvent[]>;
}

/** Where the KV cache is fetched from. */
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

/** Time limit of a prefill call, in milliseconds. */
const PREFILL_LIMIT_MS = 60_000;
/** Time limit of small calls, in milliseconds. */
const CALL_LIMIT_MS = 1000;

const reasons: Readonly<Record<number, FailureReason>> = {
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

function brokenOff(error: Error): RunnerFailure {
  return new RunnerFailure(isConnectionRefused(error) ? 'unreachable' : 'lost', error.message);
}

/** The client on Node's http. */
export class HttpRunnerClient implements RunnerClient {
  readonly #agent = new Agent({ keepAlive: true, maxSockets: 512 });

  async prefill(url: string, job: EngineJob, signal: AbortSignal): Promise<PrefillResult> {
    const answer = await call({
      method: 'POST',
      url: `${url}/v1/completions`,
      body: body(job, { do_remote_decode: true }),
      agent: this.#agent,
      timeoutMs: PREFILL_LIMIT_MS,
      signal,
    }).catch((error: Error) => {
      throw brokenOff(error);
    });
    if (answer.status !== 200) {
      throw new RunnerFailure(reasons[answer.status] ?? 'lost', `status ${answer.status}`);
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
    return this.#tokens('POST', `${url}/v1/completions`, body(job, transfer), signal);
  }

  resume(url: string, runId: string, offset: number, signal: AbortSignal): AsyncIterable<Token> {
    const path = `/v1/streams/${encodeURIComponent(runId)}?offset=${offset}`;
    return this.#tokens('GET', url + path, undefined, signal);
  }

  async cancel(url: string, runId: string): Promise<boolean> {
    const answer = await this.#small(
      'POST',
      `${url}/v1/cancel`,
      JSON.stringify({ request_id: runId }),
    );
    return answer.status === 200;
  }

  async heldRuns(url: string): Promise<readonly string[]> {
    const answer = await this.#small('GET', `${url}/v1/requests`);
    return heldSchema.parse(JSON.parse(answer.body)).held;
  }

  async load(url: string): Promise<RunnerLoad> {
    const answer = await this.#small('GET', `${url}/v1/load`);
    const { age_ms: ageMs, ...rest } = loadSchema.parse(JSON.parse(answer.body));
    return { ageMs, ...rest };
  }

  async cacheEvents(url: string, since: number): Promise<readonly CacheEvent[]> {
    const answer = await this.#small('GET', `${url}/v1/cache/events?since=${since}`);
    return eventsSchema.parse(JSON.parse(answer.body)).events;
  }

  close(): void {
    this.#agent.destroy();
  }

  #small(method: string, url: string, text?: string): ReturnType<typeof call> {
    const options = { method, url, agent: this.#agent, timeoutMs: CALL_LIMIT_MS };
    return call(text === undefined ? options : { ...options, body: text });
  }

  async *#tokens(
    method: string,
    url: string,
    text: string | undefined,
    signal: AbortSignal,
  ): AsyncGenerator<Token> {
    const stream = await this.#open(method, url, text, signal);
    try {
      for await (const line of readEvents(stream)) {
        if (line === END_OF_EVENTS) return;
        const { offset, choices } = tokenSchema.parse(JSON.parse(line));
        yield { offset, text: choices[0].text };
      }
    } catch (error) {
      throw new RunnerFailure('lost', (error as Error).message);
    }
    // The end of the connection is no end of the answer: only the engine's own mark is.
    throw new RunnerFailure('lost', 'the stream ended before its end mark');
  }

  async #open(
    method: string,
    url: string,
    text: string | undefined,
    signal: AbortSignal,
  ): Promise<IncomingMessage> {
    const stream = await openStream({ method, url, body: text, agent: this.#agent, signal }).catch(
      (error: Error) => {
        throw brokenOff(error);
      },
    );
    const { statusCode = 0 } = stream;
    if (statusCode === 200) return stream;
    stream.resume();
    throw new RunnerFailure(reasons[statusCode] ?? 'lost', `status ${statusCode}`);
  }
}
