/** Links to other schedulers, opened on demand and closed when idle. */

import type { Logger } from 'pino';

import { Failure } from '../../core/failure';
import { PeerLink } from '../peer/link';
import { PROTOCOL_VERSION } from '../peer/messages';

/** Identity of the scheduler that opens the links. */
export interface SchedulerLinksOptions {
  readonly vm: string;
  readonly key: string;
  readonly log: Logger;
}

interface OpenLink {
  readonly link: PeerLink;
  readonly ready: Promise<void>;
  idle: NodeJS.Timeout;
}

/** A link without calls for this long is closed, in milliseconds. */
const IDLE_TIMEOUT_MS = 10_000;
/** Timeout for connecting, handshake included, in milliseconds. */
const CONNECT_TIMEOUT_MS = 2000;

/** Links to other schedulers, by address. */
export class SchedulerLinks {
  readonly #options: SchedulerLinksOptions;

  readonly #open = new Map<string, OpenLink>();

  #closed = false;

  constructor(options: SchedulerLinksOptions) {
    this.#options = options;
  }

  /** Calls a method of another scheduler; rejects with its failure, or with `noOwner` if it cannot be reached. */
  async call(address: string, method: string, params: unknown): Promise<unknown> {
    if (this.#closed) throw new Failure('noOwner', 'this scheduler is stopping');
    const open = this.#open.get(address) ?? this.#connect(address);
    clearTimeout(open.idle);
    open.idle = setTimeout(() => this.#close(address), IDLE_TIMEOUT_MS);
    await open.ready;
    return open.link.call(method, params);
  }

  /** Closes all links; later calls reject with `noOwner`. */
  close(): void {
    this.#closed = true;
    for (const address of [...this.#open.keys()]) this.#close(address);
  }

  #connect(address: string): OpenLink {
    const { vm, key, log } = this.#options;
    let up = (): void => {};
    const ready = new Promise<void>((resolve, reject) => {
      const limit = setTimeout(() => {
        this.#close(address);
        reject(new Failure('noOwner', `${address} did not answer within ${CONNECT_TIMEOUT_MS} ms`));
      }, CONNECT_TIMEOUT_MS);
      up = () => {
        clearTimeout(limit);
        resolve();
      };
    });
    const hello = { key, role: 'scheduler' as const, id: vm, vm };
    const link = new PeerLink({
      address,
      hello,
      version: PROTOCOL_VERSION,
      log,
      onMessage: () => {},
      onUp: up,
    });
    const opened: OpenLink = {
      link,
      ready,
      idle: setTimeout(() => this.#close(address), IDLE_TIMEOUT_MS),
    };
    this.#open.set(address, opened);
    return opened;
  }

  #close(address: string): void {
    const open = this.#open.get(address);
    if (!open) return;
    clearTimeout(open.idle);
    this.#open.delete(address);
    open.link.close();
  }
}
