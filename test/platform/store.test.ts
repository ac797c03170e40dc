import pino from 'pino';

import { toFailure } from '../../src/core/failure';
import { StoreHistory } from '../../src/core/routing/position';
import type { RoutingConfig } from '../../src/core/routing/types';
import type { FeedListener } from '../../src/node/router/types';
import { EraReader } from '../../src/platform/era';
import { StoreFeed } from '../../src/platform/feed';
import { StoreLock } from '../../src/platform/lock';
import { StoreClient } from '../../src/platform/store';
import { waitUntil } from '../fakes/cluster';
import { entryOf } from '../fakes/entry';
import { closeServer, listen, sendJson } from '../fakes/http';
import { FakeStore, clientOf } from '../fakes/store';

const config = (version: number): unknown => ({ version, routes: [], services: [] });
const runner = (state: string): unknown => entryOf({ state });

/** Collects what a feed tells. */
class Listener implements FeedListener {
  readonly versions: number[] = [];

  readonly runners: string[] = [];

  readonly listed: (readonly string[])[] = [];

  readonly store: boolean[] = [];

  onConfig({ version }: RoutingConfig): void {
    this.versions.push(version);
  }

  onRunners(facts: Parameters<FeedListener['onRunners']>[0]): void {
    for (const { id, runner: found, unreadable } of facts) {
      const lost = unreadable === undefined ? 'gone' : 'unreadable';
      this.runners.push(`${id} ${found ? (found.leaving && 'leaving') || 'ready' : lost}`);
    }
  }

  onListed(ids: ReadonlySet<string>): void {
    this.listed.push([...ids]);
  }

  onVms(): void {}

  onEra(): void {}

  onSuspects(): void {}

  onConfirmed(): void {}

  onStore(up: boolean): void {
    if (this.store.at(-1) !== up) this.store.push(up);
  }
}

describe('the feed of the store', () => {
  const lines: string[] = [];
  const log = pino({ base: null }, { write: (line) => lines.push(line) });
  let store: FakeStore;
  let feed: StoreFeed;
  let listener: Listener;

  beforeEach(async () => {
    store = new FakeStore();
    await store.start();
    store.put('op/config', config(3));
    for (const id of ['i-1', 'i-2', 'i-3', 'i-4']) store.put(`servers/${id}`, runner('ready'));
    listener = new Listener();
    const history = new StoreHistory();
    const client = clientOf(store, history);
    feed = new StoreFeed(client, { vm: 'vm1', address: '10.0.0.9:1' }, history, log);
    feed.start(listener);
    feed.setReading(true);
    await waitUntil('all is read', () => listener.listed.length > 0);
  });

  afterEach(() => {
    feed.stop();
    store.stop();
  });

  /* A configuration that cannot be read must not take the last one out of force, nor fill the log each time that it is seen. */
  test('complains once of a configuration that it cannot read, and goes on', async () => {
    const wrong = { ...(config(9) as object), tenants: [{ name: 'ada', 'rate-per-s': -1 }] };
    store.put('op/config', wrong);
    store.put('servers/i-1', runner('draining'));
    await waitUntil('the change after it is told', () => listener.runners.includes('i-1 leaving'));
    store.put('servers/i-2', runner('draining'));
    store.compact();
    await waitUntil('all is read again', () => listener.listed.length > 1);
    store.put('op/config', config(11));
    await waitUntil('the next one is told', () => listener.versions.includes(11));
    expect(listener.versions).toEqual([3, 11]);
    expect(lines.filter((line) => line.includes('[503]'))).toHaveLength(1);
  });

  test('reads all pages, then changes as they come', async () => {
    expect(listener.listed[0]).toEqual(['i-1', 'i-2', 'i-3', 'i-4']);
    store.put('op/config', config(9));
    store.put('servers/i-2', runner('draining'));
    store.remove('servers/i-3');
    await waitUntil('changes are told', () => listener.runners.includes('i-3 gone'));
    expect(listener.versions).toEqual([3, 9]);
    expect(listener.runners.slice(4)).toEqual(['i-2 leaving', 'i-3 gone']);
  });

  /*
   * The store falls silent while a watch waits and comes back with a newer
   * configuration. A watch without a deadline of its own would hang for ever and
   * the VM would go on with the old version.
   */
  test('leaves a watch that hangs and reads everything again', async () => {
    store.fault = 'silent';
    await waitUntil('the silence is noticed', () => listener.store.at(-1) === false);
    store.fault = 'well';
    store.put('op/config', config(12));
    await waitUntil('it is read again', () => listener.versions.at(-1) === 12);
    expect(listener.store).toEqual([true, false, true]);
  }, 15_000);

  /* The store forgets its history while runners leave: the watch gets 410, and only a full list shows who is gone. */
  test('reads the full list when the history is gone', async () => {
    store.remove('servers/i-4');
    store.compact();
    await waitUntil('the list is read', () => listener.listed.length > 1);
    expect(listener.listed.at(-1)).toEqual(['i-1', 'i-2', 'i-3']);
  });

  /*
   * Another writer has put something else where runners list themselves, over a
   * listed runner too. Work sent to where it points would be lost; all others stay in use.
   */
  test('takes no runner from the entries of another writer', async () => {
    store.put('servers/i-2', entryOf({ slots: '32' }));
    store.put('servers/i-9', Buffer.from([0xff, 0xfe, 0x00]));
    await waitUntil('both are told', () => listener.runners.includes('i-9 unreadable'));
    expect(listener.runners.slice(4)).toEqual(['i-2 unreadable', 'i-9 unreadable']);
    expect(listener.store).toEqual([true]);
  });

  /*
   * While a list of over five hundred entries is read page by page, a runner that
   * was read leaves and one that is still to come is listed anew. Pages are no
   * snapshot: what changed after the first of them comes with the watch after it.
   */
  test('misses nothing that changes between the pages of a long list', async () => {
    const ids = Array.from({ length: 510 }, (_, i) => `j-${String(i).padStart(3, '0')}`);
    for (const id of ids) store.put(`servers/${id}`, runner('ready'));
    store.compact();
    store.onPage = (after) => {
      if (after < 'servers/j-010') return;
      store.onPage = undefined;
      store.remove('servers/j-000');
      store.put('servers/j-400', runner('draining'));
      store.put('servers/j-999', runner('ready'));
    };
    await waitUntil('the removal is told', () => listener.runners.includes('j-000 gone'));
    expect(listener.runners).toContain('j-400 leaving');
    expect(listener.runners).toContain('j-999 ready');
    expect(listener.listed.at(-1)?.length).toBe(515);
  }, 20_000);

  /* Others read for this VM from now on: its calls to the store end with the one under way, and begin again when it is told to. */
  test('makes no call while others read', async () => {
    feed.setReading(false);
    store.put('op/config', config(4));
    await new Promise((resolve) => {
      setTimeout(resolve, 900);
    });
    const calls = store.calls.length;
    store.put('op/config', config(5));
    await new Promise((resolve) => {
      setTimeout(resolve, 900);
    });
    expect(store.calls.length).toBe(calls);
    feed.setReading(true);
    await waitUntil('it is read again', () => listener.versions.at(-1) === 5);
    // It is in the store from its first reading, and is not written again.
    expect(store.calls.filter((path) => path === '/v1/kv-txn').length).toBe(1);
  }, 15_000);

  /* One entry cannot be decoded. The others are told, and the last good one of it stays in force. */
  test('passes over an entry that cannot be decoded', async () => {
    store.put('op/config', '{"version": 4');
    store.put('servers/i-1', runner('draining'));
    await waitUntil('the other is told', () => listener.runners.includes('i-1 leaving'));
    expect(listener.versions).toEqual([3]);
  });
});

