/** Customers' quotas: asks the owner of a customer's account before each run, and answers for the accounts that this VM owns. */

import type { Logger } from 'pino';
import { z } from 'zod';

import { groupOf, groups } from '../../core/customers/groups';
import { sizeOf } from '../../core/customers/size';
import type { Quota } from '../../core/customers/types';
import { Failure } from '../../core/failure';
import type { QuotaBounds, QuotaDecision } from '../../core/quotas/account';
import type { QuotaKey } from '../../core/quotas/accounts';
import { QuotaAccounts } from '../../core/quotas/accounts';
import { LogRateLimiter } from '../loglimiter';
import type { Metrics } from '../metrics';
import { AccountOwners } from './accountowners';
import type { Exchange } from './exchange';
import type { RouterFleet } from './fleet';
import type { RoutingState } from './routingstate';

/** What quotas work with. */
export interface QuotaContext {
  readonly vm: string;
  readonly bounds: QuotaBounds;
  readonly knowledge: RoutingState;
  readonly fleet: RouterFleet;
  readonly metrics: Metrics;
  readonly log: Logger;
}

/** Lines of requests over a quota in a second. */
const REFUSAL_LINES = 20;

const name = z.string().min(1).max(200);
const amount = z.number().min(0).max(1e15);
const quotaSchema = z.object({
  unit: z.enum(['requests', 'tokens']),
  ratePerS: amount,
  burst: amount,
  plainTokens: amount,
});
/** Asks for a run of a customer, whose quota is told as of the configuration `version`. */
const askSchema = z.object({
  customer: name,
  quota: quotaSchema,
  version: z.number(),
  size: amount,
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

/** Quotas at one VM. */
export class QuotaController {
  readonly #context: QuotaContext;

  readonly #accounts: QuotaAccounts;

  readonly #owners: AccountOwners;

  readonly #lines: LogRateLimiter;

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
    this.#lines = new LogRateLimiter(REFUSAL_LINES, (lines) =>
      log.info({ lines }, 'Refused more over a quota.'),
    );
  }

  stop(): void {
    this.#owners.stop();
  }

  /** Pays for one more run of a request. Gives why it must not run; undefined if it may. */
  async cover(exchange: Exchange): Promise<Failure | undefined> {
    const { request, charge } = exchange;
    const quota = this.#quotaOf(request.customer);
    if (request.customer === undefined || !quota || charge.isCovered) return undefined;
    const size = sizeOf(quota, request.usage);
    const version = this.#context.knowledge.configVersion;
    const verdict = await this.#ask({ customer: request.customer, quota, version, size });
    if (!verdict.granted) return this.#refusalOf(exchange, size, verdict.retryAfterMs);
    charge.take(size);
    return undefined;
  }

  /** Gives back what was taken for a run that did not take place. */
  settle({ request, charge }: Exchange): void {
    const { customer } = request;
    const size = charge.settle();
    if (customer === undefined || size === 0) return;
    const isTold = this.#owners.notify(groupOf(customer), 'quotaBack', { customer, size });
    if (!isTold) this.#accounts.refund(keyOf(customer), size);
  }

  /** A VM asks for a run. */
  onAsk(now: number, vm: string, params: unknown): QuotaDecision {
    return this.#take(now, vm, askSchema.parse(params));
  }

  onJoin(now: number, vm: string, params: unknown): void {
    this.#owners.onJoin(now, vm, params);
  }

  onRefund(params: unknown): void {
    const { customer, size } = backSchema.parse(params);
    this.#accounts.refund(keyOf(customer), size);
  }

  /** Members or customers changed. */
  refresh(now: number): void {
    this.#owners.refresh(now);
  }

  /** What this VM goes by, for operators. */
  snapshot(): Readonly<Record<string, unknown>> {
    return { accounts: this.#accounts.size, owners: this.#owners.snapshot() };
  }

  get #hasQuotas(): boolean {
    const { customers = [] } = this.#context.knowledge.table?.config ?? {};
    return customers.some(({ quota }) => quota);
  }

  #quotaOf(customer: string | undefined): Quota | undefined {
    if (customer === undefined) return undefined;
    return this.#context.knowledge.table?.keyRing?.customer(customer)?.quota;
  }

  /** The word of the first owner that answers; with none, this VM gives out its own part. */
  async #ask(ask: Ask): Promise<QuotaDecision> {
    const verdict = await this.#owners.ask(groupOf(ask.customer), 'quota', ask, (answer) =>
      verdictSchema.parse(answer),
    );
    return verdict ?? this.#take(performance.now(), this.#context.vm, ask);
  }

  /** The quota is that of the newer configuration of the two VMs. */
  #take(now: number, vm: string, { customer, quota, version, size }: Ask): QuotaDecision {
    const isBehind = version > this.#context.knowledge.configVersion;
    const valid = isBehind ? quota : this.#quotaOf(customer);
    if (!valid) return { granted: true, waitMs: 0 };
    return this.#accounts.take(now, vm, keyOf(customer), valid, this.#owners.members, size);
  }

  #refusalOf({ request }: Exchange, size: number, retryAfterMs: number): Failure {
    const { knowledge, log, metrics } = this.#context;
    const { configVersion } = knowledge;
    const { customer } = request;
    metrics.count('quotas.refused');
    if (this.#lines.tryAcquire(performance.now())) {
      log.info(
        { request: request.id, customer, configVersion, size, retryAfterMs },
        'Over the quota.',
      );
    }
    return new Failure('overQuota', `${customer} is over its quota`, { retryAfterMs });
  }
}
