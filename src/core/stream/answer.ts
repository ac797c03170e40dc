/** Assembles one stream from the answers of one or several runs and decides when it is complete. */

import type { OrderFault } from './order';
import { EventOrder } from './order';
import type { ServerEvent } from './splitter';
import { EventSplitter } from './splitter';

/** Bytes without the end of an event at which an answer is given up; no event of a model is as long. */
const MAX_EVENT_BYTES = 256 * 1024;

/** How the end of an answer is marked: by its length, its last chunk, or the close of its connection. */
export type Framing = 'length' | 'chunked' | 'close';

/** The head of a run's answer. */
export interface AnswerHead {
  readonly status: number;
  readonly framing: Framing;
  /** Whether its content type is server-sent events. */
  readonly isEvents: boolean;
}

/**
 * Why a run does not complete its stream: `status` differs from the status sent to the
 * caller, `order` and `gap` see `OrderFault`, `torn` an end within an event or before the
 * first one, `cut` a broken connection, `oversized` bytes without the end of an event.
 */
export type StreamFault = 'status' | OrderFault | 'torn' | 'cut' | 'oversized';

/** One stream, assembled from consecutive runs. */
export class AnswerStream {
  readonly #order: EventOrder;

  /** Whether the caller has the beginning of the stream from another answer. */
  readonly #isResumed: boolean;

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

  /** Whether the last event has an id. */
  #lastHasId = true;

  #fault: StreamFault | undefined;

  /** @param afterEvent id of the last event that the caller has from another answer; undefined if it has none */
  constructor(afterEvent?: string) {
    this.#order = new EventOrder(afterEvent);
    this.#isResumed = afterEvent !== undefined;
  }

  /** Whole events with data so far. */
  get events(): number {
    return this.#events;
  }

  /** Id of the first event of this run; undefined if there is none. */
  get firstId(): string | undefined {
    return this.#firstId;
  }

  /** Id of the last whole event; undefined if no event had one. */
  get lastId(): string | undefined {
    return this.#order.last;
  }

  /** Whether the last event has an id after which another run can continue. */
  get canContinue(): boolean {
    return this.#lastHasId;
  }

  /** Bytes of this run after the last whole event. */
  get rest(): Buffer {
    return this.#splitter.rest;
  }

  /** Why this run cannot complete the stream; undefined if there is no fault so far. */
  get fault(): StreamFault | undefined {
    return this.#fault;
  }

  /** Starts a run; call this when the head of its answer has arrived. */
  begin(head: AnswerHead): void {
    this.#splitter = new EventSplitter();
    this.#firstId = undefined;
    this.#head = head;
    this.#eventsBefore = this.#events;
    if (this.#events === 0) this.#status = head.status;
    this.#fault = head.status === this.#status ? undefined : 'status';
  }

  /** Takes bytes of the run and returns the whole events to pass on, up to the first one out of order. */
  push(chunk: Buffer): Buffer {
    const passed: Buffer[] = [];
    for (const event of this.#splitter.push(chunk)) {
      this.#fault ??= this.#check(event);
      if (this.#fault) break;
      this.#accept(event);
      passed.push(event.bytes);
    }
    if (this.rest.length > MAX_EVENT_BYTES) this.#fault ??= 'oversized';
    return passed.length === 1 && passed[0] ? passed[0] : Buffer.concat(passed);
  }

  /**
   * Ends the run; call this when its answer has ended.
   * @param arrived whether the answer is whole by its framing
   */
  end(arrived: boolean): void {
    if (!arrived) this.#fault ??= 'cut';
    if (this.#isTruncated) this.#fault ??= 'torn';
  }

  #accept({ id, hasData }: ServerEvent): void {
    this.#firstId ??= id;
    if (!hasData) return;
    this.#events += 1;
    this.#lastHasId = id !== undefined;
  }

  #check({ id, hasData }: ServerEvent): OrderFault | undefined {
    if (id !== undefined) return this.#order.next(id, this.#firstId === undefined);
    // Without an id, nothing proves that the run continues at the right event.
    return hasData && this.#isContinuation && this.#isFirst ? 'order' : undefined;
  }

  get #isContinuation(): boolean {
    return this.#isResumed || this.#eventsBefore > 0;
  }

  /** Whether this run has sent no event yet. */
  get #isFirst(): boolean {
    return this.#events === this.#eventsBefore && this.#firstId === undefined;
  }

  get #isTruncated(): boolean {
    const head = this.#head;
    const hasRest = this.rest.toString('latin1').trim() !== '';
    // The caller already has events, so what remains can only be part of one, whatever the framing.
    if (this.#isContinuation && hasRest) return true;
    // A process that exits closes its connections regularly as well. If only the close marks the end,
    // a partial event, or no event at all, shows that the answer was truncated.
    const hasEvents = head?.isEvents || this.#firstId !== undefined;
    return head?.framing === 'close' && hasEvents && (hasRest || this.#isFirst);
  }
}
