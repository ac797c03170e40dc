/** A loopback proxy whose links misbehave: they delay, fall silent, pass one way only, refuse and reset. */

import type { Server, Socket } from 'node:net';
import { connect, createServer } from 'node:net';

/** What becomes of bytes: `forward` and `back` are the only way that passes; `silent` passes none; `refuse` takes no connection. */
export type LinkState = 'well' | 'silent' | 'forward' | 'back' | 'refuse';

interface Pair {
  readonly client: Socket;
  readonly server: Socket;
}

/** One address behind which another one lies. */
export class LinkProxy {
  /** Added to each piece of bytes, in milliseconds. */
  delayMs = 0;

  readonly #target: string;

  readonly #server: Server;

  readonly #pairs = new Set<Pair>();

  #mood: LinkState = 'well';

  constructor(target: string) {
    this.#target = target;
    this.#server = createServer({ allowHalfOpen: true }, (client) => this.#join(client));
  }

  get mood(): LinkState {
    return this.#mood;
  }

  /** Connections that were silenced stay so for good; new ones go by the new mood. */
  set mood(mood: LinkState) {
    this.#mood = mood;
    for (const pair of this.#pairs) this.#apply(pair);
  }

  async start(host: string, port: number): Promise<void> {
    await new Promise<void>((resolve) => {
      this.#server.listen(port, host, resolve);
    });
  }

  /** Resets a part of the open connections. */
  reset(random: () => number, part: number): void {
    for (const { client, server } of this.#pairs) {
      if (random() < part) {
        client.resetAndDestroy();
        server.resetAndDestroy();
      }
    }
  }

  stop(): void {
    this.#server.close();
    for (const { client, server } of this.#pairs) {
      client.destroy();
      server.destroy();
    }
  }

  #join(client: Socket): void {
    if (this.#mood === 'refuse') {
      client.resetAndDestroy();
      return;
    }
    const [host = '', port = ''] = this.#target.split(':');
    const server = connect({ host, port: Number(port), allowHalfOpen: true });
    const pair = { client, server };
    this.#pairs.add(pair);
    this.#pass(client, server);
    this.#pass(server, client);
    const close = (): void => {
      this.#pairs.delete(pair);
    };
    client.once('close', close);
    this.#apply(pair);
  }

  /** Passes bytes on, an end in order as an end, and a reset as a reset. */
  #pass(from: Socket, to: Socket): void {
    from.setNoDelay(true);
    from.on('data', (chunk) => {
      const write = (): void => {
        if (!to.destroyed) to.write(chunk);
      };
      if (this.delayMs > 0) setTimeout(write, this.delayMs);
      else write();
    });
    from.on('end', () => {
      if (this.delayMs > 0) setTimeout(() => to.end(), this.delayMs);
      else to.end();
    });
    from.on('error', () => to.resetAndDestroy());
    from.on('close', (failed) => {
      if (failed) to.resetAndDestroy();
    });
  }

  /** Bytes wait at the side that does not pass; the other end sees a peer that says nothing. */
  #apply({ client, server }: Pair): void {
    if (this.#mood === 'silent' || this.#mood === 'back') client.pause();
    if (this.#mood === 'silent' || this.#mood === 'forward') server.pause();
  }
}
