/** Client side of a peer link: connects, sends `hello`, and reconnects when the connection is lost. */

import type { Logger } from 'pino';
import WebSocket from 'ws';

import { toFailure } from '../../core/failure';
import { PendingCalls, answerCall } from './calls';
import { MESSAGE_LIMIT, decode, encode } from './codec';
import type { Message, ToGateway, ToScheduler } from './messages';
import { toGatewaySchema } from './messages';

/** Options of a `PeerLink`. */
export interface PeerLinkOptions {
  /** `HOST:PORT` of the scheduler. */
  readonly address: string;
  /** Identity of this process, sent after connecting. */
  readonly hello: Omit<Message<'hello'>, 'kind' | 'version'>;
  /** Protocol version to announce. */
  readonly version: number;
  readonly log: Logger;
  /** Receives all messages but `welcome`, calls and replies. */
  readonly onMessage: (message: ToGateway) => void;
  readonly onUp?: () => void;
  readonly onDown?: () => void;
  /** Answers calls of the peer. Without it, calls are ignored. */
  readonly onCall?: (method: string, params: unknown) => Promise<unknown>;
}

/** Initial reconnect delay in milliseconds; doubles up to the limit. */
const INITIAL_RECONNECT_MS = 50;
const MAX_RECONNECT_MS = 1000;
/** A connection without incoming messages or pongs for this long is closed, in milliseconds. */
const IDLE_TIMEOUT_MS = 4000;
const PING_INTERVAL_MS = 1000;
/** Default timeout of a call, in milliseconds. */
const CALL_TIMEOUT_MS = 5000;

/** A link that reconnects until `close` is called. */
export class PeerLink {
  readonly address: string;

  readonly #options: PeerLinkOptions;

  readonly #calls = new PendingCalls();

  #socket: WebSocket | undefined;

  #up = false;

  #closed = false;

  #reconnectMs = INITIAL_RECONNECT_MS;

  #reconnectTimer: NodeJS.Timeout | undefined;

  #pingTimer: NodeJS.Timeout | undefined;

  #lastReceivedAt = 0;

  #resolveAttempted: (() => void) | undefined;

  /** Resolves when the first connection attempt has succeeded or failed. */
  readonly attempted = new Promise<void>((resolve) => {
    this.#resolveAttempted = resolve;
  });

  /** Bytes of messages sent and received, for measurements; `hello` is not counted. */
  bytes = 0;

  constructor(options: PeerLinkOptions) {
    this.#options = options;
    this.address = options.address;
    this.#connect();
  }

  /** Whether the handshake is complete and the connection is open. */
  get up(): boolean {
    return this.#up;
  }

  /** Sends a message if the link is up; returns false if it is not. */
  send(message: ToScheduler): boolean {
    if (!this.#up || !this.#socket) return false;
    const data = encode(message);
    this.bytes += data.length;
    this.#socket.send(data);
    return true;
  }

  /** Calls a method of the peer. Rejects with the peer's failure, or with `noOwner` if no reply arrives within `limitMs`. */
  call(method: string, params: unknown, limitMs = CALL_TIMEOUT_MS): Promise<unknown> {
    return this.#calls.start(
      (message) => {
        if (!this.send(message)) this.#calls.failAll(`${this.address} is not connected`);
      },
      method,
      params,
      limitMs,
    );
  }

  /** Closes the link for good and rejects its pending calls. */
  close(): void {
    this.#closed = true;
    clearTimeout(this.#reconnectTimer);
    this.#socket?.close();
    this.#onDisconnect();
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
      this.#lastReceivedAt = performance.now();
    });
    socket.on('error', () => {});
    socket.on('close', () => {
      if (this.#socket !== socket) return;
      this.#resolveAttempted?.();
      this.#onDisconnect();
      if (!this.#closed) this.#scheduleReconnect();
    });
  }

  #scheduleReconnect(): void {
    this.#reconnectTimer = setTimeout(() => this.#connect(), this.#reconnectMs);
    this.#reconnectMs = Math.min(MAX_RECONNECT_MS, this.#reconnectMs * 2);
  }

  #receive(data: Buffer): void {
    this.#lastReceivedAt = performance.now();
    this.bytes += data.length;
    try {
      this.#dispatch(decode(toGatewaySchema, data));
    } catch (error) {
      this.#options.log.error({ peer: this.address }, toFailure(error).line);
      this.#socket?.terminate();
    }
  }

  #dispatch(message: ToGateway): void {
    if (message.kind === 'welcome') this.#onWelcome();
    else if (message.kind === 'reply') this.#calls.settle(message);
    else if (message.kind === 'call') this.#answerPeer(message);
    else this.#options.onMessage(message);
  }

  #answerPeer(message: Message<'call'>): void {
    const { onCall } = this.#options;
    if (!onCall) return;
    answerCall(message, onCall)
      .then((reply) => this.send(reply))
      .catch((error) => this.#options.log.error(toFailure(error).line));
  }

  #onWelcome(): void {
    this.#up = true;
    this.#resolveAttempted?.();
    this.#reconnectMs = INITIAL_RECONNECT_MS;
    this.#pingTimer = setInterval(() => this.#ping(), PING_INTERVAL_MS);
    this.#options.onUp?.();
  }

  /**
   * A frozen peer keeps its TCP connection open, and requests sent to it would
   * wait forever. The link is closed when pings stay unanswered, so that these
   * requests are sent elsewhere.
   */
  #ping(): void {
    if (performance.now() - this.#lastReceivedAt > IDLE_TIMEOUT_MS) this.#socket?.terminate();
    else this.#socket?.ping();
  }

  #onDisconnect(): void {
    clearInterval(this.#pingTimer);
    this.#calls.failAll(`the link to ${this.address} was lost`);
    if (!this.#up) return;
    this.#up = false;
    this.#options.onDown?.();
  }
}
