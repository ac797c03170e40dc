/** Tracks answers in progress by connection. */

import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Duplex } from 'node:stream';

import { abortResponse } from './http';

/** Answers in progress, to be cut off when their connection is about to end. */
export class OpenResponses {
  readonly #open = new Map<Duplex, Set<ServerResponse>>();

  /** Adds an answer until it closes. */
  add({ socket, httpVersion }: IncomingMessage, res: ServerResponse): void {
    let answers = this.#open.get(socket);
    if (!answers) {
      answers = new Set();
      this.#open.set(socket, answers);
      socket.once('close', () => this.#open.delete(socket));
      // Node closes the connection in order when the caller half-closes it, which HTTP/1.0 callers
      // take for the end of the answer.
      if (httpVersion === '1.0') socket.prependListener('end', () => this.abortOn(socket));
    }
    answers.add(res);
    res.once('close', () => this.#open.get(socket)?.delete(res));
  }

  /** Cuts off the answers on a connection; false if there are none. */
  abortOn(socket: Duplex): boolean {
    const answers = [...(this.#open.get(socket) ?? [])];
    answers.forEach(abortResponse);
    return answers.length > 0;
  }

  abortAll(): void {
    [...this.#open.keys()].forEach((socket) => this.abortOn(socket));
  }
}
