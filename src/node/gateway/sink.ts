/** Where the tokens of an answer go. */

import type { ServerResponse } from 'node:http';

import { Failure } from '../../core/failure';
import { errorBody, sendFailure, sendJson } from '../../utils/http';

/** A reader of one answer. */
export interface Sink {
  /** One more token; `offset` counts from the beginning of the answer. */
  token(offset: number, text: string): void;
  end(tokens: number): void;
  /** The answer ends without being whole. */
  fail(failure: Failure, notRun: boolean): void;
}

/**
 * Passes each token on once. A reader that moves from a broken stream to
 * another one is fed from the beginning again; without this it would see the
 * tokens before the break twice. Fails if the other stream is a different answer.
 */
export class DeduplicatingSink implements Sink {
  readonly #sink: Sink;

  readonly #tokens: string[] = [];

  #failed = false;

  constructor(sink: Sink) {
    this.#sink = sink;
  }

  token(offset: number, text: string): void {
    if (this.#failed) return;
    const next = this.#tokens.length;
    if (offset < next && this.#tokens[offset] === text) return;
    if (offset !== next) {
      this.#contradict(`found another token ${offset} after ${next}`);
      return;
    }
    this.#tokens.push(text);
    this.#sink.token(offset, text);
  }

  end(tokens: number): void {
    if (this.#failed) return;
    const given = this.#tokens.length;
    if (tokens === given) this.#sink.end(tokens);
    else this.#contradict(`found an end after ${tokens} tokens, expected ${given}`);
  }

  /** Passes on a whole answer that was kept as one text. */
  replay(text: string, tokens: number): void {
    this.#sink.token(0, text);
    this.#sink.end(tokens);
  }

  fail(failure: Failure, notRun: boolean): void {
    if (!this.#failed) this.#sink.fail(failure, notRun);
  }

  #contradict(detail: string): void {
    this.#failed = true;
    this.#sink.fail(new Failure('runnerFailed', detail), false);
  }
}

/** What both forms of an answer carry. */
export interface ResponseMetadata {
  readonly id: string;
  /** Name of the service, as the caller gave it. */
  readonly model: string;
}

/** Sends tokens as server-sent events as they come. */
export class EventSink implements Sink {
  readonly #res: ServerResponse;

  readonly #frame: ResponseMetadata;

  constructor(res: ServerResponse, frame: ResponseMetadata) {
    this.#res = res;
    this.#frame = frame;
  }

  token(offset: number, text: string): void {
    if (!this.#res.headersSent) {
      this.#res.writeHead(200, {
        'content-type': 'text/event-stream',
        'cache-control': 'no-store',
      });
    }
    const choices = [{ index: 0, text, finish_reason: null }];
    this.#res.write(
      `data: ${JSON.stringify({ ...this.#frame, object: 'text_completion', choices, offset })}\n\n`,
    );
  }

  end(): void {
    this.#res.end('data: [DONE]\n\n');
  }

  /** Once tokens are out the status is sent, so the failure goes as an event; the missing end mark tells it from a whole answer. */
  fail(failure: Failure, notRun: boolean): void {
    if (!this.#res.headersSent) {
      sendFailure(this.#res, failure, notRun);
      return;
    }
    this.#res.end(`event: error\ndata: ${JSON.stringify(errorBody(failure, notRun))}\n\n`);
  }
}

/** Collects the answer and sends it whole. */
export class JsonSink implements Sink {
  readonly #res: ServerResponse;

  readonly #frame: ResponseMetadata;

  readonly #promptTokens: number;

  #text = '';

  constructor(res: ServerResponse, frame: ResponseMetadata, promptTokens: number) {
    this.#res = res;
    this.#frame = frame;
    this.#promptTokens = promptTokens;
  }

  token(_offset: number, text: string): void {
    this.#text += text;
  }

  end(tokens: number): void {
    const choices = [{ index: 0, text: this.#text, finish_reason: 'stop' }];
    const usage = { prompt_tokens: this.#promptTokens, completion_tokens: tokens };
    sendJson(this.#res, 200, { ...this.#frame, object: 'text_completion', choices, usage });
  }

  fail(failure: Failure, notRun: boolean): void {
    sendFailure(this.#res, failure, notRun);
  }
}
