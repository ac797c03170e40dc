/**
 * Tracks the rate limits that runners announce: reads them from answers, announces changes to
 * other VMs and applies theirs.
 */

import type { Logger } from 'pino';

import { Failure } from '../../core/failure';
import { RunnerRates, digestOf } from '../../core/ratelimits/rates';
import type { RunnerRate } from '../../core/ratelimits/types';
import type { Runner } from '../../core/routing/types';
import { LogRateLimiter } from '../loglimiter';
import type { Metrics } from '../metrics';
import type { RoutingState } from './routingstate';
import type { Reply } from './types';

/** A change of a rate limit. */
export interface RateChange {
  readonly rate: RunnerRate;
  /** Whether this VM found it in an answer of the runner itself. */
  readonly isOwn: boolean;
}

/** Dependencies of the rate limit controller. */
export interface RateLimitContext {
  readonly routingState: RoutingState;
  readonly metrics: Metrics;
  readonly log: Logger;
  /**
   * Called with changes to announce and apply; with an empty list when limits may have been dropped
   * because their runners are gone.
   */
  readonly onChanges: (changes: readonly RateChange[]) => void;
}

/** Answers of a healthy runner have a status below this one. */
const SERVER_ERROR = 500;
/** Source of limits that this VM found in answers of runners. */
const OWN = 'own';
/** Log lines about changed limits per second. */
const RATE_LINES_PER_S = 10;
/** Log lines about unreadable limits per second. */
const UNREADABLE_LINES_PER_S = 2;
/** Period of removing ended limits, in milliseconds. */
const PRUNE_MS = 2000;
/** Time for which changes are batched before they are announced, in milliseconds. */
const BATCH_MS = 20;

/** Rate limits of runners as one VM knows them. */
export class RateLimitController {
  readonly #context: RateLimitContext;

  readonly #rates = new RunnerRates();

  readonly #changeLines: LogRateLimiter;

  readonly #unreadableLines: LogRateLimiter;

  readonly #timer: NodeJS.Timeout;

  /** Changes that are not announced yet, by runner. */
  readonly #pending = new Map<string, RateChange>();

  constructor(context: RateLimitContext) {
    this.#context = context;
    const { log } = context;
    this.#changeLines = new LogRateLimiter(RATE_LINES_PER_S, (lines) =>
      log.info({ lines }, 'More rate limits changed.'),
    );
    this.#unreadableLines = new LogRateLimiter(UNREADABLE_LINES_PER_S, (lines) =>
      log.warn({ lines }, 'More rate limits were unreadable.'),
    );
    this.#timer = setInterval(() => this.#prune(performance.now()), PRUNE_MS).unref();
  }

  /** Stops the timer. */
  stop(): void {
    clearInterval(this.#timer);
  }

  /** Requests per second that a runner accepts from all VMs together; undefined if it has no limit. */
  ratePerS(runner: string): number | undefined {
    return this.#rates.ratePerS(runner);
  }

  /** The last known state of a runner's limit; undefined if it never announced one. */
  rateOf(runner: string): RunnerRate | undefined {
    return this.#rates.rateOf(runner);
  }

  /** The limits in force. */
  get limited(): readonly RunnerRate[] {
    return this.#rates.limited;
  }

  /**
   * The limits in force and those that ended recently, of listed runners only, for another VM.
   * VMs drop the limits of runners that are gone at different times; if they sent these to each
   * other, none would ever be dropped.
   */
  shared(now: number): readonly RunnerRate[] {
    return this.#listedOf(now, this.#rates.all);
  }

  /** Digest of the limits in force, by which VMs detect that theirs differ; empty if there are none. */
  digest(now: number): string {
    return digestOf(this.#listedOf(now, this.#rates.limited));
  }

  /** Counts a request that is sent to a rate-limited runner. */
  sent({ id }: Runner): void {
    if (this.#rates.ratePerS(id) !== undefined) this.#context.metrics.count('ratelimits.sent');
  }

  /** Reads the rate limit from the head of a runner's answer to a request sent at `sentAt`. */
  replied(now: number, runner: Runner, sentAt: number, reply: Reply): void {
    // The answer is that of another instance, or of another service at the same address.
    if (reply.misdirected) return;
    const { rateNotice: notice } = reply;
    if (notice.kind === 'unreadable') this.#reportUnreadable(now, runner, notice.text);
    const provesEnd = notice.kind === 'none' && isHealthyReply(runner, reply);
    const change = this.#rates.observe(now, runner, { sentAt, notice, provesEnd });
    if (change) this.#changed(now, change, OWN);
  }

  /**
   * Applies the rate limits that another VM knows.
   * @param source address or name of that VM
   */
  learn(now: number, rates: readonly RunnerRate[], source: string): void {
    for (const rate of rates) if (this.#rates.apply(now, rate)) this.#changed(now, rate, source);
  }

  #changed(now: number, rate: RunnerRate, source: string): void {
    const { log, metrics } = this.#context;
    if (this.#pending.size === 0) setTimeout(() => this.#flush(), BATCH_MS).unref();
    this.#pending.set(rate.runner, { rate, isOwn: source === OWN });
    metrics.gauge('ratelimits.runners', this.#rates.limited.length);
    if (!this.#changeLines.tryAcquire(now)) return;
    const isLimited = rate.ratePerS !== undefined;
    const text = isLimited
      ? 'A runner has announced a rate limit.'
      : 'The rate limit of a runner has ended.';
    log.info({ ...rate, source }, text);
  }

  #flush(): void {
    const changes = [...this.#pending.values()];
    this.#pending.clear();
    this.#context.onChanges(changes);
  }

  #reportUnreadable(now: number, { id: runner, service }: Runner, text: string): void {
    this.#context.metrics.count('ratelimits.unreadable');
    if (!this.#unreadableLines.tryAcquire(now)) return;
    const detail = `found ${JSON.stringify(text)} as a rate limit, expected a decimal number`;
    const { line } = new Failure('factUnreadable', detail);
    this.#context.log.warn({ runner, service, keptPerS: this.#rates.ratePerS(runner) }, line);
  }

  #listedOf(now: number, rates: readonly RunnerRate[]): readonly RunnerRate[] {
    if (rates.length === 0) return rates;
    const listed = this.#listed(now);
    return rates.filter(({ runner }) => listed.has(runner));
  }

  /** Ids of the runners that may get requests. */
  #listed(now: number): ReadonlySet<string> {
    return new Set(this.#context.routingState.runners(now).map(({ id }) => id));
  }

  #prune(now: number): void {
    const { metrics, onChanges } = this.#context;
    if (this.#rates.all.length === 0) return;
    this.#rates.prune(now, this.#listed(now));
    metrics.gauge('ratelimits.runners', this.#rates.limited.length);
    onChanges([]);
  }
}

/**
 * Whether the runner processed the request normally: other answers may lack the limit although it
 * holds.
 */
function isHealthyReply({ role }: Runner, { genuine, status, notRun }: Reply): boolean {
  // Answers to prefills are not passed on to callers and need no signature.
  return (genuine || role === 'prefill') && status < SERVER_ERROR && !notRun;
}
