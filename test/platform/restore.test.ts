import pino from 'pino';

import { StoreHistory } from '../../src/core/routing/position';
import { RoutingState } from '../../src/node/router/routingstate';
import { StoreFeed } from '../../src/platform/feed';
import { StoreLock } from '../../src/platform/lock';
import { waitUntil } from '../fakes/cluster';
import { entryOf } from '../fakes/entry';
import { noopListener } from '../fakes/listener';
import { FakeStore, clientOf } from '../fakes/store';

const log = pino({ level: 'silent' });

/** A VM that reads a store, and what it knows from it. */
class Reader {
  readonly #history = new StoreHistory();

  readonly knowledge = new RoutingState(this.#history, log, noopListener);

  readonly #feed: StoreFeed;

  constructor(store: FakeStore) {
    const self = { vm: 'vm1', address: '10.0.0.9:1' };
    this.#feed = new StoreFeed(clientOf(store, this.#history), self, this.#history, log);
    const { knowledge } = this;
    this.#feed.start({
      onConfig: (config) => {
        knowledge.learnConfig(performance.now(), config, 'store');
      },
      onRunners: (facts) => knowledge.learnRunners(performance.now(), facts, 'store'),
      onEra: (start) => knowledge.learnEras(performance.now(), [start], 'store'),
      onListed: (ids, position) => knowledge.learnList(performance.now(), ids, position),
      onVms: () => {},
      onStore: (up) => {
        if (up) knowledge.storeAnswered(performance.now());
        else knowledge.storeFailed(performance.now());
      },
      onSuspects: () => {},
      onConfirmed: () => {},
    });
    this.#feed.setReading(true);
  }

  stop(): void {
    this.#feed.stop();
  }

  get runners(): readonly string[] {
    return this.knowledge
      .runnersOf(performance.now(), 's')
      .map(({ id }) => id)
      .sort();
  }

  async sees(...ids: readonly string[]): Promise<void> {
    await waitUntil(`it sees ${ids.join(' ')}`, () => this.runners.join(' ') === ids.join(' '));
  }
}

describe('a store that comes back from an older copy', () => {
  let store: FakeStore;
  let reader: Reader;
  const put = (id: string, change: Readonly<Record<string, unknown>> = {}): void =>
    store.put(`servers/${id}`, entryOf(change));

  beforeEach(async () => {
    store = new FakeStore();
    store.era = '4';
    await store.start();
    store.put('op/config', { version: 3, routes: [], services: [{ name: 's' }] });
    for (const id of ['a', 'b', 'c']) put(id);
    reader = new Reader(store);
    await reader.sees('a', 'b', 'c');
  });

  afterEach(() => {
    reader.stop();
    store.stop();
  });

  /*
   * The copy is a second old, and others write at once, so that it has passed the revision
   * that this VM watched from before the watch is made again: no 410 tells of the change.
   * A runner that came meanwhile was never seen, and one that said it leaves got work on.
   */
  test('is read whole, though it has passed the revision that was watched from', async () => {
    const copy = store.copy();
    put('z');
    // Its watch has just been answered, and the next one comes a moment later.
    await reader.sees('a', 'b', 'c', 'z');
    store.restore(copy);
    put('d');
    put('b', { state: 'draining' });
    for (let i = 0; i < 9; i += 1) put('a');
    await reader.sees('a', 'c', 'd');
    expect(store.keys).toContain('goldcrestdock/vms/vm1');
  }, 15_000);

  /*
   * Since the copy was made, runner a said that it leaves, b was removed, and d came. The
   * copy has a and b as they were and lacks d. What was acknowledged as leaving gets no
   * work; d is living, and refused at once, every request for it would be; e is not
   * written again, and is gone after the time in which the living are.
   */
  test('brings back no runner that had left, and takes none that lives', async () => {
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
   * The header is lost on the way. Each answer is read whole from then on, so that nothing
   * is missed, and what was known stays in force.
   */
  test('is read whole each time while its answers name no era', async () => {
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
   * The right to give orders was taken after the copy was made, so that the copy knows
   * nothing of it. The next holder's fence came from a revision that was given out before:
   * runners that check fences refuse its orders, and others obey two holders under one.
   */
  test('gives the next holder of orders a higher fence than any before', async () => {
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
