/** Relays the responses of a request's runs to its caller as one stream. */

import type { Engine } from '../../core/routing/types';
import type { AnswerStream } from '../../core/stream/answer';
import type { RunnerState } from '../../core/stream/silence';
import { readBody } from '../../utils/http';
import type { Exchange } from './exchange';
import { PaceMonitor } from './pace';
import type { Run, StreamPart } from './runs';
import type { SilenceContext } from './silence';
import { SilenceWatch } from './silence';
import type { Reply } from './types';

/** Largest response without events that is passed on. */
const MAX_ANSWER_BYTES = 4 * 1024 * 1024;
const SUCCESS_BEGIN = 200;
const SUCCESS_END = 300;
const SERVER_ERROR = 500;

/** A response whose headers have arrived, and the run that it belongs to. */
export interface Answer {
  readonly reply: Reply;
  readonly run: Run;
}

/** Progress of a run. */
export type RelayProgress =
  | { readonly kind: 'started' }
  | { readonly kind: 'slow' }
  | { readonly kind: 'finished'; readonly outputTokens: number };

/**
 * `done`: the response is complete; `failed`: the runner's error response was passed on; `broken`:
 * the stream is incomplete; `replaced`: it is incomplete since its silent run, whose runner may be
 * sound, was ended for another one that is prepared; `left`: the request has ended, by its caller or
 * its deadline, while its runner worked on it.
 */
export type RelayOutcome = 'done' | 'failed' | 'broken' | 'replaced' | 'left';

/** Dependencies of a relay. */
export interface RelayContext {
  readonly exchange: Exchange;
  readonly engine: Engine;
  readonly stream: AnswerStream;
  /** Whether another run may continue the stream after a failed one, if the retry budget allows it. */
  readonly canResume: () => boolean;
  /** Whether the retry budget allows another run. */
  readonly affordsRun: () => boolean;
  /** Whether the runner is listed. */
  readonly isListed: () => boolean;
  /** The run that may continue the stream while its own is silent. */
  readonly continuation: Pick<SilenceContext, 'prepare' | 'confirm' | 'cancel'>;
  readonly onProgress: (progress: RelayProgress) => void;
  /** Called before the first events of a run are sent to the caller. */
  readonly onFirstEvents: () => void;
}

/** Relays the runs of one request. */
export class Relay {
  readonly #context: RelayContext;

  constructor(context: RelayContext) {
    this.#context = context;
  }

  /** Relays the response of one run. */
  async forward(answer: Answer): Promise<RelayOutcome> {
    const { reply } = answer;
    if (!reply.genuine) {
      reply.body.destroy();
      return 'broken';
    }
    const { stream } = this.#context;
    const afterEvent = stream.lastId;
    stream.begin(reply);
    if (stream.fault || !isSuccess(reply)) return this.#relayWhole(answer, afterEvent);
    return this.#relayEvents(answer, afterEvent);
  }

