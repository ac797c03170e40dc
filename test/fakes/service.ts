/** Stand-in for a plain service: echoes, and counts each run by its idempotency key. */

import type { Server } from 'node:http';
import { setTimeout as pause } from 'node:timers/promises';

import { closeServer, listen, readBody, sendJson } from './http';

/** What is sent of an answer that is reset. */
export const PARTIAL_BODY = 'part of an answer';

/** Time from that part to the reset, in milliseconds. */
const RESET_MS = 20;

/** A started service. */
export class PlainServer {
  /** Runs by idempotency key. */
  readonly runs = new Map<string, number>();

  port = 0;

  /** Delay of each answer in milliseconds. */
  delayMs = 0;

  /** Drops the connection after the run, before the answer. */
  dropAnswers = false;

  /** Sends part of an answer that has no length, then resets the connection. */
  resetsAnswers = false;

  leaving = false;

  /** Breaks off each call whose body holds this text. */
  deadly = '';

  #server: Server | undefined;

  #host = '127.0.0.1';

  async start(port?: number, host = '127.0.0.1'): Promise<this> {
    const { server, port: bound } = await listen(
      async (req, res, url) => {
        if (url.pathname === '/fault') {
          Object.assign(this, JSON.parse(await readBody(req)));
          sendJson(res, 200, {});
          return;
        }
        if (url.pathname === '/runs') {
          sendJson(res, 200, Object.fromEntries(this.runs));
          return;
        }
        if (url.pathname === '/v1/load') {
          sendJson(res, 200, { age_ms: 0, running: 0, waiting: 0, leaving: this.leaving });
          return;
        }
        if (this.leaving) {
          sendJson(res, 503, { error: 'leaving', not_run: true });
          return;
        }
        const body = await readBody(req);
        const key = String(req.headers['idempotency-key'] ?? '');
        const run = (this.runs.get(key) ?? 0) + 1;
        this.runs.set(key, run);
        await pause(this.delayMs);
        const ends = this.deadly !== '' && body.includes(this.deadly);
        if (this.dropAnswers || ends) res.destroy();
        else if (this.resetsAnswers) {
          const { socket } = req;
          socket.write(`HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n\r\n${PARTIAL_BODY}`);
          await pause(RESET_MS);
          socket.resetAndDestroy();
        } else {
          sendJson(res, 200, {
            path: url.pathname,
            method: req.method,
            bytes: body.length,
            key,
            run,
          });
        }
      },
      port,
      host,
    );
    this.#host = host;
    this.#server = server;
    this.port = bound;
    return this;
  }

  get url(): string {
    return `http://${this.#host}:${this.port}`;
  }

  async stop(): Promise<void> {
    if (this.#server) await closeServer(this.#server);
  }
}
