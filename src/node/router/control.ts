/** HTTP servers for directory look-ups and readiness checks. */

import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import { createServer } from 'node:http';

import { listenOn } from '../../utils/http';
import type { ControlCodec } from './types';

/** Dependencies of the control servers. */
export interface ControlContext {
  readonly codec: ControlCodec;
  readonly isReady: () => boolean;
  /** Addresses of VMs that accept callers, for callers in a failure domain; the best first. */
  readonly callerAddresses: (domain: string) => readonly string[];
  /** How long callers may cache a look-up answer, in milliseconds. */
  readonly addressTtlMs: () => number;
}

const HTTP_OK = 200;
const HTTP_NOT_FOUND = 404;
const HTTP_UNAVAILABLE = 503;

/** Serves readiness checks and directory look-ups. */
export class Control {
  readonly #context: ControlContext;

  readonly #servers: Server[] = [];

  constructor(context: ControlContext) {
    this.#context = context;
  }

  /**
   * Listens on the given addresses; the readiness and the directory address may be the same.
   * Rejects if one cannot be bound.
   */
  async listen(addresses: readonly (string | undefined)[]): Promise<void> {
    for (const address of new Set(addresses)) {
      if (address !== undefined) {
        const server = createServer((req, res) => this.#answer(req, res));
        await listenOn(server, address);
        this.#servers.push(server);
      }
    }
  }

  /** Stops listening. */
  close(): void {
    this.#servers.forEach((server) => server.close());
  }

  #answer(req: IncomingMessage, res: ServerResponse): void {
    const { codec, isReady, callerAddresses, addressTtlMs } = this.#context;
    if (codec.isReadiness(req)) {
      res.writeHead(isReady() ? HTTP_OK : HTTP_UNAVAILABLE).end();
    } else if (!codec.isLookup(req)) {
      res.writeHead(HTTP_NOT_FOUND).end();
    } else {
      const addresses = callerAddresses(codec.domainOf(req));
      if (addresses.length === 0) {
        res.writeHead(HTTP_UNAVAILABLE).end();
        return;
      }
      const body = codec.lookupBody(addresses, addressTtlMs());
      res.writeHead(HTTP_OK, { 'content-type': 'application/json' }).end(body);
    }
  }
}
