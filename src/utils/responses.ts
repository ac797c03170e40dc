/** Tracks the responses in progress on each connection. */

import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
import type { Duplex } from 'node:stream';

import { abortResponse, readsUntilClose } from './http';

/** Responses in progress, to be aborted when their connection is about to close. */
export class OpenResponses {
  readonly #bySocket = new Map<Duplex, Set<ServerResponse>>();

  /** What follows the last response in progress on a connection. */
  readonly #after = new WeakMap<Duplex, () => void>();

  /** Tracks a response until it closes. */
  add(req: IncomingMessage, res: ServerResponse): void {
    const { socket } = req;
    let responses = this.#bySocket.get(socket);
    if (!responses) {
      responses = new Set();
      this.#bySocket.set(socket, responses);
      socket.once('close', () => this.#bySocket.delete(socket));
      // Node closes the connection gracefully when the caller half-closes it.
      if (readsUntilClose(req)) socket.prependListener('end', () => this.abortOn(socket));
    }
    responses.add(res);
    this.#after.delete(socket);
    res.once('close', () => {
      responses.delete(res);
      if (responses.size === 0) this.#after.get(socket)?.();
    });
  }

  /**
   * Has `run` called once no response is in progress on a connection any more, unless another request
   * of it becomes complete before; false if none is in progress now.
   */
  afterAll(socket: Duplex, run: () => void): boolean {
    if (!this.#bySocket.get(socket)?.size) return false;
    this.#after.set(socket, run);
    return true;
  }

  /** Aborts the responses in progress on a connection; false if there are none. */
  abortOn(socket: Duplex): boolean {
    const responses = [...(this.#bySocket.get(socket) ?? [])];
    responses.forEach(abortResponse);
    return responses.length > 0;
  }

  /** Resets a connection if a response is in progress on it, whatever its version of HTTP; false if there is none. */
  resetOn(socket: Duplex): boolean {
    if (!this.#bySocket.get(socket)?.size) return false;
    // Servers of `node:http` have no other sockets.
    (socket as Socket).resetAndDestroy();
    return this.abortOn(socket);
  }

  /** Aborts all responses in progress. */
  abortAll(): void {
    [...this.#bySocket.keys()].forEach((socket) => this.abortOn(socket));
  }
}
