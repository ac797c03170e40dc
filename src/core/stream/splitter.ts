/** Splits a byte stream into server-sent events. */

import { GrowingBuffer } from './growingbuffer';

/** The blank line that ends an event. */
const BLANK_LINE = /\r?\n\r?\n/g;
const MAX_BLANK_LINE_BYTES = 4;
/** Matches an event's id; an empty id counts as none. */
const ID_FIELD = /^id: ?(.+)$/m;
const DATA_FIELD = /^data(:|$)/m;

/** One event as received. */
export interface ServerEvent {
  /** The event's bytes, including the blank line at its end. */
  readonly bytes: Buffer;
  /** The event's id; undefined if it has none. */
  readonly id: string | undefined;
  /** False for blocks without data, such as comments and `retry` fields, which clients do not dispatch. */
  readonly hasData: boolean;
}

/** Incremental event parser for the answer of one run. */
export class EventSplitter {
  #rest = new GrowingBuffer();

  /** Bytes after the last whole event. */
  get rest(): Buffer {
    return this.#rest.bytes;
  }

  /** Appends bytes and returns the events that they complete. */
  push(chunk: Buffer): readonly ServerEvent[] {
    // A blank line that ends in this chunk may begin in the bytes before it.
    const searchFrom = Math.max(0, this.#rest.length - MAX_BLANK_LINE_BYTES + 1);
    this.#rest.append(chunk);
    const all = this.#rest.bytes;
    const text = all.toString('latin1', searchFrom);
    const events: ServerEvent[] = [];
    let begin = 0;
    for (const { 0: line, index } of text.matchAll(BLANK_LINE)) {
      const blockEnd = searchFrom + index;
      const end = blockEnd + line.length;
      const block = all.toString('latin1', begin, blockEnd);
      const id = ID_FIELD.exec(block)?.[1];
      events.push({ bytes: all.subarray(begin, end), id, hasData: DATA_FIELD.test(block) });
      begin = end;
    }
    if (events.length > 0) this.#rest = new GrowingBuffer(all.subarray(begin));
    return events;
  }
}
