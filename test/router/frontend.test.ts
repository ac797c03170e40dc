import type { Socket } from 'node:net';
import { connect } from 'node:net';
import { setTimeout as pause } from 'node:timers/promises';

import type { Exchange } from '../../src/node/router/exchange';
import { waitUntil } from '../fakes/cluster';
import { KeepingCaller, emptyState, frontOf, oneRoute, requestOf } from '../fakes/frontend';
import { freePort } from '../fakes/loopback';

/** Sends text on a connection and returns all that is received until the response headers are complete or the connection closes. */
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

/** Sends text on a connection; returns what is received within a moment, and whether the connection is closed then. */
async function readAll(
  port: number,
  text: string,
): Promise<{ readonly got: string; readonly isClosed: boolean }> {
  let got = '';
  let isClosed = false;
  const socket = connect(port, '127.0.0.1', () => socket.write(text));
  socket.on('data', (data) => {
    got += data.toString();
  });
  socket.on('error', () => {});
  socket.on('close', () => {
    isClosed = true;
  });
  await pause(300);
  const received = { got, isClosed };
  socket.destroy();
  return received;
}

describe('the front end', () => {
  const routingState = emptyState();
  const seen: string[] = [];
  const priorities: (number | undefined)[] = [];
  const front = frontOf(routingState, async (exchange) => {
    seen.push(exchange.request.target);
    priorities.push(exchange.request.priority);
    exchange.writeHead(200, ['content-length', '2']);
    exchange.end(Buffer.from('ok'));
  });
  let port: number;

  beforeAll(async () => {
    port = await freePort();
    await front.listen(`127.0.0.1:${port}`);
  });
  afterAll(() => front.close());

  /* A VM that has just started has no routes. Callers take a 404 for a removed route and do not retry. */
  test('answers 503 with a retry delay while it has no configuration', async () => {
    const answer = await talk(port, requestOf('/a/1'));
    expect(answer).toMatch(/^HTTP\/1.1 503/);
    expect(answer).toMatch(/retry-after: 0.3/);
  });

  test('answers 404 only once it has a configuration', async () => {
    routingState.learnConfig(0, oneRoute, 'test');
    expect(await talk(port, requestOf('/b/1'))).toMatch(/^HTTP\/1.1 404/);
    expect(await talk(port, requestOf('/a/2'))).toMatch(/^HTTP\/1.1 200/);
  });

  /*
   * An overloaded VM reads a request whose caller has already closed the connection. Sending it
   * on would waste a runner's time.
   */
  test('does not serve a request whose caller has already disconnected', async () => {
    const socket = connect(port, '127.0.0.1', () => {
      socket.write(requestOf('/a/gone'));
      socket.destroy();
    });
    await waitUntil('the connection is closed', () => socket.closed);
    await talk(port, requestOf('/a/after'));
    expect(seen).toEqual(['/a/2', '/a/after']);
  });

  /* Runners order requests by the value, so it must be absent where a service has one priority. */
  test('gives requests a priority only while the routes of their service have different ones', async () => {
    const [route] = oneRoute.routes;
    if (!route) throw new Error('no route');
    const urgent = { ...route, name: 'u', prefix: '/u/', priority: 0 };
    priorities.length = 0;
    await talk(port, requestOf('/a/3'));
    routingState.learnConfig(1, { ...oneRoute, version: 2, routes: [route, urgent] }, 'test');
    await talk(port, requestOf('/a/4'));
    await talk(port, requestOf('/u/5'));
    expect(priorities).toEqual([undefined, 1, 0]);
  });

  /* Callers do not retry after a 413, and a newer configuration may have raised the limit. */
  test('answers 413 only while it knows of no newer configuration', async () => {
    const { limits } = oneRoute;
    const body = 'a'.repeat(2 * limits.bodyBytes);
    const head = requestOf('/a/large').replace('GET', 'POST').trimEnd();
    const request = `${head}\r\nContent-Length: ${body.length}\r\n\r\n${body}`;
    routingState.learnVersion(3, 'test');
    expect(await talk(port, request)).toMatch(/^HTTP\/1.1 503/);
    routingState.learnConfig(2, { ...oneRoute, version: 3 }, 'test');
    expect(await talk(port, request)).toMatch(/^HTTP\/1.1 413/);
    const caller = new KeepingCaller(port);
    caller.socket.write(request.slice(0, -limits.bodyBytes - 1));
    await pause(100);
    const raised = { ...limits, bodyBytes: body.length };
    routingState.learnConfig(3, { ...oneRoute, version: 4, limits: raised }, 'test');
    caller.socket.write(request.slice(-limits.bodyBytes - 1));
    await waitUntil('an answer', () => caller.received.answers.length > 0);
    caller.close();
    expect(caller.received.answers).toEqual(['503 timeout=1']);
  });

  test('answers malformed HTTP once and closes the connection', async () => {
    expect(await talk(port, 'nonsense\r\n\r\n')).toMatch(/^HTTP\/1.1 400/);
  });
});

