/** The right to give orders to runners: a key under a lease in the store. */

import { ordinalOf } from '../core/routing/position';
import type { OrderLock, OrderLease } from '../node/router/types';
import { key } from './names';
import type { StoreClient } from './store';

/** Time to live of the lease, in milliseconds: three renewals may be lost. */
const LEASE_MS = 6000;

/**
 * Takes the lock by compare-and-swap. Its fence is the position of that write as one
 * number: by the revision alone, a holder after the return of an older copy had a
 * lower fence than the one before, and runners that check fences refused its orders.
 */
export class StoreLock implements OrderLock {
  readonly #store: StoreClient;

  readonly #vm: string;

  constructor(store: StoreClient, vm: string) {
    this.#store = store;
    this.#vm = vm;
  }

  async acquire(): Promise<OrderLease | undefined> {
    const { items } = await this.#store.range(key.orders);
    if (items.some((item) => item.key === key.orderHolder)) return undefined;
    const last = items.find((item) => item.key === key.orderLast);
    const lease = await this.#store.grantLease(LEASE_MS);
    const mine = `${this.#vm} ${this.#store.era}`;
    const taken = await this.#store.commit({
      expected: [
        { key: key.orderHolder, revision: 0 },
        { key: key.orderLast, revision: last?.revision ?? 0 },
      ],
      writes: [
        { key: key.orderHolder, value: this.#vm, lease },
        { key: key.orderLast, value: mine, lease: 0 },
      ],
    });
    if (taken === undefined) return undefined;
    const { era } = taken;
    return {
      fence: ordinalOf(taken),
      fresh: this.#isFresh(last?.value, mine),
      // A lease of the era before may be somebody else's by now.
      renew: async () => (await this.#store.renewLease(lease)) && this.#store.era === era,
      release: () => this.#store.revokeLease(lease),
    };
  }

  /** Whether no other VM had the right before. A store that came back from a copy may have lost who had it. */
  #isFresh(last: string | undefined, mine: string): boolean {
    return last === undefined ? this.#store.era === 0 : last === mine;
  }
}
