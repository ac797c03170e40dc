import { outputText } from '../fakes/engine/text';
import { requestCompletion, openStream } from '../fakes/caller';
import { Cluster, waitUntil } from '../fakes/cluster';
import { call } from '../fakes/http';

describe('leaving', () => {
  const cluster = new Cluster({ vms: 3 });

  beforeAll(() => cluster.start(), 30_000);
  afterAll(() => cluster.stop());

  /* The platform lists a runner's VM as leaving. The runner itself says nothing yet; it must get no new work all the same. */
  test('runners listed by the platform get no new work', async () => {
    await requestCompletion(cluster.callers(0), 'opens the cell', 10);
    const [gone] = cluster.decodeRunners;
    const host = new URL(gone?.url ?? '').hostname;
    const vms = Array.from({ length: 3 }, (_, vm) => ({
      id: `vm${vm}`,
      address: cluster.peers(vm),
      leaving: false,
    }));
    cluster.platform.setVms([...vms, { id: 'runner', address: host, leaving: true }]);
    await new Promise((resolve) => {
      setTimeout(resolve, 3000);
    });
    const before = gone?.ran.size;
    await Promise.all(
      Array.from({ length: 12 }, (_, i) =>
        requestCompletion(cluster.callers(i % 3), `after the list ${i}`, 30),
      ),
    );
    expect(gone?.ran.size).toBe(before);
  });

  /*
   * A gateway is stopped while it streams. It leaves the address answers, goes on
   * with what it has, and still takes requests of callers who were given its
   * address before; the stream ends whole.
   */
  test('gateways cut no request and refuse none that comes by an address given before', async () => {
    const prompt = 'long title history '.repeat(30);
    const stream = openStream(cluster.callers(1), prompt, 900);
    await waitUntil('it streams', () => stream.offsets.length > 3);
    const seen: number[] = [];
    const stopped = cluster.gateways[1]?.stop();
    const late = await requestCompletion(cluster.callers(1), 'given before', 10);
    await waitUntil('the address is left out', async () => {
      const { body } = await call('GET', `${cluster.callers(0)}/v1/addresses`);
      seen.push((body as { addresses: string[] }).addresses.length);
      return seen.at(-1) === 2;
    }).catch((error: Error) => {
      throw new Error(`${error.message}; numbers of addresses seen: ${[...new Set(seen)]}`);
    });
    await stream.ended;
    await stopped;
    expect(late.text).toBe(outputText('given before', 10));
    expect(stream.text).toBe(outputText(prompt, 900));
    expect(stream.whole).toBe(true);
  }, 20_000);

  /* The owner of the cell is stopped while requests stream. Their gateways tell the next owner what they hold; nothing is cut. */
  test('schedulers cut no request, and others plan their cells', async () => {
    const streams = [0, 2].map((vm) =>
      openStream(cluster.callers(vm), `kept ${vm} `.repeat(40), 900),
    );
    await waitUntil('they stream', () => streams.every(({ offsets }) => offsets.length > 3));
    await cluster.schedulers[1]?.stop();
    const after = await requestCompletion(cluster.callers(0), 'planned by the next owner', 10);
    await Promise.all(streams.map(({ ended }) => ended));
    expect(after.text).toBe(outputText('planned by the next owner', 10));
    expect(streams.map(({ text }) => text)).toEqual(
      [0, 2].map((vm) => outputText(`kept ${vm} `.repeat(40), 900)),
    );
  }, 20_000);
});