describe('a connection whose response is in progress', () => {
  const EVENT = 'id: 1\ndata: x\n\n';
  const ONE_REQUEST = 'GET /a/ HTTP/1.0\r\nHost: h.example\r\nRequest-Id: r1\r\n\r\n';
  /** Time to observe a connection, longer than a response of this test takes. */
  const OBSERVED_MS = 300;
  const routingState = emptyState();
  const front = frontOf(routingState, async (exchange) => {
    const hasLength = exchange.request.target === '/a/length';
    const length = hasLength ? ['content-length', String(2 * EVENT.length)] : [];
    exchange.writeHead(200, ['content-type', 'text/event-stream', ...length]);
    await exchange.write(Buffer.from(EVENT));
    await pause(OBSERVED_MS / 3);
    exchange.end(Buffer.from(EVENT));
  });
  let port: number;

  beforeAll(async () => {
    routingState.learnConfig(0, oneRoute, 'test');
    port = await freePort();
    await front.listen(`127.0.0.1:${port}`);
  });
  afterAll(() => front.close());

  /** Sends a request and calls `more` once its response has begun; returns what was received and how the connection ended. */
  async function observe(
    more: (socket: Socket) => void,
    request = ONE_REQUEST,
  ): Promise<{ readonly got: string; readonly end: string }> {
    const socket = connect(port, '127.0.0.1', () => socket.write(request));
    let got = '';
    let end = 'open';
    socket.on('data', (data) => {
      if (got === '') more(socket);
      got += data.toString();
    });
    socket.on('end', () => {
      end = 'closed';
    });
    socket.on('error', () => {
      end = 'reset';
    });
    await pause(OBSERVED_MS);
    socket.destroy();
    return { got, end };
  }

  // Guards against an error response that is written into a response, which then looks complete.
  test.each([
    ['in chunks', requestOf('/a/'), `f\r\n${EVENT}\r\n`],
    ['with a length', requestOf('/a/length'), EVENT],
    [
      'with a length, HTTP/1.0',
      ONE_REQUEST.replace('/a/', '/a/length').replace('Host', 'Connection: keep-alive\r\nHost'),
      EVENT,
    ],
  ])(
    'is reset when the caller of a kept one sends malformed data: %s',
    async (_, request, begun) => {
      const { got, end } = await observe((socket) => socket.write('no request\r\n\r\n'), request);
      expect([/\r\n\r\n(.*)/s.exec(got)?.[1], end]).toEqual([begun, 'reset']);
    },
  );

  // Guards against the same where parsers differ: some read nothing after the last request of a connection.
  test('is whole or reset when the caller of one that is not kept sends malformed data', async () => {
    const { got, end } = await observe((socket) => socket.write('no request\r\n\r\n'));
    const body = /\r\n\r\n(.*)/s.exec(got)?.[1];
    expect([body, end]).toEqual(end === 'reset' ? [EVENT, end] : [EVENT + EVENT, 'closed']);
  });

  // Guards against a response that looks complete because its connection is closed normally when the caller half-closes it.
  test('is reset when the caller half-closes it', async () => {
    const { got, end } = await observe((socket) => socket.end());
    expect([got.split('\r\n\r\n')[1], end]).toEqual([EVENT, 'reset']);
  });

  // Guards against an unchunked response that looks complete when the process ends.
  test('is reset when the front end cuts off all responses', async () => {
    const { got, end } = await observe(() => front.cutOff());
    expect([got.split('\r\n\r\n')[1], end]).toEqual([EVENT, 'reset']);
  });
});

describe('an error in the handler of a request', () => {
  /* Guards against a request that stays without any answer since a counter could not be created under its handler. */
  test.each<readonly [string, (exchange: Exchange) => void]>([
    ['before its response', () => {}],
    [
      'within its response',
      (exchange) => {
        exchange.writeHead(200, ['content-length', '9']);
        exchange.write(Buffer.from('half')).catch(() => {});
      },
    ],
    [
      'after its response',
      (exchange) => {
        exchange.writeHead(200, ['content-length', '5']);
        exchange.end(Buffer.from('whole'));
      },
    ],
  ])('ends it: %s', async (name, respond) => {
    const routingState = emptyState();
    routingState.learnConfig(0, oneRoute, 'store');
    const front = frontOf(routingState, async (exchange) => {
      respond(exchange);
      await pause(20);
      throw new Error('a metric with this name is registered');
    });
    const port = await freePort();
    await front.listen(`127.0.0.1:${port}`);
    const { got, isClosed } = await readAll(port, requestOf('/a/'));
    const [head = '', body] = got.split('\r\n\r\n');
    const code = body?.startsWith('{') ? JSON.parse(body).error.code : undefined;
    expect({
      [name]: [head.split('\r\n')[0], /content-length: \d/i.exec(head)?.[0], code ?? body],
      active: front.activeRequests,
      isClosed,
    }).toMatchSnapshot();
    front.close();
    front.cutOff();
  });
});
