/** The opening side of a peer link: connects, says hello, and connects again when it is lost. */

import type { Logger } from 'pino';
import WebSocket from 'ws';

import { toFailure } from '../../core/failure';
import { PendingCalls, answerCall } from './calls';
import { MESSAGE_LIMIT, decode, encode } from './codec';
import type { Message, ToGateway, ToScheduler } from './messages';
import { toGatewaySchema } from './messages';

/** Who opens the link and whereto. */
export interface PeerLinkOptions {
  /** `HOST:PORT` of the scheduler. */
  readonly address: string;
  readonly hello: Omit<Message<'hello'>, 'kind' | 'version'>;
  readonly version: number;
  readonly log: Logger;
  readonly onMessage: (message: ToGateway) => void;
  readonly onUp?: () => void;
  readonly onDown?: () => void;
  /** Answers calls of the other side. Default: none are known. */
  readonly onCall?: (method: string, params: unknown) => Promise<unknown>;
}

/** First wait before connecting again, in milliseconds; doubles up to the limit. */
const RECONNECT_MS = 50;
const RECONNECT_LIMIT_MS = 1000;
/** A link that is silent for this long is closed, in milliseconds. */
const SILENCE_LIMIT_MS = 4000;
const PING_MS = 1000;
/** Time limit of a call, in milliseconds. */
const CALL_LIMIT_MS = 5000;

/** A link that stays open until `close`. */
export class PeerLink {
  readonly address: string;

  readonly #options: PeerLinkOptions;

  readonly #calls = new PendingCalls();

  #socket: WebSocket | undefined;

  #up = false;

  #closed = false;

  #waitMs = RECONNECT_MS;

  #retry: NodeJS.Timeout | undefined;

  #pinger: NodeJS.Timeout | undefined;

  #heardAt = 0;

  #settleOpened: (() => void) | undefined;

  /** Resolves when the first try to connect has ended, well or not. */
  readonly attempted = new Promise<void>((resolve) => {
    this.#settleOpened = resolve;
  });

  /** Bytes sent and received, for measurements. */
  bytes = 0;

  constructor(options: PeerLinkOptions) {
    this.#options = options;
    this.address = options.address;
    this.#connect();
  }

  get up(): boolean {
    return this.#up;
  }

  /** Sends if the link is up and tells whether it was. */
  send(message: ToScheduler): boolean {
    if (!this.#up || !this.#socket) return false;
    const data = encode(message);
    this.bytes += data.length;
    this.#socket.send(data);
    return true;
  }

  /** Calls a method on the other side; rejects with its failure, or with `noOwner` if it does not answer. */
  call(method: string, params: unknown, limitMs = CALL_LIMIT_MS): Promise<unknown> {
    return this.#calls.start(
      (message) => {
        if (!this.send(message)) this.#calls.failAll(`${this.address} is not connected`);
      },
      method,
      params,
      limitMs,
    );
  }

  close(): void {
    this.#closed = true;
    clearTimeout(this.#retry);
    this.#socket?.close();
    this.#down();
  }

  #connect(): void {
    const socket = new WebSocket(`ws://${this.address}/peer`, {
      maxPayload: MESSAGE_LIMIT,
      handshakeTimeout: 2000,
    });
    this.#socket = socket;
    socket.on('open', () => {
      const { hello, version } = this.#options;
      socket.send(encode({ kind: 'hello', version, ...hello }));
    });
    socket.on('message', (data: Buffer) => this.#receive(data));
    socket.on('pong', () => {
      this.#heardAt = performance.now();
    });
    socket.on('error', () => {});
    socket.on('close', () => {
      if (this.#socket !== socket) return;
      this.#settleOpened?.();
      this.#down();
      if (!this.#closed) this.#connectLater();
    });
  }

  #connectLater(): void {
    this.#retry = setTimeout(() => this.#connect(), this.#waitMs);
    this.#waitMs = Math.min(RECONNECT_LIMIT_MS, this.#waitMs * 2);
  }

  #receive(data: Buffer): void {
    this.#heardAt = performance.now();
    this.bytes += data.length;
    try {
      this.#dispatch(decode(toGatewaySchema, data));
    } catch (error) {
      this.#options.log.error({ peer: this.address }, toFailure(error).line);
      this.#socket?.terminate();
    }
  }

  #dispatch(message: ToGateway): void {
    if (message.kind === 'welcome') this.#welcome();
    else if (message.kind === 'reply') this.#calls.settle(message);
    else if (message.kind === 'call') this.#answer(message);
    else this.#options.onMessage(message);
  }

  #answer(message: Message<'call'>): void {
    const { onCall } = this.#options;
    if (!onCall) return;
    answerCall(message, onCall)
      .then((reply) => this.send(reply))
      .catch((error) => this.#options.log.error(toFailure(error).line));
  }

  #welcome(): void {
    this.#up = true;
    this.#settleOpened?.();
    this.#waitMs = RECONNECT_MS;
    this.#pinger = setInterval(() => this.#ping(), PING_MS);
    this.#options.onUp?.();
  }

  /**
   * A frozen peer keeps its TCP connection open, and requests sent to it would
   * wait for ever. Silence after pings closes the link, so that they move on.
   */
  #ping(): void {
    if (performance.now() - this.#heardAt > SILENCE_LIMIT_MS) this.#socket?.terminate();
    else this.#socket?.ping();
  }

  #down(): void {
    clearInterval(this.#pinger);
    this.#calls.failAll(`the link to ${this.address} was lost`);
    if (!this.#up) return;
    this.#up = false;
    this.#options.onDown?.();
  }
}
