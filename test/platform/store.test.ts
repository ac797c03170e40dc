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
import { FakeStore, clientOf, listOf } from '../fakes/store';

const config = (version: number): unknown => ({ version, routes: [], services: [] });
const runner = (state: string): unknown => entryOf({ state });

/** Records the calls of a feed. */
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

  onVersions(): void {}

  onFleetSize(): void {}

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
    await waitUntil('all entries are read', () => listener.listed.length > 0);
  });

  afterEach(() => {
    feed.stop();
    store.stop();
  });

  /* A configuration that cannot be decoded must not replace the last valid one, nor be logged each time that it is read. */
  test('logs a configuration that it cannot decode once, and continues', async () => {
    const wrong = { ...(config(9) as object), tenants: [{ name: 'ada', 'rate-per-s': -1 }] };
    store.put('op/config', wrong);
    store.put('servers/i-1', runner('draining'));
    await waitUntil('the change after it is reported', () =>
      listener.runners.includes('i-1 leaving'),
    );
    store.put('servers/i-2', runner('draining'));
    store.compact();
    await waitUntil('all entries are read again', () => listener.listed.length > 1);
    store.put('op/config', config(11));
    await waitUntil('the next configuration is reported', () => listener.versions.includes(11));
    expect(listener.versions).toEqual([3, 11]);
    expect(lines.filter((line) => line.includes('[503]'))).toHaveLength(1);
  });

  // Guards against a log that fills up with the same line while the store's history is short.
  test('logs each entry that it cannot decode once for each change', async () => {
    const keys = ['vms/a', 'suspects/b', 'served', 'fleet'].map((name) => `goldcrestdock/${name}`);
    const logged = (): readonly string[] =>
      lines
        .map((line) => `${(JSON.parse(line) as { key?: string }).key}`)
        .filter((key) => keys.includes(key));
    lines.length = 0;
    const readAgain = async (): Promise<void> => {
      const reads = listener.listed.length;
      store.put('servers/i-1', runner('ready'));
      store.compact();
      await waitUntil('all entries are read again', () => listener.listed.length > reads);
    };
    for (const key of keys) store.put(key, '7');
    await readAgain();
    await readAgain();
    expect([...logged()].sort()).toEqual([...keys].sort());
    store.put('goldcrestdock/vms/a', '8');
    await readAgain();
    expect(logged().slice(keys.length)).toEqual(['goldcrestdock/vms/a']);
  }, 15_000);

  test('reads all pages, then changes as they occur', async () => {
    expect(listener.listed[0]).toEqual(['i-1', 'i-2', 'i-3', 'i-4']);
    store.put('op/config', config(9));
    store.put('servers/i-2', runner('draining'));
    store.remove('servers/i-3');
    await waitUntil('changes are reported', () => listener.runners.includes('i-3 gone'));
    expect(listener.versions).toEqual([3, 9]);
    expect(listener.runners.slice(4)).toEqual(['i-2 leaving', 'i-3 gone']);
  });

  /*
   * The store stops answering during a watch and recovers with a newer configuration.
   * A watch without a timeout would hang forever, and the VM would keep using the old
   * version.
   */
  test('abandons a watch that hangs and reads all entries again', async () => {
    store.fault = 'silent';
    await waitUntil('the failure is detected', () => listener.store.at(-1) === false);
    store.fault = 'well';
    store.put('op/config', config(12));
    await waitUntil('it is read again', () => listener.versions.at(-1) === 12);
    expect(listener.store).toEqual([true, false, true]);
  }, 15_000);

  /* The store discards its history while runners leave: the watch gets 410, and only a full list shows which ones are gone. */
  test('reads the full list when the history was discarded', async () => {
    store.remove('servers/i-4');
    store.compact();
    await waitUntil('the list is read', () => listener.listed.length > 1);
    expect(listener.listed.at(-1)).toEqual(['i-1', 'i-2', 'i-3']);
  });

  /*
   * Another writer has written under the prefix of the runners, and has overwritten the entry
   * of a listed one. Requests sent to the address in it would be lost; all other runners
   * stay in use.
   */
  test('accepts no runner from entries of another writer', async () => {
    store.put('servers/i-2', entryOf({ slots: '32' }));
    store.put('servers/i-9', Buffer.from([0xff, 0xfe, 0x00]));
    await waitUntil('both are reported', () => listener.runners.includes('i-9 unreadable'));
    expect(listener.runners.slice(4)).toEqual(['i-2 unreadable', 'i-9 unreadable']);
    expect(listener.store).toEqual([true]);
  });

  /*
   * While a list of more than five hundred entries is read page by page, a runner on a page
   * already read leaves, and another one is added. Pages are read at different revisions:
   * the watch must start from the first page's revision to report what changed since.
   */
  test('misses no change between the pages of a long list', async () => {
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
    await waitUntil('the removal is reported', () => listener.runners.includes('j-000 gone'));
    expect(listener.runners).toContain('j-400 leaving');
    expect(listener.runners).toContain('j-999 ready');
    await waitUntil('the list is read', () => listener.listed.length > 1);
    expect(listener.listed.at(-1)?.length).toBe(515);
  }, 20_000);

  /* Other VMs read the store instead: no call follows the one in progress until reading is turned on again. */
  test('makes no call while reading is turned off', async () => {
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
    // This VM's entry was written after the first read, and is not written again.
    expect(store.calls.filter((path) => path === '/v1/kv-txn').length).toBe(1);
  }, 15_000);

  /* One entry cannot be decoded. The others are reported, and its last valid value stays in force. */
  test('ignores an entry that cannot be decoded', async () => {
    store.put('op/config', '{"version": 4');
    store.put('servers/i-1', runner('draining'));
    await waitUntil('the other entry is reported', () => listener.runners.includes('i-1 leaving'));
    expect(listener.versions).toEqual([3]);
  });
});

