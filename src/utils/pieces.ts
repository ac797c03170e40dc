/** Closes connections whose messages arrive in too many pieces. */

import type { ClientRequest, IncomingMessage } from 'node:http';

import { PieceCounter } from '../core/stream/pieces';

/** Cost of an interim response (status 1xx) in pieces: the parser makes a whole message of it. */
const INTERIM_PIECES = 100;

function tooManyPieces(): Error {
  return new Error('found a message in too many pieces');
}

function countBody(message: IncomingMessage, counter: PieceCounter): void {
  const counted = message;
  const push = message.push.bind(message);
  let isOver = false;
  // The parser hands over each chunk by `push`; a reader gets several at once.
  counted.push = (chunk: Buffer | null, encoding) => {
    if (chunk === null) return push(chunk, encoding);
    isOver ||= !counter.add(performance.now(), 1, chunk.length);
    if (!isOver) return push(chunk, encoding);
    // The parser still hands over the rest of the packet.
    if (!message.destroyed) message.destroy(tooManyPieces());
    return false;
  };
}

/** Limits the pieces of the body of a message; one that has more is destroyed, with its connection. */
export function limitPieces(message: IncomingMessage): void {
  countBody(message, new PieceCounter(performance.now()));
}

/** Limits the pieces of the response to a request, and the interim responses before it. Call this before the request is sent. */
export function limitResponsePieces(req: ClientRequest): void {
  const counter = new PieceCounter(performance.now());
  req.on('information', () => {
    const isOver = !counter.add(performance.now(), INTERIM_PIECES, 0);
    if (isOver && !req.destroyed) req.destroy(tooManyPieces());
  });
  req.prependOnceListener('response', (message) => countBody(message, counter));
}
