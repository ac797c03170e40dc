/** Checks that more urgent requests are served first, and that runners are told how urgent each request is. */

import type { CallerAnswer } from './callers';
import { customerPriorities, routePriorities } from './operator';
import { services } from './pool';
import { UNOWED } from './reach';
import type { SentRequest } from './requests';
import type { Arrival } from './work';

/** Priorities of routes that the router tells apart for each priority of customers, and the last one that runners know. */
const ROUTE_PRIORITIES = 3;
const LAST_PRIORITY = 9;
/** Difference of the shares served by which a less urgent kind may be ahead; from docs/OVERLOAD.md. */
const MAX_LEAD = 0.05;
/** Standard errors of the difference that are added, since a run of a minute has few requests of a kind. */
const ALLOWED_ERRORS = 2;
const STRATUM_MS = 1000;

/** The two kinds that are compared. */
interface Pair {
  readonly urgent: string;
  readonly other: string;
}

const customers = Object.keys(customerPriorities).sort(
  (a, b) => (customerPriorities[a] ?? 0) - (customerPriorities[b] ?? 0),
);
const pairs: readonly Pair[] = [
  ...customers.flatMap((urgent, i) => customers.slice(i + 1).map((other) => ({ urgent, other }))),
  { urgent: 'stream', other: 'resumable' },
];

interface Count {
  all: number;
  served: number;
}

/** Attempts of one stretch of time that differ in one respect only, by kind. */
type Stratum = Map<string, Count>;

/** Streams of all callers. The customer's priority precedes the route's. */
export class UrgencyChecker {
  readonly #lastPriority = new WeakMap<SentRequest, number>();

  readonly #strata = new Map<string, Stratum>();

  /** Checks a request that reaches a runner; returns what is wrong with its priority. */
  arrived(request: SentRequest, { instanceId, service, priority }: Arrival): string | undefined {
    const { id, kind, customer = '' } = request;
    const where = `${id} (${customer}, ${kind}) reached ${instanceId} with priority ${priority}`;
    if (service !== services.model) {
      return priority === undefined ? undefined : `${where}, routes of ${service} have one`;
    }
    const own = (customerPriorities[customer] ?? 0) * ROUTE_PRIORITIES;
    const allowed = (routePriorities[kind] ?? []).map((one) => Math.min(LAST_PRIORITY, own + one));
    if (priority === undefined || !allowed.includes(priority)) return `${where}, not ${allowed}`;
    const before = this.#lastPriority.get(request) ?? priority;
    this.#lastPriority.set(request, priority);
    return priority > before ? `${where} after ${before}` : undefined;
  }

  /** Counts an attempt that no fault affected. Streams that callers take up again count as other requests. */
  answered(sentAt: number, request: SentRequest, { outcome, status }: CallerAnswer): void {
    const { kind, customer = '', resumes } = request;
    const isCounted = routePriorities[kind] !== undefined && !resumes && !UNOWED.has(status);
    if (!isCounted || outcome === 'left') return;
    const second = Math.floor(sentAt / STRATUM_MS);
    this.#count(`${second} ${kind}`, customer, outcome === 'served');
    this.#count(`${second} ${customer}`, kind, outcome === 'served');
  }

  /** What is wrong at the end of the run. */
  get findings(): readonly string[] {
    return pairs.flatMap((pair) => {
      const { lead, error, attempts } = this.#leadOf(pair);
      if (lead <= MAX_LEAD + ALLOWED_ERRORS * error) return [];
      const by = `${lead.toFixed(3)} (standard error ${error.toFixed(3)}, ${attempts} attempts)`;
      return [`${pair.other} is served more often than ${pair.urgent} by ${by}`];
    });
  }

  /** By how much the less urgent kind of each pair is served more often; negative if it is served less often. */
  get leads(): Readonly<Record<string, number>> {
    return Object.fromEntries(
      pairs.map((pair) => [
        `${pair.other} over ${pair.urgent}`,
        Math.round(this.#leadOf(pair).lead * 1000) / 1000,
      ]),
    );
  }

  #count(key: string, kind: string, isServed: boolean): void {
    const stratum: Stratum = this.#strata.get(key) ?? new Map<string, Count>();
    const { all, served } = stratum.get(kind) ?? { all: 0, served: 0 };
    stratum.set(kind, { all: all + 1, served: served + (isServed ? 1 : 0) });
    this.#strata.set(key, stratum);
  }

  /**
   * Difference of the shares served, by the method of Mantel and Haenszel over the strata: a flood of one
   * customer changes the load for all, so that shares over the whole run would compare different loads.
   */
  #leadOf({ urgent, other }: Pair): { lead: number; error: number; attempts: number } {
    const strata = [...this.#strata.values()].flatMap((stratum) => {
      const [a, b] = [stratum.get(urgent), stratum.get(other)];
      return a && b ? [{ a, b, weight: (a.all * b.all) / (a.all + b.all) }] : [];
    });
    const sum = (of: (one: (typeof strata)[number]) => number): number =>
      strata.reduce((total, one) => total + of(one), 0);
    const weight = Math.max(
      1,
      sum((one) => one.weight),
    );
    const lead = sum((one) => (one.b.served / one.b.all - one.a.served / one.a.all) * one.weight);
    const variance = sum(({ a, b, weight: own }) => {
      const share = (a.served + b.served) / (a.all + b.all);
      return own * share * (1 - share);
    });
    const attempts = sum(({ a, b }) => a.all + b.all);
    return { lead: lead / weight, error: Math.sqrt(variance) / weight, attempts };
  }
}
