/** Cancels runs on runners, again and again until the runner confirms. */

import type { Logger } from 'pino';

import type { Metrics } from '../metrics';
import type { RunnerClient } from '../runner/client';

/** First pause between tries, in milliseconds; doubles up to the limit. */
const RETRY_MS = 100;
const RETRY_LIMIT_MS = 5000;
/** Tries are given up after this time, in milliseconds; the pool's owner looks for left-over runs anyway. */
const GIVE_UP_MS = 120_000;

/** Cancels under way. */
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

  /** Sees to it that the runner holds nothing for the run. */
  cancel(url: string, runId: string): void {
    this.#try(url, runId, Date.now(), RETRY_MS);
  }

  stop(): void {
    for (const timer of this.#timers) clearTimeout(timer);
    this.#timers.clear();
  }

  #try(url: string, runId: string, since: number, waitMs: number): void {
    this.#runners
      .cancel(url, runId)
      .catch(() => false)
      .then((done) => {
        if (done) this.#metrics.count('cancel.confirmed');
        else this.#tryLater(url, runId, since, waitMs);
      })
      .catch((error: Error) => this.#log.error(`A cancel failed. ${error.message}.`));
  }

  #tryLater(url: string, runId: string, since: number, waitMs: number): void {
    if (Date.now() - since > GIVE_UP_MS) {
      this.#metrics.count('cancel.given_up');
      return;
    }
    const timer = setTimeout(() => {
      this.#timers.delete(timer);
      this.#try(url, runId, since, Math.min(RETRY_LIMIT_MS, waitMs * 2));
    }, waitMs);
    this.#timers.add(timer);
  }
}
