/** Open connections whose requests may run again, so that they may be given up when they stall. */

import type { Socket } from 'node:net';

import type { Abandonment } from './types';

interface OpenConnection {
  readonly socket: Socket;
  readonly mayAbandon: Abandonment;
  bytesRead: number;
  /** Since when nothing has arrived, as far as it was checked. */
  silentSince: number;
}

/**
 * Time without bytes after which a connection on a lost path may be given up, in milliseconds. Some
 * connections go on while new ones fail; a prefill may take that long before its answer.
 */
const STALL_MS = 700;
/** Time without bytes after which the path of a connection is probed, in milliseconds, and between two probes. */
export const SILENT_MS = 1000;

/** Connections by the address to which they were opened: of a runner, or of the VM that forwards. */
export class OpenConnections {
  readonly #byAddress = new Map<string, Set<OpenConnection>>();

  /** When the path to an address was last found silent. */
  readonly #silentAt = new Map<string, number>();

  /** Whether there are any. */
  get isEmpty(): boolean {
    return this.#byAddress.size === 0;
  }

  /** Whether there are any to an address. */
  has(address: string): boolean {
    return this.#byAddress.has(address);
  }

  /** Adds a connection until it closes. */
  add(now: number, address: string, socket: Socket, mayAbandon: Abandonment): void {
    const known = this.#byAddress.get(address) ?? new Set();
    const connection = { socket, mayAbandon, bytesRead: socket.bytesRead, silentSince: now };
    known.add(connection);
    this.#byAddress.set(address, known);
    socket.once('close', () => this.#remove(address, connection));
  }

  /** Gives up all connections to an address. */
  abandon(address: string): void {
    for (const { socket } of this.#byAddress.get(address) ?? []) {
      socket.destroy(new Error('the VM that forwards is gone'));
    }
  }

  /** Addresses whose connections have been silent for a while, each once in that time. */
  takeSilent(now: number): readonly string[] {
    this.#update(now);
    const silent = [...this.#byAddress].filter(([address, connections]) => {
      const isSilent = [...connections].some(({ silentSince }) => now - silentSince >= SILENT_MS);
      return isSilent && now - (this.#silentAt.get(address) ?? -Infinity) >= SILENT_MS;
    });
    for (const [address] of silent) this.#silentAt.set(address, now);
    return silent.map(([address]) => address);
  }

  /**
   * Gives up the connections to an address that have stalled since its path was lost and whose
   * owners allow it; returns how many.
   */
  abandonStalled(now: number, address: string, lostSince: number): number {
    this.#update(now);
    const stalled = [...(this.#byAddress.get(address) ?? [])].filter(
      ({ silentSince, mayAbandon }) =>
        now - Math.max(silentSince, lostSince) >= STALL_MS && mayAbandon(),
    );
    for (const { socket } of stalled) socket.destroy(new Error('stalled on a lost path'));
    return stalled.length;
  }

  /** Reads how much has arrived on each connection. */
  #update(now: number): void {
    for (const connections of this.#byAddress.values()) {
      for (const connection of connections) {
        const { bytesRead } = connection.socket;
        if (bytesRead !== connection.bytesRead) {
          connection.bytesRead = bytesRead;
          connection.silentSince = now;
        }
      }
    }
  }

  #remove(address: string, connection: OpenConnection): void {
    const connections = this.#byAddress.get(address);
    connections?.delete(connection);
    if (connections?.size !== 0) return;
    this.#byAddress.delete(address);
    this.#silentAt.delete(address);
  }
}
