/** The right to give orders to runners: a key under a lease in the store. */

import type { OrderLock, OrderRight } from '../node/router/types';
import { key } from './names';
import type { StoreClient } from './store';

/** Time to live of the lease, in milliseconds: three renewals may be lost. */
const LEASE_MS = 6000;

/** Takes the lock by compare-and-swap; its fence is the store's revision, which only grows. */
export class StoreLock implements OrderLock {
  readonly #store: StoreClient;

  readonly #vm: string;

  constructor(store: StoreClient, vm: string) {
    this.#store = store;
    this.#vm = vm;
  }

  async acquire(): Promise<OrderRight | undefined> {
    const { items } = await this.#store.range(key.orders);
    if (items.some((item) => item.key === key.orderHolder)) return undefined;
    const last = items.find((item) => item.key === key.orderLast);
    const lease = await this.#store.grant(LEASE_MS);
    const fence = await this.#store.commit({
      expected: [
        { key: key.orderHolder, revision: 0 },
        { key: key.orderLast, revision: last?.revision ?? 0 },
      ],
      writes: [
        { key: key.orderHolder, value: this.#vm, lease },
        { key: key.orderLast, value: this.#vm, lease: 0 },
      ],
    });
    if (fence === undefined) return undefined;
    return {
      fence,
      fresh: last === undefined || last.value === this.#vm,
      renew: () => this.#store.keep(lease),
      release: () => this.#store.endLease(lease),
    };
  }
}
