import { Newcomers } from '../../scripts/soak/newcomers';
import type { RunnerPool } from '../../scripts/soak/pool';
import type { Vm } from '../../scripts/soak/vm';

let mockNow = 0;
jest.mock('node:timers/promises', () => ({
  setTimeout: async (ms: number) => {
    mockNow += ms;
  },
}));

/** Registers a runner at which VMs answer with a status; returns the breaches and the counts. */
async function register({ status = 200, isInTouch = true, freeMs = Infinity, isLeaving = false }) {
  const runner = {
    instanceId: 'i@1',
    isUp: true,
    isLeaving,
    get upForMs() {
      return mockNow;
    },
  };
  const pool = {
    add: async () => ({ runner }),
    drain: () => undefined,
    remove: async () => undefined,
  };
  const breaches: string[] = [];
  const newcomers = new Newcomers({
    pool: pool as unknown as RunnerPool,
    vms: [{ options: { name: 'vm-1' }, isUp: true, frontAddress: 'a' } as Vm],
    version: 'v1',
    probe: async () => status,
    isInTouch: () => isInTouch,
    unplannedFreeMs: () => freeMs,
    onBreach: ({ promise, detail }) => breaches.push(`${promise}: ${detail}`),
    onDraining: () => undefined,
  });
  mockNow = 0;
  await newcomers.run();
  return { breaches, counts: newcomers.counts };
}

describe('a runner that is registered beside odd entries', () => {
  // Guards against a check that misses a VM that never uses a runner, or blames one amid a fault.
  it('is used by each undisturbed VM', async () => {
    const counts = { registered: 1, usedAtVms: 0, excusedAtVms: 0, unusedAtVms: 0 };
    expect({
      used: await register({}),
      unused: await register({ status: 503 }),
      'VM disturbed': await register({ status: 503, isInTouch: false }),
      fault: await register({ status: 503, freeMs: 3000 }),
      'runner leaves': await register({ status: 503, isLeaving: true }),
    }).toEqual({
      used: { breaches: [], counts: { ...counts, usedAtVms: 1 } },
      unused: {
        breaches: ['used: vm-1 has served nothing by i@1 in 6000 ms'],
        counts: { ...counts, unusedAtVms: 1 },
      },
      'VM disturbed': { breaches: [], counts: { ...counts, excusedAtVms: 1 } },
      fault: { breaches: [], counts: { ...counts, excusedAtVms: 1 } },
      'runner leaves': { breaches: [], counts: { ...counts, excusedAtVms: 1 } },
    });
  });
});
