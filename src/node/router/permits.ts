/**
 * Permits for runners that name a rate limit. The owner of a service gives out what they
 * take from all VMs together: to its own planner, or to VMs that ask before they send.
 */

import type { Logger } from 'pino';
import { z } from 'zod';

import type { QuotaBounds, Rate } from '../../core/quotas/account';
import type { QuotaKey } from '../../core/quotas/accounts';
import { QuotaAccounts } from '../../core/quotas/accounts';
import type { Ration } from '../../core/ratelimits/types';
import type { Metrics } from '../metrics';
import { AccountOwners } from './accountowners';
import type { RouterFleet } from './fleet';
import type { RateChange, RateLimitDesk } from './ratelimits';
import { rateSchema } from './ratewire';

/** What permits work with. */
export interface PermitContext {
  readonly vm: string;
  /** By how much all VMs together may be over a limit for a while. */
  readonly bounds: QuotaBounds;
  readonly rateLimits: RateLimitDesk;
  readonly fleet: RouterFleet;
  readonly metrics: Metrics;
  readonly log: Logger;
}

/** Runners among which an owner chooses for one request. */
const RUNNERS_MOST = 16;
/** Least requests a second that a limited runner gets, whatever it names: that its limit has ended shows only in an answer. */
const TRIAL_PER_S = 0.25;

const ms = z.number().min(0).max(1e9);
/** Asks for a permit to send one request to one of some runners. */
const askSchema = z.object({
  service: z.string().max(200),
  runners: z.array(z.string().min(1).max(300)).min(1).max(RUNNERS_MOST),
  /** What the asking VM knows of their limits. */
  rates: z.array(rateSchema).max(RUNNERS_MOST),
  /** Longest time that the request may wait for its turn. */
  mostWaitMs: ms,
});
const toldSchema = z.object({ rates: z.array(rateSchema).max(RUNNERS_MOST) });
const permitSchema = z.discriminatedUnion('granted', [
  z.object({ granted: z.literal(true), runner: z.string(), waitMs: ms }),
  z.object({ granted: z.literal(false), retryAfterMs: ms }),
]);

type Ask = Readonly<z.infer<typeof askSchema>>;

/** An owner's word: the request may go to a runner after a wait, or when to ask again. */
export type Permit = Readonly<z.infer<typeof permitSchema>>;

/** Permits at one VM. */
export class PermitDesk {
  readonly #context: PermitContext;

  readonly #accounts: QuotaAccounts;

  readonly #owners: AccountOwners;

  /** Until when it is known that a runner takes no more, by runner. */
  readonly #fullUntil = new Map<string, number>();

