/** Lock for the right to give orders to runners: a key with a lease in the store. */

import { ordinalOf } from '../core/routing/position';
import type { OrderLock, OrderLease } from '../node/router/types';
import { key } from './names';
import type { Item, StoreClient } from './store';

/** Time to live of the lease, in milliseconds. Three renewals in a row may fail before it expires. */
const LEASE_TTL_MS = 6000;

/**
 * Takes the lock by compare-and-swap. The fence is the position of that write as one
 * number, era included. With the revision alone, the first holder after the store was
 * restored from an older copy had a lower fence than the holder before, and runners
 * that check fences rejected its orders.
 */
export class StoreLock implements OrderLock {
  readonly #store: StoreClient;

  readonly #vm: string;

  constructor(store: StoreClient, vm: string) {
    this.#store = store;
    this.#vm = vm;
  }

  async acquire(): Promise<OrderLease | undefined> {
    const items = await this.#items();
    if (items.some((item) => item.key === key.orderHolder)) return undefined;
    const last = items.find((item) => item.key === key.orderLast);
    const lease = await this.#store.grantLease(LEASE_TTL_MS);
    const mine = `${this.#vm} ${this.#store.era}`;
    const position = await this.#store.commit({
      expected: [
        { key: key.orderHolder, revision: 0 },
        { key: key.orderLast, revision: last?.revision ?? 0 },
      ],
      writes: [
        { key: key.orderHolder, value: this.#vm, lease },
        { key: key.orderLast, value: mine, lease: 0 },
      ],
    });
    if (position === undefined) return undefined;
    const { era } = position;
    return {
      fence: ordinalOf(position),
      fresh: this.#isFresh(last?.value, mine),
      // After a change of era the id of this lease may belong to another holder.
      renew: async () => (await this.#store.renewLease(lease)) && this.#store.era === era,
      release: () => this.#store.revokeLease(lease),
    };
  }

  /** The items of the lock: one call, unless other writers have left more than a page below its prefix. */
  async #items(): Promise<readonly Item[]> {
    const page = await this.#store.range(key.orders);
    if (page.last === undefined) return page.items;
    const holder = await this.#store.get(key.orderHolder);
    const last = await this.#store.get(key.orderLast);
    return [...holder.items, ...last.items];
  }

  /** Whether no other VM has held the lock before. A store that was restored from an older copy may lack the last holder. */
  #isFresh(lastHolder: string | undefined, mine: string): boolean {
    return lastHolder === undefined ? this.#store.era === 0 : lastHolder === mine;
  }
}
