import { createServer } from 'node:http';

import { listenOn } from '../src/utils/http';
import { waitUntil } from './fakes/cluster';
import { LoopbackPrefix } from './fakes/loopback';
import type { Moment } from './fakes/nodeprocess';
import { NodeProcess } from './fakes/nodeprocess';
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
  store.put('config', { version: 1, routes: [], services: [] });
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
    expect(store.keys).toEqual(['config']);
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
  test.each([[['SIGTERM']], [['SIGINT']], [['SIGHUP', 'SIGTERM']]] as const)(
    'it stops with code 0: %s',
    async (signals) => {
      const exits = await Promise.all(MOMENTS.map((at) => start(at, signals).exited));
      expect(exits.map(({ code, signal }, at) => `${MOMENTS[at]}: ${signal ?? code}`)).toEqual(
        MOMENTS.map((at) => `${at}: 0`),
      );
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
