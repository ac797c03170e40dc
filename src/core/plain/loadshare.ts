/**
 * The part of one VM in the exchange of load through the owner of a service: what it has not passed
 * on yet, how old its copy of the owner's table is, and which reports are worth a message.
 */

import type { Outcomes } from './failures';
import type { Candidate, Expectation, LoadRow, LoadTable } from './loadtable';
import type { LoadReport } from './types';

/** A request that was sent, for the owner. */
export interface SentRequest {
  readonly runner: string;
  readonly at: number;
}

/** What a VM passes on to the owner. */
export interface LoadNews {
  readonly reports: readonly LoadReport[];
  readonly sent: readonly SentRequest[];
  readonly outcomes: readonly Outcomes[];
}

/** Age of the copy from which a refresh is due, and least time between two messages of a VM, in milliseconds. */
const REFRESH_MS = 100;
/**
 * Age from which a copy is not used without waiting for a refresh, in milliseconds. It is half of a
 * usual slowdown.
 */
const STALE_MS = 300;
/**
 * Differences between reported and expected requests in flight, and ratio between reported and
 * expected slowness, that are worth a message. Half of these send 1.3 times the messages of this
 * kind, with the same number of late requests; without such messages four times as many are late.
 */
const NEWS_REQUESTS = 4;
const NEWS_SLOWNESS = 1.6;
/** Most requests sent that are kept for the next message. */
const MAX_SENT = 64;

/** The exchange of one service at one VM. */
export class LoadShare {
  readonly #table: LoadTable;

  #copyAt = -Infinity;

  #messageAt = -Infinity;

  readonly #reports = new Map<string, LoadReport>();

  #sent: readonly SentRequest[] = [];

  readonly #outcomes = new Map<string, Outcomes>();

  constructor(table: LoadTable) {
    this.#table = table;
  }

  /** Whether the copy is to be refreshed for a request. */
  isDue(now: number): boolean {
    return now - this.#copyAt >= REFRESH_MS && now - this.#messageAt >= REFRESH_MS;
  }

  /** Whether a request should wait for a refresh in progress. */
  isStale(now: number): boolean {
    return now - this.#copyAt >= STALE_MS;
  }

  /**
   * Records a request that is sent to a runner.
   * @param isCounted whether the owner has counted it already
   */
  sent(
    now: number,
    runner: Pick<Candidate, 'id' | 'slots'>,
    ownMs: number,
    isCounted: boolean,
  ): void {
    if (isCounted) return;
    this.#table.sent(now, runner, now, ownMs);
    this.#sent = [...this.#sent, { runner: runner.id, at: now }].slice(-MAX_SENT);
  }

  /** Records the report in a response; returns whether it is to be passed on at once. */
  reported(now: number, report: LoadReport, expected: Expectation): boolean {
    this.#reports.set(report.runner, report);
    const { running, waiting, slowness = 1 } = report.load;
    const ratio = slowness / expected.slowness;
    const isNews =
      Math.abs(running + waiting - expected.inFlight) >= NEWS_REQUESTS ||
      Math.max(ratio, 1 / ratio) >= NEWS_SLOWNESS;
    return isNews && now - this.#messageAt >= REFRESH_MS;
  }

  /** Records the result of a request; returns whether it is to be passed on at once. */
  ended(now: number, runner: string, hasFailed: boolean): boolean {
    const { succeeded, failed } = this.#outcomes.get(runner) ?? { succeeded: 0, failed: 0 };
    const counts = hasFailed
      ? { succeeded, failed: failed + 1 }
      : { succeeded: succeeded + 1, failed };
    this.#outcomes.set(runner, { runner, ...counts });
    const one = { runner, succeeded: hasFailed ? 0 : 1, failed: hasFailed ? 1 : 0 };
    this.#table.failures.record(now, one);
    return hasFailed && now - this.#messageAt >= REFRESH_MS;
  }

  /** Takes what has not been passed on, for a message that is sent now. */
  take(now: number): LoadNews {
    const outcomes = [...this.#outcomes.values()];
    const news = { reports: [...this.#reports.values()], sent: this.#sent, outcomes };
    this.#reports.clear();
    this.#outcomes.clear();
    this.#sent = [];
    this.#messageAt = now;
    return news;
  }

  /** Applies the owner's rows, which contain what was taken before; requests sent meanwhile are kept. */
  merge(now: number, rows: readonly LoadRow[], ownMs: number): void {
    this.#copyAt = now;
    for (const row of rows) this.#table.merge(now, row);
    for (const { runner, at } of this.#sent) {
      this.#table.sent(now, { id: runner, slots: 1 }, at, ownMs);
    }
    for (const outcome of this.#outcomes.values()) this.#table.failures.record(now, outcome);
  }
}
