/**
 * Customers' quotas: asks the owner of a customer's account before each attempt, and decides for
 * the accounts that this VM owns.
 */

import type { Logger } from 'pino';
import { z } from 'zod';

import { groupOf, groups } from '../../core/customers/groups';
import { sizeOf } from '../../core/customers/size';
import type { Quota } from '../../core/customers/types';
import { Failure } from '../../core/failure';
import type { QuotaBounds, QuotaDecision } from '../../core/quotas/account';
import { MAX_AMOUNT, allowanceOf } from '../../core/quotas/account';
import type { QuotaKey } from '../../core/quotas/accounts';
import { QuotaAccounts } from '../../core/quotas/accounts';
import { QuotaTallies } from '../../core/quotas/tally';
import { LogRateLimiter } from '../loglimiter';
import type { Metrics } from '../metrics';
import { AccountOwners } from './accountowners';
import type { Exchange } from './exchange';
import type { RouterFleet } from './fleet';
import type { RoutingState } from './routingstate';

/** Dependencies of the quota controller. */
export interface QuotaContext {
  readonly vm: string;
  readonly bounds: QuotaBounds;
  readonly routingState: RoutingState;
  readonly fleet: RouterFleet;
  readonly metrics: Metrics;
  readonly log: Logger;
}

/** Log lines about requests over a quota per second. */
const REJECTION_LINES_PER_S = 20;
/** Period of the check for windows that have ended, in milliseconds. */
const TALLY_CHECK_MS = 1000;

const name = z.string().min(1).max(200);
const amount = z.number().min(0).max(MAX_AMOUNT);
const quotaSchema = z.object({
  unit: z.enum(['requests', 'tokens']),
  ratePerS: amount,
  burst: amount,
  plainTokens: amount,
});
/** Asks to charge an attempt to a customer, whose `quota` is that of the configuration `version`. */
const askSchema = z.object({
  customer: name,
  quota: quotaSchema,
  version: z.number(),
  size: amount,
  /** Priority of the request's route: the customer's own is the same for all of its requests. */
  rank: z.number().min(0).default(0),
});
const backSchema = z.object({ customer: name, size: amount });
const verdictSchema = z.discriminatedUnion('granted', [
  z.object({ granted: z.literal(true), waitMs: z.number() }),
  z.object({ granted: z.literal(false), retryAfterMs: z.number() }),
]);

type Ask = Readonly<z.infer<typeof askSchema>>;

function keyOf(customer: string): QuotaKey {
  return { group: groupOf(customer), subject: customer };
}

/** Enforces quotas at one VM. */
export class QuotaController {
  readonly #context: QuotaContext;

  readonly #accounts: QuotaAccounts;

  readonly #owners: AccountOwners;

  readonly #lines: LogRateLimiter;

  /** What this VM granted and refused as an owner. */
  readonly #tallies: QuotaTallies;

  readonly #timer: NodeJS.Timeout;

