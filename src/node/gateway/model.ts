/** Handles model requests: validates them, joins attempts with the same key, and keeps the active runs. */

import { randomUUID } from 'node:crypto';
import type { IncomingMessage, ServerResponse } from 'node:http';

import type { Logger } from 'pino';
import { z } from 'zod';

import { Failure, toFailure } from '../../core/failure';
import { contentIdOf, fingerprintOf } from '../../core/fingerprint';
import { requestId } from '../../core/ids';
import { countTokens, hashBlocks } from '../../core/prefix';
import type { AttemptResult, StreamLocation } from '../../core/registry/keys';
import type { ModelService } from '../../core/settings/schema';
import { readBody } from '../../utils/http';
import type { PeerLink } from '../peer/link';
import type { ToGateway } from '../peer/messages';
import type { RelayClient } from './relay';
import type { ModelRequest, RunContext, RunDescription, RunOutcome } from './request';
import { ModelRun } from './run';
import type { Sink } from './sink';
import { EventSink, JsonSink, DeduplicatingSink } from './sink';

/** Dependencies and settings of `ModelHandler`. */
export interface ModelHandlerOptions extends Omit<RunContext, 'onEnd' | 'onLocated'> {
  readonly relay: RelayClient;
  /** Callers' address of this gateway. */
  readonly address: () => string;
  /** Largest accepted body, in bytes. */
  readonly bodyBytes: number;
  readonly log: Logger;
  /** Called once for each ended request, for the service-level report. */
  readonly onOutcome: (request: ModelRequest, outcome: RunOutcome) => void;
}

const completionSchema = z.object({
  model: z.string().min(1).max(63),
  prompt: z.string().min(1),
  max_tokens: z.int().positive().optional(),
  stream: z.boolean().default(false),
});

type Completion = z.infer<typeof completionSchema>;

/** Response header with the id of the request in logs and on runners. */
const REQUEST_HEADER = 'goldcrestdock-request';
/** Maximum number of runs in the status. */
const OLDEST_RUNS_LIMIT = 5;
/** Longest idempotency key, in characters. */
const KEY_LIMIT_CHARS = 200;
/** Longest answer that is stored for replay, in characters. */
const REPLAY_LIMIT_CHARS = 128 * 1024;

const attemptSchema = z.discriminatedUnion('kind', [
  z.object({ kind: z.literal('fresh') }),
  z.object({
    kind: z.literal('running'),
    gateway: z.string(),
    id: z.string(),
    place: z
      .object({ runner: z.string(), runId: z.string(), base: z.int() })
      .nullish()
      .transform((place) => place ?? undefined),
  }),
  z.object({ kind: z.literal('done'), answer: z.object({ text: z.string(), tokens: z.int() }) }),
  z.object({ kind: z.literal('mismatch') }),
]);

/** Returns the idempotency key of a request, or undefined if it has none; throws `badRequest` if it is malformed. */
export function idempotencyKeyOf(req: IncomingMessage): string | undefined {
  const { 'idempotency-key': key } = req.headers;
  if (key === undefined) return undefined;
  if (typeof key !== 'string' || key === '' || key.length > KEY_LIMIT_CHARS) {
    throw new Failure(
      'badRequest',
      `found an unusable Idempotency-Key, expected 1 to ${KEY_LIMIT_CHARS} characters`,
    );
  }
  return key;
}

function parseCompletion(text: string): Completion {
  let value: unknown;
  try {
    value = JSON.parse(text);
  } catch (error) {
    throw new Failure('badRequest', `the body is no JSON: ${(error as Error).message}`);
  }
  const result = completionSchema.safeParse(value);
  if (result.success) return result.data;
  const [issue] = result.error.issues;
  throw new Failure(
    'badRequest',
    `at ${issue?.path.join('.') ?? 'the body'}: ${issue?.message ?? 'does not fit'}`,
  );
}

/** Handles model requests of callers. */
export class ModelHandler {
  readonly #options: ModelHandlerOptions;

  readonly #runs = new Map<string, ModelRun>();

