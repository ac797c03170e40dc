/** Server side of peer links. */

import { timingSafeEqual } from 'node:crypto';
import type { IncomingMessage, Server } from 'node:http';
import { createServer } from 'node:http';
import type { Socket } from 'node:net';

import type { Logger } from 'pino';
import type WebSocket from 'ws';
import { WebSocketServer } from 'ws';

import { Failure, toFailure } from '../../core/failure';
import { hashToken } from '../../core/settings/documents';
import { PendingCalls, answerCall } from './calls';
import { MESSAGE_LIMIT, decode, encode } from './codec';
import type { Message, ToGateway, ToScheduler } from './messages';
import { PROTOCOL_VERSION, toSchedulerSchema } from './messages';
import type { TunnelRequest } from './tunnel';
import { decodeTunnel, keyOfTunnel, rejectTunnel } from './tunnel';

/** A connected peer that completed the handshake. */
export interface Peer {
  readonly id: string;
  readonly vm: string;
  readonly role: Message<'hello'>['role'];
  readonly address: string | undefined;
  send(message: ToGateway): void;
  /** Calls a method of the peer. Rejects with the peer's failure, or with `noOwner` if no reply arrives in time. */
  call(method: string, params: unknown): Promise<unknown>;
}

/** Callbacks of a `PeerServer`. */
export interface PeerHandler {
  onOpen(peer: Peer): void;
  /** Receives all messages after `hello` but calls and replies. */
  onMessage(peer: Peer, message: ToScheduler): void;
  onCall(peer: Peer, method: string, params: unknown): Promise<unknown>;
  onClose(peer: Peer): void;
  /** Handles a request for a tunnel. Default: all are rejected. */
  onTunnel?(request: TunnelRequest, socket: Socket): void;
}

/** Options of a `PeerServer`. */
export interface PeerServerOptions {
  readonly host: string;
  readonly port: number;
  /** Key that peers must present. */
  readonly key: string;
  readonly vm: string;
  readonly log: Logger;
  readonly handler: PeerHandler;
}

/** A connection without `hello` within this time is closed, in milliseconds. */
const HELLO_TIMEOUT_MS = 2000;
/** Timeout of a call to a peer, in milliseconds. */
const CALL_TIMEOUT_MS = 2000;
/** A connection without incoming messages or pings for this long is closed, in milliseconds. */
const IDLE_TIMEOUT_MS = 5000;

function isSameKey(a: string, b: string): boolean {
  return timingSafeEqual(Buffer.from(hashToken(a)), Buffer.from(hashToken(b)));
}

class Connection implements Peer {
  readonly id: string;

  readonly vm: string;

  readonly role: Peer['role'];

  readonly address: string | undefined;

  readonly #socket: WebSocket;

  readonly calls = new PendingCalls();

  constructor(socket: WebSocket, hello: Message<'hello'>) {
    this.#socket = socket;
    this.id = hello.id;
    this.vm = hello.vm;
    this.role = hello.role;
    this.address = hello.address;
  }

  send(message: ToGateway): void {
    this.#socket.send(encode(message));
  }

  call(method: string, params: unknown): Promise<unknown> {
    return this.calls.start((message) => this.send(message), method, params, CALL_TIMEOUT_MS);
  }
}

/** Accepts peers that present the key and use the same protocol version. */
export class PeerServer {
  readonly #options: PeerServerOptions;

  readonly #http: Server;

  readonly #sockets: WebSocketServer;

