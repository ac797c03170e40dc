import fc from 'fast-check';

import type { OrderLease } from '../../src/node/router/types';
import { StoreLock } from '../../src/platform/lock';
import type { StoreCopy } from '../fakes/store';
import { FakeStore, clientOf } from '../fakes/store';

/** What happens to the right to give orders. */
type Step =
  | { readonly kind: 'acquire' | 'release'; readonly vm: number }
  | { readonly kind: 'lapse' }
  | { readonly kind: 'copy' }
  | { readonly kind: 'return'; readonly copy: number };

const VMS = 3;
const vm = fc.nat(VMS - 1);
const step: fc.Arbitrary<Step> = fc.oneof(
  { weight: 4, arbitrary: fc.record({ kind: fc.constant('acquire' as const), vm }) },
  { weight: 1, arbitrary: fc.record({ kind: fc.constant('release' as const), vm }) },
  { weight: 2, arbitrary: fc.constant({ kind: 'lapse' as const }) },
  { weight: 2, arbitrary: fc.constant({ kind: 'copy' as const }) },
  {
    weight: 2,
    arbitrary: fc.record({ kind: fc.constant('return' as const), copy: fc.nat(10) }),
  },
);

/** VMs that take the right by turns from a store that comes back from copies. */
class Holders {
  readonly store = new FakeStore();

  /** Fences in the order in which the right was taken. */
  readonly fences: number[] = [];

  #locks: readonly StoreLock[] = [];

  readonly #rights = new Map<number, OrderLease>();

  readonly #copies: StoreCopy[] = [];

  async start(): Promise<void> {
    this.store.era = '1';
    await this.store.start();
    this.#locks = Array.from(
      { length: VMS },
      (_, i) => new StoreLock(clientOf(this.store), `vm${i}`),
    );
  }

  async take(one: Step): Promise<void> {
    const { store } = this;
    if (one.kind === 'acquire') await this.#acquire(one.vm);
    else if (one.kind === 'release') await this.#release(one.vm);
    else if (one.kind === 'lapse') store.leases.forEach((lease) => store.expire(lease));
    else if (one.kind === 'copy') this.#copies.push(store.copy());
    else if (one.kind === 'return') {
      const copy = this.#copies[one.copy % Math.max(1, this.#copies.length)];
      if (copy) store.restore(copy);
    }
  }

  /** VMs that would give an order now. */
  async renewed(): Promise<number> {
    const outcomes = await Promise.all([...this.#rights.values()].map((right) => right.renew()));
    return outcomes.filter(Boolean).length;
  }

  async #acquire(number: number): Promise<void> {
    const right = await this.#locks[number]?.acquire();
    if (!right) return;
    this.#rights.set(number, right);
    this.fences.push(right.fence);
  }

  async #release(number: number): Promise<void> {
    await this.#rights.get(number)?.release();
    this.#rights.delete(number);
  }
}

describe('the right to give orders, over returns of the store from older copies', () => {
  /*
   * Leases lapse, holders change, and the store comes back from copies in which an earlier
   * holder still stands, or a lease's number is given out again. Runners must never hear
   * two holders by turns, nor a holder with a lower fence than the one before.
   */
  test('has one holder at a time, each with a higher fence than any before', async () => {
    await fc.assert(
      fc.asyncProperty(fc.array(step, { maxLength: 25 }), async (steps) => {
        const holders = new Holders();
        await holders.start();
        try {
          for (const one of steps) {
            await holders.take(one);
            expect(await holders.renewed()).toBeLessThanOrEqual(1);
          }
        } finally {
          holders.store.stop();
        }
        const sorted = [...new Set(holders.fences)].sort((a, b) => a - b);
        expect(holders.fences).toEqual(sorted);
      }),
      { numRuns: 150, seed: 27 },
    );
  }, 120_000);
});
