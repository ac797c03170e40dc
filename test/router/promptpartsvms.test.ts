import { setTimeout as pause } from 'node:timers/promises';

import { waitUntil } from '../fakes/cluster';
import type { PromptKind } from '../fakes/promptcallers';
import { crashOf, PromptCallers, SHARED_PART } from '../fakes/promptcallers';
import type { RouterClusterOptions } from '../fakes/routers';
import { RouterCluster } from '../fakes/routers';

const FATAL = 'fa7a1';
/** Time between two requests, in milliseconds: gossip reaches all VMs well before. */
const ATTEMPT_MS = 300;
/** Crashes after which a part is known. */
const KNOWN_CRASHES = 3;
/** Most crashes of a part that is sound at runners of one software version. */
const MAX_CRASHES = 5;
/** Least share of the requests that begin. */
const MIN_SHARE = 0.9;

const fatal: PromptKind = {
  name: 'fatal',
  perS: 8,
  callers: ['c1', 'c2'],
  partsOf: (caller) => [SHARED_PART, caller, FATAL],
};
const sound: PromptKind = { ...fatal, name: 'sound', partsOf: (c) => [SHARED_PART, c] };

describe('a prompt part that crashes runners', () => {
  let routers: RouterCluster;

  async function start(options: RouterClusterOptions): Promise<void> {
    routers = new RouterCluster({ vms: 3, runners: 6, ...options });
    await routers.start();
  }

  /** Sends a request of some kind to each VM, one after the other; returns the statuses. */
  async function askAll(kind: PromptKind, vms: number): Promise<readonly number[]> {
    const callers = new PromptCallers(routers, kind);
    const statuses: number[] = [];
    for (let turn = 0; turn < vms; turn += 1) {
      statuses.push((await callers.send('c1', turn)).status);
      await pause(ATTEMPT_MS);
    }
    return statuses;
  }

  afterEach(() => routers.stop(), 30_000);

  // Guards against VMs that begin to count anew, and against a store that keeps whole requests only.
  test('is known to VMs that start, and after all VMs have restarted', async () => {
    await start({ crashes: { fatalParts: new Set([FATAL]) } });
    expect(await askAll(sound, 3)).toEqual([200, 200, 200]);
    expect(await askAll(fatal, 3)).toEqual([502, 502, 502]);
    const isSaved = (): boolean =>
      routers.store.keys.some((key) => key.includes('/suspects/part:'));
    await waitUntil('it is saved', isSaved);
    await routers.addVm();
    expect(await askAll(fatal, 4)).toEqual([503, 503, 503, 503]);
    await routers.restart();
    expect(await askAll(fatal, 4)).toEqual([503, 503, 503, 503]);
    expect(await askAll(sound, 4)).toEqual([200, 200, 200, 200]);
    expect(routers.crashed.length).toBe(KNOWN_CRASHES);
  }, 40_000);

  // Guards against refusing what runners of one software version serve, and against crashing the others on and on.
  test('is served by runners of the software version that it does not crash', async () => {
    const crashes = { fatalParts: new Set([FATAL]), version: 'v2' };
    await start({ versions: ['v1', 'v2'], crashes });
    const callers = new PromptCallers(routers, fatal).start();
    await crashOf(routers, KNOWN_CRASHES, 4000);
    const knownAt = performance.now() + 1000;
    await pause(5000);
    await callers.stop();
    const share = callers.shareBegun(knownAt);
    const isServed = share >= MIN_SHARE && routers.crashed.length <= MAX_CRASHES;
    expect({ share, crashes: routers.crashed.length, isServed }).toMatchObject({ isServed: true });
  }, 40_000);
});
