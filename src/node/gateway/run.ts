/** One model request on its way: talks to the owner of its cell and to runners, and feeds its sinks. */

import type { CodeName } from '../../core/codes';
import { codes } from '../../core/codes';
import { Failure } from '../../core/failure';
import { runIdOf } from '../../core/ids';
import type { PeerLink } from '../peer/link';
import type { Message, ToGateway, ToScheduler } from '../peer/messages';
import type { Token } from '../runner/client';
import { RunnerFailure } from '../runner/client';
import { IdleTimeout } from './timeout';
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

/** Pause before asking again when no owner can be reached, in milliseconds. */
const OWNER_RETRY_MS = 50;
/** A run without an owner waits at least this long for a new one once it was sent to runners, in milliseconds. */
const OWNER_WAIT_MS = 10_000;
/** A runner that says nothing for this long during a prefill is given up, in milliseconds. */
const PREFILL_SILENCE_MS = 15_000;
/** A runner that sends no token for this long is given up, in milliseconds; the transfer comes before the first. */
const TOKEN_SILENCE_MS = 5000;
/** How long a keyed run goes on without a reader, in milliseconds. */
const UNREAD_MS = 2000;
/** When callers should come back after no owner was found, in milliseconds. */
const NO_OWNER_RETRY_MS = 1000;

/** A request from its placing to its end. */
export class ModelRun {
  readonly request: ModelRequest;

  readonly #context: RunContext;

  readonly #startedAt: number;

  readonly #answer = new Answer();

  readonly #limit: NodeJS.Timeout;

  #stage: RunStage = 'queued';

  #attempt = 0;

  #prefill: Execution | undefined;

  #decode: Execution | undefined;

  #owner: PeerLink | undefined;

  #work = new AbortController();

  #retry: NodeJS.Timeout | undefined;

  #unread: NodeJS.Timeout | undefined;

  #sent = false;

