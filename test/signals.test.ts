import { createServer } from 'node:http';
import { setTimeout as pause } from 'node:timers/promises';

import { listenOn } from '../src/utils/http';
import { waitUntil } from './fakes/cluster';
import { LoopbackPrefix } from './fakes/loopback';
import type { Moment } from './fakes/nodeprocess';
import { NodeProcess } from './fakes/nodeprocess';
import { LONG_EVENT_COUNT, LONG_PATH, RouterCluster, sendRequestTo } from './fakes/routers';
import { FakeStore } from './fakes/store';

const MOMENTS: readonly Moment[] = [
  '5 modules',
  '20 modules',
  '40 modules',
  '60 modules',
  '80 modules',
  'settings',
  '0 ms',
  '10 ms',
  '100 ms',
  '900 ms',
];

const store = new FakeStore();
let prefix: LoopbackPrefix;

beforeAll(async () => {
  prefix = await LoopbackPrefix.claim();
  await store.start();
  store.put('op/config', { version: 1, routes: [], services: [] });
});
afterAll(async () => {
  store.stop();
  await prefix.release();
});

describe('a process of the platform whose port is in use', () => {
  // Guards against a process that takes part in the fleet, but neither listens for callers nor ends.
  test('exits with code 2 and leaves nothing in the store', async () => {
    const node = new NodeProcess({ ip: `${prefix.text}.0.1`, store: store.address, graceS: 0.5 });
    const other = createServer();
    await listenOn(other, node.front);
    const overdue = setTimeout(() => node.signal('SIGKILL'), 5000);
    const { code, signal } = await node.exited;
    clearTimeout(overdue);
    other.close();
    expect({ code, signal, errors: node.lineCount('EADDRINUSE') }).toMatchInlineSnapshot(`
     {
       "code": 2,
       "errors": 1,
       "signal": null,
     }
    `);
    expect(store.keys).toEqual(['op/config']);
  }, 10_000);
});

describe('a process of the platform that is signalled in its first second', () => {
  let count = 0;

  function start(at: Moment, signals: readonly NodeJS.Signals[]): NodeProcess {
    count += 1;
    const ip = `${prefix.text}.1.${count}`;
    return new NodeProcess({ ip, store: store.address, graceS: 0.5, early: { signals, at } });
  }

  // Guards against signals that end the process by their default action until it runs.
  test.each([
    [['SIGTERM']],
    [['SIGINT']],
    [['SIGHUP', 'SIGTERM']],
    [['SIGTERM', 'SIGTERM']],
    [['SIGINT', 'SIGINT']],
    [['SIGTERM', 'SIGHUP']],
  ] as const)(
    'it stops with code 0 and leaves nothing in the store: %s',
    async (signals) => {
      const exits = await Promise.all(MOMENTS.map((at) => start(at, signals).exited));
      expect(exits.map(({ code, signal }, at) => `${MOMENTS[at]}: ${signal ?? code}`)).toEqual(
        MOMENTS.map((at) => `${at}: 0`),
      );
      expect(store.keys).toEqual(['op/config']);
      expect(store.leases).toEqual([]);
    },
    30_000,
  );

  // Guards against a reload that ends the process or is lost because it came too early.
  test.each([[['SIGHUP']], [['SIGHUP', 'SIGHUP']]] as const)(
    'it reloads its settings once it runs: %s',
    async (signals) => {
      const ends = await Promise.all(
        MOMENTS.map(async (at) => {
          const node = start(at, signals);
          const reloaded = waitUntil(
            'it reloads',
            async () => node.lineCount('Reloaded') > 0,
            5000,
          );
          await Promise.race([reloaded, node.exited]);
          node.signal('SIGTERM');
          const { code, signal } = await node.exited;
          return `${at}: ${signal ?? code}, ${/Started[^]*Reloaded/.test(node.output)}`;
        }),
      );
      expect(ends).toEqual(MOMENTS.map((at) => `${at}: 0, true`));
    },
    30_000,
  );
});

describe('a process of the platform that is signalled while it stops', () => {
  const cluster = new RouterCluster({ vms: 0, runners: 1, plainRunners: 0 });

  beforeAll(() => cluster.start());
  afterAll(() => cluster.stop());

  // Guards against a repeated signal that drops all open streams.
  test.each(['SIGTERM', 'SIGINT', 'SIGHUP'] as const)(
    'it completes an open stream after a further %s',
    async (signal) => {
      const ip = `${prefix.text}.2.1`;
      const node = new NodeProcess({ ip, store: cluster.store.address, graceS: 6 });
      await waitUntil('it serves', async () => {
        const { status } = await sendRequestTo(node.front, '/model/warm', 'warm');
        return status === 200;
      });
      const before = cluster.arrivalCount;
      const answer = sendRequestTo(node.front, `${LONG_PATH}${signal}`, signal);
      await waitUntil('the stream runs', async () => cluster.arrivalCount > before);
      node.signal('SIGTERM');
      await waitUntil('it drains', async () => node.lineCount('Draining.') > 0);
      node.signal(signal);
      await pause(100);
      node.signal(signal);
      const { status, whole, body } = await answer;
      expect({ status, whole, events: body.match(/^id:/gm)?.length }).toEqual({
        status: 200,
        whole: true,
        events: LONG_EVENT_COUNT,
      });
      expect(await node.exited).toEqual({ code: 0, signal: null });
      expect(cluster.store.keys.filter((key) => key.includes('/vms/'))).toEqual([]);
    },
    30_000,
  );
});
