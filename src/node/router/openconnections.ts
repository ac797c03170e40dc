/** Open connections that may be given up, since their requests may run again. */

import type { Socket } from 'node:net';

interface OpenConnection {
  readonly socket: Socket;
  bytesRead: number;
  /** Since when nothing has arrived, as far as it was checked. */
  silentSince: number;
}

/**
 * Time without bytes after which a connection on a lost path is given up, in milliseconds. Some
 * connections go on while new ones fail; a prefill may take that long before its answer.
 */
const STALL_MS = 700;

/** Connections by the address to which they were opened: of a runner, or of the VM that forwards. */
export class OpenConnections {
  readonly #byAddress = new Map<string, Set<OpenConnection>>();

  /** Adds a connection until it closes. */
  add(now: number, address: string, socket: Socket): void {
    const known = this.#byAddress.get(address) ?? new Set();
    const connection = { socket, bytesRead: socket.bytesRead, silentSince: now };
    known.add(connection);
    this.#byAddress.set(address, known);
    socket.once('close', () => {
      known.delete(connection);
      if (known.size === 0 && this.#byAddress.get(address) === known) {
        this.#byAddress.delete(address);
      }
    });
  }

  /** Gives up all connections to an address. */
  abandon(address: string): void {
    for (const { socket } of this.#byAddress.get(address) ?? []) {
      socket.destroy(new Error('the VM that forwards is gone'));
    }
  }

  /**
   * Gives up the connections to an address that have stalled since its path was lost; returns how
   * many.
   */
  abandonStalled(now: number, address: string, lostSince: number): number {
    let count = 0;
    for (const connection of this.#byAddress.get(address) ?? []) {
      const { socket } = connection;
      if (socket.bytesRead !== connection.bytesRead) {
        connection.bytesRead = socket.bytesRead;
        connection.silentSince = now;
      }
      if (now - Math.max(connection.silentSince, lostSince) >= STALL_MS) {
        socket.destroy(new Error('stalled on a lost path'));
        count += 1;
      }
    }
    return count;
  }
}
