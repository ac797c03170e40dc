import type { ServerResponse } from 'node:http';
import { setTimeout as pause } from 'node:timers/promises';

import { entryOf } from '../fakes/entry';
import { FakeStore } from '../fakes/store';
import { StoreReader } from '../fakes/storereader';

/** Time after its removal in which a runner may still get work, in milliseconds, less some for the test itself. */
const DRAIN_MS = 2000 - 50;
/** Time after the end of an outage in which running runners register again, in milliseconds. */
const REGISTERED_MS = 1900;
const OUTAGE_MS = 3500;

describe('runners whose entries vanish while calls to the store fail', () => {
  let store: FakeStore;
  let reader: StoreReader;
  const ids = ['a', 'b', 'c'];

  beforeEach(async () => {
    store = new FakeStore();
    await store.start();
    store.put('op/config', { version: 3, routes: [], services: [{ name: 's' }] });
    for (const id of ids) store.put(`servers/${id}`, entryOf());
    reader = new StoreReader(store);
    await reader.sees(...ids);
  });

  afterEach(() => {
    reader.stop();
    store.stop();
  });

  // Guards against work for a runner that has left and exits, since a failed call was taken for an outage.
  test.each<[string, (res: ServerResponse) => void]>([
    ['is cut', (res) => res.destroy()],
    ['hangs', () => {}],
    ['is answered 429', (res) => res.writeHead(429).end()],
    ['is answered 503', (res) => res.writeHead(503).end()],
    ['is answered with no JSON', (res) => res.writeHead(200).end('{"events": [')],
  ])('get no more work in time if a watch %s', async (_, end) => {
    await pause(1000);
    store.breakWatches(end);
    await pause(40);
    store.remove('servers/a');
    await pause(DRAIN_MS);
    expect(reader.runners).toEqual(['b', 'c']);
  });

  // Guards against requests that find no runner, since all entries expired in an outage.
  test('stay in use after an outage until they are registered again', async () => {
    store.fault = 'silent';
    store.breakWatches(() => {});
    for (const id of ids) store.remove(`servers/${id}`);
    await pause(OUTAGE_MS);
    store.fault = 'well';
    const seen = new Set<string>();
    const endsAt = performance.now() + REGISTERED_MS;
    while (performance.now() < endsAt) {
      seen.add(reader.runners.join(' '));
      await pause(20);
    }
    for (const id of ids) store.put(`servers/${id}`, entryOf());
    await pause(1500);
    expect([...seen, reader.runners.join(' ')]).toEqual(['a b c', 'a b c']);
  }, 10_000);
});
