import { StoreLock } from '../../src/platform/lock';
import { waitUntil } from '../fakes/cluster';
import { entryOf } from '../fakes/entry';
import { FakeStore, clientOf } from '../fakes/store';
import { StoreReader } from '../fakes/storereader';

describe('a store that is restored from an older copy', () => {
  let store: FakeStore;
  let reader: StoreReader;
  const put = (id: string, change: Readonly<Record<string, unknown>> = {}): void =>
    store.put(`servers/${id}`, entryOf(change));

  beforeEach(async () => {
    store = new FakeStore();
    store.era = '4';
    await store.start();
    store.put('op/config', { version: 3, routes: [], services: [{ name: 's' }] });
    for (const id of ['a', 'b', 'c']) put(id);
    reader = new StoreReader(store);
    await reader.sees('a', 'b', 'c');
  });

  afterEach(() => {
    reader.stop();
    store.stop();
  });

  /*
   * The copy is one second old and others write immediately, so the store passes the revision
   * that this VM watches from before its next watch, and the watch does not fail with 410.
   * Guards against missed changes: a runner that registered in between was never seen, and
   * one that announced that it is leaving still got requests.
   */
  test('is read completely, although it has passed the revision that was watched from', async () => {
    const copy = store.copy();
    put('z');
    // The watch has just been answered, and the next one starts only after the minimum interval.
    await reader.sees('a', 'b', 'c', 'z');
    store.restore(copy);
    put('d');
    put('b', { state: 'draining' });
    for (let i = 0; i < 9; i += 1) put('a');
    await reader.sees('a', 'c', 'd');
    expect(store.keys).toContain('goldcrestdock/vms/vm1');
  }, 15_000);

  /*
   * After the copy was made, runner a announced that it is leaving, b was removed, and d and e
   * registered. The copy has a and b in their old state and lacks d and e. Runner a must get no
   * requests, because its leaving was acknowledged. Runner d is alive and must stay in use, or
   * requests for it would be rejected. Runner e does not write its entry again, and is
   * dropped after the time within which running ones do.
   */
  test('restores no runner that had left, and removes none that is alive', async () => {
    const copy = store.copy();
    put('a', { state: 'draining' });
    store.remove('servers/b');
    put('d');
    put('e');
    await reader.sees('c', 'd', 'e');
    store.restore(copy);
    const seen = new Set<string>();
    const until = performance.now() + 1500;
    await waitUntil('the copy is read', () => {
      seen.add(reader.runners.join(' '));
      return performance.now() > until;
    });
    expect([...seen]).toEqual(['c d e']);
    put('a', { state: 'draining' });
    put('c');
    put('d');
    await reader.sees('c', 'd');
  }, 15_000);

  /*
   * The era header gets lost on the way. All entries are then read each time, so that no
   * change is missed, and the known state stays in force.
   */
  test('is read completely each time while its responses have no era', async () => {
    store.era = undefined;
    put('d');
    await reader.sees('a', 'b', 'c', 'd');
    store.era = 'x';
    put('b', { state: 'draining' });
    store.remove('servers/c');
    await reader.sees('a', 'd');
    store.era = '4';
    put('e');
    await reader.sees('a', 'd', 'e');
  }, 15_000);

  /*
   * The lock was acquired after the copy was made, so the copy lacks it. Guards against a
   * fence for the next holder that comes from a revision issued before: runners that check
   * fences would reject its orders, and others would accept two holders with the same fence.
   */
  test('gives the next lock holder a higher fence than any before', async () => {
    const copy = store.copy();
    for (let i = 0; i < 20; i += 1) put('a');
    const first = await new StoreLock(clientOf(store), 'vm1').acquire();
    store.restore(copy);
    const second = await new StoreLock(clientOf(store), 'vm2').acquire();
    expect(second?.fence).toBeGreaterThan(first?.fence ?? Infinity);
    expect(second?.fresh).toBe(false);
    expect(await first?.renew()).toBe(false);
  });
});
