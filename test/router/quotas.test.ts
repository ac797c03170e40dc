import { setTimeout as pause } from 'node:timers/promises';

import { RouterCluster, WARMUP_KEY } from '../fakes/routers';
import type { CallerAnswer } from '../fakes/routers';

const PER_S = 10;
const BURST = 20;
const customers = [
  { name: 'warm', 'api-keys': [WARMUP_KEY] },
  { name: 'few', 'api-keys': ['key-few'], 'rate-per-s': PER_S, burst: BURST },
  {
    name: 'tokens',
    'api-keys': ['key-tokens'],
    unit: 'tokens',
    'plain-tokens': 10,
    'rate-per-s': 200,
    burst: 400,
  },
];
const bearer = (key: string): Readonly<Record<string, string>> => ({
  authorization: `Bearer ${key}`,
});

describe('quotas', () => {
  const routers = new RouterCluster({ customers });

  beforeAll(() => routers.start(), 30_000);
  afterAll(() => routers.stop(), 30_000);

  /* Answers to requests that come at once, to all VMs in turn. */
  function answersOf(count: number, path: string, key: string): Promise<readonly CallerAnswer[]> {
    const sent = bearer(key);
    const asked = Array.from({ length: count }, (_, i) =>
      routers.sendRequest(i, path, `${i}`, sent),
    );
    return Promise.all(asked);
  }

  /* Their statuses. */
  async function flood(count: number, path: string, key: string): Promise<readonly number[]> {
    return (await answersOf(count, path, key)).map(({ status }) => status);
  }

  /*
   * A customer sends four times its burst at once, to all VMs. Each VM alone sees a third
   * of it, and let all of it through.
   */
  test('hold over all VMs; what is over is told when to come back and runs nothing', async () => {
    // The owner's account fills up to the burst.
    await pause((BURST / PER_S) * 1000 + 500);
    const before = routers.arrivalCount;
    const since = performance.now();
    const answers = await answersOf(BURST * 4, '/plain/flood', 'key-few');
    const statuses = answers.map(({ status }) => status);
    const through = statuses.filter((status) => status === 200).length;
    const seconds = (performance.now() - since) / 1000;
    expect(through).toBeGreaterThanOrEqual(BURST);
    expect(through).toBeLessThanOrEqual(BURST + PER_S * seconds + 1);
    expect(new Set(statuses)).toEqual(new Set([200, 429]));
    expect(routers.arrivalCount - before).toBe(through);
    const refused = answers.filter(({ status }) => status === 429);
    expect(refused.every(({ retryAfter }) => Number(retryAfter) > 0)).toBe(true);
  });

  test('of one customer leave the others alone', async () => {
    const [, others] = await Promise.all([
      flood(BURST * 2, '/plain/flood', 'key-few'),
      flood(BURST * 2, '/plain/other', WARMUP_KEY),
    ]);
    expect(new Set(others)).toEqual(new Set([200]));
  });

  /* Prompts and most output come with the request: 150 tokens. A plain call counts as 10. */
  test('count tokens where they are told in tokens', async () => {
    const models = await flood(6, '/model/tokens', 'key-tokens');
    expect(models.filter((status) => status === 200)).toHaveLength(2);
    expect(models.filter((status) => status === 429)).toHaveLength(4);
    const plain = await flood(30, '/plain/tokens', 'key-tokens');
    const through = plain.filter((status) => status === 200).length;
    expect(through).toBeGreaterThanOrEqual(10);
    expect(through).toBeLessThan(30);
  });

  /* Anything below nothing would raise the customer's quota, and nothing at all would let a prompt pass for a plain call. */
  test.each(['-1000,10', '10', 'many,few', '1e400,1', '', '5,5,5'])(
    'are not evaded by a size that is none: %j',
    async (usage) => {
      const before = routers.arrivalCount;
      const sent = { ...bearer('key-tokens'), 'token-usage': usage };
      expect((await routers.sendRequest(0, '/model/size', 'size', sent)).status).toBe(400);
      expect(routers.arrivalCount).toBe(before);
    },
  );
});
