/** Follows the runs of requests at runners, and logs each that its runner broke off. */

import type { Logger } from 'pino';

import type { Runner } from '../../core/routing/types';
import type { Metrics } from '../metrics';
import type { Exchange } from './exchange';

/** What runs work with. */
export interface RunsContext {
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
  }

  /** A part of its answer came. */
  answered(now: number): void {
    this.#answeredAt ??= now;
  }

  /** Its connection ended before its answer did. Nothing is held against a runner whose caller left or whose time was up. */
  broke(now: number): void {
    const { request, service, fingerprint, signal } = this.#exchange;
    if (signal.aborted) return;
    const { metrics, log } = this.#context;
    const { id: runner, role } = this.#runner;
    metrics.count('runs.broken');
    log.info(
      {
        request: request.id,
        fingerprint,
        service,
        runner,
        role,
        sentMs: Math.round(now - this.#sentAt),
        ...(this.#answeredAt === undefined
          ? {}
          : { answeredMs: Math.round(now - this.#answeredAt) }),
      },
      'A run broke off.',
    );
  }
}

/** All runs of this VM. */
export class Runs {
  readonly #context: RunsContext;

  constructor(context: RunsContext) {
    this.#context = context;
  }

  begin(now: number, exchange: Exchange, runner: Runner): Run {
    return new Run(now, this.#context, exchange, runner);
  }
}
