/** Cuts a stream of server-sent events into whole events. */

const BLANK_LINE = Buffer.from('\n\n');
const ID_FIELD = /^id: ?(.*)$/m;

/** Whole events and what came after them. */
export class EventSplitter {
  #rest: Buffer = Buffer.alloc(0);

  #firstId: string | undefined;

  #lastId: string | undefined;

  /** Events seen so far. */
  events = 0;

  /** Id of the first whole event of this run. */
  get firstId(): string | undefined {
    return this.#firstId;
  }

  /** Id of the last whole event. */
  get lastId(): string | undefined {
    return this.#lastId;
  }

  /** Bytes after the last whole event. */
  get rest(): Buffer {
    return this.#rest;
  }

  /** Takes bytes in and gives the whole events that they complete. */
  push(chunk: Buffer): Buffer {
    const all = this.#rest.length === 0 ? chunk : Buffer.concat([this.#rest, chunk]);
    const end = all.lastIndexOf(BLANK_LINE);
    if (end < 0) {
      this.#rest = all;
      return Buffer.alloc(0);
    }
    const whole = all.subarray(0, end + BLANK_LINE.length);
    this.#rest = all.subarray(end + BLANK_LINE.length);
    this.#read(whole.toString('latin1'));
    return whole;
  }

  /** Begins a new run that goes on after the last whole event; a torn one is sent again from its start. */
  restart(): void {
    this.#rest = Buffer.alloc(0);
    this.#firstId = undefined;
  }

  #read(text: string): void {
    for (const event of text.split('\n\n')) {
      if (event !== '') this.events += 1;
      const id = ID_FIELD.exec(event)?.[1];
      if (id !== undefined) {
        this.#firstId ??= id;
        this.#lastId = id;
      }
    }
  }
}
