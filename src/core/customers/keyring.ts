/** Finds the customer that holds a key, in one version of the configuration. */

import type { Customer } from './types';

/** Customers by the digests of their keys. */
export class KeyRing {
  readonly #holders = new Map<string, Customer>();

  readonly #customers = new Map<string, Customer>();

  readonly #disputed = new Set<string>();

  constructor(customers: readonly Customer[]) {
    for (const customer of customers) {
      this.#customers.set(customer.name, customer);
      for (const key of customer.keys) this.#add(key, customer);
    }
    for (const key of this.#disputed) this.#holders.delete(key);
  }

  /** Keys that two customers are said to hold; they are nobody's. */
  get disputed(): number {
    return this.#disputed.size;
  }

  /** @param key digest of a key */
  holderOf(key: string): Customer | undefined {
    return this.#holders.get(key);
  }

  customer(name: string): Customer | undefined {
    return this.#customers.get(name);
  }

  /** A request under a key of two customers would run for one of them and be counted for the other. */
  #add(key: string, customer: Customer): void {
    const holder = this.#holders.get(key);
    if (holder && holder.name !== customer.name) this.#disputed.add(key);
    else this.#holders.set(key, customer);
  }
}
