/**
 * The promises that are checked while the soak runs, from what callers and runners see.
 * Those about single requests hold whatever happens; those with a time in them are
 * checked where no fault was for a while.
 */

import { bounds } from './vm';
import type { CallerAnswer, CallerObserver } from './callers';
import type { FaultFamily } from './faults';
import type { SentRequest } from './requests';
import { digestOf } from './requests';
import type { Arrival, Order, RunnerObserver } from './runner';

/** A promise that did not hold. */
export interface Breach {
  readonly promise: string;
  readonly detail: string;
}

/** What promises are checked against. */
export interface GuaranteeContext {
  readonly onBreach: (breach: Breach) => void;
  /** Time since the last fault of some families ended, in milliseconds; 0 while one lasts. */
  readonly faultFreeMs: (...families: readonly FaultFamily[]) => number;
  /** When the configuration that took a key away was acknowledged. Default: it is held. */
  readonly revokedAt: (key: string) => number | undefined;
  /** Customers' requests a second and at once. */
  readonly quotaOf: (
    customer: string,
  ) => { readonly ratePerS: number; readonly burst: number } | undefined;
}

interface Entry {
  readonly request: SentRequest;
  readonly digest: string;
  readonly sentAt: number;
  /** Runs so far, prefills apart. */
  runs: number;
  /** Runs that have not ended. */
  readonly open: Set<Arrival>;
  arrivals: number;
  refused: boolean;
  leftAt: number | undefined;
}

/** Time for which a request is kept in mind after it was sent, in milliseconds. */
const KEPT_MS = 90_000;
/** Time after which a runner must have been told that a caller is gone, in milliseconds. */
const GONE_MS = 700;
/** Calm before a check with a time in it, in milliseconds. */
const CALM_MS = 4000;
const LIMIT_WINDOW_MS = 4000;
/** Time after a limit was named from which windows that begin after it count, in milliseconds. */
const LIMIT_SETTLED_MS = 4500;
const LIMIT_OVERAGE = 1.5;
const LIMIT_SLACK = 5;
/** Time after which a runner that said it leaves gets nothing, in milliseconds, and what a request on its way may add. */
const DRAIN_MS = 2500;

/** All promises of one run. */
export class GuaranteeChecker implements CallerObserver, RunnerObserver {
  readonly #context: GuaranteeContext;

  readonly #entries = new Map<string, Entry>();

  /** Times of arrivals beyond the first of each request, and of requests, by service. */
  readonly #repeats: number[] = [];

  readonly #requests: number[] = [];

  /** Times of runs by customer. */
  readonly #customers = new Map<string, number[]>();

  readonly #holders = new Map<string, { holder: string; fence: number; at: number }>();

  /** Runners that leave, and since when the store knows. */
  readonly #leaving = new Map<string, number>();

  /** Limits that runners name, since when, and what came since. */
  readonly #limits = new Map<string, { ratePerS: number; since: number; readonly at: number[] }>();

  /** The most that was seen of each bounded amount, as a part of what is allowed. */
  readonly peakUsage: Record<string, number> = {};

  constructor(context: GuaranteeContext) {
    this.#context = context;
  }

