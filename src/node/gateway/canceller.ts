/** Cancels runs on runners, with retries until the runner confirms. */

import type { Logger } from 'pino';

import type { Metrics } from '../metrics';
import type { RunnerClient } from '../runner/client';

/** First pause between attempts, in milliseconds; doubles up to the limit. */
const INITIAL_RETRY_MS = 100;
const MAX_RETRY_MS = 5000;
/** A cancellation is abandoned after this time, in milliseconds; the pool's owner looks for left-over runs anyway. */
const CANCEL_TIMEOUT_MS = 120_000;

/** Sends cancellations and retries those that are not confirmed. */
export class Canceller {
  readonly #runners: RunnerClient;

  readonly #log: Logger;

  readonly #metrics: Metrics;

  readonly #timers = new Set<NodeJS.Timeout>();

  constructor(runners: RunnerClient, log: Logger, metrics: Metrics) {
    this.#runners = runners;
    this.#log = log;
    this.#metrics = metrics;
  }

  /** Cancels the run at a runner, so that the runner holds no resources for it. Returns at once. */
  cancel(url: string, runId: string): void {
    this.#attempt(url, runId, Date.now(), INITIAL_RETRY_MS);
  }

  /** Drops all pending retries. */
  stop(): void {
    for (const timer of this.#timers) clearTimeout(timer);
    this.#timers.clear();
  }

  #attempt(url: string, runId: string, startedAt: number, retryMs: number): void {
    this.#runners
      .cancel(url, runId)
      .catch(() => false)
      .then((isConfirmed) => {
        if (isConfirmed) this.#metrics.count('cancel.confirmed');
        else this.#scheduleRetry(url, runId, startedAt, retryMs);
      })
      .catch((error: Error) => this.#log.error(`A cancellation failed. ${error.message}.`));
  }

  #scheduleRetry(url: string, runId: string, startedAt: number, retryMs: number): void {
    if (Date.now() - startedAt > CANCEL_TIMEOUT_MS) {
      this.#metrics.count('cancel.given_up');
      return;
    }
    const timer = setTimeout(() => {
      this.#timers.delete(timer);
      this.#attempt(url, runId, startedAt, Math.min(MAX_RETRY_MS, retryMs * 2));
    }, retryMs);
    this.#timers.add(timer);
  }
}
