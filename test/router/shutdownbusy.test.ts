import { LONG_PATH, RouterCluster } from '../fakes/routers';

const GRACE_MS = 3500;
const ADDRESS_TTL_MS = 300;
/** Longer than a stopping VM takes everything. */
const BUSY_MS = 1200;

describe('a VM that is busy when it is told to stop', () => {
  const cluster = new RouterCluster({ vms: 2, graceMs: GRACE_MS, addressTtlMs: ADDRESS_TTL_MS });

  beforeAll(() => cluster.start(), 30_000);
  afterAll(() => cluster.stop(), 30_000);

  /* Guards against a stream that begins at a VM which does not know for how long it has been stopping. */
  test('refuses streams as if it had been told before it was busy', async () => {
    const until = performance.now() + BUSY_MS;
    while (performance.now() < until);
    const stopped = cluster.stopVm(0);
    const { status, body } = await cluster.sendRequest(0, `${LONG_PATH}busy`, 'a late stream');
    await stopped;
    expect({ status, body: body.match(/"name":"\w+"/)?.[0] }).toMatchInlineSnapshot(`
     {
       "body": ""name":"draining"",
       "status": 503,
     }
    `);
  }, 30_000);
});
