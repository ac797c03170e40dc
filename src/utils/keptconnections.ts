/** Keeps the connections of callers for as long as their responses announce. */

import type { IncomingMessage, Server } from 'node:http';
import type { Socket } from 'node:net';

import { announcedSeconds, closesAt } from '../core/idle';
import type { CallerResponse } from './callerresponse';
import { MAX_TIMER_MS } from './clock';

/** What the connections of a server have in common. */
interface Terms {
  /** The idle limit in force, in milliseconds. */
  readonly limitMs: () => number;
  /** Whether connections are to be closed after their responses. */
  readonly isLeaving: () => boolean;
}

/** One connection. */
class KeptConnection {
  readonly #socket: Socket;

  readonly #terms: Terms;

  /** Number of responses that are not complete. */
  #open = 0;

  /** Resolves when the response to the last request so far is complete. */
  #lastEnd: Promise<void> = Promise.resolve();

  #announcedMs = 0;

  #idleSince = 0;

  /** Bytes received when the connection became idle. */
  #bytesRead = 0;

  #timer: NodeJS.Timeout | undefined;

  constructor(now: number, socket: Socket, terms: Terms) {
    this.#socket = socket;
    this.#terms = terms;
    socket.once('close', () => clearTimeout(this.#timer));
    this.#becomeIdle(now);
  }

  async admit({ httpVersion }: IncomingMessage, res: CallerResponse): Promise<boolean> {
    const previousEnd = this.#lastEnd;
    this.#open += 1;
    res.addAtBegin(() => this.#headersOf(res, httpVersion));
    this.#lastEnd = new Promise((resolve) => {
      res.once('close', () => {
        this.#end(performance.now());
        resolve();
      });
    });
    await previousEnd;
    const { writable } = this.#socket;
    if (!writable) res.destroy();
    return writable;
  }

  #headersOf(res: CallerResponse, httpVersion: string): Readonly<Record<string, string>> {
    // Requests that were read behind this one are answered first.
    if (this.#terms.isLeaving() && this.#open === 1) return { connection: 'close' };
    // Whether a connection of HTTP/1.0 is kept depends on the other headers.
    if (!res.shouldKeepAlive || httpVersion === '1.0') return {};
    const seconds = announcedSeconds(this.#terms.limitMs());
    this.#announcedMs = seconds * 1000;
    return { connection: 'keep-alive', 'keep-alive': `timeout=${seconds}` };
  }

  #end(now: number): void {
    this.#open -= 1;
    if (this.#open === 0) this.#becomeIdle(now);
  }

  #becomeIdle(now: number): void {
    if (this.#socket.destroyed) return;
    this.#idleSince = now;
    this.#bytesRead = this.#socket.bytesRead;
    this.#schedule(now);
  }

  #schedule(now: number): void {
    clearTimeout(this.#timer);
    const waitMs = Math.min(MAX_TIMER_MS, Math.ceil(this.#closesAt - now));
    this.#timer = setTimeout(() => this.#check(performance.now()), waitMs).unref();
  }

  #check(now: number): void {
    if (this.#open > 0) return;
    if (now < this.#closesAt) this.#schedule(now);
    // A late timer runs before what arrived in the meantime is read.
    else setImmediate(() => this.#closeIdle(performance.now()));
  }

  #closeIdle(now: number): void {
    if (this.#open > 0) return;
    // A request has begun to arrive; the header timeout limits it.
    if (this.#socket.bytesRead !== this.#bytesRead) this.#becomeIdle(now);
    else this.#socket.destroy();
  }

  get #closesAt(): number {
    const state = { idleSince: this.#idleSince, announcedMs: this.#announcedMs };
    return closesAt(state, this.#terms.limitMs());
  }
}

/** The connections of one server. */
export class KeptConnections {
  readonly #terms: Terms;

  readonly #connections = new WeakMap<Socket, KeptConnection>();

  #isLeaving = false;

  /**
   * @param server must not listen yet
   * @param limitMs the idle limit in force, in milliseconds
   */
  constructor(
    server: Server<typeof IncomingMessage, typeof CallerResponse>,
    limitMs: () => number,
  ) {
    this.#terms = { limitMs, isLeaving: () => this.#isLeaving };
    server.on('connection', (socket: Socket) =>
      this.#connections.set(socket, new KeptConnection(performance.now(), socket, this.#terms)),
    );
  }

  /** Announces with each response from now on that its connection is closed after it. */
  leave(): void {
    this.#isLeaving = true;
  }

  /**
   * Must be called for each request as it arrives. Resolves once the responses to earlier requests
   * of its connection are complete, with false if the connection has ended: then the request must
   * not be handled.
   */
  async admit(req: IncomingMessage, res: CallerResponse): Promise<boolean> {
    return (await this.#connections.get(req.socket)?.admit(req, res)) ?? false;
  }
}