  constructor(request: ModelRequest, context: RunContext, now: number) {
    this.request = request;
    this.#context = context;
    this.#startedAt = now;
    this.#limit = setTimeout(
      () => this.#fail('timedOut', 'the time limit of the answer has passed'),
      request.service.totalMs,
    );
  }

  get hasEnded(): boolean {
    return this.#stage === 'ended';
  }

  /** For operators who look for the cause of a slow request. */
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

  get tokens(): readonly string[] {
    return this.#answer.tokens;
  }

  /** Adds a reader and gives it what is out already. */
  attach(sink: Sink): void {
    clearTimeout(this.#unread);
    this.#answer.attach(sink);
  }

  /** A reader is gone. Without readers the run ends, keyed runs after a while. */
  detach(sink: Sink): void {
    if (!this.#answer.detach(sink) || this.hasEnded) return;
    if (this.request.isKeyed) this.#unread = setTimeout(() => this.cancel(), UNREAD_MS);
    else this.cancel();
  }

  /** Ends all readers in favour of a newer attempt. */
  supersede(): void {
    const failure = new Failure('superseded', 'a newer attempt with this key reads the answer now');
    this.#answer.fail(failure, false);
  }

  /** Asks the owner for a place; again when the owner has changed. */
  place(): void {
    if (this.hasEnded) return;
    const owner = this.#context.fleet.ownerOf(this.request.service.pool);
    if (owner && owner === this.#owner && owner.up) return;
    if (!owner) {
      this.#placeLater();
      return;
    }
    this.#owner?.send({ kind: 'cancelled', ...requestRefOf(this.request) });
    this.#owner = owner;
    this.#ask();
  }

  /** The link to the owner was lost or came back: everything is asked for again. */
  refreshOwner(): void {
    if (this.hasEnded) return;
    if (this.#owner && !this.#owner.up) this.#owner = undefined;
    this.place();
  }

  receive(link: PeerLink, message: ToGateway): void {
    if (link !== this.#owner || this.hasEnded) return;
    if (message.kind === 'prefill') this.#startPrefill(message);
    else if (message.kind === 'decode') this.#startDecode(message);
    else if (message.kind === 'refuse') this.#refused(message);
    else if (message.kind === 'notOwner') this.#notOwner();
  }

  /** Goes on with an answer that streams on a runner since an earlier gateway's time. */
  takeOver(runner: string, runId: string): void {
    const url = this.#urlOf(runner);
    if (url === undefined) {
      this.place();
      return;
    }
    this.#sent = true;
    this.#stage = 'decoding';
    const place = { runner, url, runId, idleTimeout: new IdleTimeout(this.#work.signal) };
    this.#decode = place;
    this.place();
    this.#stream(this.#context.runners.resume(url, runId, 0, place.idleTimeout.signal), place);
  }

  /** The caller is gone: frees every runner and the place at the owner. */
  cancel(): void {
    if (this.hasEnded) return;
    this.#context.metrics.count('model.cancelled');
    this.#end({ code: undefined, cancelled: true });
  }

  #ask(): void {
    const common = arrivalOf(this.request, this.#dueInMs());
    const stage = this.#stage;
    if (stage === 'prefilling' || stage === 'prefilled' || stage === 'decoding') {
      const places: { prefillRunner?: string; decodeRunner?: string } = {};
      if (this.#prefill) places.prefillRunner = this.#prefill.runner;
      if (this.#decode) places.decodeRunner = this.#decode.runner;
      this.#tell({ kind: 'adopt', ...common, stage, ...places });
    } else {
      this.#tell({ kind: 'arrive', ...common });
    }
  }

  #dueInMs(): number {
    if (this.#answer.tokens.length > 0) return OWNER_WAIT_MS;
    return this.#startedAt + this.request.service.firstTokenMs - Date.now();
  }

  #tell(message: ToScheduler): void {
    this.#owner?.send(message);
  }

  #notOwner(): void {
    this.#owner = undefined;
    this.#placeLater();
  }

  #placeLater(): void {
    const waited = Date.now() - this.#startedAt;
    const limit = this.#sent ? this.request.service.totalMs : this.request.service.firstTokenMs;
    if (waited > limit) {
      this.#fail(
        'noOwner',
        `no scheduler plans pool ${this.request.service.pool}`,
        NO_OWNER_RETRY_MS,
      );
      return;
    }
    clearTimeout(this.#retry);
    this.#retry = setTimeout(() => this.place(), OWNER_RETRY_MS);
  }

  #refused({ code, retryAfterMs }: Message<'refuse'>): void {
    this.#fail(code, codes[code].meaning, retryAfterMs);
  }

  #urlOf(runner: string): string | undefined {
    const pool = this.#context.fleet.settings.pool(this.request.service.pool);
    return pool?.runners.find(({ id }) => id === runner)?.url;
  }

  #newPlace(runner: string): Execution | undefined {
    const url = this.#urlOf(runner);
    if (url === undefined) return undefined;
    this.#attempt += 1;
    return {
      runner,
      url,
      runId: runIdOf(this.request.id, this.#attempt),
      idleTimeout: new IdleTimeout(this.#work.signal),
    };
  }

  /**
   * The owner's action does not fit what this gateway holds: messages crossed
   * while owners changed. Dropped without a word, the owner would wait for its
   * action and this run for another, for ever; so the owner is told what is true
   * here and comes into line. A repeated action needs nothing.
   */
  #contradict(repeated: boolean): void {
    if (!repeated) this.#ask();
  }

  #startPrefill({ runner }: Message<'prefill'>): void {
    if (this.#stage !== 'queued' && this.#stage !== 'prefilled') {
      this.#contradict(this.#stage === 'prefilling' && this.#prefill?.runner === runner);
      return;
    }
    const place = this.#newPlace(runner);
    if (!place) {
      this.#tellFailed(runner, 'lost');
      return;
    }
    this.#stage = 'prefilling';
    this.#prefill = place;
    this.#sent = true;
    place.idleTimeout.restart(PREFILL_SILENCE_MS);
    this.#context.runners
      .prefill(
        place.url,
        jobOf(this.request, this.#answer.tokens, place.runId),
        place.idleTimeout.signal,
      )
      .finally(() => place.idleTimeout.stop())
      .then(({ cachedTokens, keptMs }) => {
        if (this.#prefill !== place || this.#stage !== 'prefilling') return;
        this.#stage = 'prefilled';
        this.#tell({ kind: 'prefilled', ...requestRefOf(this.request), cachedTokens, keptMs });
      })
      .catch((error: Error) => this.#prefillFailed(place, error));
  }

  #prefillFailed(place: Execution, error: Error): void {
    if (this.hasEnded || this.#prefill !== place) return;
    this.#prefill = undefined;
    this.#stage = 'queued';
    this.#failedAt(place, error);
  }

  #startDecode({ runner, source }: Message<'decode'>): void {
    const from = this.#prefill;
    if (this.#stage !== 'prefilled' || from?.runner !== source) {
      this.#contradict(this.#stage === 'decoding' && this.#decode?.runner === runner);
      return;
    }
    const place = this.#newPlace(runner);
    if (!place) {
      this.#tellFailed(runner, 'lost');
      return;
    }
    this.#stage = 'decoding';
    this.#decode = place;
    const job = jobOf(this.request, this.#answer.tokens, place.runId);
    const tokens = this.#context.runners.decode(
      place.url,
      job,
      { url: from.url, runId: from.runId },
      place.idleTimeout.signal,
    );
    if (this.request.isKeyed) {
      const base = this.#answer.tokens.length;
      this.#context.onLocated(this, { runner: place.runner, runId: place.runId, base });
    }
    this.#stream(tokens, place);
  }

  #stream(tokens: AsyncIterable<Token>, place: Execution): void {
    place.idleTimeout.restart(TOKEN_SILENCE_MS);
    this.#read(tokens, place)
      .finally(() => place.idleTimeout.stop())
      .catch((error: Error) => this.#decodeFailed(place, error));
  }

  async #read(tokens: AsyncIterable<Token>, place: Execution): Promise<void> {
    const base = this.#answer.tokens.length;
    for await (const { offset, text } of tokens) {
      if (this.hasEnded || this.#decode !== place) return;
      place.idleTimeout.restart(TOKEN_SILENCE_MS);
      this.#accept(base + offset, text);
    }
    if (this.hasEnded || this.#decode !== place) return;
    this.#finish();
  }

  /** A token that is out already is dropped. */
  #accept(offset: number, text: string): void {
    if (!this.#answer.isNext(offset)) return;
    if (this.#prefill) {
      this.#prefill = undefined;
      this.#tell({ kind: 'started', ...requestRefOf(this.request) });
    }
    this.#answer.add(Date.now(), text);
  }

  #decodeFailed(place: Execution, error: Error): void {
    if (this.hasEnded || this.#decode !== place) return;
    this.#decode = undefined;
    const keepsPrefill =
      error instanceof RunnerFailure && error.reason === 'full' && this.#prefill !== undefined;
    this.#stage = keepsPrefill ? 'prefilled' : 'queued';
    if (!keepsPrefill) this.#dropPrefill();
    this.#failedAt(place, error);
  }

  #dropPrefill(): void {
    const prefill = this.#prefill;
    this.#prefill = undefined;
    if (prefill) this.#context.canceller.cancel(prefill.url, prefill.runId);
  }

  #failedAt(place: Execution, error: Error): void {
    const reason = error instanceof RunnerFailure ? error.reason : 'lost';
    this.#context.metrics.count(`runner.${reason}`);
    if (reason === 'lost') this.#context.canceller.cancel(place.url, place.runId);
    this.#tellFailed(place.runner, reason);
  }

  #tellFailed(runner: string, reason: RunnerFailure['reason']): void {
    const tokens = this.#answer.tokens.length;
    this.#tell({ kind: 'failed', ...requestRefOf(this.request), runner, reason, tokens });
  }

  #finish(): void {
    this.#decode = undefined;
    this.#prefill = undefined;
    this.#tell({
      kind: 'finished',
      ...requestRefOf(this.request),
      tokens: this.#answer.tokens.length,
    });
    this.#owner = undefined;
    this.#end({ code: undefined, cancelled: false });
    this.#answer.end();
  }

  /** "Not run" is said only if this gateway sent nothing to any runner. */
  #fail(code: CodeName, detail: string, retryAfterMs?: number): void {
    if (this.hasEnded) return;
    const failure = new Failure(code, detail, retryAfterMs === undefined ? {} : { retryAfterMs });
    const notRun = !this.#sent && codes[code].notRun;
    this.#end({ code, cancelled: false });
    this.#answer.fail(failure, notRun);
  }

  #end(how: Pick<RunOutcome, 'code' | 'cancelled'>): void {
    this.#stage = 'ended';
    clearTimeout(this.#limit);
    clearTimeout(this.#retry);
    clearTimeout(this.#unread);
    this.#tell({ kind: 'cancelled', ...requestRefOf(this.request) });
    this.#work.abort();
    for (const place of [this.#prefill, this.#decode]) {
      if (place) this.#context.canceller.cancel(place.url, place.runId);
    }
    this.#context.onEnd(this, {
      ...how,
      ...timingOf(
        this.#startedAt,
        this.#answer.firstTokenAt,
        this.#answer.tokens.length,
        Date.now(),
      ),
    });
  }
}