  /** Registry keys of keyed runs, by request id. */
  readonly #keys = new Map<string, string>();

  constructor(options: ModelHandlerOptions) {
    this.#options = options;
  }

  /** Number of active runs. */
  get size(): number {
    return this.#runs.size;
  }

  /** Describes the oldest active runs. */
  oldest(now: number): readonly RunDescription[] {
    return [...this.#runs.values()].slice(0, OLDEST_RUNS_LIMIT).map((run) => run.describe(now));
  }

  /** Returns the active run with this request id, or undefined. */
  findRun(id: string): ModelRun | undefined {
    return this.#runs.get(id);
  }

  /** Passes a scheduler's message to the run that it is about. */
  receive(link: PeerLink, message: ToGateway): void {
    if ('id' in message) this.#runs.get(message.id)?.receive(link, message);
  }

  /** Makes every run check its owner again, after owners may have changed. */
  refreshOwners(): void {
    for (const run of this.#runs.values()) run.refreshOwner();
  }

  /** Handles `POST /v1/completions`. */
  async handle(req: IncomingMessage, res: ServerResponse, team: string): Promise<void> {
    const now = Date.now();
    const key = idempotencyKeyOf(req);
    const body = await readBody(req, this.#options.bodyBytes);
    const completion = parseCompletion(body.toString());
    const request = this.#parseRequest(team, completion, key !== undefined);
    res.setHeader(REQUEST_HEADER, request.id);
    const sink = sinkFor(res, request, completion.stream);
    if (key === undefined) this.#startRun(request, sink, res, now);
    else await this.#startKeyed(request, `${team}/${key}`, sink, res, now);
  }

  #parseRequest(
    team: string,
    { model, prompt, max_tokens: requested }: Completion,
    isKeyed: boolean,
  ): ModelRequest {
    const service = this.#options.fleet.settings.service(team, model);
    if (service?.kind !== 'model') {
      throw new Failure('unknownService', `there is no model service '${model}'`);
    }
    const salt = saltOf(team, service);
    return {
      id: requestId(this.#options.address(), randomUUID().slice(0, 18)),
      team,
      serviceName: model,
      service,
      prompt,
      promptTokens: countTokens(prompt),
      maxTokens: Math.min(service.maxTokens, requested ?? service.maxTokens),
      fingerprint: contentIdOf(`${team} ${model}`, prompt),
      blocks: hashBlocks(salt, prompt),
      salt,
      isKeyed,
    };
  }

  #startRun(request: ModelRequest, sink: Sink, res: ServerResponse, now: number): ModelRun {
    const run = this.#createRun(request, now);
    attachSink(run, sink, res);
    run.requestPlacement();
    return run;
  }

  #createRun(request: ModelRequest, now: number): ModelRun {
    const run = new ModelRun(
      request,
      {
        ...this.#options,
        onEnd: (ended, outcome) => this.#handleEnd(ended, outcome),
        onLocated: (located, location) => this.#recordLocation(located, location),
      },
      now,
    );
    this.#runs.set(request.id, run);
    return run;
  }

  async #startKeyed(
    request: ModelRequest,
    key: string,
    sink: DeduplicatingSink,
    res: ServerResponse,
    now: number,
  ): Promise<void> {
    const head = `${request.serviceName}\0${request.maxTokens}`;
    const fingerprint = fingerprintOf(head, request.prompt);
    const gateway = this.#options.address();
    const params = { key, fingerprint, gateway, id: request.id };
    const attempt = attemptSchema.parse(
      await this.#options.fleet.callKey(key, 'keys.attempt', params),
    ) as AttemptResult;
    if (attempt.kind === 'mismatch') {
      throw new Failure('keyReused', 'this key was used with another request');
    } else if (attempt.kind === 'done') {
      sink.replay(attempt.answer.text, attempt.answer.tokens);
    } else if (attempt.kind === 'fresh') {
      this.#keys.set(request.id, key);
      this.#startRun(request, sink, res, now);
    } else {
      await this.#joinRun(request, key, attempt, sink, res, now);
    }
  }

