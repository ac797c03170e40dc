/** Processes one model request: exchanges messages with the owner of its cell, runs it on runners, and forwards the answer to its sinks. */

import type { CodeName } from '../../core/codes';
import { codes } from '../../core/codes';
import { Failure } from '../../core/failure';
import type { PeerLink } from '../peer/link';
import type { Message, ToGateway, ToScheduler } from '../peer/messages';
import type { Token } from '../runner/client';
import { RunnerFailure } from '../runner/client';
import { Executions } from './executions';
import type {
  ModelRequest,
  Execution,
  RunContext,
  RunDescription,
  RunOutcome,
  RunStage,
} from './request';
import { arrivalOf, jobOf, requestRefOf, timingOf } from './request';
import type { Sink } from './sink';
import { Answer } from './answer';

/** Pause before the next placement request when no owner is reachable, in milliseconds. */
const OWNER_RETRY_MS = 50;
/** Time until placement is due, as reported to the owner once tokens were received, in milliseconds; long enough for a change of owner. */
const RESUME_DUE_MS = 10_000;
/** A runner that sends nothing for this time during a prefill counts as lost, in milliseconds. */
const PREFILL_IDLE_TIMEOUT_MS = 15_000;
/** A runner that sends no token for this time counts as lost, in milliseconds; includes the KV cache transfer before the first token. */
const TOKEN_IDLE_TIMEOUT_MS = 5000;
/** How long a keyed run continues without a reader, in milliseconds. */
const UNREAD_LIMIT_MS = 2000;
/** Delay after which callers should retry when no owner was found, in milliseconds. */
const NO_OWNER_RETRY_AFTER_MS = 1000;

/** A model request from placement to its end. */
export class ModelRun {
  readonly request: ModelRequest;

  readonly #context: RunContext;

  readonly #startedAt: number;

  readonly #answer = new Answer();

  readonly #deadlineTimer: NodeJS.Timeout;

  #stage: RunStage = 'queued';

  #prefill: Execution | undefined;

  #decode: Execution | undefined;

  #owner: PeerLink | undefined;

  readonly #controller = new AbortController();

  readonly #executions: Executions;

  #retryTimer: NodeJS.Timeout | undefined;

  #unreadTimer: NodeJS.Timeout | undefined;

  #isDispatched = false;

