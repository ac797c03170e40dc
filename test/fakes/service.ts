/** Stand-in for a plain service: describes each request in its response and counts runs by idempotency key. */

import type { Server } from 'node:http';
import { setTimeout as pause } from 'node:timers/promises';

import { closeServer, listen, readBody, sendJson } from './http';

/** Body that is sent before a connection is reset. */
export const PARTIAL_BODY = 'part of an answer';

/** Time from the partial body to the reset. */
const RESET_MS = 20;

/** Server of a plain service. A request to `/fault` sets the fields for faults by name. */
export class PlainServer {
  /** Number of runs by idempotency key. */
  readonly runs = new Map<string, number>();

  /** Port in use once started. */
  port = 0;

  /** Delay of each response, in milliseconds. */
  delayMs = 0;

  /** Closes the connection after the run, before the response. */
  dropAnswers = false;

  /** Sends part of a response without a content length, then resets the connection. */
  resetsAnswers = false;

  /** Sends part of a response without a content length, then ends as a killed process does, whose connections are closed in order. */
  diesInAnswers = false;

  /** Sends part of a response without a content length before it reads the request, closes its direction, and resets the connection later. */
  abandonsRequests = false;

  /** Bytes that it sends in answer to each request before it closes the connection; empty disables it. */
  rawAnswer = '';

  /** Reports that the runner is leaving, and refuses requests with status 503. */
  leaving = false;

  /** Closes the connection of each request whose body contains this text; empty disables it. */
  deadly = '';

  #server: Server | undefined;

  #host = '127.0.0.1';

  /** Starts listening, by default on a free port. */
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
        if (this.abandonsRequests) {
          const { socket } = req;
          req.pause();
          socket.end(`HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n\r\n${PARTIAL_BODY}`);
          await pause(RESET_MS);
          socket.resetAndDestroy();
          return;
        }
        const body = await readBody(req);
        const key = String(req.headers['idempotency-key'] ?? '');
        const run = (this.runs.get(key) ?? 0) + 1;
        this.runs.set(key, run);
        await pause(this.delayMs);
        const crashes = this.deadly !== '' && body.includes(this.deadly);
        if (this.dropAnswers || crashes) res.destroy();
        else if (this.rawAnswer !== '') req.socket.end(this.rawAnswer);
        else if (this.resetsAnswers || this.diesInAnswers) {
          const { socket } = req;
          socket.write(`HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n\r\n${PARTIAL_BODY}`);
          await pause(RESET_MS);
          if (this.resetsAnswers) socket.resetAndDestroy();
          else {
            this.#server?.close();
            socket.end();
          }
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

  /** Base URL. */
  get url(): string {
    return `http://${this.#host}:${this.port}`;
  }

  /** Closes the server and its connections. */
  async stop(): Promise<void> {
    if (this.#server) await closeServer(this.#server);
  }
}
