import { connect } from 'node:net';

import pino from 'pino';

import { History } from '../../src/core/routing/position';
import type { RoutingConfig } from '../../src/core/routing/types';
import { Front } from '../../src/node/router/front';
import { Knowledge } from '../../src/node/router/knowledge';
import { RouterMetrics } from '../../src/node/router/metrics';
import { silentListener } from '../fakes/listener';
import { gateOf } from '../fakes/runs';
import { PlatformIngress } from '../../src/platform/ingress';
import { eventually } from '../fakes/cluster';

const config: RoutingConfig = {
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

const requestOf = (path: string): string =>
  `GET ${path} HTTP/1.1\r\nHost: h.example\r\nRequest-Id: r1\r\n\r\n`;

/** Sends bytes on a connection and gives all that comes back until it is quiet or closed. */
function talk(port: number, text: string): Promise<string> {
  return new Promise((resolve) => {
    let got = '';
    const socket = connect(port, '127.0.0.1', () => socket.write(text));
    socket.on('data', (data) => {
      got += data.toString();
      if (got.includes('\r\n\r\n')) socket.end();
    });
    socket.on('error', () => resolve(got));
    socket.on('close', () => resolve(got));
  });
}

describe('the front', () => {
  const log = pino({ level: 'silent' });
  const knowledge = new Knowledge(new History(), log, silentListener);
  const seen: string[] = [];
  const front = new Front({
    knowledge,
    gate: gateOf(knowledge),
    codec: new PlatformIngress(),
    metrics: new RouterMetrics(),
    log,
    onRequest: async (exchange) => {
      seen.push(exchange.request.target);
      exchange.head(200, ['content-length', '2']);
      exchange.end(Buffer.from('ok'));
    },
    onDone: () => {},
  });
  const port = 18_000 + Number(process.env.JEST_WORKER_ID ?? 0);

  beforeAll(() => front.listen(`127.0.0.1:${port}`));
  afterAll(() => front.close());

  /* A VM that has just started knows no routes. A 404 would tell callers that the route is gone and they would not come back. */
  test('answers 503 and a time to come back while it knows no configuration', async () => {
    const answer = await talk(port, requestOf('/a/1'));
    expect(answer).toMatch(/^HTTP\/1.1 503/);
    expect(answer).toMatch(/retry-after: 0.3/);
  });

  test('answers 404 only by a configuration', async () => {
    knowledge.learnConfig(0, config, 'test');
    expect(await talk(port, requestOf('/b/1'))).toMatch(/^HTTP\/1.1 404/);
    expect(await talk(port, requestOf('/a/2'))).toMatch(/^HTTP\/1.1 200/);
  });

  /*
   * A VM that is behind with its work reads a request whose caller has closed the
   * connection meanwhile. Sent on, it would take a runner's time for nobody.
   */
  test('does not serve a request whose caller has closed already', async () => {
    const socket = connect(port, '127.0.0.1', () => {
      socket.write(requestOf('/a/gone'));
      socket.destroy();
    });
    await eventually('the connection is closed', () => socket.closed);
    await talk(port, requestOf('/a/after'));
    expect(seen).toEqual(['/a/2', '/a/after']);
  });

  test('answers what is not HTTP once and closes', async () => {
    expect(await talk(port, 'nonsense\r\n\r\n')).toMatch(/^HTTP\/1.1 400/);
  });
});
