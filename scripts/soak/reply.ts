/** The answers of the soak's runners, in the platform's wire format. */

import type { ServerResponse } from 'node:http';

import type { Fate } from './fates';
import { cutHeadOf, endConnection } from './fates';
import { signatureOf } from './requests';

/** What a runner says in the heads of all answers, and what becomes of one. */
export interface ReplySource {
  readonly runnerId: string;
  readonly ratePerS: number | undefined;
  readonly fate: Fate;
  /** The runner's load in its wire format, read when the answer begins. */
  readonly load: () => string;
  /** Ends the process of the runner. */
  readonly stop: () => void;
}

/** Writes a runner's answer to one request. */
export class Reply {
  readonly #res: ServerResponse;

  readonly #source: ReplySource;

  readonly #fixedHeaders: Readonly<Record<string, string>>;

  /** Whether its connection was ended within the head. */
  #isCut = false;

  constructor(res: ServerResponse, id: string, source: ReplySource) {
    this.#res = res;
    this.#source = source;
    const { runnerId, ratePerS } = source;
    this.#fixedHeaders = {
      'request-id': id,
      'server-signature': runnerId,
      ...(ratePerS === undefined ? {} : { 'server-limit': String(ratePerS) }),
    };
  }

  get #headers(): Readonly<Record<string, string>> {
    return { ...this.#fixedHeaders, 'server-load': this.#source.load() };
  }

  /** Whether the process ends within the body. */
  get #isStopping(): boolean {
    return this.#source.fate.kind === 'stop';
  }

  /**
   * The event at which it breaks off, of those from `after` to `events`; infinite if it does not.
   * @param isReset whether its connection is to be reset
   */
  breaksAt(after: number, events: number, isReset: boolean, random: () => number): number {
    return this.#isStopping || isReset ? after + 1 + random() * (events - after) : Infinity;
  }

  /**
   * Rejects the request and declares that it has not run and will not.
   * @param pauseMs time for which the runner wants no requests of the VM, in milliseconds
   */
  reject(status: number, pauseMs?: number): void {
    const headers = {
      ...this.#headers,
      'not-executed': '1',
      ...(pauseMs === undefined ? {} : { 'retry-after': String(pauseMs / 1000) }),
    };
    if (this.#begin(status, headers)) this.#res.end();
  }

  fail(): void {
    if (this.#begin(500, this.#headers)) this.#res.end('failed');
  }

  json(value: unknown): void {
    this.#send({ ...this.#headers, 'content-type': 'application/json' }, JSON.stringify(value));
  }

  text(text: string): void {
    this.#send({ ...this.#headers, 'server-signature': signatureOf(text) }, text);
  }

  event(text: string): void {
    const isBegun =
      this.#res.headersSent ||
      this.#begin(200, { ...this.#headers, 'content-type': 'text/event-stream' });
    if (isBegun) this.#res.write(text);
  }

  end(): void {
    if (!this.#res.headersSent) this.event('');
    if (!this.#isCut) this.#res.end();
  }

  /** Breaks off, after a partial event if one is given: resets the connection unless the process ends. */
  cut(last = ''): void {
    if (last !== '') this.event(last);
    if (this.#isCut) return;
    if (this.#isStopping) this.#stop();
    else this.#res.socket?.resetAndDestroy();
  }

  #send(headers: Readonly<Record<string, string>>, text: string): void {
    if (!this.#begin(200, headers)) return;
    const { fate } = this.#source;
    if (fate.kind === 'stop') {
      this.#res.write(text.slice(0, Math.floor(fate.part * text.length)));
      this.#stop();
    } else this.#res.end(text);
  }

  /** Closes the connection in order and ends the process. */
  #stop(): void {
    this.#res.socket?.end(() => this.#source.stop());
  }

  /** Writes the head; returns false if the connection ends within it. */
  #begin(status: number, headers: Readonly<Record<string, string>>): boolean {
    if (this.#isCut) return false;
    const { fate } = this.#source;
    const { socket } = this.#res;
    if (fate.kind === 'head') {
      this.#isCut = true;
      if (socket) endConnection(socket, cutHeadOf(status, headers, fate), fate.ending);
      return false;
    }
    if (fate.kind !== 'whole') this.#res.useChunkedEncodingByDefault = false;
    this.#res.writeHead(status, headers);
    return true;
  }
}
