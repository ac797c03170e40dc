/** The stream that a caller gets over all runs that make it up. The end of one run's answer is not yet its end. */

import { EventSplitter } from './splitter';

/** Why a run leaves its stream incomplete: another status than the caller has, or an answer that was cut off. */
export type StreamFault = 'status' | 'cut';

/** Events of one stream, from one run after the other. */
export class AnswerStream {
  readonly #splitter = new EventSplitter();

  /** Status of the run that began the stream. */
  #status: number | undefined;

  #fault: StreamFault | undefined;

  /** Whole events so far. */
  get events(): number {
    return this.#splitter.events;
  }

  /** Id of the last whole event. */
  get lastId(): string | undefined {
    return this.#splitter.lastId;
  }

  /** Id of the first event of this run. */
  get firstId(): string | undefined {
    return this.#splitter.firstId;
  }

  /** Bytes of this run after the last whole event. */
  get rest(): Buffer {
    return this.#splitter.rest;
  }

  /** A run begins to answer. */
  begin(status: number): StreamFault | undefined {
    this.#splitter.restart();
    if (this.events === 0) this.#status = status;
    this.#fault = status === this.#status ? undefined : 'status';
    return this.#fault;
  }

  /** Takes bytes of the run in and gives the whole events that they complete. */
  push(chunk: Buffer): Buffer {
    return this.#splitter.push(chunk);
  }

  /**
   * The run's answer has ended.
   * @param arrived whether all of it came
   * @returns why the stream is not complete; undefined if it is
   */
  end(arrived: boolean): StreamFault | undefined {
    this.#fault ??= arrived ? undefined : 'cut';
    return this.#fault;
  }
}
