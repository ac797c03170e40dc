/** Customers of the users' platform: whose requests may run, and how much of them. */

import type { Rate } from '../quotas/account';

/** What a quota is counted in. */
export type QuotaUnit = 'requests' | 'tokens';

/** How much of a customer's work all VMs together may pass on to runners. */
export interface Quota extends Rate {
  readonly unit: QuotaUnit;
  /** What a request counts that tells no tokens of its own, in tokens. */
  readonly plainTokens: number;
}

/** A customer as the operators' configuration names it. */
export interface Customer {
  readonly name: string;
  /** Digests of its keys; see `digestOfKey`. */
  readonly keys: readonly string[];
  /** Rank of its requests, 0 first; goes before the rank of their routes. Default: the route's. */
  readonly rank?: number | undefined;
  /** Default: it may use any amount. */
  readonly quota?: Quota | undefined;
}
