/** Customers' quotas: asks the owner of a customer's account before each run, and answers for the accounts that this VM owns. */

import type { Logger } from 'pino';
import { z } from 'zod';

import { QuotaAccounts, groupKey, groupOf, groups } from '../../core/customers/accounts';
import type { QuotaBounds, QuotaMembers, QuotaVerdict } from '../../core/customers/quota';
import { sizeOf } from '../../core/customers/quota';
import type { Quota } from '../../core/customers/types';
import { Failure, toFailure } from '../../core/failure';
import type { Member } from '../../core/membership/types';
import { isPresent } from '../../core/membership/types';
import { PauseWatch } from '../../core/pause';
import { LineBudget } from '../budget';
import type { Metrics } from '../metrics';
import type { Exchange } from './exchange';
import type { RouterFleet } from './fleet';
import type { Knowledge } from './knowledge';

/** What quotas work with. */
export interface QuotaContext {
  readonly vm: string;
  readonly bounds: QuotaBounds;
  readonly knowledge: Knowledge;
  readonly fleet: RouterFleet;
  readonly metrics: Metrics;
  readonly log: Logger;
}

/** Time that an owner has to answer, in milliseconds: many round trips, and little of a request's aim. */
const ASK_LIMIT_MS = 150;
/** Owners asked for one run before this VM goes by its own part. */
const OWNERS_ASKED = 2;
/** Period of looking whether this VM stood still, in milliseconds. */
const LOOK_MS = 250;
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
/** Tells that the sender goes by the receiver for these groups. */
const joinSchema = z.object({ groups: z.array(z.int().min(0)).max(groups.length) });
const backSchema = z.object({ customer: name, size: amount });
const verdictSchema = z.discriminatedUnion('granted', [
  z.object({ granted: z.literal(true) }),
  z.object({ granted: z.literal(false), retryAfterMs: z.number() }),
]);

type Ask = Readonly<z.infer<typeof askSchema>>;

/** Quotas at one VM. */
export class QuotaDesk {
  readonly #context: QuotaContext;

  readonly #accounts: QuotaAccounts;

  readonly #pauses = new PauseWatch(LOOK_MS);

  readonly #lines: LineBudget;

  readonly #timer: NodeJS.Timeout;

  /** Whom this VM went by last, by group. */
  readonly #owners = new Map<number, string>();

  #members: QuotaMembers | undefined;

