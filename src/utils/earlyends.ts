/** Fails answers that end with their connections although the peer has not read the whole request. */

import type { ClientRequest, IncomingMessage } from 'node:http';
import type { Socket } from 'node:net';

import { framingOf } from './http';

/** Longest request that a peer takes at once together with its head, in bytes. */
const SHORT_BYTES = 64 * 1024;
/**
 * Time after the end of a connection within which a peer that has not read a long request resets it, in
 * milliseconds: the kernel may have taken the rest of the request, so that only a reset tells.
 */
const RESET_MS = 50;

/**
 * Whether a connection was reset: it has no remote address then. Sockets remember their address, so
 * that nothing else may have asked for it before.
 */
export function isReset(socket: Socket): boolean {
  return socket.remoteAddress === undefined;
}

/**
 * Delays the `end` of a socket that has sent a long request until a reset that follows would have
 * arrived. The other direction stays open meanwhile, as only what is sent can be reset.
 */
export function delayEnd(socket: Socket): void {
  const delayed = socket;
  const emit = socket.emit.bind(socket);
  const { allowHalfOpen } = socket;
  delayed.emit = (event: string | symbol, ...args: unknown[]) => {
    if (event !== 'end' || socket.bytesWritten <= SHORT_BYTES) return emit(event, ...args);
    delayed.allowHalfOpen = true;
    setTimeout(() => {
      if (socket.destroyed) return;
      emit(event, ...args);
      if (!allowHalfOpen) socket.end();
    }, RESET_MS);
    return true;
  };
}

/**
 * Makes an early end of a connection fail a response that ends with its connection: Node reports a reset
 * as a regular end, and a regular end also while the request is still being written. Call this when
 * the headers of the response arrive.
 */
export function failOnEarlyEnd(req: ClientRequest, message: IncomingMessage): void {
  req.on('error', (error) => message.destroy(error));
  const { socket } = message;
  const endsWithConnection = framingOf(message, req.method) === 'close';
  const onEnd = (): void => {
    // A reset that arrives together with the last bytes is emitted as `end`, not as `error`.
    if (isReset(socket)) message.destroy(new Error('connection reset by peer'));
    else if (endsWithConnection && !req.writableFinished) {
      message.destroy(new Error('the connection was closed within the request'));
    }
  };
  if (endsWithConnection) delayEnd(socket);
  socket.prependListener('end', onEnd);
  // The connection may serve other requests after this one.
  message.once('close', () => socket.off('end', onEnd));
}