describe('a configuration of a restored store', () => {
  // Guards against a configuration that is ignored, and taken for confirmed, since one with its revision could not be read before the store was restored.
  test('is read although one with its revision was unreadable before', async () => {
    const texts = ['{', JSON.stringify(config(4))];
    let era = 0;
    const { server, port } = await listen((_req, res) => {
      const value = Buffer.from(texts[era] ?? '').toString('base64');
      res.setHeader('store-era', String(era));
      sendJson(res, 200, { key: 'op/config', value, revision: 5, 'as-of': 5 });
    });
    const history = new StoreHistory();
    const log = pino({ level: 'silent' });
    const client = new StoreClient(`127.0.0.1:${port}`, new EraReader(history, log));
    const feed = new StoreFeed(client, { vm: 'vm1', address: '10.0.0.9:1' }, history, log);
    const listener = new Listener();
    feed.start(listener);
    for (; era < texts.length; era += 1) {
      listener.store.length = 0;
      feed.confirmConfig();
      await waitUntil('the answer is handled', () => listener.store.length > 0, 2000);
      await new Promise(setImmediate);
    }
    await closeServer(server);
    expect(listener.versions).toEqual([4]);
  });
});

describe('a list with a malformed item', () => {
  // Guards against a runner that counts as gone since its item is malformed, and against one that stays in use since the change that removed it was.
  test('still names the runner, and a malformed change is looked up in the list', async () => {
    const value = Buffer.from(JSON.stringify(runner('ready'))).toString('base64');
    const lists = [
      [1, 2].map((revision) => ({ key: `servers/i-${revision}`, value, revision })),
      [{ key: 'servers/i-2', value, revision: '2' }],
    ];
    const removal = { key: 'servers/i-1', revision: '3', deleted: true };
    let reads = 0;
    const { server, port } = await listen((_req, res, { pathname, searchParams }) => {
      const events = searchParams.get('after') === '2' ? [removal] : [];
      const items = lists[reads] ?? [];
      if (pathname.endsWith('range')) reads += 1;
      sendJson(res, 200, { events, items, 'as-of': 1 + Math.max(1, reads) });
    });
    const history = new StoreHistory();
    const log = pino({ level: 'silent' });
    const client = new StoreClient(`127.0.0.1:${port}`, new EraReader(history, log));
    const feed = new StoreFeed(client, { vm: 'vm1', address: '10.0.0.9:1' }, history, log);
    const listener = new Listener();
    feed.start(listener);
    feed.setReading(true);
    await waitUntil('the list is read again', () => listener.listed.length > 1, 3000).finally(
      () => {
        feed.stop();
        return closeServer(server);
      },
    );
    expect(listener.listed).toEqual([['i-1', 'i-2'], ['i-2']]);
  });
});

