import { setTimeout as pause } from 'node:timers/promises';

import { waitUntil } from '../fakes/cluster';
import { RouterCluster, WARMUP_KEY } from '../fakes/routers';

const OWN_KEY = 'key-1';
const customers = [
  { name: 'warm', 'api-keys': [WARMUP_KEY] },
  { name: 'ada', 'api-keys': [OWN_KEY, 'key-2', OWN_KEY, ''] },
  { name: 'bob', 'api-keys': ['key-3', 'key-shared'] },
  { name: 'cyd', 'api-keys': ['key-4', 'key-shared'] },
];

const bearer = (key: string): Readonly<Record<string, string>> => ({
  authorization: `Bearer ${key}`,
});

describe('requests of customers', () => {
  const routers = new RouterCluster({ customers });

  beforeAll(() => routers.start(), 30_000);
  afterAll(() => routers.stop(), 30_000);

  /*
   * A caller sends its key and, under the header that runners trust, the name of another
   * customer. A runner that got either would act for somebody else, or hold a key that
   * is not its own.
   */
  test.each(['/model/whose', '/plain/whose', '/open/whose'])(
    'reach runners under the name of the customer and without the key: %s',
    async (path) => {
      const sent = { ...bearer(OWN_KEY), 'tenant-id': 'bob' };
      const { status } = await routers.sendRequest(0, path, 'whose', sent);
      const arrivals = routers.arrivals.filter((one) => one.path === path);
      expect({ status, arrivals }).toMatchSnapshot();
    },
  );

  test('reach runners without a name where none is needed', async () => {
    await routers.sendRequest(1, '/open/nobody', 'nobody', { 'tenant-id': 'bob' });
    const [arrival] = routers.arrivals.filter(({ path }) => path === '/open/nobody');
    expect(arrival).toEqual({ path: '/open/nobody' });
  });

  /* A key that no configuration ever held, or something that is none, must not run anything. */
  test.each([
    ['no key', {}],
    ['an unknown key', bearer('key-9')],
    ['a part of a key', bearer('key-')],
    ['an empty key', bearer('')],
    ['the digest of a key', bearer('kTUWJ-6eaiJr8Y7YO7pK3ol2HyEDAHH8cT0u8G5A0ME')],
    ['another scheme', { authorization: `Basic ${OWN_KEY}` }],
    ['a key without a scheme', { authorization: OWN_KEY }],
    ['two words', bearer(`${OWN_KEY} key-2`)],
    ['two keys', { authorization: ['Bearer key-1', 'Bearer key-3'] }],
    ['bytes that are no text', bearer('key-1\u00ff')],
    ['a key that two customers hold', bearer('key-shared')],
  ])('are refused for good with %s, and run nothing', async (_, sent) => {
    const before = routers.arrivalCount;
    const statuses: number[] = [];
    for (const path of ['/model/wrong', '/plain/wrong']) {
      statuses.push((await routers.sendRequest(2, path, 'wrong', sent)).status);
    }
    expect(statuses).toEqual([401, 401]);
    expect(routers.arrivalCount).toBe(before);
  });

  test('run with the scheme in any case and spaces before the key', async () => {
    const sent = { authorization: `bEARER   ${OWN_KEY}` };
    expect((await routers.sendRequest(0, '/plain/case', 'case', sent)).status).toBe(200);
    const found = routers.arrivals.find(({ path }) => path === '/plain/case');
    expect(found?.customer).toBe('ada');
  });

  test('are refused once their key is taken away, and run under one that is new', async () => {
    routers.configure([customers[0], { name: 'ada', 'api-keys': ['key-5'] }]);
    await waitUntil('the old key is refused', async () => {
      const { status } = await routers.sendRequest(1, '/plain/old', 'old', bearer(OWN_KEY));
      return status === 401;
    });
    expect((await routers.sendRequest(1, '/plain/new', 'new', bearer('key-5'))).status).toBe(200);
  });
});

/** Time after which a key that was taken away must run nothing, in milliseconds. */
const REVOKED_MS = 5000;
/** Time for which a VM that hears nothing must go on, in milliseconds: most of that. */
const SERVED_MS = 4000;

describe('a VM that hears neither the store nor any other VM', () => {
  const routers = new RouterCluster({ vms: 1, customers });

  beforeAll(() => routers.start(), 30_000);
  afterAll(() => routers.stop(), 30_000);

  /*
   * The VM is cut off, and in that moment the operator takes a key away. The VM hears
   * nothing of it, and its caller's requests ran for as long as it was cut off, under
   * a key that somebody else may have by now.
   */
  test('serves keys for a while, then refuses them and says that nothing was run', async () => {
    routers.store.fault = 'silent';
    routers.configure([customers[0]]);
    const since = performance.now();
    const ran: number[] = [];
    const refused = new Set<number>();
    while (performance.now() - since < REVOKED_MS + 2000) {
      const at = performance.now() - since;
      const { status } = await routers.sendRequest(0, '/plain/cut', 'cut', bearer(OWN_KEY));
      if (status === 200) ran.push(at);
      else refused.add(status);
      await pause(50);
    }
    expect(Math.max(...ran)).toBeLessThan(REVOKED_MS);
    expect(Math.max(...ran)).toBeGreaterThan(SERVED_MS);
    expect([...refused]).toEqual([503]);
  }, 20_000);

  /* Its configuration may lack a key or a route that is there by now: 401 and 404 would turn the caller away for good. */
  test('says of nothing that it is not there', async () => {
    const unknown = await routers.sendRequest(0, '/plain/cut', 'cut', bearer('key-9'));
    const nowhere = await routers.sendRequest(0, '/nowhere/', 'cut', bearer(OWN_KEY));
    expect([unknown.status, nowhere.status]).toEqual([503, 503]);
  });

  test('serves again once it hears the store', async () => {
    routers.store.fault = 'well';
    await waitUntil('the key that was taken away is refused', async () => {
      const { status } = await routers.sendRequest(0, '/plain/back', 'back', bearer(OWN_KEY));
      return status === 401;
    });
    const { status } = await routers.sendRequest(0, '/plain/back', 'back', bearer(WARMUP_KEY));
    expect(status).toBe(200);
  });
});
