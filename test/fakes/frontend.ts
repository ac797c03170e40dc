/** A front end without a router behind it, and a caller that keeps its connection. */

import type { Socket } from 'node:net';
import { connect } from 'node:net';

import pino from 'pino';

import { StoreHistory } from '../../src/core/routing/position';
import type { RoutingConfig } from '../../src/core/routing/types';
import type { FrontEndContext } from '../../src/node/router/frontend';
import { FrontEnd } from '../../src/node/router/frontend';
import { RouterMetrics } from '../../src/node/router/metrics';
import { RoutingState } from '../../src/node/router/routingstate';
import { PlatformIngress } from '../../src/platform/ingress';
import { waitUntil } from './cluster';
import { unboundedBuffers } from './exchange';
import { noopListener } from './listener';
import { authorizerOf } from './runs';

/** A configuration with one route, `h.example/a/`. */
export const oneRoute: RoutingConfig = {
  version: 1,
  routes: [
    {
      name: 'r',
      host: 'h.example',
      prefix: '/a/',
      kind: 'once',
      targets: [{ service: 's', weight: 1 }],
      timeoutMs: 1000,
      aimMs: 100,
      patienceMs: 1000,
      gapMs: 0,
      attempts: 1,
      priority: 1,
      resumable: false,
      anonymous: false,
    },
  ],
  services: [],
  limits: { bodyBytes: 1000, headerTimeoutMs: 1000, idleTimeoutMs: 1000 },
};

/** A request of HTTP/1.1, whose connection is kept. */
export const requestOf = (path: string): string =>
  `GET ${path} HTTP/1.1\r\nHost: h.example\r\nRequest-Id: r1\r\n\r\n`;

const log = pino({ level: 'silent' });

/** Routing state that knows no configuration yet. */
export const emptyState = (): RoutingState =>
  new RoutingState(new StoreHistory(), log, noopListener);

/** A front end that passes its requests to `onRequest`. */
export function frontOf(
  routingState: RoutingState,
  onRequest: FrontEndContext['onRequest'],
): FrontEnd {
  return new FrontEnd({
    routingState,
    authorizer: authorizerOf(routingState),
    codec: new PlatformIngress(),
    buffers: unboundedBuffers,
    metrics: new RouterMetrics(),
    log,
    onRequest,
    onDone: () => {},
  });
}

/** What a caller received: complete responses, in order, and what followed them. */
export interface Received {
  /** Status and idle time announced of each, such as `200 timeout=15`. */
  readonly answers: readonly string[];
  readonly rest: string;
}

const HEAD = /^HTTP\/1\.1 (\d+)[^]*?\r\n\r\n/;

function receivedOf(text: string): Received {
  const answers: string[] = [];
  let rest = text;
  for (let head = HEAD.exec(rest); head; head = HEAD.exec(rest)) {
    const length = head[0].length + Number(/content-length: (\d+)/i.exec(head[0])?.[1] ?? 0);
    if (rest.length < length) break;
    const kept = /^(?:keep-alive: (.*)|connection: (close))\r$/im.exec(head[0]);
    answers.push(`${head[1]} ${kept?.[1] ?? kept?.[2] ?? ''}`.trim());
    rest = rest.slice(length);
  }
  return { answers, rest };
}

/** A caller with one connection. */
export class KeepingCaller {
  readonly socket: Socket;

  #got = '';

  /** When the connection ended, on the clock of `performance.now`; undefined while it is open. */
  closedAt: number | undefined;

  /** @param allowHalfOpen whether it goes on sending once the other side has ended the connection */
  constructor(port: number, allowHalfOpen = false, host = '127.0.0.1') {
    this.socket = connect({ port, host, allowHalfOpen });
    this.socket.on('data', (data) => {
      this.#got += data.toString();
    });
    const ended = (): void => {
      this.closedAt ??= performance.now();
    };
    this.socket.on('error', ended).on('end', ended).on('close', ended);
  }

  close(): void {
    this.socket.destroy();
  }

  get received(): Received {
    return receivedOf(this.#got);
  }

  /** Sends a request; resolves with its answer, or `closed`. */
  async ask(path: string): Promise<string> {
    const count = this.received.answers.length;
    if (this.closedAt !== undefined) return 'closed';
    this.socket.write(requestOf(path));
    await waitUntil(
      `an answer to ${path}`,
      () => this.received.answers.length > count || this.closedAt !== undefined,
    );
    return this.received.answers[count] ?? 'closed';
  }
}
