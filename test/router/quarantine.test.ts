import { setTimeout as pause } from 'node:timers/promises';

import { waitUntil } from '../fakes/cluster';
import { CRASH_TEXT, RouterCluster } from '../fakes/routers';

/** Time between two attempts of the caller, in milliseconds: gossip reaches all VMs well before. */
const ATTEMPT_MS = 300;
const ATTEMPTS = 12;
/** Number of crashed runners after which a request is quarantined. */
const ENDS = 3;
/** Most sends to runners after that. */
const LATE_SENDS = 3;

/*
 * One request crashes each runner that starts to process it, 80 ms after it was sent, which
 * also cuts the other streams on that runner. The caller gets 502 and sends the request again, with a
 * new id and to another VM. Without a record of the requests that crashed runners, every
 * attempt counted as a first one: nineteen decode runners crashed one after the other, each
 * with one request without an event, all on one route. Its prompt was prefilled in 72 to 77 ms
 * where a prefill runner got it a second time, and in some 275 ms otherwise.
 */
describe('a request that crashes each runner that starts to process it', () => {
  const routers = new RouterCluster();

  beforeAll(() => routers.start(), 30_000);
  afterAll(() => routers.stop(), 30_000);

  test.each(['/model/deadly', '/plain/deadly'])(
    'is quarantined once it has crashed three runners: %s',
    async (path) => {
      const crashedBefore = routers.crashed.length;
      const reached: number[] = [];
      const statuses: number[] = [];
      for (let turn = 0; turn < ATTEMPTS; turn += 1) {
        const before = routers.arrivalCount;
        const isKnown = routers.crashed.length - crashedBefore >= ENDS;
        const { status } = await routers.sendRequest(turn, path, CRASH_TEXT);
        if (isKnown) reached.push(routers.arrivalCount - before);
        statuses.push(status);
        await pause(ATTEMPT_MS);
      }
      expect(reached.filter((sends) => sends > 0).length).toBeLessThanOrEqual(LATE_SENDS);
      expect(routers.crashed.length - crashedBefore).toBeLessThanOrEqual(ENDS + LATE_SENDS);
      expect(statuses.slice(-3)).toEqual([503, 503, 503]);
    },
    30_000,
  );
});

describe('a quarantined request', () => {
  const routers = new RouterCluster();

  beforeAll(() => routers.start(), 30_000);
  afterAll(() => routers.stop(), 30_000);

  /** Sends one attempt to each VM, one after the other, and returns the statuses. */
  const askAll = async (vms: number, body: string): Promise<readonly number[]> => {
    const statuses: number[] = [];
    for (let turn = 0; turn < vms; turn += 1) {
      statuses.push((await routers.sendRequest(turn, '/model/x', body)).status);
      await pause(ATTEMPT_MS);
    }
    return statuses;
  };

  /*
   * The store does not answer while the request crashes its third runner, so no VM can save it
   * there; VMs learn of it by gossip. Once the store answers, it is saved, and after a restart
   * of all VMs it is known before a runner gets it again.
   */
  test('is known to new VMs, and after a restart of all VMs', async () => {
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

  /* The store is restored from a copy that lacks the request: the VMs that read the store save it again. */
  test('is saved again when a restored store lacks it', async () => {
    const suspects = (): readonly string[] =>
      routers.store.keys.filter((key) => key.includes('/suspects/'));
    const [saved = ''] = suspects();
    routers.store.remove(saved);
    const copy = routers.store.copy();
    routers.store.restore(copy);
    await waitUntil('it is saved again', () => suspects().includes(saved));
    expect(await askAll(2, CRASH_TEXT)).toEqual([503, 503]);
  }, 20_000);

  test('is rejected with a retry time, and no other request is rejected', async () => {
    const { status, retryAfter } = await routers.sendRequest(0, '/model/x', CRASH_TEXT);
    // A third of the five seconds that the caller waits.
    expect([status, retryAfter]).toEqual([503, '1.7']);
    expect(await askAll(4, 'another')).toEqual([200, 200, 200, 200]);
  });
});
