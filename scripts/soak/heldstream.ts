/** What a caller holds of a stream, over the answers to all of its attempts. */

import { StringDecoder } from 'node:string_decoder';

import type { ResumedStream, SentRequest } from './requests';
import { digestOf, partsOf } from './requests';

const EVENT_END = '\n\n';

/** The events of one stream. */
export class HeldStream {
  readonly #versions = new Set<string>();

  #count = 0;

  /** Id of the request that brought the first event. */
  #firstRequest: string | undefined;

  #error: string | undefined;

  #decoder = new StringDecoder();

  /** Text after the last whole event of this attempt. */
  #rest = '';

  /** Number of whole events. */
  get count(): number {
    return this.#count;
  }

  /** Software versions of the runners that made them. */
  get versions(): readonly string[] {
    return [...this.#versions];
  }

  /** What is wrong with the events; undefined if nothing is. */
  get error(): string | undefined {
    return this.#error;
  }

  /** Whether the answer ended within an event. */
  get isTorn(): boolean {
    return this.#rest !== '';
  }

  /** What a request must name to continue it; undefined if there is no event yet. */
  get resumption(): ResumedStream | undefined {
    const [version] = this.#versions;
    if (this.#firstRequest === undefined || version === undefined) return undefined;
    return { stream: this.#firstRequest, afterEvent: this.#count, version };
  }

  /** Must be called before each attempt. */
  beginAttempt(): void {
    this.#rest = '';
    this.#decoder = new StringDecoder();
  }

  /** Adds a part of the answer to an attempt. */
  receive(sent: SentRequest, chunk: Buffer): void {
    const texts = (this.#rest + this.#decoder.write(chunk)).split(EVENT_END);
    this.#rest = texts.pop() ?? '';
    texts.forEach((text) => this.#add(sent, text));
  }

  #add(sent: SentRequest, text: string): void {
    const parts = partsOf(text);
    const digest = digestOf(sent.path, sent.body);
    this.#count += 1;
    if (parts?.number !== this.#count || parts.digest !== digest) {
      this.#error ??= `found ${JSON.stringify(text)}, expected event ${this.#count}`;
    }
    this.#firstRequest ??= sent.id;
    if (parts) this.#versions.add(parts.version);
  }
}