  sent(request: SentRequest): void {
    const now = Date.now();
    this.#requests.push(now);
    this.#entries.set(request.id, {
      request,
      digest: digestOf(request.path, request.body),
      sentAt: now,
      runs: 0,
      open: new Set(),
      arrivals: 0,
      refused: false,
      leftAt: undefined,
    });
  }

  answered(request: SentRequest, vm: string, { outcome, integrityError: fault, status }: CallerAnswer): void {
    const entry = this.#entries.get(request.id);
    if (fault !== undefined) this.#breach('whole', `${request.id} at ${vm}: ${fault}`);
    if (outcome === 'served' && entry && entry.runs === 0) {
      this.#breach('whole', `${request.id} at ${vm}: a success of a request that never ran`);
    }
    if (outcome !== 'refused' || !entry) return;
    entry.refused = true;
    if (entry.runs > 0) this.#breach('not run', `${request.id} at ${vm}: ${status} after a run`);
  }

  disconnected({ id }: SentRequest): void {
    const entry = this.#entries.get(id);
    if (!entry) return;
    entry.leftAt = Date.now();
    setTimeout(() => this.#checkGone(entry), GONE_MS).unref();
  }

  arrived(arrival: Arrival): void {
    const now = Date.now();
    const entry = this.#entries.get(arrival.requestId);
    this.#checkLimit(now, arrival.instanceId);
    this.#checkLeaving(now, arrival);
    if (!entry) return;
    // The first prefill of a request is no repeat.
    if (arrival.role === 'prefill' && entry.arrivals === 0) return;
    entry.arrivals += 1;
    if (entry.arrivals > 1) {
      this.#repeats.push(now);
      this.#checkBudget(now);
    }
  }

  began(arrival: Arrival): void {
    const { requestId: id, digest, customer, hasKey, instanceId: runner } = arrival;
    const entry = this.#entries.get(id);
    if (!entry) {
      this.#breach('asked', `${runner} ran ${id}, which nobody sent`);
      return;
    }
    const { request } = entry;
    entry.open.add(arrival);
    if (digest !== entry.digest) this.#breach('bytes', `${id} reached ${runner} changed`);
    if (customer !== request.customer || hasKey) {
      this.#breach('customer', `${id} of ${request.customer} reached ${runner} as ${customer}`);
    }
    this.#checkKey(entry, runner);
    if (arrival.role === 'prefill') return;
    entry.runs += 1;
    const isOnce = request.kind === 'once' || request.kind === 'stream';
    if (isOnce && entry.runs > 1) this.#breach('once', `${id} ran ${entry.runs} times`);
    if (entry.refused) this.#breach('not run', `${id} ran at ${runner} after it was refused`);
    this.#checkQuota(request.customer);
  }

  ended(arrival: Arrival): void {
    this.#entries.get(arrival.requestId)?.open.delete(arrival);
  }

  ordered({ instanceId: runner, holder, fence }: Order): void {
    const now = Date.now();
    const before = this.#holders.get(runner);
    this.#holders.set(runner, { holder, fence, at: now });
    if (!before) return;
    if (fence < before.fence) {
      this.#breach(
        'one holder',
        `${runner}: ${holder} ordered with ${fence} after ${before.fence}`,
      );
    }
    if (before.holder !== holder && fence === before.fence) {
      this.#breach('one holder', `${runner}: ${holder} and ${before.holder} both have ${fence}`);
    }
  }

  /** The store knows that a runner leaves, or stays after all. */
  setDraining(listing: string, leaves: boolean): void {
    if (leaves) this.#leaving.set(listing, Date.now());
    else this.#leaving.delete(listing);
  }

  /** A runner names a limit, or none any more. */
  setRateLimit(runner: string, ratePerS: number | undefined): void {
    if (ratePerS === undefined) this.#limits.delete(runner);
    else this.#limits.set(runner, { ratePerS, since: Date.now(), at: [] });
  }

  /** Forgets what is long over. */
  prune(): void {
    const now = Date.now();
    for (const [id, { sentAt }] of this.#entries) {
      if (now - sentAt > KEPT_MS) this.#entries.delete(id);
    }
    const windowMs = bounds['budget-window-s'] * 1000;
    for (const times of [this.#repeats, this.#requests]) {
      while ((times[0] ?? now) < now - windowMs * 2) times.shift();
    }
  }

  #breach(promise: string, detail: string): void {
    this.#context.onBreach({ promise, detail });
  }

  #bound(promise: string, amount: number, most: number, what: string): void {
    this.peakUsage[promise] = Math.max(this.peakUsage[promise] ?? 0, Math.round((amount / most) * 100) / 100);
    if (amount > most) this.#breach(promise, `${what}: ${amount}, ${most} allowed`);
  }

  #checkGone({ request, open, leftAt = 0 }: Entry): void {
    const calmMs = this.#context.faultFreeMs('vm', 'runner');
    if (open.size === 0 || calmMs < CALM_MS + GONE_MS) return;
    const runners = [...open].map(({ instanceId: runner }) => runner).join(' ');
    this.#breach(
      'gone',
      `${request.id}: ${runners} at work ${Date.now() - leftAt} ms after its caller left`,
    );
  }

  #checkKey({ request }: Entry, runner: string): void {
    const revokedAt = request.key === undefined ? undefined : this.#context.revokedAt(request.key);
    const lateMs = Date.now() - (revokedAt ?? Infinity) - bounds['revoke-ms'];
    if (lateMs > 0) this.#breach('keys', `${request.id} ran at ${runner} ${lateMs} ms too late`);
  }

  #checkQuota(customer: string | undefined): void {
    const quota = customer === undefined ? undefined : this.#context.quotaOf(customer);
    if (customer === undefined || !quota) return;
    const now = Date.now();
    const windowMs = bounds['quota-window-s'] * 1000;
    const times = this.#customers.get(customer) ?? [];
    this.#customers.set(customer, times);
    times.push(now);
    while ((times[0] ?? now) < now - windowMs) times.shift();
    const allowed = quota.ratePerS * bounds['quota-window-s'] + quota.burst;
    const most = allowed * (1 + bounds['quota-overage']) + bounds['quota-slack'];
    this.#bound('quota', times.length, most, customer);
  }

  #checkBudget(now: number): void {
    const windowMs = bounds['budget-window-s'] * 1000;
    const since = now - windowMs;
    const repeats = this.#repeats.filter((at) => at > since).length;
    const counts = [0, windowMs / 2, windowMs].map(
      (back) => this.#requests.filter((at) => at > since - back && at <= now - back).length,
    );
    const most =
      bounds['retry-budget-ratio'] * Math.max(...counts) + bounds['retry-budget-extra'] * 2;
    this.#bound('budget', repeats, most, 'repeats in 10 s');
  }

  #checkLeaving(now: number, { requestId: request, instanceId: runner }: Arrival): void {
    const listing = runner.split('@')[0] ?? '';
    const forMs = now - (this.#leaving.get(listing) ?? Infinity);
    if (forMs > DRAIN_MS && this.#context.faultFreeMs('vm', 'store') >= forMs) {
      this.#breach(
        'drain',
        `${request} reached ${runner} ${forMs} ms after it said that it leaves`,
      );
    }
  }

  #checkLimit(now: number, runner: string): void {
    const limit = this.#limits.get(runner);
    if (!limit) return;
    limit.at.push(now);
    while ((limit.at[0] ?? now) < now - LIMIT_WINDOW_MS) limit.at.shift();
    const most = (limit.ratePerS * LIMIT_WINDOW_MS * LIMIT_OVERAGE) / 1000 + LIMIT_SLACK;
    const isSettled = now - limit.since > LIMIT_SETTLED_MS;
    const isCalm = this.#context.faultFreeMs('vm') >= CALM_MS;
    if (isSettled && isCalm) this.#bound('limit', limit.at.length, most, `${runner} in 4 s`);
  }
}
