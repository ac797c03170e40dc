/** Decides whether the answers of plain runners are complete. */

import type { IncomingMessage } from 'node:http';
import type { Socket } from 'node:net';

import { confirmListening, connected, TcpDialer } from '../../utils/dialer';
import { framingOf } from '../../utils/http';

/** Time that a runner has to accept a connection, in milliseconds. */
const CONNECT_TIMEOUT_MS = 1000;

/**
 * Whether an answer is complete whose body has arrived without an error. A process that is killed
 * closes its connections as one that has sent everything; if nothing else marks the end, its runner
 * must go on accepting connections.
 * @param url base URL of the runner
 */
export async function isWholeAnswer(
  answer: IncomingMessage,
  method: string,
  url: string,
): Promise<boolean> {
  if (framingOf(answer, method) !== 'close') return true;
  const { hostname, port } = new URL(url);
  const dialer = new TcpDialer();
  const open = async (): Promise<Socket> => {
    const socket = dialer.dial(`${hostname}:${port || '80'}`);
    await connected(socket, CONNECT_TIMEOUT_MS).catch((error: Error) => {
      socket.destroy();
      throw error;
    });
    return socket;
  };
  return confirmListening(open).then(
    () => true,
    () => false,
  );
}
