import { createServer } from 'node:http';

import { listenOn } from '../src/utils/http';
import { LoopbackPrefix } from './fakes/loopback';
import { NodeProcess } from './fakes/nodeprocess';
import { FakeStore } from './fakes/store';

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
