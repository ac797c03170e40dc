/** The stream that a caller gets over all runs that make it up. The end of one run's answer is not yet its end. */

import type { OrderFault } from './order';
import { EventOrder } from './order';
import type { ServerEvent } from './splitter';
import { EventSplitter } from './splitter';

/** What tells the end of an answer: its length, its last chunk, or the close of its connection. */
export type Framing = 'length' | 'chunked' | 'close';

/** The head of a run's answer. */
export interface AnswerHead {
  readonly status: number;
  readonly framing: Framing;
  /** Whether it says that its body is server-sent events. */
  readonly isEvents: boolean;
}

/**
 * Why a run leaves its stream incomplete: another status than the caller has, events
 * that do not follow, an end within an event, or an answer that was cut off.
 */
export type StreamFault = 'status' | OrderFault | 'torn' | 'cut';

/** The byte of the colon that begins a comment. */
const COLON = 0x3a;

/** Events of one stream, from one run after the other. */
export class AnswerStream {
  readonly #order = new EventOrder();

  #splitter = new EventSplitter();

  /** Status of the run that began the stream. */
  #status: number | undefined;

  /** Head of this run. */
  #head: AnswerHead | undefined;

  #events = 0;

  /** Id of the first event of this run. */
  #firstId: string | undefined;

  /** Whether the last event told where to continue after it. */
  #named = true;

  #fault: StreamFault | undefined;

  /** Whole events so far. */
  get events(): number {
    return this.#events;
  }

  get firstId(): string | undefined {
    return this.#firstId;
  }

  /** Id of the last whole event. */
  get lastId(): string | undefined {
    return this.#order.last;
  }

  /** Whether another run can be asked for exactly what is missing. */
  get canContinue(): boolean {
    return this.#named;
  }

  /** Bytes of this run after the last whole event. */
  get rest(): Buffer {
    return this.#splitter.rest;
  }

  /** Why this run cannot complete the stream. Default: nothing is known against it. */
  get fault(): StreamFault | undefined {
    return this.#fault;
  }

  /** A run begins to answer. */
  begin(head: AnswerHead): void {
    this.#splitter = new EventSplitter();
    this.#firstId = undefined;
    this.#head = head;
    if (this.#events === 0) this.#status = head.status;
    this.#fault = head.status === this.#status ? undefined : 'status';
  }

  /** Takes bytes of the run in and gives the whole events to pass on: none from the first that does not follow. */
  push(chunk: Buffer): Buffer {
    const passed: Buffer[] = [];
    for (const event of this.#splitter.push(chunk)) {
      this.#fault ??= this.#check(event);
      if (this.#fault) break;
      this.#events += 1;
      if (!isComment(event)) this.#named = event.id !== undefined;
      passed.push(event.bytes);
    }
    return passed.length === 1 && passed[0] ? passed[0] : Buffer.concat(passed);
  }

  /** The run's answer has ended; `arrived` if all of it came. */
  end(arrived: boolean): void {
    if (!arrived) this.#fault ??= 'cut';
    if (this.#isTorn) this.#fault ??= 'torn';
  }

  /**
   * A runner that ends closes its connections in order as well, so where only the close
   * tells the end of the answer, half an event shows that it came too soon.
   */
  get #isTorn(): boolean {
    const head = this.#head;
    const hasEvents = head?.isEvents || this.#firstId !== undefined;
    return head?.framing === 'close' && hasEvents && this.rest.length > 0;
  }

  #check({ id }: ServerEvent): OrderFault | undefined {
    if (id === undefined) return undefined;
    const fault = this.#order.next(id, this.#firstId === undefined);
    this.#firstId ??= id;
    return fault;
  }
}

function isComment({ bytes }: ServerEvent): boolean {
  return bytes[0] === COLON;
}