  /** Handles a response that cannot be part of the stream. It is passed on only if nothing was sent before. */
  async #relayWhole({ reply, run }: Answer, afterEvent: string | undefined): Promise<RelayOutcome> {
    const { exchange, stream, canResume, affordsRun } = this.#context;
    const body = await readBody(reply.body, MAX_ANSWER_BYTES).catch(() => undefined);
    const part = streamPartOf(reply, afterEvent, stream);
    if (!body || !reply.body.complete || !(await run.hasWholeAnswer(reply))) {
      run.interrupted(performance.now(), part);
      return run.wasLeft(performance.now()) ? 'left' : 'broken';
    }
    run.completed(performance.now(), undefined, false);
    if (stream.fault) run.diverged(part, stream.fault);
    const isServerError = reply.status >= SERVER_ERROR;
    if (exchange.headSent || (isServerError && canResume() && affordsRun())) return 'broken';
    exchange.writeHead(reply.status, reply.headers);
    exchange.end(body);
    return isServerError ? 'failed' : 'done';
  }

  /** Passes on complete events only, so that another run can continue if this one is interrupted within an event. */
  async #relayEvents(
    { reply, run }: Answer,
    afterEvent: string | undefined,
  ): Promise<RelayOutcome> {
    const { exchange, engine, stream, onProgress, onFirstEvents } = this.#context;
    const pace = new PaceMonitor(exchange.route.gapMs);
    let hasStarted = false;
    let isInterrupted = false;
    const chunks = chunksUntilError(reply.body, () => {
      isInterrupted = true;
    });
    let replacedAfterMs: number | undefined;
    const silence = this.#watchSilence(reply, run, (silentMs, state) => {
      // What is known to be gone was interrupted, whoever ended its connection.
      if (state === 'unknown') replacedAfterMs = silentMs;
      else run.stalled(silentMs);
    });
    try {
      for await (const chunk of chunks) {
        const events = stream.push(chunk);
        if (events.length > 0) {
          run.answered(performance.now());
          silence.heard(performance.now());
          if (!hasStarted) {
            onProgress({ kind: 'started' });
            onFirstEvents();
          }
          hasStarted = true;
          if (pace.observe(performance.now(), stream.events)) onProgress({ kind: 'slow' });
          this.#sendHead(reply);
          silence.hold();
          await exchange.write(events);
          silence.heard(performance.now());
          run.resumed(performance.now());
        }
        if (stream.fault) break;
      }
    } finally {
      silence.stop();
    }
    const hasArrived = !isInterrupted && reply.body.complete;
    stream.end(hasArrived && (await run.hasWholeAnswer(reply)));
    const part = streamPartOf(reply, afterEvent, stream);
    if (stream.fault && replacedAfterMs !== undefined) {
      run.replaced(replacedAfterMs, part);
      return 'replaced';
    }
    if (stream.fault === 'cut' || stream.fault === 'torn') run.interrupted(performance.now(), part);
    else if (stream.fault) run.diverged(part, stream.fault);
    if (stream.fault) return run.wasLeft(performance.now()) ? 'left' : 'broken';
    run.completed(performance.now(), part, stream.firstId !== undefined || hasStarted);
    this.#sendHead(reply);
    exchange.end(stream.rest);
    onProgress({ kind: 'finished', outputTokens: stream.events * engine.eventTokens });
    return 'done';
  }

  #watchSilence(
    { body }: Reply,
    run: Run,
    onReplaced: (silentMs: number, state: RunnerState) => void,
  ): SilenceWatch {
    const { exchange, canResume, isListed, continuation } = this.#context;
    return new SilenceWatch({
      ...continuation,
      body,
      bounds: exchange.route,
      canResume,
      runnerState: async () => {
        const state = await run.runnerState();
        return state === 'unknown' && !isListed() ? 'gone' : state;
      },
      onRefused: (silentMs, failure) => run.notReplaced(silentMs, failure),
      onReplaced,
    });
  }

  /** Sends the headers. The length of a stream that another run may continue is not known in advance. */
  #sendHead({ status, headers }: Reply): void {
    const { exchange } = this.#context;
    if (exchange.headSent) return;
    exchange.writeHead(status, exchange.route.resumable ? withoutLength(headers) : headers);
  }
}

function isSuccess({ status }: Reply): boolean {
  return status >= SUCCESS_BEGIN && status < SUCCESS_END;
}

/** Yields the chunks of a body until it ends or fails. Errors thrown by the consumer are not caught. */
async function* chunksUntilError(
  body: Reply['body'],
  onInterrupted: () => void,
): AsyncGenerator<Buffer> {
  try {
    for await (const chunk of body) yield chunk as Buffer;
  } catch {
    onInterrupted();
  }
}

/** @param headers names and values in alternation */
function withoutLength(headers: readonly string[]): readonly string[] {
  return headers.filter((_, index) => {
    const name = headers[index - (index % 2)] ?? '';
    return name.toLowerCase() !== 'content-length';
  });
}

function streamPartOf(
  { status, framing }: Reply,
  afterEvent: string | undefined,
  { firstId: firstEvent, lastId, rest }: AnswerStream,
): StreamPart {
  const lastEvent = firstEvent === undefined ? undefined : lastId;
  return { status, framing, afterEvent, firstEvent, lastEvent, tornBytes: rest.length };
}