  /** Attaches the request to an active run, on this or another gateway. */
  async #joinRun(
    request: ModelRequest,
    key: string,
    attempt: Extract<AttemptResult, { kind: 'running' }>,
    sink: Sink,
    res: ServerResponse,
    now: number,
  ): Promise<void> {
    const local = this.#runs.get(attempt.id);
    if (local && !local.hasEnded) {
      local.supersede();
      attachSink(local, sink, res);
      return;
    }
    const read = await this.#options.relay.read(attempt.gateway, attempt.id, sink, res);
    if (read === 'whole' || res.destroyed) return;
    await this.#takeOver(request, key, attempt, sink, res, now);
  }

  /**
   * Takes over a run whose gateway failed or stopped sending: resumes the stream from
   * its runner if that has all tokens from the start, or starts a new run.
   */
  async #takeOver(
    request: ModelRequest,
    key: string,
    { id, place }: Extract<AttemptResult, { kind: 'running' }>,
    sink: Sink,
    res: ServerResponse,
    now: number,
  ): Promise<void> {
    const params = { key, from: id, gateway: this.#options.address(), id: request.id };
    const isTransferred = await this.#options.fleet.callKey(key, 'keys.transfer', params);
    if (isTransferred !== true) {
      sink.fail(
        new Failure('alreadyRunning', 'another attempt took this key', { retryAfterMs: 1000 }),
        false,
      );
      return;
    }
    this.#keys.set(request.id, key);
    this.#options.metrics.count('model.taken_over');
    if (!place || place.base > 0) {
      this.#startRun(request, sink, res, now);
      return;
    }
    const run = this.#createRun(request, now);
    attachSink(run, sink, res);
    run.takeOver(place.runner, place.runId);
  }

  #recordLocation(run: ModelRun, location: StreamLocation): void {
    const { id } = run.request;
    const key = this.#keys.get(id);
    if (key !== undefined) this.#updateRegistry(key, 'keys.locate', { key, id, ...location });
  }

  #handleEnd(run: ModelRun, outcome: RunOutcome): void {
    const { id } = run.request;
    this.#runs.delete(id);
    const key = this.#keys.get(id);
    this.#keys.delete(id);
    if (key !== undefined) this.#recordAnswer(run, key, outcome);
    this.#options.onOutcome(run.request, outcome);
  }

  #recordAnswer(run: ModelRun, key: string, { code, cancelled, tokens }: RunOutcome): void {
    const { id } = run.request;
    const text = run.tokens.join('');
    const isComplete = code === undefined && !cancelled;
    if (isComplete && text.length <= REPLAY_LIMIT_CHARS) {
      this.#updateRegistry(key, 'keys.conclude', { key, id, text, tokens });
    } else this.#updateRegistry(key, 'keys.abandon', { key, id });
  }

  #updateRegistry(key: string, method: string, params: unknown): void {
    this.#options.fleet.callKey(key, method, params).catch((error) => {
      this.#options.log.debug(
        `The key registry did not accept ${method}. ${toFailure(error).line}.`,
      );
    });
  }
}

/**
 * Cache salt of a team or its sharing group. A group only has an effect among teams
 * that may use the same pool. The prefixes keep a team's name from matching a group.
 */
function saltOf(team: string, { sharingGroup }: ModelService): string {
  return sharingGroup === undefined ? `team/${team}` : `group/${sharingGroup}`;
}

function sinkFor(res: ServerResponse, request: ModelRequest, stream: boolean): DeduplicatingSink {
  const metadata = { id: request.id, model: request.serviceName };
  return new DeduplicatingSink(
    stream ? new EventSink(res, metadata) : new JsonSink(res, metadata, request.promptTokens),
  );
}

/** Attaches a sink to a run and detaches it when the caller disconnects. */
function attachSink(run: ModelRun, sink: Sink, res: ServerResponse): void {
  run.attach(sink);
  res.on('close', () => run.detach(sink));
  if (res.destroyed) run.detach(sink);
}
