import { setTimeout as pause } from 'node:timers/promises';

import pino from 'pino';

import { StoreHistory } from '../../src/core/routing/position';
import type { RunnerRecord } from '../../src/core/routing/directory';
import type { FeedListener } from '../../src/node/router/types';
import { StoreFeed } from '../../src/platform/feed';
import { StoreLock } from '../../src/platform/lock';
import { waitUntil } from '../fakes/cluster';
import { entryOf } from '../fakes/entry';
import { FakeStore, clientOf } from '../fakes/store';

const VALUE_BYTES = 1_048_576;
const longValue = Buffer.alloc(VALUE_BYTES, 'x').toString('base64');

/** A configuration of nearly the longest value. */
function longConfig(version: number): unknown {
  const routes = Array.from({ length: 2000 }, (_, index) => ({
    name: `route-${index}-${'r'.repeat(300)}`,
    host: 'tiles.example',
    'path-prefix': `/${index}/`,
    kind: 'idempotent',
    'timeout-ms': 1000,
    'target-latency-ms': 500,
    priority: 2,
    service: 'tiles',
    'max-attempts': 1,
  }));
  return { version, routes, services: [{ name: 'tiles', 'health-path': '/health' }] };
}

describe('a feed of a store that holds many entries of another writer', () => {
  const lines: string[] = [];
  const log = pino({ base: null }, { write: (line) => lines.push(line) });
  let store: FakeStore;
  let feed: StoreFeed;
  let runners: Map<string, RunnerRecord>;
  let listed: string[][];
  let versions: number[];

  beforeEach(async () => {
    store = new FakeStore();
    await store.start();
    store.pageItems = 500;
    runners = new Map();
    listed = [];
    versions = [];
    lines.length = 0;
    const history = new StoreHistory();
    const self = { vm: 'vm1', address: '10.0.0.9:1' };
    feed = new StoreFeed(clientOf(store, history), self, history, log);
    const ignored = (): void => {};
    const listener: FeedListener = {
      onConfig: ({ version }) => versions.push(version),
      onRunners: (records) => records.forEach((record) => runners.set(record.id, record)),
      onListed: (ids) => listed.push([...ids].sort()),
      onEra: ignored,
      onVms: ignored,
      onSuspects: ignored,
      onVersions: ignored,
      onFleetSize: ignored,
      onConfirmed: ignored,
      onStore: ignored,
    };
    feed.start(listener);
  });

  afterEach(() => {
    feed.stop();
    store.stop();
  });

  function flood(prefix: string, count: number): void {
    for (let index = 0; index < count; index += 1) {
      store.putEncoded(`${prefix}odd-${String(index).padStart(4, '0')}`, longValue);
    }
  }

  /** Reads the list again. */
  function discardHistory(): void {
    store.put('other/change', 'x');
    store.compact();
  }

  const isUsed = (id: string): boolean => runners.get(id)?.runner !== undefined;

  // Guards against VMs that serve nothing until they have read all entries of another writer.
  test('passes on each page before the next, and a change at once', async () => {
    store.put('servers/a', entryOf());
    store.put('servers/z', entryOf());
    flood('servers/', 300);
    feed.setReading(true);
    await waitUntil('the first runner is known', () => isUsed('a'));
    store.put('servers/z', entryOf({ slots: 4 }));
    await waitUntil('a change is known', () => runners.get('z')?.runner?.slots === 4);
    expect(listed).toEqual([]);
    await waitUntil('the list is read', () => listed.length === 1, 20_000);
    expect(listed).toEqual([['a', 'z']]);
  }, 30_000);

  // Guards against runners that are taken for removed as the store fails within a list.
  test('goes on with the page that failed, and keeps what the others brought', async () => {
    store.put('servers/a', entryOf());
    flood('servers/', 8);
    store.put('servers/z', entryOf());
    store.onPage = (after) => {
      if (after !== 'servers/odd-0004') return;
      store.onPage = undefined;
      store.fault = 'busy';
      setTimeout(() => {
        store.fault = 'well';
      }, 300);
    };
    feed.setReading(true);
    await waitUntil('the list is read', () => listed.length > 0);
    expect([isUsed('a'), listed.at(-1)]).toEqual([true, ['a', 'z']]);
  });

  // Guards against a configuration that comes late because a list is read.
  test('passes on a long configuration while a list is read', async () => {
    flood('servers/', 600);
    store.put('op/config', longConfig(1));
    feed.setReading(true);
    await waitUntil('it is known', () => versions.includes(1));
    store.put('op/config', longConfig(2));
    await waitUntil('the next one is known', () => versions.includes(2));
    expect([versions, listed]).toEqual([[1, 2], []]);
    discardHistory();
    store.put('op/config', longConfig(3));
    await waitUntil('that after the history was discarded is known', () => versions.includes(3));
    expect([versions, listed]).toEqual([[1, 2, 3], []]);
  }, 40_000);

  // Guards against runners that stay out of use, or in use, after another writer has replaced their entries.
  test('follows entries that become readable or unreadable between two lists', async () => {
    flood('servers/', 4);
    store.put('servers/z', entryOf());
    feed.setReading(true);
    await waitUntil('the list is read', () => listed.length === 1);
    store.put('servers/odd-0001', entryOf());
    store.putEncoded('servers/z', longValue);
    discardHistory();
    await waitUntil('the list is read again', () => listed.length === 2);
    expect(listed.at(-1)).toEqual(['odd-0001']);
    expect([isUsed('z'), isUsed('odd-0001'), isUsed('odd-0002')]).toEqual([false, true, false]);
    const found = lines.filter((line) => line.includes('Found entries that cannot be read'));
    expect(found.map((line) => (JSON.parse(line) as { entries: number }).entries)).toEqual([4]);
  });

  // Guards against a list that is never ended, so that runners that have left stay in use.
  test('reads the list again if reading is turned off and on within it', async () => {
    store.put('servers/a', entryOf());
    flood('servers/', 300);
    feed.setReading(true);
    await waitUntil('the first runner is known', () => isUsed('a'));
    feed.setReading(false);
    await pause(100);
    feed.setReading(true);
    await waitUntil('a list is read', () => listed.length === 1, 20_000);
    expect(listed).toEqual([['a']]);
  }, 30_000);

  // Guards against a log that grows with the entries of other writers, and that lacks what operators need.
  test('logs a bounded number of unreadable entries, and the configuration in any case', async () => {
    for (let index = 0; index < 300; index += 1) store.put(`goldcrestdock/vms/odd-${index}`, '{');
    store.put('op/config', '{"version": 4');
    feed.setReading(true);
    await waitUntil('the list is read', () => listed.length === 1);
    const logged = (text: string): number => lines.filter((line) => line.includes(text)).length;
    expect([logged('[503] VM odd-'), logged('"key":"op/config"')]).toEqual([100, 1]);
    expect(lines.at(-1)).toContain('"entries":300,"keys":["goldcrestdock/vms/odd-0"');
  });

  // Guards against VMs that follow the store no longer since one answer of a watch is too long.
  test('reads the list again if the changes are too long for one response', async () => {
    store.put('servers/a', entryOf());
    feed.setReading(true);
    await waitUntil('the list is read', () => listed.length === 1);
    flood('other/', 14);
    store.put('servers/b', entryOf());
    await waitUntil('the list is read again', () => listed.length === 2);
    expect(listed.at(-1)).toEqual(['a', 'b']);
  });

  // Guards against orders that no VM may give, or that cost a call for each page of another writer.
  test('does not keep a VM from the lock', async () => {
    flood('goldcrestdock/orders/a', 20);
    const lock = new StoreLock(clientOf(store), 'vm1');
    expect(await lock.acquire()).toBeDefined();
    expect(await new StoreLock(clientOf(store), 'vm2').acquire()).toBeUndefined();
    expect(store.calls).toEqual([
      '/v1/kv-range',
      '/v1/kv-key',
      '/v1/kv-key',
      '/v1/kv-lease',
      '/v1/kv-txn',
      '/v1/kv-range',
      '/v1/kv-key',
      '/v1/kv-key',
    ]);
  });
});
