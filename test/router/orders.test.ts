import pino from 'pino';

import type { Runner } from '../../src/core/routing/types';
import type { OrderContext } from '../../src/node/router/orders';
import { OrderController } from '../../src/node/router/orders';
import { runnerOf } from '../fakes/runner';
import { directPaths, openStateOf, pathsOf } from '../fakes/runs';

const LEASE_MS = 3000;

describe('the order lock', () => {
  beforeEach(() => jest.useFakeTimers());

  afterEach(() => jest.useRealTimers());

  /*
   * The store is restored from a copy older than this VM's lock. Another VM may hold the lock by
   * now, and a runner would receive orders from two holders. The lock is given up at once, and the
   * next one is used only after two leases, when all earlier orders have arrived.
   */
  test('is given up when the store is restored from an older copy', async () => {
    const orders: number[] = [];
    let fence = 0;
    const controller = new OrderController({
      vm: 'vm1',
      routingState: openStateOf([runnerOf('p', 'prefill')]),
      planners: {
        stageChanges: () => [{ service: 's', runner: 'p', role: 'decode' }],
        onOrderOutcome: () => {},
      },
      runners: {
        order: async (_runner: unknown, _role: unknown, _vm: unknown, usedFence: number) => {
          orders.push(usedFence);
          return 'accepted';
        },
      },
      lock: {
        acquire: async () => {
          fence += 1;
          return { fence, fresh: fence === 1, renew: async () => true, release: async () => {} };
        },
      },
      paths: directPaths,
      owns: () => true,
      leaseMs: LEASE_MS,
      log: pino({ level: 'silent' }),
    } as unknown as OrderContext);
    await jest.advanceTimersByTimeAsync(2600);
    expect(orders).toEqual([1, 1]);
    controller.onStoreRestored(performance.now());
    await jest.advanceTimersByTimeAsync(2 * LEASE_MS - 100);
    expect(orders.length).toBe(2);
    await jest.advanceTimersByTimeAsync(4 * LEASE_MS);
    expect(new Set(orders.slice(2))).toEqual(new Set([2]));
    controller.stop();
  });

  /* The order would reach the runner late or through another VM, which the runner takes for another holder. */
  test('gives no orders to a runner that this VM does not reach directly', async () => {
    const orders: string[] = [];
    let renewals = 0;
    const controller = new OrderController({
      vm: 'vm1',
      routingState: openStateOf([runnerOf('a', 'prefill'), runnerOf('b', 'prefill')]),
      planners: {
        stageChanges: () => ['a', 'b'].map((runner) => ({ service: 's', runner, role: 'decode' })),
        onOrderOutcome: () => {},
      },
      runners: {
        order: async ({ id }: Runner) => {
          orders.push(id);
          return 'accepted';
        },
      },
      paths: pathsOf({ a: 'tunnel' }),
      lock: {
        acquire: async () => ({
          fence: 1,
          fresh: true,
          renew: async () => {
            renewals += 1;
            return true;
          },
          release: async () => {},
        }),
      },
      owns: () => true,
      leaseMs: LEASE_MS,
      log: pino({ level: 'silent' }),
    } as unknown as OrderContext);
    await jest.advanceTimersByTimeAsync(2600);
    controller.stop();
    expect(new Set(orders)).toEqual(new Set(['b']));
    expect(renewals).toBe(orders.length);
  });
});
