/** Model requests: checks them, brings repeats of one key together, and keeps the runs. */

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

/** What model requests work with. */
export interface ModelHandlerOptions extends Omit<RunContext, 'onEnd' | 'onLocated'> {
  readonly relay: RelayClient;
  /** Callers' address of this gateway. */
  readonly address: () => string;
  readonly bodyBytes: number;
  readonly log: Logger;
  /** Told of every end, for the service-level report. */
  readonly onOutcome: (request: ModelRequest, outcome: RunOutcome) => void;
}

const completionSchema = z.object({
  model: z.string().min(1).max(63),
  prompt: z.string().min(1),
  max_tokens: z.int().positive().optional(),
  stream: z.boolean().default(false),
});

type Completion = z.infer<typeof completionSchema>;

/** Tells the caller the id under which logs and runners know its request. */
const REQUEST_HEADER = 'goldcrestdock-request';
/** Runs that the status shows. */
const OLDEST_SHOWN = 5;
/** Longest idempotency key. */
const KEY_LIMIT = 200;
/** Longest answer that is kept for replay, in characters. */
const REPLAY_LIMIT = 128 * 1024;

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

/** Reads the idempotency key of a request. */
export function idempotencyKeyOf(req: IncomingMessage): string | undefined {
  const { 'idempotency-key': key } = req.headers;
  if (key === undefined) return undefined;
  if (typeof key !== 'string' || key === '' || key.length > KEY_LIMIT) {
    throw new Failure(
      'badRequest',
      `found an unusable Idempotency-Key, expected 1 to ${KEY_LIMIT} characters`,
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

/** Takes model requests of callers. */
export class ModelHandler {
  readonly #options: ModelHandlerOptions;

  readonly #runs = new Map<string, ModelRun>();

  /** Registry key of each keyed run. */
  readonly #keys = new Map<string, string>();

  constructor(options: ModelHandlerOptions) {
    this.#options = options;
  }

  get size(): number {
    return this.#runs.size;
  }

  /** The runs that are under way for longest. */
  oldest(now: number): readonly RunDescription[] {
    return [...this.#runs.values()].slice(0, OLDEST_SHOWN).map((run) => run.describe(now));
  }

  run(id: string): ModelRun | undefined {
    return this.#runs.get(id);
  }

  /** A message of a scheduler about a request. */
  receive(link: PeerLink, message: ToGateway): void {
    if ('id' in message) this.#runs.get(message.id)?.receive(link, message);
  }

  /** Owners may have changed: every run looks for its own again. */
  refreshOwners(): void {
    for (const run of this.#runs.values()) run.refreshOwner();
  }

  /** Answers `POST /v1/completions`. */
  async handle(req: IncomingMessage, res: ServerResponse, team: string): Promise<void> {
    const now = Date.now();
    const key = idempotencyKeyOf(req);
    const body = await readBody(req, this.#options.bodyBytes);
    const completion = parseCompletion(body.toString());
    const request = this.#check(team, completion, key !== undefined);
    res.setHeader(REQUEST_HEADER, request.id);
    const sink = sinkFor(res, request, completion.stream);
    if (key === undefined) this.#startFresh(request, sink, res, now);
    else await this.#startKeyed(request, `${team}/${key}`, sink, res, now);
  }

  #check(
    team: string,
    { model, prompt, max_tokens: wanted }: Completion,
    keyed: boolean,
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
      maxTokens: Math.min(service.maxTokens, wanted ?? service.maxTokens),
      fingerprint: contentIdOf(`${team} ${model}`, prompt),
      blocks: hashBlocks(salt, prompt),
      salt,
      isKeyed: keyed,
    };
  }

  #startFresh(request: ModelRequest, sink: Sink, res: ServerResponse, now: number): ModelRun {
    const run = this.#create(request, now);
    watch(run, sink, res);
    run.place();
    return run;
  }

  #create(request: ModelRequest, now: number): ModelRun {
    const run = new ModelRun(
      request,
      {
        ...this.#options,
        onEnd: (ended, outcome) => this.#ended(ended, outcome),
        onLocated: (located, place) => this.#located(located, place),
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
      this.#startFresh(request, sink, res, now);
    } else {
      await this.#join(request, key, attempt, sink, res, now);
    }
  }

  /** Reads the answer of a run that is under way, here or on another gateway. */
  async #join(
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
      watch(local, sink, res);
      return;
    }
    const read = await this.#options.relay.read(attempt.gateway, attempt.id, sink, res);
    if (read === 'whole' || res.destroyed) return;
    await this.#takeOver(request, key, attempt, sink, res, now);
  }

  /** The gateway that had the run is gone, or broke off: goes on from its runner, or begins again. */
  async #takeOver(
    request: ModelRequest,
    key: string,
    { id, place }: Extract<AttemptResult, { kind: 'running' }>,
    sink: Sink,
    res: ServerResponse,
    now: number,
  ): Promise<void> {
    const params = { key, from: id, gateway: this.#options.address(), id: request.id };
    const taken = await this.#options.fleet.callKey(key, 'keys.transfer', params);
    if (taken !== true) {
      sink.fail(
        new Failure('alreadyRunning', 'another attempt took this key', { retryAfterMs: 1000 }),
        false,
      );
      return;
    }
    this.#keys.set(request.id, key);
    this.#options.metrics.count('model.taken_over');
    if (!place || place.base > 0) {
      this.#startFresh(request, sink, res, now);
      return;
    }
    const run = this.#create(request, now);
    watch(run, sink, res);
    run.takeOver(place.runner, place.runId);
  }

  #located(run: ModelRun, place: StreamLocation): void {
    const { id } = run.request;
    const key = this.#keys.get(id);
    if (key !== undefined) this.#tellRegistry(key, 'keys.locate', { key, id, ...place });
  }

  #ended(run: ModelRun, outcome: RunOutcome): void {
    const { id } = run.request;
    this.#runs.delete(id);
    const key = this.#keys.get(id);
    this.#keys.delete(id);
    if (key !== undefined) this.#conclude(run, key, outcome);
    this.#options.onOutcome(run.request, outcome);
  }

  #conclude(run: ModelRun, key: string, { code, cancelled, tokens }: RunOutcome): void {
    const { id } = run.request;
    const text = run.tokens.join('');
    const whole = code === undefined && !cancelled;
    if (whole && text.length <= REPLAY_LIMIT) {
      this.#tellRegistry(key, 'keys.conclude', { key, id, text, tokens });
    } else this.#tellRegistry(key, 'keys.abandon', { key, id });
  }

  #tellRegistry(key: string, method: string, params: unknown): void {
    this.#options.fleet.callKey(key, method, params).catch((error) => {
      this.#options.log.debug(`The key registry did not take ${method}. ${toFailure(error).line}.`);
    });
  }
}

/** A sharing group counts only for teams that may use the same pool; a team's own name cannot stand for a group. */
function saltOf(team: string, { sharingGroup }: ModelService): string {
  return sharingGroup === undefined ? `team/${team}` : `group/${sharingGroup}`;
}

function sinkFor(res: ServerResponse, request: ModelRequest, stream: boolean): DeduplicatingSink {
  const frame = { id: request.id, model: request.serviceName };
  return new DeduplicatingSink(
    stream ? new EventSink(res, frame) : new JsonSink(res, frame, request.promptTokens),
  );
}

/** A caller that closes its connection gives up its answer. */
function watch(run: ModelRun, sink: Sink, res: ServerResponse): void {
  run.attach(sink);
  res.on('close', () => run.detach(sink));
  if (res.destroyed) run.detach(sink);
}