describe('the lock for orders', () => {
  let store: FakeStore;

  beforeEach(async () => {
    store = new FakeStore();
    await store.start();
  });

  afterEach(() => store.stop());

  const lockOf = (vm: string): StoreLock => new StoreLock(clientOf(store), vm);

  test('is held by one VM, and its fence increases with each holder', async () => {
    const first = await lockOf('vm1').acquire();
    expect(await lockOf('vm2').acquire()).toBeUndefined();
    await first?.release();
    const second = await lockOf('vm2').acquire();
    expect([first?.fresh, second?.fresh]).toEqual([true, false]);
    expect(second?.fence).toBeGreaterThan(first?.fence ?? Infinity);
  });

  /* The holder was suspended until its lease expired and another VM took over. It must not give another order. */
  test('is lost when the lease has expired', async () => {
    const right = await lockOf('vm1').acquire();
    expect(await right?.renew()).toBe(true);
    store.expire(store.leases[0] ?? 0);
    expect(await right?.renew()).toBe(false);
  });

  /* The write was applied but its response was lost: the VM cannot know, and must act as if the write had failed. */
  test('is not assumed to be held when the response to the write is lost', async () => {
    store.fault = 'deaf';
    await expect(lockOf('vm1').acquire()).rejects.toThrow();
  });
});

describe('a list of the store', () => {
  const entry = { value: Buffer.from('{}').toString('base64'), revision: 7 };
  const malformed = [
    { ...entry, key: 7 },
    { ...entry },
    { ...entry, key: 'k'.repeat(201) },
    { ...entry, key: 'b', revision: -1 },
    { ...entry, key: 'b', revision: 2 ** 60 },
    { ...entry, key: 'b', revision: '7' },
    null,
    'item',
  ];

  // Guards against VMs that follow the store no longer because of one item: all others were lost with it.
  test('and its changes keep the items beside malformed ones, over all pages', async () => {
    const pages = [
      [{ ...entry, key: 'a' }, ...malformed.slice(0, 4)],
      [...malformed.slice(4), { ...entry, key: 'b', value: 7 }, { ...entry, key: 'c' }],
    ];
    const { server, port } = await listen((_req, res, { pathname, searchParams }) => {
      const page = searchParams.get('after') === null ? 0 : 1;
      const isWatch = pathname.endsWith('watch');
      const list = { items: pages[page], truncated: page === 0, 'as-of': 9 };
      sendJson(res, 200, isWatch ? { events: pages.flat(), 'as-of': 9 } : list);
    });
    const log = pino({ level: 'silent' });
    const client = new StoreClient(`127.0.0.1:${port}`, new EraReader(new StoreHistory(), log));
    const calls = [listOf(client, ''), client.watch('', 1, 100)];
    const results = await Promise.all(calls).finally(() => closeServer(server));
    const items = [
      { key: 'a', revision: 7, value: '{}' },
      { key: 'b', revision: 7, value: '' },
      { key: 'c', revision: 7, value: '{}' },
    ];
    const unread = { malformed: malformed.length, malformedKeys: ['b', 'b', 'b'] };
    const read = { items, ...unread, revision: 9, era: 0 };
    expect(results).toEqual([read, read]);
  });

  // Guards against a partial list that is taken for the whole one: entries missing from it would count as deleted.
  test('fails if an empty page is marked as truncated', async () => {
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
