/** Lookup of customers by key in one version of the configuration. */

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

  /** Number of keys configured for two customers; these are valid for neither. */
  get disputed(): number {
    return this.#disputed.size;
  }

  /**
   * The customer that holds a key; undefined if none does.
   * @param key digest of the key
   */
  holderOf(key: string): Customer | undefined {
    return this.#holders.get(key);
  }

  /** The customer of a name; undefined if there is none. */
  customer(name: string): Customer | undefined {
    return this.#customers.get(name);
  }

  /** Adds a key. A key of two customers is rejected, since a request under it would run for one and be counted for the other. */
  #add(key: string, customer: Customer): void {
    const holder = this.#holders.get(key);
    if (holder && holder.name !== customer.name) this.#disputed.add(key);
    else this.#holders.set(key, customer);
  }
}
