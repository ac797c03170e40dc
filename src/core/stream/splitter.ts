/** Splits a byte stream into server-sent events. */

/** The blank line that ends an event. */
const BLANK_LINE = /\r?\n\r?\n/g;
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
  #rest: Buffer = Buffer.alloc(0);

  /** Bytes after the last whole event. */
  get rest(): Buffer {
    return this.#rest;
  }

  /** Appends bytes and returns the events that they complete. */
  push(chunk: Buffer): readonly ServerEvent[] {
    const all = this.#rest.length === 0 ? chunk : Buffer.concat([this.#rest, chunk]);
    const text = all.toString('latin1');
    const events: ServerEvent[] = [];
    let begin = 0;
    for (const { 0: line, index } of text.matchAll(BLANK_LINE)) {
      const end = index + line.length;
      const block = text.slice(begin, index);
      const id = ID_FIELD.exec(block)?.[1];
      events.push({ bytes: all.subarray(begin, end), id, hasData: DATA_FIELD.test(block) });
      begin = end;
    }
    this.#rest = all.subarray(begin);
    return events;
  }
}