  constructor(context: PermitContext) {
    const { vm, bounds, rateLimits, fleet, metrics, log } = context;
    this.#context = context;
    this.#accounts = new QuotaAccounts(bounds);
    this.#owners = new AccountOwners({
      vm,
      fleet,
      accounts: this.#accounts,
      groups: () => [...new Set(rateLimits.limited.map(({ service }) => service))],
      leaves: true,
      names: { join: 'permitJoin', unanswered: 'permits.unanswered' },
      metrics,
      log,
    });
  }

  stop(): void {
    this.#owners.stop();
  }

  /** Whether a runner names a rate limit. */
  isLimited(runner: string): boolean {
    return this.#context.rateLimits.ratePerS(runner) !== undefined;
  }

  /** Whether a limited runner may take one more request, as far as this VM knows. */
  mayTake(now: number, runner: string): boolean {
    return (this.#fullUntil.get(runner) ?? 0) <= now;
  }

  /** Asks for a permit to send a request to one of some limited runners of a service; the first ones are preferred. */
  async ask(service: string, runners: readonly string[], mostWaitMs: number): Promise<Permit> {
    const { vm, rateLimits, metrics } = this.#context;
    const asked = runners.slice(0, RUNNERS_MOST);
    const rates = asked.flatMap((runner) => rateLimits.rateOf(runner) ?? []);
    const ask: Ask = { service, runners: asked, rates, mostWaitMs };
    const answer = await this.#owners.ask(service, 'permit', ask, (value) =>
      permitSchema.parse(value),
    );
    const now = performance.now();
    const permit = answer ?? this.#give(now, vm, ask);
    if (permit.granted) return permit;
    metrics.count('permits.refused');
    for (const runner of asked) this.#fullUntil.set(runner, now + permit.retryAfterMs);
    return permit;
  }

  /** A VM asks for a permit. */
  onAsk(now: number, vm: string, params: unknown): Permit {
    const ask = askSchema.parse(params);
    this.#context.rateLimits.learn(now, ask.rates, vm);
    return this.#give(now, vm, ask);
  }

  onJoin(now: number, vm: string, params: unknown): void {
    this.#owners.onJoin(now, vm, params);
  }

  /** A VM tells the owner of a service that limits of its runners changed. */
  onTold(now: number, vm: string, params: unknown): void {
    this.#context.rateLimits.learn(now, toldSchema.parse(params).rates, vm);
  }

  /** The members changed. */
  changed(now: number): void {
    this.#owners.changed(now);
  }

  /** Limits of runners changed. */
  limitsChanged(now: number, changes: readonly RateChange[]): void {
    for (const { rate } of changes) {
      const { runner, service, ratePerS } = rate;
      this.#fullUntil.delete(runner);
      if (ratePerS === undefined) this.#accounts.forget({ group: service, subject: runner });
    }
    this.#owners.changed(now);
    // The owner gives out the rest of a limit, so it must not hear of it by chance.
    const own = changes.filter(({ isOwn }) => isOwn).map(({ rate }) => rate);
    for (const rate of own) this.#owners.tell(rate.service, 'rates', { rates: [rate] });
  }

  /** What the planner of a service may give out. */
  rationOf(service: string): Ration {
    const { vm, rateLimits } = this.#context;
    const isFree = (runner: string): boolean => rateLimits.ratePerS(runner) === undefined;
    return {
      ratePerS: (runner) => rateLimits.ratePerS(runner),
      waitMs: (now, runner) => (isFree(runner) ? 0 : this.#waitMs(now, service, runner)),
      take: (now, runner) => {
        if (!isFree(runner)) this.#take(now, vm, { group: service, subject: runner }, 0);
      },
    };
  }

  /** What this VM goes by, for operators. */
  beliefs(): Readonly<Record<string, unknown>> {
    return { runners: this.#context.rateLimits.limited, owners: this.#owners.beliefs() };
  }

  #give(now: number, vm: string, { service, runners, mostWaitMs }: Ask): Permit {
    const free = runners.find((runner) => !this.isLimited(runner));
    if (free !== undefined) return { granted: true, runner: free, waitMs: 0 };
    const turns = runners.map((runner) => ({
      runner,
      waitMs: this.#waitMs(now, service, runner),
    }));
    const { runner } = turns.reduce((best, turn) => (turn.waitMs < best.waitMs ? turn : best));
    const verdict = this.#take(now, vm, { group: service, subject: runner }, mostWaitMs);
    return verdict.granted ? { ...verdict, runner } : verdict;
  }

  #take(
    now: number,
    vm: string,
    key: QuotaKey,
    mostWaitMs: number,
  ): ReturnType<QuotaAccounts['take']> {
    const { members } = this.#owners;
    return this.#accounts.take(now, vm, key, this.#rateOf(key.subject), members, 1, mostWaitMs);
  }

  #waitMs(now: number, service: string, runner: string): number {
    const key = { group: service, subject: runner };
    return this.#accounts.waitMs(now, key, this.#rateOf(runner), this.#owners.members, 1);
  }

  #rateOf(runner: string): Rate {
    const ratePerS = this.#context.rateLimits.ratePerS(runner) ?? 0;
    return { ratePerS: Math.max(TRIAL_PER_S, ratePerS), burst: 0 };
  }
}
