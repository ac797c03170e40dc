import pino from 'pino';

import type { OrderContext } from '../../src/node/router/orders';
import { OrderController } from '../../src/node/router/orders';
import { runnerOf } from '../fakes/runner';

const LEASE_MS = 3000;

describe('the right to give orders', () => {
  beforeEach(() => jest.useFakeTimers());

  afterEach(() => jest.useRealTimers());

  /*
   * The store comes back from a copy of before this VM took the right. Another VM may hold
   * it by now, and a runner would hear two holders by turns. The right is given up at once,
   * and the next one is used only after twice the lease, when orders of before are over.
   */
  test('is given up when the store comes back from an older copy', async () => {
    const orders: number[] = [];
    let fence = 0;
    const desk = new OrderController({
      vm: 'vm1',
      knowledge: { runnersOf: () => [runnerOf('p', 'prefill')] },
      host: {
        stageChanges: () => [{ service: 's', runner: 'p', role: 'decode' }],
        ordered: () => {},
      },
      runners: {
        order: async (_runner: unknown, _role: unknown, _vm: unknown, with_: number) => {
          orders.push(with_);
          return 'accepted';
        },
      },
      lock: {
        acquire: async () => {
          fence += 1;
          return { fence, fresh: fence === 1, renew: async () => true, release: async () => {} };
        },
      },
      owns: () => true,
      leaseMs: LEASE_MS,
      log: pino({ level: 'silent' }),
    } as unknown as OrderContext);
    await jest.advanceTimersByTimeAsync(2600);
    expect(orders).toEqual([1, 1]);
    desk.onStoreRestored(performance.now());
    await jest.advanceTimersByTimeAsync(2 * LEASE_MS - 100);
    expect(orders.length).toBe(2);
    await jest.advanceTimersByTimeAsync(4 * LEASE_MS);
    expect(new Set(orders.slice(2))).toEqual(new Set([2]));
    desk.stop();
  });
});
