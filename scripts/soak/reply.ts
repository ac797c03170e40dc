/** The answers of the soak's runners, in the platform's wire format. */

import type { ServerResponse } from 'node:http';

import { signatureOf } from './requests';

/** Writes a runner's answer to one request. */
export class Reply {
  readonly #res: ServerResponse;

  readonly #fixedHeaders: Readonly<Record<string, string>>;

  readonly #load: () => string;

  /** @param load the runner's load in its wire format, read when the answer begins */
  constructor(
    res: ServerResponse,
    id: string,
    { runnerId, ratePerS }: { readonly runnerId: string; readonly ratePerS: number | undefined },
    load: () => string,
  ) {
    this.#res = res;
    this.#load = load;
    this.#fixedHeaders = {
      'request-id': id,
      'server-signature': runnerId,
      ...(ratePerS === undefined ? {} : { 'server-limit': String(ratePerS) }),
    };
  }

  get #headers(): Readonly<Record<string, string>> {
    return { ...this.#fixedHeaders, 'server-load': this.#load() };
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
    this.#res.writeHead(status, headers).end();
  }

  fail(): void {
    this.#res.writeHead(500, this.#headers).end('failed');
  }

  json(value: unknown): void {
    this.#res.writeHead(200, { ...this.#headers, 'content-type': 'application/json' });
    this.#res.end(JSON.stringify(value));
  }

  text(text: string): void {
    const headers = { ...this.#headers, 'server-signature': signatureOf(text) };
    this.#res.writeHead(200, headers).end(text);
  }

  event(text: string): void {
    if (!this.#res.headersSent) {
      this.#res.writeHead(200, { ...this.#headers, 'content-type': 'text/event-stream' });
    }
    this.#res.write(text);
  }

  end(): void {
    if (!this.#res.headersSent) this.event('');
    this.#res.end();
  }

  /** Resets the connection, after a partial event if one is given. */
  cut(last = ''): void {
    if (last !== '') this.event(last);
    this.#res.socket?.resetAndDestroy();
  }
}
