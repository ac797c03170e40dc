import http from 'node:http';
import { setTimeout as pause } from 'node:timers/promises';

import type { FrontEnd } from '../../src/node/router/frontend';
import { waitUntil } from '../fakes/cluster';
import { KeepingCaller, emptyState, frontOf, oneRoute, requestOf } from '../fakes/frontend';
import { freePort } from '../fakes/loopback';

const HEADER_MS = 100;
const SLOW_MS = 600;
/** A part of the headers of a request, and the rest of them. */
const [PART, REST] = [requestOf('/a/2').slice(0, 20), requestOf('/a/2').slice(20)];

describe('the time limit of headers', () => {
  let front: FrontEnd;
  let caller: KeepingCaller;
  const seen: string[] = [];

  beforeEach(async () => {
    seen.length = 0;
    const { createServer } = http;
    // The server looks for late headers each 30 s.
    jest
      .spyOn(http, 'createServer')
      .mockImplementation(((options: object, onRequest: () => void) =>
        createServer({ ...options, connectionsCheckingInterval: 20 }, onRequest)) as never);
    const state = emptyState();
    const limits = { ...oneRoute.limits, headerTimeoutMs: HEADER_MS };
    state.learnConfig(0, { ...oneRoute, limits }, 'test');
    front = frontOf(state, async (exchange) => {
      seen.push(exchange.request.target);
      if (exchange.request.target === '/a/slow') await pause(SLOW_MS);
      exchange.writeHead(200, ['content-length', '2']);
      exchange.end(Buffer.from('ok'));
    });
    const port = await freePort();
    await front.listen(`127.0.0.1:${port}`);
    caller = new KeepingCaller(port);
  });
  afterEach(() => {
    jest.restoreAllMocks();
    front.close();
    front.cutOff();
    caller.close();
  });

  // Guards against a request at a runner whose connection is reset because the next one on it is late.
  test('ends a connection only after the requests before', async () => {
    caller.socket.write(`${requestOf('/a/slow')}${PART}`);
    await waitUntil('the end', () => caller.closedAt !== undefined);
    expect([caller.received.answers, seen]).toEqual([['200 timeout=1', '408 close'], ['/a/slow']]);
  });

  // Guards against an error behind the answer to a request that was late, but complete before its turn.
  test('does not end a connection whose request is complete before its turn', async () => {
    caller.socket.write(`${requestOf('/a/slow')}${PART}`);
    await pause(SLOW_MS / 2);
    caller.socket.write(REST);
    await pause(SLOW_MS);
    expect([caller.received, seen]).toEqual([
      { answers: ['200 timeout=1', '200 timeout=1'], rest: '' },
      ['/a/slow', '/a/2'],
    ]);
    expect(caller.closedAt).toBeUndefined();
  });
});
