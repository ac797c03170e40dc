/** The answer of a run: its tokens so far and those who read it. */

import type { Failure } from '../../core/failure';
import { RunnerFailure } from '../runner/client';
import type { Sink } from './sink';

/** Tokens and readers of one answer. */
export class Answer {
  readonly #tokens: string[] = [];

  readonly #sinks = new Set<Sink>();

  #firstAt: number | undefined;

  get tokens(): readonly string[] {
    return this.#tokens;
  }

  /** When the first token came, in milliseconds since 1970. */
  get firstTokenAt(): number | undefined {
    return this.#firstAt;
  }

  /** Adds a reader and gives it what is out already. */
  attach(sink: Sink): void {
    this.#tokens.forEach((text, offset) => sink.token(offset, text));
    this.#sinks.add(sink);
  }

  /** Removes a reader; true if it was the last one. */
  detach(sink: Sink): boolean {
    return this.#sinks.delete(sink) && this.#sinks.size === 0;
  }

  /** Whether a token is the next one. One that is out already is not; one too far ahead means that some were lost. */
  isNext(offset: number): boolean {
    const next = this.#tokens.length;
    if (offset > next) throw new RunnerFailure('lost', `found token ${offset}, expected ${next}`);
    return offset === next;
  }

  /** Adds the next token and passes it on. */
  add(now: number, text: string): void {
    this.#firstAt ??= now;
    const offset = this.#tokens.push(text) - 1;
    for (const sink of this.#sinks) sink.token(offset, text);
  }

  /** Tells all readers that the answer is whole, and lets them go. */
  end(): void {
    for (const sink of this.#takeSinks()) sink.end(this.#tokens.length);
  }

  /** Tells all readers that the rest will not come, and lets them go. */
  fail(failure: Failure, notRun: boolean): void {
    for (const sink of this.#takeSinks()) sink.fail(failure, notRun);
  }

  #takeSinks(): readonly Sink[] {
    const sinks = [...this.#sinks];
    this.#sinks.clear();
    return sinks;
  }
}
