import { setTimeout as pause } from 'node:timers/promises';

import { waitUntil } from '../fakes/cluster';
import { CRASH_TEXT, RouterCluster } from '../fakes/routers';

/** Time between two attempts of the caller, in milliseconds: news is with all VMs well before. */
const ATTEMPT_MS = 300;
const ATTEMPTS = 12;
/** Runners that a request may end before it is known for it. */
const ENDS = 3;
/** Sends to runners that may still follow after that. */
const LATE_SENDS = 3;

/*
 * Decode runners end one after the other, and the summaries on them are cut. One
 * request ends each runner that begins to run it, 80 ms after it was sent; its caller
 * gets 502 and sends it again, under a new id and to another VM. Every attempt was
 * taken for a first one: nothing held what runners had ended under. The log showed one
 * request without an event at each of nineteen ends, all on one route, and its prompt
 * read in 72 to 77 ms where a prefill runner had it a second time, else in some 275.
 */
describe('a request that ends each runner that begins to run it', () => {
  const routers = new RouterCluster();

  beforeAll(() => routers.start(), 30_000);
  afterAll(() => routers.stop(), 30_000);

  test.each(['/model/deadly', '/plain/deadly'])(
    'is kept from runners once it has ended three: %s',
    async (path) => {
      const endedBefore = routers.crashed.length;
      const reached: number[] = [];
      const statuses: number[] = [];
      for (let turn = 0; turn < ATTEMPTS; turn += 1) {
        const before = routers.arrivalCount;
        const known = routers.crashed.length - endedBefore >= ENDS;
        const { status } = await routers.sendRequest(turn, path, CRASH_TEXT);
        if (known) reached.push(routers.arrivalCount - before);
        statuses.push(status);
        await pause(ATTEMPT_MS);
      }
      expect(reached.filter((sends) => sends > 0).length).toBeLessThanOrEqual(LATE_SENDS);
      expect(routers.crashed.length - endedBefore).toBeLessThanOrEqual(ENDS + LATE_SENDS);
      expect(statuses.slice(-3)).toEqual([503, 503, 503]);
    },
    30_000,
  );
});

describe('a request that is kept from runners', () => {
  const routers = new RouterCluster();

  beforeAll(() => routers.start(), 30_000);
  afterAll(() => routers.stop(), 30_000);

  /** Statuses of one attempt at each VM, one after the other. */
  const askAll = async (vms: number, body: string): Promise<readonly number[]> => {
    const statuses: number[] = [];
    for (let turn = 0; turn < vms; turn += 1) {
      statuses.push((await routers.sendRequest(turn, '/model/x', body)).status);
      await pause(ATTEMPT_MS);
    }
    return statuses;
  };

  /*
   * The store is silent while the request ends its third runner, so that nobody can save
   * it there. All VMs know it from each other. Once the store answers it is saved, and VMs
   * that all start anew know it before a runner gets it again.
   */
  test('is known to VMs that are new, and when all start anew', async () => {
    expect(await askAll(2, CRASH_TEXT)).toEqual([502, 502]);
    routers.store.fault = 'busy';
    expect(await askAll(4, CRASH_TEXT)).toEqual([502, 503, 503, 503]);
    routers.store.fault = 'well';
    const saved = (): boolean => routers.store.keys.some((key) => key.includes('/suspects/'));
    await waitUntil('it is saved', saved);
    await routers.addVm();
    expect(await askAll(4, CRASH_TEXT)).toEqual([503, 503, 503, 503]);
    await routers.restart();
    expect(await askAll(4, CRASH_TEXT)).toEqual([503, 503, 503, 503]);
    expect(routers.crashed.length).toBe(3);
  }, 30_000);

  /* The store comes back from a copy of before it was saved: those who read the store save it again. */
  test('is saved again when the store comes back without it', async () => {
    const suspects = (): readonly string[] =>
      routers.store.keys.filter((key) => key.includes('/suspects/'));
    const [saved = ''] = suspects();
    routers.store.remove(saved);
    const copy = routers.store.copy();
    routers.store.restore(copy);
    await waitUntil('it is saved again', () => suspects().includes(saved));
    expect(await askAll(2, CRASH_TEXT)).toEqual([503, 503]);
  }, 20_000);

  test('has the time to come back told, and no other request is refused', async () => {
    const { status, retryAfter } = await routers.sendRequest(0, '/model/x', CRASH_TEXT);
    // A third of the five seconds that the caller waits.
    expect([status, retryAfter]).toEqual([503, '1.7']);
    expect(await askAll(4, 'another')).toEqual([200, 200, 200, 200]);
  });
});
