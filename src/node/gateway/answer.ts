/** The answer of a run: the tokens received so far and the sinks that read them. */

import type { Failure } from '../../core/failure';
import { RunnerFailure } from '../runner/client';
import type { Sink } from './sink';

/** Collects the tokens of one answer and forwards them to every attached sink. */
export class Answer {
  readonly #tokens: string[] = [];

  readonly #sinks = new Set<Sink>();

  #firstTokenAt: number | undefined;

  /** Tokens received so far, in order. */
  get tokens(): readonly string[] {
    return this.#tokens;
  }

  /** When the first token arrived, in milliseconds since the epoch; undefined before that. */
  get firstTokenAt(): number | undefined {
    return this.#firstTokenAt;
  }

  /** Adds a sink and sends it all tokens received so far. */
  attach(sink: Sink): void {
    this.#tokens.forEach((text, offset) => sink.token(offset, text));
    this.#sinks.add(sink);
  }

  /** Removes a sink; returns true if it was the last one. */
  detach(sink: Sink): boolean {
    return this.#sinks.delete(sink) && this.#sinks.size === 0;
  }

  /**
   * Whether the token at `offset` is the next one; false for a duplicate. Throws
   * `RunnerFailure` (`lost`) if the offset skips tokens, as some were lost then.
   */
  isNext(offset: number): boolean {
    const next = this.#tokens.length;
    if (offset > next) throw new RunnerFailure('lost', `found token ${offset}, expected ${next}`);
    return offset === next;
  }

  /** Appends the next token and forwards it to all sinks. */
  add(now: number, text: string): void {
    this.#firstTokenAt ??= now;
    const offset = this.#tokens.push(text) - 1;
    for (const sink of this.#sinks) sink.token(offset, text);
  }

  /** Ends all sinks with a complete answer and detaches them. */
  end(): void {
    for (const sink of this.#takeSinks()) sink.end(this.#tokens.length);
  }

  /** Ends all sinks with a failure, as the answer stays incomplete, and detaches them. */
  fail(failure: Failure, notRun: boolean): void {
    for (const sink of this.#takeSinks()) sink.fail(failure, notRun);
  }

  #takeSinks(): readonly Sink[] {
    const sinks = [...this.#sinks];
    this.#sinks.clear();
    return sinks;
  }
}
