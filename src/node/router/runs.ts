/**
 * Follows the runs of requests at runners: keeps requests from them that end them,
 * and logs each run that its runner broke off.
 */

import type { Logger } from 'pino';

import type { Failure } from '../../core/failure';
import { isAttributable } from '../../core/quarantine/quarantine';
import type { Runner } from '../../core/routing/types';
import type { Framing, StreamFault } from '../../core/stream/answer';
import type { Metrics } from '../metrics';
import { bootNow } from '../../utils/clock';
import type { Exchange } from './exchange';
import type { Authorizer } from './authorizer';
import type { QuarantineController } from './quarantine';
import type { RateLimitController } from './ratelimits';
import type { Reply } from './types';

/** What a run sent of a stream. */
export interface StreamPart {
  readonly status: number;
  readonly framing: Framing;
  /** Id of the event after which the run was asked to continue. Default: it began the stream. */
  readonly afterEvent: string | undefined;
  readonly firstEvent: string | undefined;
  readonly lastEvent: string | undefined;
  /** Bytes after the last whole event. */
  readonly tornBytes: number;
}

/** What runs work with. */
export interface RunsContext {
  readonly quarantine: QuarantineController;
  readonly authorizer: Authorizer;
  readonly rateLimits: RateLimitController;
  readonly metrics: Metrics;
  readonly log: Logger;
}

/** One send of a request to a runner. */
export class Run {
  readonly #context: RunsContext;

  readonly #exchange: Exchange;

  readonly #runner: Runner;

  readonly #sentAt: number;

  #answeredAt: number | undefined;

  constructor(now: number, context: RunsContext, exchange: Exchange, runner: Runner) {
    this.#sentAt = now;
    this.#context = context;
    this.#exchange = exchange;
    this.#runner = runner;
    if (runner.role !== 'prefill') exchange.charge.spend();
    context.rateLimits.sent(runner);
  }

  /** Its answer has begun. */
  replied(now: number, reply: Reply): void {
    this.#context.rateLimits.replied(now, this.#runner, this.#sentAt, reply);
  }

  /** The runner did not run it and never will. */
  notRun(): void {
    if (this.#runner.role !== 'prefill') this.#exchange.charge.refund();
  }

  /** A part of its answer came. */
  answered(now: number): void {
    this.#answeredAt ??= now;
  }

  /** Its answer came whole, whatever it says: the runner outlived it. */
  completed(now: number, part?: StreamPart): void {
    this.#context.quarantine.completed(now, this.#exchange.fingerprint);
    const isPlain = part?.afterEvent === undefined && !part?.tornBytes;
    if (part && !isPlain) this.#context.log.info(this.#lineOf(part), 'A run completed a stream.');
  }

  /** Its answer does not continue the stream. */
  diverged(part: StreamPart, fault: StreamFault): void {
    const { metrics, log } = this.#context;
    metrics.count('runs.strayed');
    log.warn({ ...this.#lineOf(part), fault }, 'A run did not continue its stream.');
  }

  /** Its connection ended before its answer did. Nothing is held against either if the caller left or its time was up. */
  interrupted(now: number, part?: StreamPart): void {
    const { fingerprint, signal } = this.#exchange;
    if (signal.aborted) return;
    const { quarantine, metrics, log } = this.#context;
    const { id: runner } = this.#runner;
    const answeredAt = this.#answeredAt;
    const ends = isAttributable(now, answeredAt) ? quarantine.crashed(now, fingerprint, runner) : 0;
    metrics.count('runs.broken');
    log.info(
      {
        ...this.#lineOf(part),
        sentMs: Math.round(now - this.#sentAt),
        ...(answeredAt === undefined ? {} : { answeredMs: Math.round(now - answeredAt) }),
        ends,
      },
      'A run broke off.',
    );
  }

  #lineOf(part: StreamPart | undefined): Readonly<Record<string, unknown>> {
    const { request, fingerprint, service } = this.#exchange;
    const { id: runner, role } = this.#runner;
    return { request: request.id, fingerprint, service, runner, role, ...part };
  }
}

/** All runs of this VM. */
export class Runs {
  readonly #context: RunsContext;

  constructor(context: RunsContext) {
    this.#context = context;
  }

  /** Why a request must not reach a runner. Default: it may. */
  refusal(now: number, exchange: Exchange): Failure | undefined {
    const { authorizer: gate, quarantine } = this.#context;
    return gate.refusal(bootNow(), exchange) ?? quarantine.refusal(now, exchange.fingerprint);
  }

  /** Each send begins here, so that none goes out that must not. Throws the refusal. */
  begin(now: number, exchange: Exchange, runner: Runner): Run {
    const refused = this.refusal(now, exchange);
    if (refused) throw refused;
    return new Run(now, this.#context, exchange, runner);
  }
}
