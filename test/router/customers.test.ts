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
   * A caller sends its key and, in the header that runners trust, the name of another
   * customer. If the header reached a runner, the runner would act for the wrong customer;
   * if the key reached it, the runner would hold a customer's credential.
   */
  test.each(['/model/whose', '/plain/whose', '/open/whose'])(
    'reach runners with the name of the customer and without the key: %s',
    async (path) => {
      const sent = { ...bearer(OWN_KEY), 'tenant-id': 'bob' };
      const { status } = await routers.sendRequest(0, path, 'whose', sent);
      const arrivals = routers.arrivals.filter((one) => one.path === path);
      expect({ status, arrivals }).toMatchSnapshot();
    },
  );

  test('reach runners without a customer name on routes that need no key', async () => {
    await routers.sendRequest(1, '/open/nobody', 'nobody', { 'tenant-id': 'bob' });
    const [arrival] = routers.arrivals.filter(({ path }) => path === '/open/nobody');
    expect(arrival).toEqual({ path: '/open/nobody' });
  });

  /* An unknown or malformed key must not cause any work at a runner. */
  test.each([
    ['no key', {}],
    ['an unknown key', bearer('key-9')],
    ['a prefix of a key', bearer('key-')],
    ['an empty key', bearer('')],
    ['the digest of a key', bearer('kTUWJ-6eaiJr8Y7YO7pK3ol2HyEDAHH8cT0u8G5A0ME')],
    ['another scheme', { authorization: `Basic ${OWN_KEY}` }],
    ['a key without a scheme', { authorization: OWN_KEY }],
    ['two words', bearer(`${OWN_KEY} key-2`)],
    ['two keys', { authorization: ['Bearer key-1', 'Bearer key-3'] }],
    ['a byte outside ASCII', bearer('key-1\u00ff')],
    ['a key that two customers hold', bearer('key-shared')],
  ])('are refused with 401 and reach no runner: %s', async (_, sent) => {
    const before = routers.arrivalCount;
    const statuses: number[] = [];
    for (const path of ['/model/wrong', '/plain/wrong']) {
      statuses.push((await routers.sendRequest(2, path, 'wrong', sent)).status);
    }
    expect(statuses).toEqual([401, 401]);
    expect(routers.arrivalCount).toBe(before);
  });

  test('are accepted with the scheme in any case and several spaces before the key', async () => {
    const sent = { authorization: `bEARER   ${OWN_KEY}` };
    expect((await routers.sendRequest(0, '/plain/case', 'case', sent)).status).toBe(200);
    const found = routers.arrivals.find(({ path }) => path === '/plain/case');
    expect(found?.customer).toBe('ada');
  });

  test('are refused after their key is revoked, and accepted with a new one', async () => {
    routers.configure([customers[0], { name: 'ada', 'api-keys': ['key-5'] }]);
    await waitUntil('the old key is refused', async () => {
      const { status } = await routers.sendRequest(1, '/plain/old', 'old', bearer(OWN_KEY));
      return status === 401;
    });
    expect((await routers.sendRequest(1, '/plain/new', 'new', bearer('key-5'))).status).toBe(200);
  });
});

/** Time after which a revoked key must be refused, in milliseconds. */
const REVOKE_MS = 5000;
/** Time for which an isolated VM must still accept keys, in milliseconds; most of the time to revoke. */
const MIN_SERVED_MS = 4000;

describe('a VM that can reach neither the store nor another VM', () => {
  const routers = new RouterCluster({ vms: 1, customers });

  beforeAll(() => routers.start(), 30_000);
  afterAll(() => routers.stop(), 30_000);

  /*
   * The operator revokes a key at the moment when the VM loses the store. Without a limit on
   * the age of its configuration, the VM would accept the revoked key, which may be
   * compromised, for as long as it is isolated.
   */
  test('accepts keys for a limited time, then refuses them with 503', async () => {
    routers.store.fault = 'silent';
    routers.configure([customers[0]]);
    const since = performance.now();
    const acceptedAt: number[] = [];
    const refused = new Set<number>();
    while (performance.now() - since < REVOKE_MS + 2000) {
      const at = performance.now() - since;
      const { status } = await routers.sendRequest(0, '/plain/cut', 'cut', bearer(OWN_KEY));
      if (status === 200) acceptedAt.push(at);
      else refused.add(status);
      await pause(50);
    }
    expect(Math.max(...acceptedAt)).toBeLessThan(REVOKE_MS);
    expect(Math.max(...acceptedAt)).toBeGreaterThan(MIN_SERVED_MS);
    expect([...refused]).toEqual([503]);
  }, 20_000);

  /* Its configuration may lack a new key or route, and callers treat 401 and 404 as permanent. */
  test('refuses unknown keys and routes with 503 instead of 401 and 404', async () => {
    const unknown = await routers.sendRequest(0, '/plain/cut', 'cut', bearer('key-9'));
    const nowhere = await routers.sendRequest(0, '/nowhere/', 'cut', bearer(OWN_KEY));
    expect([unknown.status, nowhere.status]).toEqual([503, 503]);
  });

  test('accepts keys again once the store answers', async () => {
    routers.store.fault = 'well';
    await waitUntil('the key that was taken away is refused', async () => {
      const { status } = await routers.sendRequest(0, '/plain/back', 'back', bearer(OWN_KEY));
      return status === 401;
    });
    const { status } = await routers.sendRequest(0, '/plain/back', 'back', bearer(WARMUP_KEY));
    expect(status).toBe(200);
  });
});
