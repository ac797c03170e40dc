/** Checks what customers may run by their quotas, and how often the requests for each service may be repeated. */

import type { CountedArrival, CountedRequest, RepeatWindow } from '../../test/fakes/repeats';
import { windowsOf } from '../../test/fakes/repeats';
import { bounds } from './vm';
import type { Arrival } from './work';

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

/** Bounds of the retry budget of each service. */
const repeatBounds = {
  ratio: bounds['retry-budget-ratio'],
  extra: bounds['retry-budget-extra'],
  windowMs: bounds['budget-window-s'] * 1000,
};
/** Time between two checks of the retry budgets, in milliseconds. */
const CHECK_MS = 5000;
/** Age from which on it is known whether a runner completed a prefill, in milliseconds. */
const SETTLED_MS = 2000;
/** Age up to which arrivals count, in milliseconds: a check looks at windows that begin after the last one. */
const RETENTION_MS = 2 * repeatBounds.windowMs + CHECK_MS + SETTLED_MS;

/** An arrival of which it may turn out later that its prefill is completed. */
type OpenArrival = CountedArrival & { isPrefilled: boolean };

/** What is counted for the retry budget of one service. */
interface Traffic {
  requests: CountedRequest[];
  arrivals: OpenArrival[];
}

/** Quotas of customers, and the retry budget that all VMs share for each service. */
export class AllowanceChecker {
  readonly #context: AllowanceContext;

  readonly #traffic = new Map<string, Traffic>();

  /** Prefills that no runner has completed yet. */
  readonly #prefills = new Map<Arrival, OpenArrival>();

  #checkedAt = 0;

  /** Start times of runs by customer. */
  readonly #runTimesByCustomer = new Map<string, number[]>();

  constructor(context: AllowanceContext) {
    this.#context = context;
  }

  /** A caller sends a request for a service. */
  sent(now: number, id: string, service: string): void {
    const traffic = this.#trafficOf(service);
    traffic.requests.push({ at: now, id });
  }

  /** A request reaches a runner. */
  received(now: number, arrival: Arrival): void {
    const { requestId, service, role } = arrival;
    const isPrefill = role === 'prefill';
    const counted = { at: now, requestId, isPrefill, isPrefilled: false };
    const traffic = this.#trafficOf(service);
    traffic.arrivals.push(counted);
    if (isPrefill) this.#prefills.set(arrival, counted);
  }

  /** A runner has completed a prefill. */
  prefilled(arrival: Arrival): void {
    const counted = this.#prefills.get(arrival);
    if (counted) counted.isPrefilled = true;
    this.#prefills.delete(arrival);
  }

  #trafficOf(service: string): Traffic {
    const known = this.#traffic.get(service);
    if (known) return known;
    const traffic: Traffic = { requests: [], arrivals: [] };
    this.#traffic.set(service, traffic);
    return traffic;
  }

  /** Checks the retry budgets of all services. */
  #checkRepeats(now: number): void {
    for (const [service, { requests, arrivals }] of this.#traffic) {
      const settled = arrivals.filter(({ at }) => at < now - SETTLED_MS);
      const windows = windowsOf(requests, settled, repeatBounds);
      const none: RepeatWindow = { at: 0, repeats: 0, allowed: repeatBounds.extra };
      const { repeats, allowed } = windows.reduce(
        (worst, one) => (one.repeats / one.allowed > worst.repeats / worst.allowed ? one : worst),
        none,
      );
      this.#context.checkBound('budget', repeats, allowed, `repeats for ${service}`);
    }
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

  /** Checks what was counted since the last check, and forgets what no check needs any more. */
  prune(now: number): void {
    if (now - this.#checkedAt < CHECK_MS) return;
    this.#checkedAt = now;
    this.#checkRepeats(now);
    const isKept = ({ at }: { readonly at: number }): boolean => at > now - RETENTION_MS;
    for (const traffic of this.#traffic.values()) {
      traffic.requests = traffic.requests.filter(isKept);
      traffic.arrivals = traffic.arrivals.filter(isKept);
    }
    for (const [arrival, counted] of this.#prefills) {
      if (!isKept(counted)) this.#prefills.delete(arrival);
    }
  }
}
