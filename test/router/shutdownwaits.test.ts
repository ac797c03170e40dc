import { setTimeout as pause } from 'node:timers/promises';

import { LONG_PATH, RouterCluster } from '../fakes/routers';

const GRACE_MS = 4000;
const ADDRESS_TTL_MS = 300;
/** Two of these take the memory of a runner. */
const LARGE_TOKENS = 20_000;
/** How long the first streams have run when the VM is told to stop; they last three seconds. */
const RUNNING_MS = 1800;
/** How long the last one has waited by then. */
const WAITING_MS = 200;

describe('a VM that stops while a stream waits for a runner', () => {
  const cluster = new RouterCluster({
    vms: 2,
    runners: 1,
    graceMs: GRACE_MS,
    addressTtlMs: ADDRESS_TTL_MS,
  });

  beforeAll(() => cluster.start(), 30_000);
  afterAll(() => cluster.stop(), 30_000);

  /* Guards against a stream that was taken in time, waits, begins late and is cut off by the stop. */
  test('does not begin streams that it may cut off', async () => {
    const send = (id: string): ReturnType<RouterCluster['sendRequest']> =>
      cluster.sendRequest(0, `${LONG_PATH}${id}`, id, {
        'token-usage': `${LARGE_TOKENS},50`,
        'prompt-prefix': `${id}:${LARGE_TOKENS}`,
      });
    const running = ['a', 'b'].map(send);
    await pause(RUNNING_MS - WAITING_MS);
    const waiting = send('c');
    await pause(WAITING_MS);
    const stoppedAt = performance.now();
    const stopped = cluster.stopVm(0);
    const { status, whole, body } = await waiting;
    const endedMs = performance.now() - stoppedAt;
    await stopped;
    const isRunningWhole = (await Promise.all(running)).map((answer) => answer.whole);
    const name = body.match(/"name":"(\w+)"/)?.[1];
    expect({ status, whole, name, isRunningWhole }).toMatchInlineSnapshot(`
     {
       "isRunningWhole": [
         true,
         true,
       ],
       "name": "draining",
       "status": 503,
       "whole": true,
     }
    `);
    // As soon as callers must not send such requests any more.
    expect(endedMs).toBeLessThan(1000);
    expect(cluster.runnersOf('decode')[0]?.runs.has(`${LONG_PATH}c`)).toBe(false);
  }, 30_000);
});
