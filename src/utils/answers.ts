/** Answers that are under way, by connection. */

import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Duplex } from 'node:stream';

import { cutOff } from './http';

/** Cuts answers off whose connection cannot bring them to their end. */
export class OpenAnswers {
  readonly #open = new Map<Duplex, Set<ServerResponse>>();

  /** An answer begins; it is forgotten at its end. */
  add({ socket, httpVersion }: IncomingMessage, res: ServerResponse): void {
    let answers = this.#open.get(socket);
    if (!answers) {
      answers = new Set();
      this.#open.set(socket, answers);
      socket.once('close', () => this.#open.delete(socket));
      // Node answers the end of what a caller sends by closing in order, which such callers take
      // for the end of the answer.
      if (httpVersion === '1.0') socket.prependListener('end', () => this.cutOn(socket));
    }
    answers.add(res);
    res.once('close', () => this.#open.get(socket)?.delete(res));
  }

  /** Cuts the answers on a connection; false if there were none. */
  cutOn(socket: Duplex): boolean {
    const answers = [...(this.#open.get(socket) ?? [])];
    answers.forEach(cutOff);
    return answers.length > 0;
  }

  cutAll(): void {
    [...this.#open.keys()].forEach((socket) => this.cutOn(socket));
  }
}
