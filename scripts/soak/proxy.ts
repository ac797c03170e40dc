/** A loopback TCP proxy that injects link faults: delay, silence, one-way traffic, refused and reset connections; and that holds bytes for a while. */

import type { Server, Socket } from 'node:net';
import { connect, createServer } from 'node:net';

/**
 * What a link does with bytes: `well` forwards both directions, `forward` and `back` only the named one
 * (`forward` is from client to server), and `silent` none; `refuse` resets new connections.
 */
export type LinkState = 'well' | 'silent' | 'forward' | 'back' | 'refuse';

/** The two sockets of a proxied connection. */
interface Connection {
  readonly client: Socket;
  readonly server: Socket;
}

/** Proxy in front of one address. */
export class LinkProxy {
  /** Delay added to each chunk of bytes, in milliseconds. */
  delayMs = 0;

  readonly #target: string;

  readonly #server: Server;

  #address: { readonly host: string; readonly port: number } | undefined;

  readonly #connections = new Set<Connection>();

  #state: LinkState = 'well';

  #isHolding = false;

  /** What is held of all connections, in the order of its arrival. */
  #held: (() => void)[] = [];

  #onHeld: ((bytes: Buffer) => void) | undefined;

  constructor(target: string) {
    this.#target = target;
    this.#server = createServer({ allowHalfOpen: true }, (client) => this.#accept(client));
  }

  get state(): LinkState {
    return this.#state;
  }

  /** Sets what the link does. Connections already silenced stay silent; only new ones recover. */
  set state(state: LinkState) {
    this.#state = state;
    for (const connection of this.#connections) this.#pauseBlocked(connection);
  }

  /**
   * Holds all bytes, ends and resets, in both directions, of open and new connections, until `release`.
   * @param onHeld called with bytes of clients when they are held
   */
  hold(onHeld: (bytes: Buffer) => void): void {
    this.#isHolding = true;
    this.#onHeld = onHeld;
  }

  /** Passes on what is held. */
  release(): void {
    this.#isHolding = false;
    const held = this.#held;
    this.#held = [];
    for (const pass of held) pass();
  }

  /** Listens at the given address. */
  async start(host: string, port: number): Promise<void> {
    this.#address = { host, port };
    await new Promise<void>((resolve) => {
      this.#server.listen(port, host, resolve);
    });
  }

  /** Sets whether new connections are accepted, as by a machine on which the process does not run; open ones go on. */
  setAccepting(isAccepting: boolean): void {
    if (!isAccepting) this.#server.close();
    else if (!this.#server.listening && this.#address) {
      this.#server.listen(this.#address.port, this.#address.host);
    }
  }

  /** Resets open connections, each with the given probability. */
  reset(random: () => number, probability: number): void {
    for (const { client, server } of this.#connections) {
      if (random() < probability) {
        client.resetAndDestroy();
        server.resetAndDestroy();
      }
    }
  }

  /** Stops listening and closes all connections. */
  stop(): void {
    this.#address = undefined;
    this.#server.close();
    for (const { client, server } of this.#connections) {
      client.destroy();
      server.destroy();
    }
  }

  #accept(client: Socket): void {
    if (this.#state === 'refuse') {
      client.resetAndDestroy();
      return;
    }
    const [host = '', port = ''] = this.#target.split(':');
    const server = connect({ host, port: Number(port), allowHalfOpen: true });
    const connection = { client, server };
    this.#connections.add(connection);
    this.#forward(client, server, true);
    this.#forward(server, client, false);
    const close = (): void => {
      this.#connections.delete(connection);
    };
    client.once('close', close);
    this.#pauseBlocked(connection);
  }

  /** Forwards bytes, an orderly end as an end, and a reset as a reset. */
  #forward(from: Socket, to: Socket, isFromClient: boolean): void {
    from.setNoDelay(true);
    from.on('data', (chunk) => {
      if (this.#isHolding && isFromClient) this.#onHeld?.(chunk);
      this.#pass(() => {
        if (!to.destroyed) to.write(chunk);
      });
    });
    from.on('end', () => {
      // A reset that arrives together with the last bytes is emitted as `end`, but the socket has no
      // remote address after a reset. Neither has one that ended in both directions.
      const isReset = from.remoteAddress === undefined && !from.writableEnded;
      this.#pass(() => {
        if (isReset) to.resetAndDestroy();
        else to.end();
      });
    });
    from.on('error', () => this.#passReset(to));
    from.on('close', (failed) => {
      if (failed) this.#passReset(to);
    });
  }

  #passReset(to: Socket): void {
    this.#holdOr(() => to.resetAndDestroy());
  }

  /** Passes something on after the delay of the link. */
  #pass(act: () => void): void {
    if (this.delayMs > 0) setTimeout(() => this.#holdOr(act), this.delayMs);
    else this.#holdOr(act);
  }

  #holdOr(act: () => void): void {
    if (this.#isHolding) this.#held.push(act);
    else act();
  }

  /** Stops reading from each side whose bytes must not pass; the other side sees a silent peer. */
  #pauseBlocked({ client, server }: Connection): void {
    if (this.#state === 'silent' || this.#state === 'back') client.pause();
    if (this.#state === 'silent' || this.#state === 'forward') server.pause();
  }
}
