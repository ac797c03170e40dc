import { RouterCluster } from '../fakes/routers';

describe('a request with a long id', () => {
  const cluster = new RouterCluster({ vms: 2, runners: 2, plainRunners: 1 });

  beforeAll(() => cluster.start(), 30_000);
  afterAll(() => cluster.stop());

  // Guards against requests that are refused because no message between VMs carries the id that their caller chose.
  test('is served by each VM', async () => {
    const answers = [0, 1].flatMap((turn) =>
      ['/model/', '/plain/'].map((path) =>
        cluster.sendRequest(turn, path, 'b', { 'request-id': `${turn}`.repeat(300) }),
      ),
    );
    const statuses = (await Promise.all(answers)).map(({ status }) => status);
    expect(statuses).toEqual([200, 200, 200, 200]);
  });
});
