import { waitUntil } from '../fakes/cluster';
import { entryOf } from '../fakes/entry';
import { freePort } from '../fakes/loopback';
import { RouterCluster, services } from '../fakes/routers';

const LOAD = '0,0,32,100';
const REQUESTS = 20;

/** A JSON text nested this deep. */
const nested = (depth: number): string => '['.repeat(depth) + ']'.repeat(depth);

/** Entries of another writer among those of the runners, by what is odd about them; each names an address where nobody listens. */
const odd: Readonly<Record<string, (entry: Record<string, unknown>) => unknown>> = {
  'slots beyond a port': (entry) => ({ ...entry, slots: 65_536 }),
  'a million slots': (entry) => ({ ...entry, slots: 1_000_000 }),
  'fifty million slots': (entry) => ({ ...entry, slots: 50_000_000 }),
  'slots beyond the length of an array': (entry) => ({ ...entry, slots: 2 ** 32 }),
  'slots at the end of whole numbers': (entry) => ({ ...entry, slots: Number.MAX_SAFE_INTEGER }),
  'slots beyond a double': (entry) => JSON.stringify(entry).replace('"slots":32', '"slots":1e400'),
  'a port out of range': (entry) => ({ ...entry, address: '127.0.0.1:65536' }),
  'a port of many digits': (entry) => ({ ...entry, address: `127.0.0.1:${10n ** 20n}` }),
  'no port': (entry) => ({ ...entry, address: '127.0.0.1:0' }),
  'a start at the end of whole numbers': (entry) => ({ ...entry, born: Number.MAX_SAFE_INTEGER }),
  'times beyond any': (entry) => ({ ...entry, 'cold-remaining-ms': -1e308, sequence: 1e300 }),
  'a value that is nested deep': () => nested(200_000),
  'a field that is nested deep': (entry) =>
    JSON.stringify(entry).replace('"state"', `"extra":${nested(200_000)},"state"`),
  'a version of many characters': (entry) => ({ ...entry, version: 'v'.repeat(100_000) }),
  'a service of many characters': (entry) => ({ ...entry, service: 's'.repeat(100_000) }),
  'no text': () => Buffer.from([0xff, 0xfe, 0x00]),
};

/** Entries of another writer under the prefix of the VMs' own, by key. */
const oddOwn: Readonly<Record<string, unknown>> = {
  'vms/zero': { address: 'a\u0000b:1' },
  'vms/numbers': { address: '999.999.999.999:1' },
  'vms/space': { address: ' :1' },
  'vms/long': { address: `${'x'.repeat(5000)}:1` },
  'vms/everyone': { address: '255.255.255.255:1' },
  [`vms/${'x'.repeat(150)}`]: { address: '127.0.0.1:1' },
  'vms/nested': nested(30_000),
  'suspects/nested': nested(30_000),
  'suspects/many': { ends: Array.from({ length: 5000 }, () => ({ runner: 'a', at: 1 })) },
  'suspects/late': { ends: [{ runner: 'a', at: 1e308 }] },
  [`suspects/${'x'.repeat(150)}`]: { ends: [{ runner: 'a', at: Date.now() }] },
  served: { desk: Array.from({ length: 5000 }, (_, index) => `v${index}`) },
  fleet: { vms: 100_000 },
  'orders/last': nested(30_000),
};

describe('an odd entry among those of the runners', () => {
  const cluster = new RouterCluster({ vms: 2, runners: 2, plainRunners: 2 });
  let address = '';

  beforeAll(async () => {
    await cluster.start();
    address = `127.0.0.1:${await freePort()}`;
  }, 30_000);
  afterEach(() => Object.keys(odd).forEach((name) => cluster.store.remove(keyOf(name))));
  afterAll(() => cluster.stop());

  function keyOf(name: string): string {
    return `servers/odd-${name}`;
  }

  function put(name: string): void {
    const entry = entryOf({ service: services.plain, address });
    cluster.store.put(keyOf(name), odd[name]?.(entry));
  }

  async function statusesOf(path: string): Promise<readonly number[]> {
    const turns = Array.from({ length: REQUESTS }, (_, turn) => turn);
    const answers = turns.map((turn) => cluster.sendRequest(turn, path, 'b'));
    return (await Promise.all(answers)).map(({ status }) => status);
  }

  /** Whether all requests are served, and a runner that registers now is used by each VM. */
  async function expectServed(): Promise<void> {
    await cluster.addRunner('plain', 'v1');
    const runners = cluster.runnersOf('plain');
    for (const runner of runners) runner.load = LOAD;
    const contacts = runners.at(-1)?.contacts ?? [];
    await waitUntil('the runner registered last is used', async () => {
      await statusesOf('/plain/');
      return new Set(contacts.map(({ vm }) => vm)).size === 2;
    });
    const statuses = [...(await statusesOf('/plain/')), ...(await statusesOf('/model/'))];
    expect(statuses).toEqual(statuses.map(() => 200));
  }

  // Guards against numbers of another writer that decide how much is done, and against a list whose reading ends at one entry.
  test.each(Object.keys(odd))(
    'is harmless: %s',
    async (name) => {
      put(name);
      await expectServed();
    },
    20_000,
  );

  // Guards against VMs that serve beside an entry only because they started before it was written.
  test('is harmless to a VM that starts after it, also beside all others', async () => {
    Object.keys(odd).forEach(put);
    cluster.store.compact();
    await cluster.end(1);
    await cluster.startAgain(1);
    await expectServed();
  }, 30_000);

  // Guards against an address that cannot be written to, and a record that no message carries.
  test('is harmless under the prefix of the VMs, also to a VM that starts after it', async () => {
    const keys = Object.keys(oddOwn).map((name) => `goldcrestdock/${name}`);
    Object.values(oddOwn).forEach((value, index) => cluster.store.put(keys[index] ?? '', value));
    await expectServed();
    await cluster.end(1);
    await cluster.startAgain(1);
    await expectServed();
    for (const key of keys) cluster.store.remove(key);
  }, 60_000);

  // Guards against a list that takes too long, or fills a message, because of what others wrote.
  test('is harmless five hundred times at once', async () => {
    const names = Object.keys(odd);
    const keys = Array.from({ length: 500 }, (_, index) => `servers/many-${index}`);
    keys.forEach((key, index) => {
      const entry = entryOf({ service: services.plain, address });
      cluster.store.put(key, odd[names[index % names.length] ?? '']?.(entry));
    });
    await expectServed();
    for (const key of keys) cluster.store.remove(key);
  }, 60_000);

  // Guards against a sound runner that stays out of use once another writer has replaced its entry.
  test('is harmless in the place of a runner that writes its own again', async () => {
    const [only, ...others] = cluster.runnersOf('plain');
    for (const { id } of others) cluster.store.remove(`servers/${id}`);
    for (const change of Object.values(odd)) {
      cluster.store.put(`servers/${only?.id}`, change(only?.entry as Record<string, unknown>));
      cluster.store.put(`servers/${only?.id}`, only?.entry);
    }
    const sound = Array.from({ length: REQUESTS }, () => 200);
    await waitUntil('the only runner is used', async () => {
      const before = only?.contacts.length ?? 0;
      const statuses = await statusesOf('/plain/');
      const served = (only?.contacts.length ?? 0) - before;
      return served === REQUESTS && statuses.join() === sound.join();
    });
  }, 30_000);
});
