/** The listening side of peer links. */

import { timingSafeEqual } from 'node:crypto';
import type { Server } from 'node:http';
import { createServer } from 'node:http';

import type { Logger } from 'pino';
import type WebSocket from 'ws';
import { WebSocketServer } from 'ws';

import { Failure, toFailure } from '../../core/failure';
import { hashToken } from '../../core/settings/documents';
import { PendingCalls, answerCall } from './calls';
import { MESSAGE_LIMIT, decode, encode } from './codec';
import type { Message, ToGateway, ToScheduler } from './messages';
import { PROTOCOL_VERSION, toSchedulerSchema } from './messages';

/** A peer that said hello. */
export interface Peer {
  readonly id: string;
  readonly vm: string;
  readonly role: Message<'hello'>['role'];
  readonly address: string | undefined;
  send(message: ToGateway): void;
  call(method: string, params: unknown): Promise<unknown>;
}

/** What the owner of the server does. */
export interface PeerHandler {
  onOpen(peer: Peer): void;
  onMessage(peer: Peer, message: ToScheduler): void;
  onCall(peer: Peer, method: string, params: unknown): Promise<unknown>;
  onClose(peer: Peer): void;
}

/** Where to listen and what to ask of peers. */
export interface PeerServerOptions {
  readonly host: string;
  readonly port: number;
  readonly key: string;
  readonly vm: string;
  readonly log: Logger;
  readonly handler: PeerHandler;
}

/** A peer that does not say hello within this time is cut off, in milliseconds. */
const HELLO_LIMIT_MS = 2000;
const CALL_LIMIT_MS = 2000;
/** A peer that sends neither messages nor pings for this long is cut off, in milliseconds. */
const SILENCE_LIMIT_MS = 5000;

function sameKey(a: string, b: string): boolean {
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
    return this.calls.start((message) => this.send(message), method, params, CALL_LIMIT_MS);
  }
}

/** Accepts peers that know the key and speak this version. */
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
    this.#sockets = new WebSocketServer({
      server: this.#http,
      path: '/peer',
      maxPayload: MESSAGE_LIMIT,
    });
    this.#sockets.on('connection', (socket) => this.#accept(socket));
  }

  /** Starts to listen and gives the port. */
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
    // A frozen gateway keeps its link open and its requests would hold their slots; peers ping every second.
    const silence = setTimeout(() => socket.terminate(), SILENCE_LIMIT_MS);
    socket.on('ping', () => silence.refresh());
    const limit = setTimeout(() => socket.terminate(), HELLO_LIMIT_MS);
    socket.on('message', (data: Buffer) => {
      silence.refresh();
      try {
        const message = decode(toSchedulerSchema, data);
        if (peer) {
          this.#dispatch(peer, message);
          return;
        }
        peer = this.#greet(socket, message);
        clearTimeout(limit);
        this.#options.handler.onOpen(peer);
      } catch (error) {
        this.#reject(socket, toFailure(error));
      }
    });
    socket.on('error', (error) => this.#reject(socket, new Failure('peerRejected', error.message)));
    socket.on('close', () => {
      clearTimeout(limit);
      clearTimeout(silence);
      if (!peer) return;
      peer.calls.failAll('the link was lost');
      this.#options.handler.onClose(peer);
    });
  }

  #greet(socket: WebSocket, message: ToScheduler): Connection {
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
    if (!sameKey(message.key, key)) throw new Failure('peerRejected', 'found another peer key');
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
    this.#options.log.warn(`Cut off a peer. ${failure.line}.`);
    socket.terminate();
  }
}