  constructor(context: QuotaContext) {
    this.#context = context;
    this.#accounts = new QuotaAccounts(context.bounds);
    this.#lines = new LineBudget(REFUSAL_LINES, (lines) =>
      context.log.info({ lines }, 'Refused more over a quota.'),
    );
    this.#timer = setInterval(() => this.#look(performance.now()), LOOK_MS).unref();
  }

  stop(): void {
    clearInterval(this.#timer);
  }

  /** Pays for one more run of a request. Gives why it must not run; undefined if it may. */
  async cover(exchange: Exchange): Promise<Failure | undefined> {
    const { request, charge } = exchange;
    const quota = this.#quotaOf(request.customer);
    if (request.customer === undefined || !quota || charge.covered) return undefined;
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
    const [owner] = this.#ownersOf(performance.now(), customer);
    if (!owner || owner.vm === this.#context.vm) this.#accounts.giveBack(customer, size);
    else this.#send(owner.address, 'quotaBack', { customer, size });
  }

  /** A VM asks for a run. */
  onAsk(now: number, vm: string, params: unknown): QuotaVerdict {
    return this.#take(now, vm, askSchema.parse(params));
  }

  onJoin(now: number, vm: string, params: unknown): void {
    for (const group of joinSchema.parse(params).groups) this.#accounts.join(now, group, vm);
  }

  onBack(params: unknown): void {
    const { customer, size } = backSchema.parse(params);
    this.#accounts.giveBack(customer, size);
  }

  /** The members changed: others may own accounts now. Each VM says by whom it goes, so that an owner knows whose parts it gives out. */
  membersChanged(now: number): void {
    this.#members = undefined;
    if (!this.#hasQuotas) return;
    const owned = new Set<number>();
    const joined = new Map<Member, number[]>();
    for (const group of groups) {
      const [owner] = this.#context.fleet.ownersOf(now, groupKey(group));
      if (owner?.vm === this.#context.vm) owned.add(group);
      if (owner && this.#owners.get(group) !== owner.vm) {
        this.#owners.set(group, owner.vm);
        joined.set(owner, [...(joined.get(owner) ?? []), group]);
      }
    }
    this.#accounts.own(now, owned);
    for (const [owner, changed] of joined) this.#join(now, owner, changed);
  }

  /** What this VM goes by, for operators. */
  beliefs(): Readonly<Record<string, unknown>> {
    return { accounts: this.#accounts.size, owners: Object.fromEntries(this.#owners) };
  }

  #join(now: number, owner: Member, joined: readonly number[]): void {
    const { vm, fleet, log } = this.#context;
    if (owner.vm === vm) {
      for (const group of joined) this.#accounts.join(now, group, vm);
      return;
    }
    fleet.call(owner.address, 'quotaJoin', { groups: joined }, ASK_LIMIT_MS).catch((error) => {
      log.debug({ owner: owner.vm, joined }, toFailure(error).line);
      // Said again at the next look.
      for (const group of joined) this.#owners.delete(group);
    });
  }

  get #hasQuotas(): boolean {
    const { customers = [] } = this.#context.knowledge.table?.config ?? {};
    return customers.some(({ quota }) => quota);
  }

  #quotaOf(customer: string | undefined): Quota | undefined {
    if (customer === undefined) return undefined;
    return this.#context.knowledge.table?.keyRing?.customer(customer)?.quota;
  }

  #ownersOf(now: number, customer: string): readonly Member[] {
    return this.#context.fleet.ownersOf(now, groupKey(groupOf(customer)));
  }

  /** The word of the first owner that answers; with none, this VM gives out its own part. */
  async #ask(ask: Ask): Promise<QuotaVerdict> {
    const { vm, fleet, log, metrics } = this.#context;
    for (const owner of this.#ownersOf(performance.now(), ask.customer).slice(0, OWNERS_ASKED)) {
      if (owner.vm === vm) break;
      try {
        return verdictSchema.parse(await fleet.call(owner.address, 'quota', ask, ASK_LIMIT_MS));
      } catch (error) {
        fleet.shun(performance.now(), owner.vm);
        metrics.count('quotas.unanswered');
        log.debug({ customer: ask.customer, owner: owner.vm }, toFailure(error).line);
      }
    }
    return this.#take(performance.now(), vm, ask);
  }

  /** The quota is that of the newer configuration of the two VMs. */
  #take(now: number, vm: string, { customer, quota, version, size }: Ask): QuotaVerdict {
    const isBehind = version > this.#context.knowledge.configVersion;
    const valid = isBehind ? quota : this.#quotaOf(customer);
    if (!valid) return { granted: true };
    return this.#accounts.take(now, vm, customer, valid, this.#membersNow(), size);
  }

  /** Worked out once for each membership: it is needed for each run. */
  #membersNow(): QuotaMembers {
    const { all } = this.#context.fleet;
    this.#members ??= {
      known: all.filter(({ state }) => state !== 'left').length,
      present: new Set(all.filter(isPresent).map(({ vm }) => vm)),
    };
    return this.#members;
  }

  #refusalOf({ request }: Exchange, size: number, retryAfterMs: number): Failure {
    const { knowledge, log, metrics } = this.#context;
    const { configVersion } = knowledge;
    const { customer } = request;
    metrics.count('quotas.refused');
    if (this.#lines.allows(performance.now())) {
      log.info(
        { request: request.id, customer, configVersion, size, retryAfterMs },
        'Over the quota.',
      );
    }
    return new Failure('overQuota', `${customer} is over its quota`, { retryAfterMs });
  }

  #look(now: number): void {
    if (this.#pauses.tick(now, Date.now())) {
      this.#accounts.reset();
      this.#owners.clear();
    }
    if (this.#owners.size < groups.length) this.membersChanged(now);
  }

  #send(address: string, method: string, params: unknown): void {
    this.#context.fleet.call(address, method, params, ASK_LIMIT_MS).catch((error) => {
      this.#context.log.debug({ address, method }, toFailure(error).line);
    });
  }
}
