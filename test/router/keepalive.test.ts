import { setTimeout as pause, setImmediate as yieldOnce } from 'node:timers/promises';

import type { FrontEnd } from '../../src/node/router/frontend';
import type { RoutingState } from '../../src/node/router/routingstate';
import { freePort } from '../fakes/loopback';
import { KeepingCaller, emptyState, frontOf, oneRoute } from '../fakes/frontend';

/** How long before the end of the announced time callers send their next request. */
const EARLIER_MS = 200;
const SLOW_MS = 300;

interface Setup {
  readonly state: RoutingState;
  readonly front: FrontEnd;
  readonly caller: KeepingCaller;
  readonly port: number;
}

const setups: Setup[] = [];
afterEach(() =>
  setups.splice(0).forEach(({ front, caller }) => {
    front.close();
    front.cutOff();
    caller.close();
  }),
);

let version = 1;
const limit = (state: RoutingState, idleTimeoutMs: number): void => {
  version += 1;
  const limits = { ...oneRoute.limits, idleTimeoutMs };
  state.learnConfig(performance.now(), { ...oneRoute, version, limits }, 'test');
};

async function setUp(idleTimeoutMs: number): Promise<Setup> {
  const state = emptyState();
  limit(state, idleTimeoutMs);
  const front = frontOf(state, async (exchange) => {
    exchange.writeHead(200, ['content-length', '2']);
    if (exchange.request.target === '/a/slow') await pause(SLOW_MS);
    exchange.end(Buffer.from('ok'));
  });
  const port = await freePort();
  await front.listen(`127.0.0.1:${port}`);
  const setup = { state, front, port, caller: new KeepingCaller(port) };
  setups.push(setup);
  return setup;
}

const secondsOf = (answer: string): number => Number(/timeout=(\d+)/.exec(answer)?.[1]);

/** Asks once more shortly before the announced time is over. */
async function askLate(caller: KeepingCaller, answer: string): Promise<string> {
  await pause(secondsOf(answer) * 1000 - EARLIER_MS);
  return caller.ask('/a/late');
}

describe('the idle time that is announced', () => {
  // Guards against a first response that announces the default of the process where less is kept.
  test('is kept from the first request of a process on', async () => {
    const { caller } = await setUp(1500);
    const first = await caller.ask('/a/');
    expect(first).toBe('200 timeout=1');
    expect(await askLate(caller, first)).toBe('200 timeout=1');
  });

  // Guards against an idle timer that takes the limit in force at the end of a response whose headers announced a longer one.
  test('is kept although the limit is lowered while the response runs', async () => {
    const { caller, state } = await setUp(3000);
    const slow = caller.ask('/a/slow');
    await pause(SLOW_MS / 2);
    limit(state, 1000);
    expect(await slow).toBe('200 timeout=3');
    expect(await askLate(caller, await slow)).toBe('200 timeout=1');
  });

  // Guards against a lower limit that is applied to connections that were promised more, or not to their next response.
  test('is kept although the limit is lowered while the connection is idle', async () => {
    const { caller, state } = await setUp(3000);
    const first = await caller.ask('/a/');
    limit(state, 1000);
    expect(await askLate(caller, first)).toBe('200 timeout=1');
    expect(await askLate(caller, '200 timeout=1')).toBe('200 timeout=1');
  }, 10_000);

  // Guards against callers that go by a limit that was just raised, and against one that is announced before it is kept.
  test('grows with the next response once the limit is raised, and the connection is kept for the new one', async () => {
    const { caller, state } = await setUp(1000);
    expect(await caller.ask('/a/')).toBe('200 timeout=1');
    limit(state, 4000);
    await pause(0.8 * 4000);
    const next = await caller.ask('/a/');
    expect(next).toBe('200 timeout=4');
    expect(await askLate(caller, next)).toBe('200 timeout=4');
  }, 12_000);

  // Guards against `timeout=0`, which callers take for "no limit" or for "not kept".
  test('is one second for limits below that', async () => {
    const { caller } = await setUp(100);
    const first = await caller.ask('/a/');
    expect(first).toBe('200 timeout=1');
    expect(await askLate(caller, first)).toBe('200 timeout=1');
  });

  // Guards against a timer that ends at once, again and again, since its delay is over what timers take.
  test('may be longer than a timer can wait', async () => {
    const { caller } = await setUp(10_000_000_000);
    const timers = jest.spyOn(globalThis, 'setTimeout');
    expect(await caller.ask('/a/')).toBe('200 timeout=10000000');
    await pause(50);
    const longest = Math.max(...timers.mock.calls.map(([, ms = 0]) => ms));
    timers.mockRestore();
    expect(longest).toBe(2 ** 31 - 1);
  });

  // Guards against connections that are never closed.
  test('is exceeded by a margin only, also on connections without a request', async () => {
    const { caller, port } = await setUp(1000);
    const silent = new KeepingCaller(port);
    await caller.ask('/a/');
    const idleFrom = performance.now();
    await pause(3500);
    silent.close();
    for (const { closedAt = Infinity } of [caller, silent]) {
      expect(closedAt - idleFrom).toBeGreaterThan(1000);
      expect(closedAt - idleFrom).toBeLessThan(3500);
    }
  });
});

// Guards against a timer that runs late and closes a connection whose next request waits in the socket's buffer.
test('a request that arrives before a late idle timer runs is answered', async () => {
  const { caller } = await setUp(1000);
  await caller.ask('/a/');
  await pause(800);
  // Timers run next, before sockets are read.
  await yieldOnce();
  const next = caller.ask('/a/');
  const blockedFrom = performance.now();
  while (performance.now() - blockedFrom < 3500);
  expect(await next).toBe('200 timeout=1');
});
