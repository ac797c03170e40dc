/** Connections that callers keep: reused until shortly before the end of what the VM announced, then closed by the caller. */

import type { ClientRequest, IncomingMessage } from 'node:http';
import { Agent } from 'node:http';
import type { Socket } from 'node:net';
import type { Duplex } from 'node:stream';

/** How long the connection of a request had been idle before, in milliseconds. */
export interface KeptConnection {
  readonly idleMs: number;
  /** For how long the VM had announced to keep it. */
  readonly announcedMs: number;
  /** Id of the request whose answer announced it. */
  readonly after: string;
}

type Announced = Omit<KeptConnection, 'idleMs'>;

const nothing: Announced = { announcedMs: 0, after: '' };

interface Idle {
  readonly since: number;
  readonly expiry: NodeJS.Timeout;
}

/** Time before the end of the announced one from which on a caller does not use a connection. */
export const CALLER_MARGIN_MS = 200;

/** Time announced by `Keep-Alive: timeout=SECONDS`, in milliseconds; undefined if there is none. */
function announcedMsOf(header: string | undefined): number | undefined {
  const [, seconds] = /timeout=(\d+)/.exec(header ?? '') ?? [];
  return seconds === undefined ? undefined : Number(seconds) * 1000;
}

/** Keeps connections for as long as was announced for each, and no others. */
export class KeptConnections extends Agent {
  readonly #onClosed: (host: string, kept: KeptConnection) => void;

  readonly #announced = new WeakMap<Duplex, Announced>();

  readonly #idle = new WeakMap<Duplex, Idle>();

  readonly #watched = new WeakSet<Duplex>();

  readonly #kept = new WeakMap<ClientRequest, KeptConnection>();

  /** @param onClosed called when a VM, given by its IP address, closes an idle connection before the announced time is over */
  constructor(maxSockets: number, onClosed: (host: string, kept: KeptConnection) => void) {
    super({ keepAlive: true, maxSockets });
    this.#onClosed = onClosed;
  }

  /** How the connection of a request was kept; undefined if it is a new one. */
  keptFor(request: ClientRequest): KeptConnection | undefined {
    return this.#kept.get(request);
  }

  /** For how long a VM, given by `HOST:PORT`, keeps an idle connection; undefined if there is none. */
  idleAnnouncedMs(address: string): number | undefined {
    const free = this.freeSockets[`${address}:`] ?? [];
    const socket = free.find((one) => this.#idle.has(one));
    return socket && this.#announced.get(socket)?.announcedMs;
  }

  /** Notes what a VM announces in an answer on a connection. */
  announced({ socket, headers }: IncomingMessage): void {
    const announcedMs = announcedMsOf(headers['keep-alive']?.toString());
    const after = String(headers['request-id']);
    if (announcedMs === undefined) this.#announced.delete(socket);
    else this.#announced.set(socket, { announcedMs, after });
  }

  override keepSocketAlive(socket: Duplex): boolean {
    const { announcedMs } = this.#announced.get(socket) ?? nothing;
    if (announcedMs <= CALLER_MARGIN_MS) return false;
    const since = performance.now();
    const expiry = setTimeout(() => {
      this.#idle.delete(socket);
      socket.destroy();
    }, announcedMs - CALLER_MARGIN_MS).unref();
    this.#idle.set(socket, { since, expiry });
    if (!this.#watched.has(socket)) this.#watch(socket);
    // The types lack the result.
    super.keepSocketAlive(socket);
    return true;
  }

  override reuseSocket(socket: Duplex, request: ClientRequest): void {
    const idle = this.#idle.get(socket);
    if (idle) {
      clearTimeout(idle.expiry);
      this.#idle.delete(socket);
      const idleMs = performance.now() - idle.since;
      this.#kept.set(request, { idleMs, ...(this.#announced.get(socket) ?? nothing) });
    }
    super.reuseSocket(socket, request);
  }

  override destroy(): void {
    for (const sockets of Object.values(this.freeSockets)) {
      for (const socket of sockets ?? []) this.#forget(socket);
    }
    super.destroy();
  }

  #watch(socket: Duplex): void {
    const host = (socket as Socket).remoteAddress ?? '';
    this.#watched.add(socket);
    for (const event of ['end', 'close']) socket.once(event, () => this.#closed(host, socket));
  }

  #forget(socket: Duplex): Idle | undefined {
    const idle = this.#idle.get(socket);
    clearTimeout(idle?.expiry);
    this.#idle.delete(socket);
    return idle;
  }

  #closed(host: string, socket: Duplex): void {
    const idle = this.#forget(socket);
    if (!idle) return;
    const idleMs = performance.now() - idle.since;
    this.#onClosed(host, { idleMs, ...(this.#announced.get(socket) ?? nothing) });
  }
}
