/** Relays the answers of a request's runs to its caller as one stream. */

import type { Engine } from '../../core/routing/types';
import type { AnswerStream } from '../../core/stream/answer';
import { readBody } from '../../utils/http';
import type { Exchange } from './exchange';
import { PaceMonitor } from './pace';
import type { Run, StreamPart } from './runs';
import type { Reply } from './types';

/** Largest answer without events that is passed on, in bytes. */
const ANSWER_BYTES = 4 * 1024 * 1024;
const SUCCESS_BEGIN = 200;
const SUCCESS_END = 300;
const SERVER_ERROR = 500;

/** An answer that has begun, and the run that gives it. */
export interface Answer {
  readonly reply: Reply;
  readonly run: Run;
}

/** How far a run has come. */
export type RelayProgress =
  | { readonly kind: 'started' }
  | { readonly kind: 'slow' }
  | { readonly kind: 'finished'; readonly outputTokens: number };

/** `failed`: the runner's own failure was passed on; `broken`: the stream is incomplete. */
export type RelayOutcome = 'done' | 'failed' | 'broken';

/** What a relay works with. */
export interface RelayContext {
  readonly exchange: Exchange;
  readonly engine: Engine;
  readonly stream: AnswerStream;
  /** Whether another run may follow one that failed. */
  readonly canResume: () => boolean;
  readonly onProgress: (note: RelayProgress) => void;
}

/** Relays the runs of one request. */
export class Relay {
  readonly #context: RelayContext;

  constructor(context: RelayContext) {
    this.#context = context;
  }

  async forward(answer: Answer): Promise<RelayOutcome> {
    const { reply } = answer;
    if (!reply.genuine) {
      reply.body.destroy();
      return 'broken';
    }
    const { stream } = this.#context;
    const afterEvent = stream.lastId;
    stream.begin(reply);
    if (stream.fault || !isSuccess(reply)) return this.#passWhole(answer, afterEvent);
    return this.#passEvents(answer, afterEvent);
  }

  /** Handles an answer that cannot be part of the stream; it is passed on only if nothing was before. */
  async #passWhole({ reply, run }: Answer, afterEvent: string | undefined): Promise<RelayOutcome> {
    const { exchange, stream, canResume: mayGoOn } = this.#context;
    const body = await readBody(reply.body, ANSWER_BYTES).catch(() => undefined);
    const part = partOf(reply, afterEvent, stream);
    if (!body || !reply.body.complete) {
      run.interrupted(performance.now(), part);
      return 'broken';
    }
    run.completed(performance.now());
    if (stream.fault) run.diverged(part, stream.fault);
    const failed = reply.status >= SERVER_ERROR;
    if (exchange.headSent || (failed && mayGoOn())) return 'broken';
    exchange.writeHead(reply.status, reply.headers);
    exchange.end(body);
    return failed ? 'failed' : 'done';
  }

  /** Passes on whole events only, so that another run can continue after a break within one. */
  async #passEvents({ reply, run }: Answer, afterEvent: string | undefined): Promise<RelayOutcome> {
    const { exchange, engine, stream, onProgress: onNote } = this.#context;
    const pace = new PaceMonitor(exchange.route.gapMs);
    let started = false;
    let broke = false;
    const chunks = untilBreak(reply.body, () => {
      broke = true;
    });
    for await (const chunk of chunks) {
      const events = stream.push(chunk);
      if (events.length > 0) {
        if (!started) onNote({ kind: 'started' });
        started = true;
        run.answered(performance.now());
        if (pace.observe(performance.now(), stream.events)) onNote({ kind: 'slow' });
        this.#beginStream(reply);
        await exchange.write(events);
      }
      if (stream.fault) break;
    }
    stream.end(!broke && reply.body.complete);
    const part = partOf(reply, afterEvent, stream);
    if (stream.fault === 'cut' || stream.fault === 'torn') run.interrupted(performance.now(), part);
    else if (stream.fault) run.diverged(part, stream.fault);
    if (stream.fault) return 'broken';
    run.completed(performance.now(), part);
    this.#beginStream(reply);
    exchange.end(stream.rest);
    onNote({ kind: 'finished', outputTokens: stream.events * engine.eventTokens });
    return 'done';
  }

  /** A stream that another run may continue has no length known in advance. */
  #beginStream({ status, headers }: Reply): void {
    const { exchange } = this.#context;
    if (exchange.headSent) return;
    exchange.writeHead(status, exchange.route.resumable ? withoutLength(headers) : headers);
  }
}

function isSuccess({ status }: Reply): boolean {
  return status >= SUCCESS_BEGIN && status < SUCCESS_END;
}

/** Yields the chunks of a body until it ends or breaks. Errors thrown by the consumer are not caught. */
async function* untilBreak(body: Reply['body'], onBreak: () => void): AsyncGenerator<Buffer> {
  try {
    for await (const chunk of body) yield chunk as Buffer;
  } catch {
    onBreak();
  }
}

/** @param headers names and values by turns */
function withoutLength(headers: readonly string[]): readonly string[] {
  return headers.filter((_, index) => {
    const name = headers[index - (index % 2)] ?? '';
    return name.toLowerCase() !== 'content-length';
  });
}

function partOf(
  { status, framing }: Reply,
  afterEvent: string | undefined,
  { firstId: firstEvent, lastId, rest }: AnswerStream,
): StreamPart {
  const lastEvent = firstEvent === undefined ? undefined : lastId;
  return { status, framing, afterEvent, firstEvent, lastEvent, tornBytes: rest.length };
}
