/** Checks what customers may run by their quotas, and how often requests may be repeated. */

import { bounds } from './vm';

/** Reports an amount and its bound. */
export type BoundCheck = (promise: string, amount: number, max: number, subject: string) => void;

/** Request rate and burst allowed to a customer. */
export interface Quota {
  readonly ratePerS: number;
  readonly burst: number;
}

/** Dependencies of the check. */
export interface AllowanceContext {
  readonly checkBound: BoundCheck;
  /** Undefined if the customer has no quota. */
  readonly quotaOf: (customer: string) => Quota | undefined;
}

/** Quotas of customers, and the retry budget of all VMs. */
export class AllowanceChecker {
  readonly #context: AllowanceContext;

  /** Times of arrivals beyond the first of each request. */
  readonly #retryTimes: number[] = [];

  /** Times at which callers sent requests. */
  readonly #requestTimes: number[] = [];

  /** Start times of runs by customer. */
  readonly #runTimesByCustomer = new Map<string, number[]>();

  constructor(context: AllowanceContext) {
    this.#context = context;
  }

  /** A caller sends a request. */
  sent(now: number): void {
    this.#requestTimes.push(now);
  }

  /** A request reaches a runner again. */
  repeated(now: number): void {
    this.#retryTimes.push(now);
    const windowMs = bounds['budget-window-s'] * 1000;
    const since = now - windowMs;
    const retries = this.#retryTimes.filter((at) => at > since).length;
    const counts = [0, windowMs / 2, windowMs].map(
      (back) => this.#requestTimes.filter((at) => at > since - back && at <= now - back).length,
    );
    const max =
      bounds['retry-budget-ratio'] * Math.max(...counts) + bounds['retry-budget-extra'] * 2;
    this.#context.checkBound('budget', retries, max, 'retries in 10 s');
  }

  /** A request of a customer begins to run. */
  began(now: number, customer: string | undefined): void {
    const quota = customer === undefined ? undefined : this.#context.quotaOf(customer);
    if (customer === undefined || !quota) return;
    const windowMs = bounds['quota-window-s'] * 1000;
    const times = this.#runTimesByCustomer.get(customer) ?? [];
    this.#runTimesByCustomer.set(customer, times);
    times.push(now);
    while ((times[0] ?? now) < now - windowMs) times.shift();
    const allowed = quota.ratePerS * bounds['quota-window-s'] + quota.burst;
    const max = allowed * (1 + bounds['quota-overage']) + bounds['quota-slack'];
    this.#context.checkBound('quota', times.length, max, customer);
  }

  /** Removes times that no check needs any more. */
  prune(now: number): void {
    const windowMs = bounds['budget-window-s'] * 1000;
    for (const times of [this.#retryTimes, this.#requestTimes]) {
      while ((times[0] ?? now) < now - windowMs * 2) times.shift();
    }
  }
}
