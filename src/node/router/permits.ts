/**
 * Permits for runners that announce a rate limit. The owner of a service grants permits for its
 * rate-limited runners to its own planner and to VMs that ask before they send a request, so that
 * all VMs together stay within the limit.
 */

import type { Logger } from 'pino';
import { z } from 'zod';

import type { QuotaBounds, Rate } from '../../core/quotas/account';
import type { QuotaKey } from '../../core/quotas/accounts';
import { QuotaAccounts } from '../../core/quotas/accounts';
import type { RateAllowance } from '../../core/ratelimits/types';
import type { Metrics } from '../metrics';
import { listOf } from '../wire';
import { AccountOwners } from './accountowners';
import type { RouterFleet } from './fleet';
import type { RateChange, RateLimitController } from './ratelimits';
import { rateSchema } from './ratewire';

/** Dependencies of the permit controller. */
export interface PermitContext {
  readonly vm: string;
  /** By how much all VMs together may temporarily exceed a limit. */
  readonly bounds: QuotaBounds;
  readonly rateLimits: RateLimitController;
  readonly fleet: RouterFleet;
  readonly metrics: Metrics;
  readonly log: Logger;
}

/** Most runners among which an owner chooses for one request. */
const MAX_RUNNERS = 16;
/**
 * Idle time of a rate-limited runner after which it gets a trial request although others are less
 * busy, in milliseconds: only an answer shows that its limit has ended.
 */
const TRIAL_MS = 4000;

const ms = z.number().min(0).max(1e9);
/** Asks for a permit to send one request to one of some runners. */
const askSchema = z.object({
  service: z.string(),
  runners: z.array(z.string().min(1)).min(1).max(MAX_RUNNERS),
  /** The rate limits of these runners that the calling VM knows. */
  rates: listOf(rateSchema, MAX_RUNNERS),
  /** Longest time that the request may wait before it is sent, in milliseconds. */
  mostWaitMs: ms,
  /** Whether the request is a trial that only tests whether the limit still holds. */
  isTrial: z.boolean(),
});
const ratesSchema = z.object({ rates: listOf(rateSchema, MAX_RUNNERS) });
const permitSchema = z.discriminatedUnion('granted', [
  z.object({ granted: z.literal(true), runner: z.string(), waitMs: ms }),
  z.object({ granted: z.literal(false), retryAfterMs: ms }),
]);

type Ask = Readonly<z.infer<typeof askSchema>>;

/**
 * An owner's decision: the runner to which the request may go after `waitMs`, or the time after
 * which to ask again.
 */
export type Permit = Readonly<z.infer<typeof permitSchema>>;

/** Requests and grants permits at one VM. */
export class PermitController {
  readonly #context: PermitContext;

  readonly #accounts: QuotaAccounts;

  readonly #owners: AccountOwners;

  /** Until when a runner is known to accept no more requests, by runner. */
  readonly #fullUntil = new Map<string, number>();

  /** When this VM sends the next trial request, by runner. */
  readonly #trialAt = new Map<string, number>();

  /** When this VM granted the last permit, by runner. */
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

  /** Stops the timer. */
  stop(): void {
    this.#owners.stop();
  }

  /** Whether a runner has a rate limit. */
  isLimited(runner: string): boolean {
    return this.#context.rateLimits.ratePerS(runner) !== undefined;
  }

  /** Whether a rate-limited runner may accept one more request, as far as this VM knows. */
  mayTake(now: number, runner: string): boolean {
    return (this.#fullUntil.get(runner) ?? 0) <= now;
  }

  /** Whether this VM must test whether the limit of a runner still holds. */
  isTrialDue(now: number, runner: string): boolean {
    if (!this.isLimited(runner)) return false;
    const trialAt = this.#trialAt.get(runner);
    // Randomized, so that VMs that learn of a limit at the same time do not send trials at the same time.
    if (trialAt === undefined) this.#trialAt.set(runner, now + TRIAL_MS * (1 + Math.random()));
    return trialAt !== undefined && now >= trialAt;
  }

  /**
   * Asks for a permit to send a request to one of some rate-limited runners of a service, in order
   * of preference.
   */
  async ask(service: string, runners: readonly string[], mostWaitMs: number): Promise<Permit> {
    const asked = runners.slice(0, MAX_RUNNERS);
    const permit = await this.#request(service, asked, mostWaitMs, false);
    if (permit.granted) return permit;
    const until = performance.now() + permit.retryAfterMs;
    for (const runner of asked) this.#fullUntil.set(runner, until);
    return permit;
  }

  /**
   * Asks for a permit to test whether the limit of a runner still holds; resolves to whether it is
   * granted.
   */
  async askTrial(service: string, runner: string): Promise<boolean> {
    this.#trialAt.set(runner, performance.now() + TRIAL_MS);
    const permit = await this.#request(service, [runner], 0, true);
    return permit.granted;
  }

  async #request(
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
    const permit = answer ?? this.#grant(performance.now(), vm, ask);
    if (!permit.granted) metrics.count('permits.refused');
    return permit;
  }

  /** Answers a VM that asks for a permit. */
  onAsk(now: number, vm: string, params: unknown): Permit {
    const ask = askSchema.parse(params);
    this.#context.rateLimits.learn(now, ask.rates, vm);
    return this.#grant(now, vm, ask);
  }

  /** Handles the message by which a VM registers with the owner of its accounts; see `AccountOwners`. */
  onJoin(now: number, vm: string, params: unknown): void {
    this.#owners.onJoin(now, vm, params);
  }

  /** Handles changed rate limits that a VM reports to the owner of the service. */
  onRates(now: number, vm: string, params: unknown): void {
    this.#context.rateLimits.learn(now, ratesSchema.parse(params).rates, vm);
  }

  /** Must be called when the members changed. */
  refresh(now: number): void {
    this.#owners.refresh(now);
  }

  /**
   * Must be called when rate limits changed, also with no changes when a limit may have been
   * dropped with its runner.
   */
  limitsChanged(now: number, changes: readonly RateChange[]): void {
    for (const { rate } of changes) this.#fullUntil.delete(rate.runner);
    this.#prune();
    this.#owners.refresh(now);
    // The owner grants permits by the limit, so it is called directly instead of relying on gossip.
    for (const { rate, isOwn } of changes) {
      if (isOwn) this.#owners.notify(rate.service, 'rates', { rates: [rate] });
    }
  }

  /** The rate allowance of the planner of a service. */
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

  /** State of the rate limits, for operators. */
  snapshot(): Readonly<Record<string, unknown>> {
    return { runners: this.#context.rateLimits.limited, owners: this.#owners.snapshot() };
  }

  /** Removes the state of runners that have no limit or are gone. */
  #prune(): void {
    this.#accounts.retain((runner) => this.isLimited(runner));
    for (const known of [this.#fullUntil, this.#trialAt, this.#grantedAt]) {
      for (const runner of known.keys()) if (!this.isLimited(runner)) known.delete(runner);
    }
  }

  #grant(now: number, vm: string, { service, runners, mostWaitMs, isTrial }: Ask): Permit {
    const free = runners.find((runner) => !this.isLimited(runner));
    if (free !== undefined) return { granted: true, runner: free, waitMs: 0 };
    const waits = runners.map((runner) => ({
      runner,
      waitMs: this.#waitMs(now, service, runner),
    }));
    const { runner } = waits.reduce((best, wait) => (wait.waitMs < best.waitMs ? wait : best));
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
    const request = { size: 1, maxWaitMs: mostWaitMs };
    const verdict = this.#accounts.take(now, vm, key, rate, members, request);
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
