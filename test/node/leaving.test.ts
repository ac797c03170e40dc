import { outputText } from '../fakes/engine/text';
import { requestCompletion, openStream } from '../fakes/caller';
import { Cluster, waitUntil } from '../fakes/cluster';
import { KeepingCaller } from '../fakes/frontend';
import { call } from '../fakes/http';

describe('shutdown', () => {
  const cluster = new Cluster({ vms: 3 });

  beforeAll(() => cluster.start(), 30_000);
  afterAll(() => cluster.stop());

  /* The platform lists a runner's VM as leaving before the runner itself reports it. The runner must not get new work. */
  test('of runners that the platform lists gives them no new work', async () => {
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
   * A gateway is stopped while it streams. It is removed from the address responses,
   * completes its open requests, and still accepts requests of callers that received
   * its address earlier. The stream must complete.
   */
  test('of a gateway interrupts no request and refuses none that uses an address given earlier', async () => {
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

  /* The owner of the cell is stopped while requests stream. Their gateways report their runs to the next owner; no stream may be interrupted. */
  test('of a scheduler interrupts no request, and others take over its cells', async () => {
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

  // Guards against callers that keep a connection to a gateway whose process is about to end.
  test('of a gateway ends kept connections with their next responses', async () => {
    const { hostname, port } = new URL(cluster.callers(2));
    const before = new KeepingCaller(Number(port), false, hostname);
    const after = new KeepingCaller(Number(port), false, hostname);
    const announced = [await before.ask('/readyz')];
    const stopped = cluster.gateways[2]?.stop();
    announced.push(await after.ask('/readyz'));
    await stopped;
    expect(announced).toEqual(['200 timeout=5', '503 close']);
  }, 20_000);
});
