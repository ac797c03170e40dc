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
 * that do not follow, an end within an event or before any, or an answer that was cut off.
 */
export type StreamFault = 'status' | OrderFault | 'torn' | 'cut';

/** Events of one stream, from one run after the other. */
export class AnswerStream {
  readonly #order = new EventOrder();

  #splitter = new EventSplitter();

  /** Status of the run that began the stream. */
  #status: number | undefined;

  /** Head of this run. */
  #head: AnswerHead | undefined;

  #events = 0;

  /** Events before this run. */
  #eventsBefore = 0;

  /** Id of the first event of this run. */
  #firstId: string | undefined;

  /** Whether the last event told where to continue after it. */
  #named = true;

  #fault: StreamFault | undefined;

  /** Whole events with data so far. */
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
    this.#eventsBefore = this.#events;
    if (this.#events === 0) this.#status = head.status;
    this.#fault = head.status === this.#status ? undefined : 'status';
  }

  /** Takes bytes of the run in and gives the whole events to pass on: none from the first that does not follow. */
  push(chunk: Buffer): Buffer {
    const passed: Buffer[] = [];
    for (const event of this.#splitter.push(chunk)) {
      this.#fault ??= this.#check(event);
      if (this.#fault) break;
      this.#take(event);
      passed.push(event.bytes);
    }
    return passed.length === 1 && passed[0] ? passed[0] : Buffer.concat(passed);
  }

  /** The run's answer has ended; `arrived` if all of it came. */
  end(arrived: boolean): void {
    if (!arrived) this.#fault ??= 'cut';
    if (this.#isTorn) this.#fault ??= 'torn';
  }

  #take({ id, hasData }: ServerEvent): void {
    this.#firstId ??= id;
    if (!hasData) return;
    this.#events += 1;
    this.#named = id !== undefined;
  }

  #check({ id, hasData }: ServerEvent): OrderFault | undefined {
    if (id !== undefined) return this.#order.next(id, this.#firstId === undefined);
    // Without an id, nothing shows that a run continues where it was to.
    return hasData && this.#continues && this.#isFirst ? 'order' : undefined;
  }

  get #continues(): boolean {
    return this.#eventsBefore > 0;
  }

  /** Whether this run has brought no event yet. */
  get #isFirst(): boolean {
    return this.#events === this.#eventsBefore && this.#firstId === undefined;
  }

  get #isTorn(): boolean {
    const head = this.#head;
    const hasRest = this.rest.toString('latin1').trim() !== '';
    // What follows the last event of a run that continues a stream is no event, whatever its framing.
    if (this.#continues && hasRest) return true;
    // A runner that ends closes its connections in order as well, so where only the close tells the
    // end of the answer, half an event or none at all shows that it came too soon.
    const hasEvents = head?.isEvents || this.#firstId !== undefined;
    return head?.framing === 'close' && hasEvents && (hasRest || this.#isFirst);
  }
}