  constructor(context: QuotaContext) {
    const { vm, bounds, fleet, metrics, log } = context;
    this.#context = context;
    this.#accounts = new QuotaAccounts(bounds);
    this.#owners = new AccountOwners({
      vm,
      fleet,
      accounts: this.#accounts,
      groups: () => (this.#hasQuotas ? groups : []),
      names: { join: 'quotaJoin', unanswered: 'quotas.unanswered' },
      metrics,
      log,
    });
    this.#lines = new LogRateLimiter(REJECTION_LINES_PER_S, (lines) =>
      log.info({ lines }, 'Rejected more requests over a quota.'),
    );
    this.#tallies = new QuotaTallies(bounds.windowMs);
    const report = (): void => this.#reportWindows(performance.now());
    this.#timer = setInterval(report, TALLY_CHECK_MS).unref();
  }

  /** Stops the timers. */
  stop(): void {
    clearInterval(this.#timer);
    this.#owners.stop();
  }

  /**
   * Charges one attempt of a request to the customer's quota. Resolves to the failure if it is over
   * the quota, or undefined if it may run.
   */
  async cover(exchange: Exchange): Promise<Failure | undefined> {
    const { request, charge, route } = exchange;
    const quota = this.#quotaOf(request.customer);
    if (request.customer === undefined || !quota || charge.isCovered) return undefined;
    const size = sizeOf(quota, request.usage);
    const version = this.#context.routingState.configVersion;
    const { customer } = request;
    const rank = route.priority;
    const verdict = await this.#ask({ customer, quota, version, size, rank });
    if (!verdict.granted) return this.#rejectionOf(exchange, size, verdict.retryAfterMs);
    charge.take(size);
    return undefined;
  }

  /** Refunds what was charged for attempts that did not run. */
  settle({ request, charge }: Exchange): void {
    const { customer } = request;
    const size = charge.settle();
    if (customer === undefined || size === 0) return;
    const isSent = this.#owners.notify(groupOf(customer), 'quotaBack', { customer, size });
    if (!isSent) this.#accounts.refund(keyOf(customer), size);
  }

  /** Answers a VM that asks to charge an attempt. */
  onAsk(now: number, vm: string, params: unknown): QuotaDecision {
    return this.#charge(now, vm, askSchema.parse(params));
  }

  /** Handles the message by which a VM registers with the owner of its accounts; see `AccountOwners`. */
  onJoin(now: number, vm: string, params: unknown): void {
    this.#owners.onJoin(now, vm, params);
  }

  /** Handles a refund of another VM. */
  onRefund(params: unknown): void {
    const { customer, size } = backSchema.parse(params);
    this.#accounts.refund(keyOf(customer), size);
  }

  /** Must be called when the members or the customers changed. */
  refresh(now: number): void {
    this.#owners.refresh(now);
  }

  /** State of the quotas, for operators. */
  snapshot(): Readonly<Record<string, unknown>> {
    return { accounts: this.#accounts.size, owners: this.#owners.snapshot() };
  }

  get #hasQuotas(): boolean {
    const { customers = [] } = this.#context.routingState.table?.config ?? {};
    return customers.some(({ quota }) => quota);
  }

  #quotaOf(customer: string | undefined): Quota | undefined {
    if (customer === undefined) return undefined;
    return this.#context.routingState.table?.keyRing?.customer(customer)?.quota;
  }

  /**
   * The verdict of the first owner that answers; if none does, this VM grants from its own share of
   * the quota.
   */
  async #ask(ask: Ask): Promise<QuotaDecision> {
    const verdict = await this.#owners.ask(groupOf(ask.customer), 'quota', ask, (answer) =>
      verdictSchema.parse(answer),
    );
    return verdict ?? this.#charge(performance.now(), this.#context.vm, ask);
  }

  /** Charges the quota as defined by the newer configuration of the two VMs. */
  #charge(now: number, vm: string, ask: Ask): QuotaDecision {
    const { customer, quota, version, size, rank } = ask;
    const isOutdated = version > this.#context.routingState.configVersion;
    const valid = isOutdated ? quota : this.#quotaOf(customer);
    if (!valid) return { granted: true, waitMs: 0 };
    const { members } = this.#owners;
    const key = keyOf(customer);
    const verdict = this.#accounts.take(now, vm, key, valid, members, { size, rank });
    const part = this.#accounts.part(now, key.group, members);
    const limit = allowanceOf(this.#context.bounds, valid).allowed * part;
    this.#tallies.record(now, customer, size, verdict.granted, limit);
    return verdict;
  }

  /** Logs the windows that have ended and in which something was refused. */
  #reportWindows(now: number): void {
    for (const { subject: customer, ...sums } of this.#tallies.close(now)) {
      const rounded = Object.entries(sums).map(([sum, value]) => [sum, Math.round(value)]);
      this.#context.log.info(
        { customer, ...Object.fromEntries(rounded) },
        'Refused requests of a customer in a window.',
      );
    }
  }

  #rejectionOf({ request, route }: Exchange, size: number, retryAfterMs: number): Failure {
    const { routingState, log, metrics } = this.#context;
    const { configVersion } = routingState;
    const { customer } = request;
    metrics.count('quotas.refused');
    if (this.#lines.tryAcquire(performance.now())) {
      log.info(
        { request: request.id, customer, configVersion, size, rank: route.priority, retryAfterMs },
        'Rejected a request over the quota.',
      );
    }
    return new Failure('overQuota', `${customer} is over its quota`, { retryAfterMs });
  }
}
