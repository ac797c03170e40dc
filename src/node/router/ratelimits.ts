/**
 * Keeps what this VM knows of the rate limits that runners name in step with the fleet:
 * learns them from answers, tells other VMs, and hears of theirs.
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

/** A limit that changed as this VM sees it. */
export interface RateChange {
  readonly rate: RunnerRate;
  /** Whether an answer to this VM told of it. */
  readonly isOwn: boolean;
}

/** What rate limits work with. */
export interface RateLimitContext {
  readonly knowledge: RoutingState;
  readonly metrics: Metrics;
  readonly log: Logger;
  /** To be told to other VMs and acted upon; with none where a limit may be over with its runner. */
  readonly onChanges: (changes: readonly RateChange[]) => void;
}

/** Answers below this status are what a runner in good order gives. */
const SERVER_ERROR = 500;
/** Source of what this VM's own answers tell. */
const OWN = 'own';
/** Lines of changed limits in a second. */
const RATE_LINES = 10;
/** Lines of values that are no rate in a second. */
const UNREADABLE_LINES = 2;
/** Period of forgetting limits that are over, in milliseconds. */
const PRUNE_MS = 2000;
/** Time in which news is gathered before it is told, in milliseconds. */
const GATHER_MS = 20;

/** Rate limits at one VM. */
export class RateLimitController {
  readonly #context: RateLimitContext;

  readonly #rates = new RunnerRates();

  readonly #lines: LogRateLimiter;

  readonly #unreadable: LogRateLimiter;

  readonly #timer: NodeJS.Timeout;

  /** News that is still to be told, by runner. */
  readonly #fresh = new Map<string, RateChange>();

  constructor(context: RateLimitContext) {
    this.#context = context;
    const { log } = context;
    this.#lines = new LogRateLimiter(RATE_LINES, (lines) =>
      log.info({ lines }, 'More rate limits changed.'),
    );
    this.#unreadable = new LogRateLimiter(UNREADABLE_LINES, (lines) =>
      log.warn({ lines }, 'More rate limits were unreadable.'),
    );
    this.#timer = setInterval(() => this.#prune(performance.now()), PRUNE_MS).unref();
  }

  stop(): void {
    clearInterval(this.#timer);
  }

  /** Requests a second that a runner takes from all VMs together. Default: it names no limit. */
  ratePerS(runner: string): number | undefined {
    return this.#rates.ratePerS(runner);
  }

  /** What is known of a runner's limit. Default: it never named one. */
  rateOf(runner: string): RunnerRate | undefined {
    return this.#rates.rateOf(runner);
  }

  /** The limits in force. */
  get limited(): readonly RunnerRate[] {
    return this.#rates.limited;
  }

  /**
   * The limits in force and those that ended a while ago, of the runners that are listed, for
   * another VM. VMs forget the others one after the other; told of them, none ever would.
   */
  shared(now: number): readonly RunnerRate[] {
    return this.#listedOf(now, this.#rates.all);
  }

  /** Which runners are limited, in short, for others to compare; empty if none is. */
  digest(now: number): string {
    return digestOf(this.#listedOf(now, this.#rates.limited));
  }

  /** A request is sent to a runner. */
  sent({ id }: Runner): void {
    if (this.#rates.ratePerS(id) !== undefined) this.#context.metrics.count('ratelimits.sent');
  }

  /** An answer has begun to a request that was sent to a runner. */
  replied(now: number, runner: Runner, sentAt: number, reply: Reply): void {
    // Another start answered, or another service under the same address.
    if (reply.misdirected) return;
    const { rateNotice: notice } = reply;
    if (notice.kind === 'unreadable') this.#noteUnreadable(now, runner, notice.text);
    const provesEnd = notice.kind === 'none' && isInOrder(runner, reply);
    const news = this.#rates.observe(now, runner, { sentAt, notice, provesEnd });
    if (news) this.#changed(now, news, OWN);
  }

  /** @param source address or name of the VM that tells */
  learn(now: number, rates: readonly RunnerRate[], source: string): void {
    for (const rate of rates) if (this.#rates.apply(now, rate)) this.#changed(now, rate, source);
  }

  #changed(now: number, rate: RunnerRate, source: string): void {
    const { log, metrics } = this.#context;
    if (this.#fresh.size === 0) setTimeout(() => this.#tellAll(), GATHER_MS).unref();
    this.#fresh.set(rate.runner, { rate, isOwn: source === OWN });
    metrics.gauge('ratelimits.runners', this.#rates.limited.length);
    if (!this.#lines.tryAcquire(now)) return;
    const holds = rate.ratePerS !== undefined;
    const what = holds ? 'A runner has a rate limit.' : 'A runner has no rate limit any more.';
    log.info({ ...rate, source }, what);
  }

  #tellAll(): void {
    const changes = [...this.#fresh.values()];
    this.#fresh.clear();
    this.#context.onChanges(changes);
  }

  #noteUnreadable(now: number, { id: runner, service }: Runner, text: string): void {
    this.#context.metrics.count('ratelimits.unreadable');
    if (!this.#unreadable.tryAcquire(now)) return;
    const detail = `found ${JSON.stringify(text)} as a rate limit, expected a decimal number`;
    const { line } = new Failure('factUnreadable', detail);
    this.#context.log.warn({ runner, service, keptPerS: this.#rates.ratePerS(runner) }, line);
  }

  #listedOf(now: number, rates: readonly RunnerRate[]): readonly RunnerRate[] {
    if (rates.length === 0) return rates;
    const listed = this.#listed(now);
    return rates.filter(({ runner }) => listed.has(runner));
  }

  /** Ids of the runners that may get work. */
  #listed(now: number): ReadonlySet<string> {
    return new Set(this.#context.knowledge.runners(now).map(({ id }) => id));
  }

  #prune(now: number): void {
    const { metrics, onChanges: onNews } = this.#context;
    if (this.#rates.all.length === 0) return;
    this.#rates.prune(now, this.#listed(now));
    metrics.gauge('ratelimits.runners', this.#rates.limited.length);
    onNews([]);
  }
}

/** Whether a runner ran the request and answered as usual: others of its answers may lack the limit. */
function isInOrder({ role }: Runner, { genuine, status, notRun }: Reply): boolean {
  // Answers to prefills are not for callers and need no signature.
  return (genuine || role === 'prefill') && status < SERVER_ERROR && !notRun;
}
