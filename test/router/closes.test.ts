import { setTimeout as pause, setImmediate as yieldOnce } from 'node:timers/promises';

import type { FrontEnd } from '../../src/node/router/frontend';
import { KeepingCaller, emptyState, frontOf, oneRoute, requestOf } from '../fakes/frontend';
import { freePort } from '../fakes/loopback';

const SLOW_MS = 200;

describe('no request is lost to the close of its connection', () => {
  let front: FrontEnd;
  let caller: KeepingCaller;
  let port: number;
  const seen: string[] = [];

  beforeEach(async () => {
    seen.length = 0;
    const state = emptyState();
    state.learnConfig(0, oneRoute, 'test');
    front = frontOf(state, async (exchange) => {
      seen.push(exchange.request.target);
      if (exchange.request.target === '/a/slow') await pause(SLOW_MS);
      exchange.writeHead(200, ['content-length', '2']);
      if (exchange.request.target === '/a/begun') await pause(SLOW_MS);
      exchange.end(Buffer.from('ok'));
    });
    port = await freePort();
    await front.listen(`127.0.0.1:${port}`);
    caller = new KeepingCaller(port);
  });
  afterEach(() => {
    front.close();
    front.cutOff();
    caller.close();
  });

  // Guards against a response that ends the connection while requests that were passed on wait for their turn on it.
  test('requests that were read behind another one while the VM begins to stop', async () => {
    caller.socket.write(requestOf('/a/slow') + requestOf('/a/2'));
    await pause(SLOW_MS / 2);
    front.startDraining();
    await pause(2 * SLOW_MS);
    expect([caller.received, seen]).toEqual([
      { answers: ['200 timeout=1', '200 close'], rest: '' },
      ['/a/slow', '/a/2'],
    ]);
  });

  // Guards against a runner's work for a request that cannot be answered, since its connection ends with an earlier response.
  test('a request behind one that ends the connection is not passed on', async () => {
    front.startDraining();
    caller.socket.write(requestOf('/a/begun'));
    await pause(SLOW_MS / 2);
    caller.socket.write(requestOf('/a/2'));
    await pause(SLOW_MS);
    expect([caller.received, seen]).toEqual([{ answers: ['200 close'], rest: '' }, ['/a/begun']]);
  });

  // Guards against idle connections that are closed as the VM stops to accept new ones, with a request on its way.
  test('a request that crosses the end of accepting, and later ones', async () => {
    const other = new KeepingCaller(port);
    expect(await caller.ask('/a/1')).toBe('200 timeout=1');
    await other.ask('/a/1');
    front.startDraining();
    await yieldOnce();
    const crossing = caller.ask('/a/2');
    front.close();
    expect(await crossing).toBe('200 close');
    await pause(SLOW_MS);
    expect(await other.ask('/a/3')).toBe('200 close');
    expect(await new KeepingCaller(port).ask('/a/4')).toBe('closed');
  });

  // Guards against a body that takes longer than the idle limit.
  test('a request whose body arrives slowly while the limit is lowered', async () => {
    const head = requestOf('/a/').replace('GET', 'POST').trimEnd();
    caller.socket.write(`${head}\r\nContent-Length: 4\r\n\r\nab`);
    await pause(3500);
    caller.socket.write('cd');
    await pause(SLOW_MS);
    expect(caller.received.answers).toEqual(['200 timeout=1']);
  });

  // Guards against a connection that is kept after a refusal but reads nothing more, since the body was not read to its end.
  test('a request after one whose body is over the limit', async () => {
    const head = requestOf('/a/').replace('GET', 'POST').trimEnd();
    caller.socket.write(`${head}\r\nContent-Length: 100000\r\n\r\n${'a'.repeat(2000)}`);
    await pause(SLOW_MS);
    caller.socket.write('a'.repeat(98_000));
    await pause(SLOW_MS);
    expect(caller.received.answers).toEqual(['413 timeout=1']);
    expect(await caller.ask('/a/5')).toBe('200 timeout=1');
  });
});