  constructor(request: ModelRequest, context: RunContext, now: number) {
    this.request = request;
    this.#context = context;
    this.#startedAt = now;
    this.#executions = new Executions(request, context.fleet, this.#controller.signal);
    this.#deadlineTimer = setTimeout(
      () => this.#fail('timedOut', 'the time limit of the answer has passed'),
      request.service.totalMs,
    );
  }

  /** Whether the run has ended, for any reason. */
  get hasEnded(): boolean {
    return this.#stage === 'ended';
  }

  /** Describes the run for the status, to diagnose slow requests. */
  describe(now: number): RunDescription {
    return {
      id: this.request.id,
      stage: this.#stage,
      ageMs: now - this.#startedAt,
      owner: this.#owner?.address,
      prefillRunner: this.#prefill?.runner,
      decodeRunner: this.#decode?.runner,
      tokens: this.#answer.tokens.length,
    };
  }

  /** Tokens received so far, in order. */
  get tokens(): readonly string[] {
    return this.#answer.tokens;
  }

  /** Adds a sink and sends it all tokens received so far. */
  attach(sink: Sink): void {
    clearTimeout(this.#unreadTimer);
    this.#answer.attach(sink);
  }

  /** Removes a sink. A run without sinks is cancelled, a keyed run only after `UNREAD_LIMIT_MS`. */
  detach(sink: Sink): void {
    if (!this.#answer.detach(sink) || this.hasEnded) return;
    if (this.request.isKeyed) this.#unreadTimer = setTimeout(() => this.cancel(), UNREAD_LIMIT_MS);
    else this.cancel();
  }

  /** Ends all sinks with `superseded`, as a newer attempt reads the answer. */
  supersede(): void {
    const failure = new Failure('superseded', 'a newer attempt with this key reads the answer now');
    this.#answer.fail(failure, false);
  }

  /** Requests placement from the owner of the pool; does nothing if that owner already has the request. */
  requestPlacement(): void {
    if (this.hasEnded) return;
    const owner = this.#context.fleet.ownerOf(this.request.service.pool);
    if (owner && owner === this.#owner && owner.up) return;
    if (!owner) {
      this.#retryPlacement();
      return;
    }
    this.#owner?.send({ kind: 'cancelled', ...requestRefOf(this.request) });
    this.#owner = owner;
    this.#sendState();
  }

  /** Requests placement again if the owner changed or the link to it was lost. */
  refreshOwner(): void {
    if (this.hasEnded) return;
    if (this.#owner && !this.#owner.up) this.#owner = undefined;
    this.requestPlacement();
  }

  /** Handles a message of a scheduler; ignored unless it comes from the current owner. */
  receive(link: PeerLink, message: ToGateway): void {
    if (link !== this.#owner || this.hasEnded) return;
    if (message.kind === 'prefill') this.#startPrefill(message);
    else if (message.kind === 'decode') this.#startDecode(message);
    else if (message.kind === 'refuse') this.#handleRefusal(message);
    else if (message.kind === 'notOwner') this.#handleNotOwner();
  }

  /** Resumes an answer that a runner streams for a run of another gateway. */
  takeOver(runner: string, runId: string): void {
    const execution = this.#executions.of(runner, runId);
    if (!execution) {
      this.requestPlacement();
      return;
    }
    this.#isDispatched = true;
    this.#stage = 'decoding';
    this.#decode = execution;
    this.requestPlacement();
    this.#startStream(
      this.#context.runners.resume(execution.url, runId, 0, execution.idleTimeout.signal),
      execution,
    );
  }

  /** Cancels the run after its caller disconnected: releases every runner and the reservation at the owner. */
  cancel(): void {
    if (this.hasEnded) return;
    this.#context.metrics.count('model.cancelled');
    this.#end({ code: undefined, cancelled: true });
  }

  #sendState(): void {
    const common = arrivalOf(this.request, this.#dueInMs());
    const stage = this.#stage;
    if (stage === 'prefilling' || stage === 'prefilled' || stage === 'decoding') {
      const runners: { prefillRunner?: string; decodeRunner?: string } = {};
      if (this.#prefill) runners.prefillRunner = this.#prefill.runner;
      if (this.#decode) runners.decodeRunner = this.#decode.runner;
      this.#send({ kind: 'adopt', ...common, stage, ...runners });
    } else {
      this.#send({ kind: 'arrive', ...common });
    }
  }

  #dueInMs(): number {
    if (this.#answer.tokens.length > 0) return RESUME_DUE_MS;
    return this.#startedAt + this.request.service.firstTokenMs - Date.now();
  }

  #send(message: ToScheduler): void {
    this.#owner?.send(message);
  }

  #handleNotOwner(): void {
    this.#owner = undefined;
    this.#retryPlacement();
  }

  #retryPlacement(): void {
    const waitedMs = Date.now() - this.#startedAt;
    const limitMs = this.#isDispatched
      ? this.request.service.totalMs
      : this.request.service.firstTokenMs;
    if (waitedMs > limitMs) {
      this.#fail(
        'noOwner',
        `no scheduler plans pool ${this.request.service.pool}`,
        NO_OWNER_RETRY_AFTER_MS,
      );
      return;
    }
    clearTimeout(this.#retryTimer);
    this.#retryTimer = setTimeout(() => this.requestPlacement(), OWNER_RETRY_MS);
  }

  #handleRefusal({ code, retryAfterMs }: Message<'refuse'>): void {
    this.#fail(code, codes[code].meaning, retryAfterMs);
  }

  /**
   * Handles an action of the owner that does not match the state of this run, which
   * happens when messages cross during a change of owner. If it were ignored, the
   * owner would wait for its action and this run for another one forever. The state
   * is sent again instead, so that the owner corrects its own. A repeated action
   * needs no response.
   */
  #resolveMismatch(isRepeated: boolean): void {
    if (!isRepeated) this.#sendState();
  }

  #startPrefill({ runner }: Message<'prefill'>): void {
    if (this.#stage !== 'queued' && this.#stage !== 'prefilled') {
      this.#resolveMismatch(this.#stage === 'prefilling' && this.#prefill?.runner === runner);
      return;
    }
    const execution = this.#executions.next(runner);
    if (!execution) {
      this.#sendFailed(runner, 'lost');
      return;
    }
    this.#stage = 'prefilling';
    this.#prefill = execution;
    this.#isDispatched = true;
    execution.idleTimeout.restart(PREFILL_IDLE_TIMEOUT_MS);
    this.#context.runners
      .prefill(
        execution.url,
        jobOf(this.request, this.#answer.tokens, execution.runId),
        execution.idleTimeout.signal,
      )
      .finally(() => execution.idleTimeout.stop())
      .then(({ cachedTokens, keptMs }) => {
        if (this.#prefill !== execution || this.#stage !== 'prefilling') return;
        this.#stage = 'prefilled';
        this.#send({ kind: 'prefilled', ...requestRefOf(this.request), cachedTokens, keptMs });
      })
      .catch((error: Error) => this.#handlePrefillFailure(execution, error));
  }

  #handlePrefillFailure(execution: Execution, error: Error): void {
    if (this.hasEnded || this.#prefill !== execution) return;
    this.#prefill = undefined;
    this.#stage = 'queued';
    this.#handleFailure(execution, error);
  }

  #startDecode({ runner, source }: Message<'decode'>): void {
    const from = this.#prefill;
    if (this.#stage !== 'prefilled' || from?.runner !== source) {
      this.#resolveMismatch(this.#stage === 'decoding' && this.#decode?.runner === runner);
      return;
    }
    const execution = this.#executions.next(runner);
    if (!execution) {
      this.#sendFailed(runner, 'lost');
      return;
    }
    this.#stage = 'decoding';
    this.#decode = execution;
    const job = jobOf(this.request, this.#answer.tokens, execution.runId);
    const tokens = this.#context.runners.decode(
      execution.url,
      job,
      { url: from.url, runId: from.runId },
      execution.idleTimeout.signal,
    );
    if (this.request.isKeyed) {
      const base = this.#answer.tokens.length;
      this.#context.onLocated(this, { runner: execution.runner, runId: execution.runId, base });
    }
    this.#startStream(tokens, execution);
  }

  #startStream(tokens: AsyncIterable<Token>, execution: Execution): void {
    execution.idleTimeout.restart(TOKEN_IDLE_TIMEOUT_MS);
    this.#readTokens(tokens, execution)
      .finally(() => execution.idleTimeout.stop())
      .catch((error: Error) => this.#handleDecodeFailure(execution, error));
  }

  async #readTokens(tokens: AsyncIterable<Token>, execution: Execution): Promise<void> {
    const base = this.#answer.tokens.length;
    for await (const { offset, text } of tokens) {
      if (this.hasEnded || this.#decode !== execution) return;
      execution.idleTimeout.restart(TOKEN_IDLE_TIMEOUT_MS);
      this.#addToken(base + offset, text);
    }
    if (this.hasEnded || this.#decode !== execution) return;
    this.#finish();
  }

  /** Adds a token to the answer; drops it if it was received before. */
  #addToken(offset: number, text: string): void {
    if (!this.#answer.isNext(offset)) return;
    if (this.#prefill) {
      this.#prefill = undefined;
      this.#send({ kind: 'started', ...requestRefOf(this.request) });
    }
    this.#answer.add(Date.now(), text);
  }

  #handleDecodeFailure(execution: Execution, error: Error): void {
    if (this.hasEnded || this.#decode !== execution) return;
    this.#decode = undefined;
    const keepsPrefill =
      error instanceof RunnerFailure && error.reason === 'full' && this.#prefill !== undefined;
    this.#stage = keepsPrefill ? 'prefilled' : 'queued';
    if (!keepsPrefill) this.#dropPrefill();
    this.#handleFailure(execution, error);
  }

  #dropPrefill(): void {
    const prefill = this.#prefill;
    this.#prefill = undefined;
    if (prefill) this.#context.canceller.cancel(prefill.url, prefill.runId);
  }

  #handleFailure(execution: Execution, error: Error): void {
    const reason = error instanceof RunnerFailure ? error.reason : 'lost';
    this.#context.metrics.count(`runner.${reason}`);
    if (reason === 'lost') this.#context.canceller.cancel(execution.url, execution.runId);
    this.#sendFailed(execution.runner, reason);
  }

  #sendFailed(runner: string, reason: RunnerFailure['reason']): void {
    const tokens = this.#answer.tokens.length;
    this.#send({ kind: 'failed', ...requestRefOf(this.request), runner, reason, tokens });
  }

  #finish(): void {
    this.#decode = undefined;
    this.#prefill = undefined;
    this.#send({
      kind: 'finished',
      ...requestRefOf(this.request),
      tokens: this.#answer.tokens.length,
    });
    this.#owner = undefined;
    this.#end({ code: undefined, cancelled: false });
    this.#answer.end();
  }

  /** Ends the run with a failure. It is reported as "not run" only if this gateway sent nothing to any runner. */
  #fail(code: CodeName, detail: string, retryAfterMs?: number): void {
    if (this.hasEnded) return;
    const failure = new Failure(code, detail, retryAfterMs === undefined ? {} : { retryAfterMs });
    const notRun = !this.#isDispatched && codes[code].notRun;
    this.#end({ code, cancelled: false });
    this.#answer.fail(failure, notRun);
  }

  #end(result: Pick<RunOutcome, 'code' | 'cancelled'>): void {
    this.#stage = 'ended';
    clearTimeout(this.#deadlineTimer);
    clearTimeout(this.#retryTimer);
    clearTimeout(this.#unreadTimer);
    this.#send({ kind: 'cancelled', ...requestRefOf(this.request) });
    this.#controller.abort();
    for (const execution of [this.#prefill, this.#decode]) {
      if (execution) this.#context.canceller.cancel(execution.url, execution.runId);
    }
    this.#context.onEnd(this, {
      ...result,
      ...timingOf(
        this.#startedAt,
        this.#answer.firstTokenAt,
        this.#answer.tokens.length,
        Date.now(),
      ),
    });
  }
}