  constructor(options: PeerServerOptions) {
    this.#options = options;
    this.#http = createServer((_req, res) => {
      res.writeHead(426);
      res.end();
    });
    this.#http.on('clientError', (_error, socket) => socket.destroy());
    this.#http.on('connect', (req: IncomingMessage, socket: Socket) =>
      this.#acceptTunnel(req, socket),
    );
    this.#sockets = new WebSocketServer({
      server: this.#http,
      path: '/peer',
      maxPayload: MESSAGE_LIMIT,
    });
    this.#sockets.on('connection', (socket) => this.#accept(socket));
  }

  /** Starts listening; resolves to the port in use. */
  listen(): Promise<number> {
    const { host, port } = this.#options;
    return new Promise((resolve, reject) => {
      this.#http.once('error', reject);
      this.#http.listen(port, host, () => {
        const address = this.#http.address();
        resolve(typeof address === 'object' && address ? address.port : port);
      });
    });
  }

  /** Closes all connections and stops listening. */
  close(): Promise<void> {
    for (const socket of this.#sockets.clients) socket.terminate();
    this.#sockets.close();
    return new Promise((resolve) => {
      this.#http.close(() => resolve());
      this.#http.closeAllConnections();
    });
  }

  #accept(socket: WebSocket): void {
    let peer: Connection | undefined;
    // A frozen gateway keeps its connection open, and its requests would keep their slots. Live peers ping every second.
    const idleTimer = setTimeout(() => socket.terminate(), IDLE_TIMEOUT_MS);
    socket.on('ping', () => idleTimer.refresh());
    const helloTimer = setTimeout(() => socket.terminate(), HELLO_TIMEOUT_MS);
    socket.on('message', (data: Buffer) => {
      idleTimer.refresh();
      try {
        const message = decode(toSchedulerSchema, data);
        if (peer) {
          this.#dispatch(peer, message);
          return;
        }
        peer = this.#handshake(socket, message);
        clearTimeout(helloTimer);
        this.#options.handler.onOpen(peer);
      } catch (error) {
        this.#reject(socket, toFailure(error));
      }
    });
    socket.on('error', (error) => this.#reject(socket, new Failure('peerRejected', error.message)));
    socket.on('close', () => {
      clearTimeout(helloTimer);
      clearTimeout(idleTimer);
      if (!peer) return;
      peer.calls.failAll('the link was lost');
      this.#options.handler.onClose(peer);
    });
  }

  #acceptTunnel(req: IncomingMessage, socket: Socket): void {
    const { key, handler, log } = this.#options;
    socket.on('error', () => {});
    try {
      if (!isSameKey(keyOfTunnel(req), key)) {
        throw new Failure('peerRejected', 'found another peer key');
      }
      const request = decodeTunnel(req);
      if (!handler.onTunnel) throw new Failure('peerRejected', 'found a request for a tunnel');
      socket.setNoDelay(true);
      handler.onTunnel(request, socket);
    } catch (error) {
      log.warn(`Rejected a tunnel. ${toFailure(error).line}.`);
      rejectTunnel(socket, 'vm', 'rejected');
    }
  }

  #handshake(socket: WebSocket, message: ToScheduler): Connection {
    const { key, vm } = this.#options;
    if (message.kind !== 'hello') {
      throw new Failure('peerRejected', `found ${message.kind}, expected hello`);
    }
    if (message.version !== PROTOCOL_VERSION) {
      throw new Failure(
        'peerRejected',
        `found protocol ${message.version}, expected ${PROTOCOL_VERSION}`,
      );
    }
    if (!isSameKey(message.key, key)) throw new Failure('peerRejected', 'found another peer key');
    socket.send(encode({ kind: 'welcome', version: PROTOCOL_VERSION, vm }));
    return new Connection(socket, message);
  }

  #dispatch(peer: Connection, message: ToScheduler): void {
    if (message.kind === 'reply') {
      peer.calls.settle(message);
    } else if (message.kind === 'call') {
      answerCall(message, (method, params) => this.#options.handler.onCall(peer, method, params))
        .then((reply) => peer.send(reply))
        .catch((error) => this.#options.log.error(toFailure(error).line));
    } else {
      this.#options.handler.onMessage(peer, message);
    }
  }

  #reject(socket: WebSocket, failure: Failure): void {
    this.#options.log.warn(`Closed a peer connection. ${failure.line}.`);
    socket.terminate();
  }
}
