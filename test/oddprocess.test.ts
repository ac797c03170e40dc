import { waitUntil } from './fakes/cluster';
import { entryOf } from './fakes/entry';
import { LoopbackPrefix, freePort } from './fakes/loopback';
import { NodeProcess } from './fakes/nodeprocess';
import { RouterCluster, sendRequestTo, services } from './fakes/routers';

const SLOTS = [1_000_000, 50_000_000, 2 ** 32, Number.MAX_SAFE_INTEGER];
const ROUNDS = 10;
const REQUESTS = 20;

describe('a process beside odd entries of runners', () => {
  const cluster = new RouterCluster({ vms: 1, runners: 2, plainRunners: 2 });
  let prefix: LoopbackPrefix;
  let node: NodeProcess | undefined;

  beforeAll(async () => {
    prefix = await LoopbackPrefix.claim();
    await cluster.start();
  }, 30_000);
  afterAll(async () => {
    node?.signal('SIGKILL');
    await node?.exited;
    await cluster.stop();
    await prefix.release();
  });

  // Guards against a process that is busy without end, or ends out of memory, because of a number in the store.
  test('serves all requests, logs each entry once and runs on', async () => {
    const address = `127.0.0.1:${await freePort()}`;
    for (const runner of cluster.runnersOf('plain')) runner.load = '0,0,32,100';
    const started = new NodeProcess({
      ip: `${prefix.text}.2.1`,
      store: cluster.store.address,
      graceS: 2,
    });
    node = started;
    const send = async (path: string): Promise<number> =>
      (await sendRequestTo(started.front, path, 'b')).status;
    await waitUntil('it serves', async () => (await send('/plain/')) === 200);
    await Promise.all(Array.from({ length: REQUESTS }, () => send('/plain/')));
    SLOTS.forEach((slots) => {
      const entry = entryOf({ service: services.plain, address, slots });
      cluster.store.put(`servers/odd-${slots}`, entry);
    });
    await waitUntil('it read them', () => started.lineCount('odd-') >= SLOTS.length);
    const statuses: number[] = [];
    for (let round = 0; round < ROUNDS; round += 1) {
      const paths = Array.from({ length: REQUESTS }, (_, i) => (i % 5 ? '/plain/' : '/model/'));
      statuses.push(...(await Promise.all(paths.map(send))));
    }
    expect(statuses).toEqual(statuses.map(() => 200));
    started.signal('SIGTERM');
    expect(await started.exited).toEqual({ code: 0, signal: null });
    expect([started.lineCount('at slots'), started.lineCount('ncaught')]).toEqual([
      SLOTS.length,
      0,
    ]);
  }, 30_000);
});
