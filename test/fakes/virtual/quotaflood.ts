/** Floods of some customers in a `QuotaFleet` beside the usual load of others, with a fault at the peak. */

import { groupOf } from '../../../src/core/customers/groups';
import type { Quota } from '../../../src/core/customers/types';
import type { QuotaBounds } from '../../../src/core/quotas/account';
import { QuotaFleet } from './quotafleet';
import { OwnerStrategy } from './quotastrategies';

const quota: Quota = { unit: 'tokens', ratePerS: 80_000, burst: 80_000, plainTokens: 200 };
const bounds: QuotaBounds = { windowMs: 8000, overage: 0.1, slack: 190_000, wholeRuns: false };
const REQUEST_TOKENS = 3273;
/** Requests per second of a customer at its usual load, about half of its quota. */
const USUAL_PER_S = 13.4;
/** Load of a flood relative to the usual one. */
const FLOOD_FACTOR = 6;
const CONVERGE_MS = 8000;
const FLOOD_MS = 16_000;
/** Time from the begin of the flood to the fault, in milliseconds. */
const FAULT_MS = 6000;
const SEED = 3;

const GROUP = groupOf('ada');
/** Four customers whose accounts have one owner, so that all of them lose it at once. */
const customers = Array.from({ length: 200 }, (_, number) => `customer-${number}`)
  .filter((name) => groupOf(name) === GROUP)
  .slice(0, 4);

/** A failure of VMs. */
export type QuotaFault = (fleet: QuotaFleet, all: readonly number[]) => void;

/** Failures by name. */
export const quotaFaults = {
  none: () => {},
  ownerKilled: (fleet: QuotaFleet) => fleet.kill([fleet.owner(GROUP)]),
  /** One failure domain and the others do not reach each other. */
  thirdCutOff: (fleet: QuotaFleet, all: readonly number[]) => {
    const third = all.filter((number) => number % 3 === 1);
    const others = all.filter((number) => number % 3 !== 1);
    fleet.partition(third, others);
  },
  halfKilled: (fleet: QuotaFleet, all: readonly number[]) =>
    fleet.kill(all.filter((number) => number % 2 === 0)),
} satisfies Readonly<Record<string, QuotaFault>>;

/** Results of a flood: the worst of the customers concerned. */
export interface FloodResult {
  /** Most in a window above the quota, as a part of what may be over it. */
  readonly overshoot: number;
  /** Granted part of the requests of the customers that stay within their quotas. */
  readonly others: number;
  /** Granted part of the urgent requests of the flooding customers, and of the others. */
  readonly urgent: number;
  readonly lessUrgent: number;
  /** Part of what an ideal account would grant that the flooding customers were not granted. */
  readonly unused: number;
}

/** Runs a flood of six times the usual load of some customers. */
export function runFlood(size: number, flooders: number, fault: QuotaFault): FloodResult {
  const strategyOf: ConstructorParameters<typeof QuotaFleet>[3] = (network) =>
    new OwnerStrategy(network, bounds);
  const fleet = new QuotaFleet(size, quota, bounds, strategyOf, SEED);
  fleet.run(CONVERGE_MS);
  const all = fleet.vms.map(({ number }) => number);
  const flooding = customers.slice(0, flooders);
  const others = customers.slice(2);
  for (const customer of flooding) {
    // The urgent requests alone are within the quota.
    fleet.load(USUAL_PER_S, REQUEST_TOKENS, FLOOD_MS, all, { customer, rank: 0 });
    const restPerS = USUAL_PER_S * (FLOOD_FACTOR - 1);
    fleet.load(restPerS, REQUEST_TOKENS, FLOOD_MS, all, { customer, rank: 2 });
  }
  for (const customer of others) {
    fleet.load(USUAL_PER_S, REQUEST_TOKENS, FLOOD_MS, all, { customer, rank: 1 });
  }
  fleet.run(FAULT_MS);
  fault(fleet, all);
  fleet.run(FLOOD_MS - FAULT_MS);
  const grantedOf = (names: readonly string[], rank: number): readonly number[] =>
    names.map((name) => fleet.measurements(CONVERGE_MS, name, rank).granted);
  const sums = flooding.map((name) => fleet.measurements(CONVERGE_MS, name));
  return {
    overshoot: Math.max(...sums.map(({ overshoot }) => overshoot)),
    others: Math.min(...grantedOf(others, 1)),
    urgent: Math.min(...grantedOf(flooding, 0)),
    lessUrgent: Math.max(...grantedOf(flooding, 2)),
    unused: Math.max(...sums.map(({ wronglyRefused }) => wronglyRefused)),
  };
}