describe('the right to give orders', () => {
  let store: FakeStore;

  beforeEach(async () => {
    store = new FakeStore();
    await store.start();
  });

  afterEach(() => store.stop());

  const lockOf = (vm: string): StoreLock => new StoreLock(clientOf(store), vm);

  test('is held by one VM, and its fence grows from holder to holder', async () => {
    const first = await lockOf('vm1').acquire();
    expect(await lockOf('vm2').acquire()).toBeUndefined();
    await first?.release();
    const second = await lockOf('vm2').acquire();
    expect([first?.fresh, second?.fresh]).toEqual([true, false]);
    expect(second?.fence).toBeGreaterThan(first?.fence ?? Infinity);
  });

  /* The holder was suspended until its lease ran out and another VM took over. It must not give one more order. */
  test('is lost when the lease has run out', async () => {
    const right = await lockOf('vm1').acquire();
    expect(await right?.renew()).toBe(true);
    store.expire(store.leases[0] ?? 0);
    expect(await right?.renew()).toBe(false);
  });

  /* The write took effect and its answer was lost: the VM does not know and must act as if it had failed. */
  test('is not assumed when the answer of the write is lost', async () => {
    store.fault = 'deaf';
    await expect(lockOf('vm1').acquire()).rejects.toThrow();
  });
});

describe('a list of the store', () => {
  // Guards against a part that is taken for the whole list: what it lacks would count as gone.
  test('fails if a page without items says that more follow', async () => {
    const { server, port } = await listen((_req, res) =>
      sendJson(res, 200, { items: [], truncated: true, 'as-of': 1 }),
    );
    const log = pino({ level: 'silent' });
    const store = new StoreClient(`127.0.0.1:${port}`, new EraReader(new StoreHistory(), log));
    const outcome = await store.range('').catch(toFailure);
    await closeServer(server);
    expect(outcome).toMatchObject({ codeName: 'platformUnavailable' });
  });
});
