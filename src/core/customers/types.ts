/** Customers of the platform: whose requests are allowed, and their quotas. */

import type { Rate } from '../quotas/account';

/** Unit of a quota. */
export type QuotaUnit = 'requests' | 'tokens';

/** Limit on the work of a customer that all VMs together pass on to runners. */
export interface Quota extends Rate {
  readonly unit: QuotaUnit;
  /** Cost of a request without token counts, in tokens. */
  readonly plainTokens: number;
}

/** A customer in the operators' configuration. */
export interface Customer {
  readonly name: string;
  /** Digests of the customer's keys; see `digestOfKey`. */
  readonly keys: readonly string[];
  /** Priority of the customer's requests, 0 first; overrides that of their routes. Default: the route's. */
  readonly rank?: number | undefined;
  /** Default: usage is unlimited. */
  readonly quota?: Quota | undefined;
}
