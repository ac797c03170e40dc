/** Opening of TCP connections. */

import type { Socket } from 'node:net';
import { connect } from 'node:net';
import { setTimeout as pause } from 'node:timers/promises';

/** Opens connections from this VM to runners. */
export interface Dialer {
  /** Begins to connect to `HOST:PORT`; the socket emits `connect` or `error`. */
  dial(address: string): Socket;
}

/** Connects over TCP. */
export class TcpDialer implements Dialer {
  dial(address: string): Socket {
    const [host = '', port = '0'] = address.split(':');
    return connect({ host, port: Number(port), noDelay: true });
  }
}

/**
 * Resolves when a socket is connected. Rejects after a timeout; the socket may still connect then.
 * @param timeoutMs time to connect, in milliseconds
 */
export function connected(socket: Socket, timeoutMs: number): Promise<void> {
  return new Promise((resolve, reject) => {
    const onTimeout = (): void => {
      // The connection may have been established while the process was busy or paused.
      setImmediate(() => {
        if (socket.connecting) reject(new Error('connect timeout'));
      });
    };
    const timer = setTimeout(onTimeout, timeoutMs);
    socket.once('connect', () => {
      clearTimeout(timer);
      resolve();
    });
    socket.once('error', reject);
    socket.once('close', () => {
      clearTimeout(timer);
      reject(new Error('closed before it was connected'));
    });
  });
}

/**
 * Time in which the kernel closes all connections and listeners of a process that ends, in
 * milliseconds: some connections are closed before the listener, which still accepts others then.
 */
const ENDING_MS = 20;

/**
 * Resolves if the process that closed a connection just now goes on listening. Rejects as `open` does
 * if a connection is not established.
 * @param open opens a connection to the process
 */
export async function confirmListening(open: () => Promise<Socket>): Promise<void> {
  await pause(ENDING_MS);
  (await open()).destroy();
}
