/** Sinks that write the tokens of an answer to a response. */

import type { ServerResponse } from 'node:http';

import { Failure } from '../../core/failure';
import { errorBody, sendFailure, sendJson } from '../../utils/http';

/** A reader of one answer. Either `end` or `fail` is called last. */
export interface Sink {
  /** Receives one token; `offset` counts tokens from the start of the answer. */
  token(offset: number, text: string): void;
  /** Ends a complete answer of `tokens` tokens. */
  end(tokens: number): void;
  /** Ends an incomplete answer; `notRun` is true if the request provably did not run. */
  fail(failure: Failure, notRun: boolean): void;
}

/**
 * Forwards each token once. After a broken stream, a reader is attached to another
 * one that starts from the first token again; without deduplication it would receive
 * the earlier tokens twice. Fails if the other stream carries a different answer.
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
      this.#failMismatch(`found another token ${offset} after ${next}`);
      return;
    }
    this.#tokens.push(text);
    this.#sink.token(offset, text);
  }

  end(tokens: number): void {
    if (this.#failed) return;
    const forwarded = this.#tokens.length;
    if (tokens === forwarded) this.#sink.end(tokens);
    else this.#failMismatch(`found an end after ${tokens} tokens, expected ${forwarded}`);
  }

  /** Forwards a complete answer that was stored as one text of `tokens` tokens. */
  replay(text: string, tokens: number): void {
    this.#sink.token(0, text);
    this.#sink.end(tokens);
  }

  fail(failure: Failure, notRun: boolean): void {
    if (!this.#failed) this.#sink.fail(failure, notRun);
  }

  #failMismatch(detail: string): void {
    this.#failed = true;
    this.#sink.fail(new Failure('runnerFailed', detail), false);
  }
}

/** Fields that streamed and whole responses have in common. */
export interface ResponseMetadata {
  readonly id: string;
  /** Name of the service, as given by the caller. */
  readonly model: string;
}

/** Sends each token at once as a server-sent event. */
export class EventSink implements Sink {
  readonly #res: ServerResponse;

  readonly #metadata: ResponseMetadata;

  constructor(res: ServerResponse, metadata: ResponseMetadata) {
    this.#res = res;
    this.#metadata = metadata;
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
      `data: ${JSON.stringify({ ...this.#metadata, object: 'text_completion', choices, offset })}\n\n`,
    );
  }

  end(): void {
    this.#res.end('data: [DONE]\n\n');
  }

  /**
   * Once a token was sent, the status can no longer change, so the failure is sent
   * as an event. The missing `[DONE]` distinguishes it from a complete answer.
   */
  fail(failure: Failure, notRun: boolean): void {
    if (!this.#res.headersSent) {
      sendFailure(this.#res, failure, notRun);
      return;
    }
    this.#res.end(`event: error\ndata: ${JSON.stringify(errorBody(failure, notRun))}\n\n`);
  }
}

/** Collects the answer and sends it as one JSON response. */
export class JsonSink implements Sink {
  readonly #res: ServerResponse;

  readonly #metadata: ResponseMetadata;

  readonly #promptTokens: number;

  #text = '';

  constructor(res: ServerResponse, metadata: ResponseMetadata, promptTokens: number) {
    this.#res = res;
    this.#metadata = metadata;
    this.#promptTokens = promptTokens;
  }

  token(_offset: number, text: string): void {
    this.#text += text;
  }

  end(tokens: number): void {
    const choices = [{ index: 0, text: this.#text, finish_reason: 'stop' }];
    const usage = { prompt_tokens: this.#promptTokens, completion_tokens: tokens };
    sendJson(this.#res, 200, { ...this.#metadata, object: 'text_completion', choices, usage });
  }

  fail(failure: Failure, notRun: boolean): void {
    sendFailure(this.#res, failure, notRun);
  }
}
