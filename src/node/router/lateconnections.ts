/**
 * Direct connections that were not there in time. A sound runner may hold them for a moment: once
 * one is established, its path is back, without waiting for a probe.
 */

import type { Socket } from 'node:net';

/** Time for which such a connection is kept, in milliseconds: a sound runner may be silent for two seconds. */
const KEPT_MS = 2500;

/** At most one connection for each address. */
export class LateConnections {
  readonly #sockets = new Map<string, Socket>();

  /**
   * Keeps a socket that is still connecting; closes it when it is connected, or if another one is
   * kept for its address.
   * @param onConnected called when it is connected
   */
  keep(address: string, socket: Socket, onConnected: () => void): void {
    if (this.#sockets.has(address) || !socket.connecting || socket.destroyed) {
      socket.destroy();
      return;
    }
    this.#sockets.set(address, socket);
    const timer = setTimeout(() => socket.destroy(), KEPT_MS).unref();
    socket.once('connect', () => {
      onConnected();
      socket.destroy();
    });
    socket.once('close', () => {
      clearTimeout(timer);
      this.#sockets.delete(address);
    });
  }

  /** Closes all of them. */
  stop(): void {
    for (const socket of this.#sockets.values()) socket.destroy();
  }
}
