/**
 * Permits for runners that name a rate limit. The owner of a service gives out what they
 * take from all VMs together: to its own planner, or to VMs that ask before they send.
 */

import type { Logger } from 'pino';
import { z } from 'zod';

import type { QuotaBounds, Rate } from '../../core/quotas/account';
import type { QuotaKey } from '../../core/quotas/accounts';
import { QuotaAccounts } from '../../core/quotas/accounts';
import type { RateAllowance } from '../../core/ratelimits/types';
import type { Metrics } from '../metrics';
import { AccountOwners } from './accountowners';
import type { RouterFleet } from './fleet';
import type { RateChange, RateLimitController } from './ratelimits';
import { rateSchema } from './ratewire';

/** What permits work with. */
export interface PermitContext {
  readonly vm: string;
  /** By how much all VMs together may be over a limit for a while. */
  readonly bounds: QuotaBounds;
  readonly rateLimits: RateLimitController;
  readonly fleet: RouterFleet;
  readonly metrics: Metrics;
  readonly log: Logger;
}

/** Runners among which an owner chooses for one request. */
const RUNNERS_MOST = 16;
/** Time after the last request to a limited runner after which one is sent to it though others are less busy, in milliseconds: that its limit has ended shows only in an answer. */
const TRIAL_MS = 4000;

const ms = z.number().min(0).max(1e9);
/** Asks for a permit to send one request to one of some runners. */
const askSchema = z.object({
  service: z.string(),
  runners: z.array(z.string().min(1)).min(1).max(RUNNERS_MOST),
  /** What the asking VM knows of their limits. */
  rates: z.array(rateSchema).max(RUNNERS_MOST),
  /** Longest time that the request may wait for its turn. */
  mostWaitMs: ms,
  /** Whether it is only to see if the limit still holds. */
  isTrial: z.boolean(),
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
export class PermitController {
  readonly #context: PermitContext;

  readonly #accounts: QuotaAccounts;

  readonly #owners: AccountOwners;

  /** Until when it is known that a runner takes no more, by runner. */
  readonly #fullUntil = new Map<string, number>();

  /** When this VM is to see whether a limit still holds, by runner. */
  readonly #trialAt = new Map<string, number>();

  /** When the last permit was given out here, by runner. */
  readonly #grantedAt = new Map<string, number>();

  constructor(context: PermitContext) {
    const { vm, bounds, rateLimits, fleet, metrics, log } = context;
    this.#context = context;
    this.#accounts = new QuotaAccounts(bounds);
    this.#owners = new AccountOwners({
      vm,
      fleet,
      accounts: this.#accounts,
      groups: () => [...new Set(rateLimits.limited.map(({ service }) => service))],
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

  /** Whether this VM is to see if the limit of a runner still holds. */
  isTrialDue(now: number, runner: string): boolean {
    if (!this.isLimited(runner)) return false;
    const trialAt = this.#trialAt.get(runner);
    // VMs that hear of a limit together do not try together.
    if (trialAt === undefined) this.#trialAt.set(runner, now + TRIAL_MS * (1 + Math.random()));
    return trialAt !== undefined && now >= trialAt;
  }

  /** Asks for a permit to send a request to one of some limited runners of a service; the first ones are preferred. */
  async ask(service: string, runners: readonly string[], mostWaitMs: number): Promise<Permit> {
    const asked = runners.slice(0, RUNNERS_MOST);
    const permit = await this.#ask(service, asked, mostWaitMs, false);
    if (permit.granted) return permit;
    const until = performance.now() + permit.retryAfterMs;
    for (const runner of asked) this.#fullUntil.set(runner, until);
    return permit;
  }

  /** Asks for a permit to see whether the limit of a runner still holds. */
  async askTrial(service: string, runner: string): Promise<boolean> {
    this.#trialAt.set(runner, performance.now() + TRIAL_MS);
    const permit = await this.#ask(service, [runner], 0, true);
    return permit.granted;
  }

  async #ask(
    service: string,
    runners: readonly string[],
    mostWaitMs: number,
    isTrial: boolean,
  ): Promise<Permit> {
    const { vm, rateLimits, metrics } = this.#context;
    const rates = runners.flatMap((runner) => rateLimits.rateOf(runner) ?? []);
    const ask: Ask = { service, runners: [...runners], rates, mostWaitMs, isTrial };
    const answer = await this.#owners.ask(service, 'permit', ask, (value) =>
      permitSchema.parse(value),
    );
    const permit = answer ?? this.#give(performance.now(), vm, ask);
    if (!permit.granted) metrics.count('permits.refused');
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
  onRates(now: number, vm: string, params: unknown): void {
    this.#context.rateLimits.learn(now, toldSchema.parse(params).rates, vm);
  }

  /** The members changed. */
  refresh(now: number): void {
    this.#owners.refresh(now);
  }

  /** Limits of runners changed. */
  limitsChanged(now: number, changes: readonly RateChange[]): void {
    for (const { rate } of changes) this.#fullUntil.delete(rate.runner);
    this.#forgetOthers();
    this.#owners.refresh(now);
    // The owner gives out the rest of a limit, so it must not hear of it by chance.
    for (const { rate, isOwn } of changes) {
      if (isOwn) this.#owners.notify(rate.service, 'rates', { rates: [rate] });
    }
  }

  /** What the planner of a service may give out. */
  allowanceOf(service: string): RateAllowance {
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
  snapshot(): Readonly<Record<string, unknown>> {
    return { runners: this.#context.rateLimits.limited, owners: this.#owners.snapshot() };
  }

  /** Forgets runners that name no limit, or are gone. */
  #forgetOthers(): void {
    this.#accounts.retain((runner) => this.isLimited(runner));
    for (const known of [this.#fullUntil, this.#trialAt, this.#grantedAt]) {
      for (const runner of known.keys()) if (!this.isLimited(runner)) known.delete(runner);
    }
  }

  #give(now: number, vm: string, { service, runners, mostWaitMs, isTrial }: Ask): Permit {
    const free = runners.find((runner) => !this.isLimited(runner));
    if (free !== undefined) return { granted: true, runner: free, waitMs: 0 };
    const turns = runners.map((runner) => ({
      runner,
      waitMs: this.#waitMs(now, service, runner),
    }));
    const { runner } = turns.reduce((best, turn) => (turn.waitMs < best.waitMs ? turn : best));
    const trialMs = (this.#grantedAt.get(runner) ?? -Infinity) + TRIAL_MS - now;
    if (isTrial && trialMs > 0) return { granted: false, retryAfterMs: trialMs };
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
    const rate = this.#rateOf(key.subject);
    const verdict = this.#accounts.take(now, vm, key, rate, members, 1, mostWaitMs);
    if (verdict.granted) this.#grantedAt.set(key.subject, now);
    return verdict;
  }

  #waitMs(now: number, service: string, runner: string): number {
    const key = { group: service, subject: runner };
    return this.#accounts.waitMs(now, key, this.#rateOf(runner), this.#owners.members, 1);
  }

  #rateOf(runner: string): Rate {
    const ratePerS = this.#context.rateLimits.ratePerS(runner) ?? 0;
    return { ratePerS: Math.max(1000 / TRIAL_MS, ratePerS), burst: 0 };
  }
}
