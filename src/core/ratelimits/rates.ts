/**
 * Rate limits of runners known to one VM.
 *
 * A runner reports its limit in its answers while it is in force. Answers to several VMs
 * overtake each other, and an update may arrive several times, so each change has a
 * version: a VM that observes a change creates the next version, and the highest one
 * wins.
 */

import { textHash } from '../hash';
import type { Runner } from '../routing/types';
import type { RateNotice, RunnerRate } from './types';

/** An observation of a runner's limit in an answer. */
export interface RateObservation {
  /** When its request was sent. */
  readonly sentAt: number;
  readonly notice: RateNotice;
  /** Whether this answer, without a reported limit, proves that the runner has none. */
  readonly provesEnd: boolean;
}

/** Minimum relative change of a rate that is spread; some runners recompute their rate for each answer. */
const MIN_CHANGE_FRACTION = 0.1;
/** Minimum time between two such changes of one runner, in milliseconds. */
const MIN_CHANGE_INTERVAL_MS = 500;
/** How long a limit is remembered after it ended or its runner disappeared, in milliseconds, so that late updates are recognised as stale. */
const RETENTION_MS = 60_000;
/** Maximum number of runners whose limits are kept: more than the largest fleet has. */
const MAX_ENTRIES = 10_000;

/** Digest of the set of limited runners, to be compared between VMs; empty if there are none. */
export function digestOf(limited: readonly RunnerRate[]): string {
  const ids = limited.map(({ runner }) => runner);
  return ids.length === 0 ? '' : textHash(ids.sort().join(' ')).toString(36);
}

interface Entry {
  readonly rate: RunnerRate;
  readonly changedAt: number;
  /** When the limit was last reported to this VM. */
  reportedAt: number;
  /** When the runner was last listed. */
  listedAt: number;
}

/** Rate limits by runner. */
export class RunnerRates {
  readonly #entries = new Map<string, Entry>();

  /** Requests per second that a runner accepts from all VMs together; undefined if it has no limit. */
  ratePerS(runner: string): number | undefined {
    return this.#entries.get(runner)?.rate.ratePerS;
  }

  /** The latest change of a runner's limit; undefined if it never reported one. */
  rateOf(runner: string): RunnerRate | undefined {
    return this.#entries.get(runner)?.rate;
  }

  /** The limits in force. */
  get limited(): readonly RunnerRate[] {
    return this.all.filter(({ ratePerS }) => ratePerS !== undefined);
  }

  /** The limits in force and those that ended recently, to be sent to another VM. */
  get all(): readonly RunnerRate[] {
    return [...this.#entries.values()].map(({ rate }) => rate);
  }

  /** Records an answer of a runner. Returns the update to spread; undefined if nothing changed. */
  observe(
    now: number,
    { id: runner, service }: Runner,
    { sentAt, notice, provesEnd }: RateObservation,
  ): RunnerRate | undefined {
    const entry = this.#entries.get(runner);
    const known = entry?.rate.ratePerS;
    const version = (entry?.rate.version ?? 0) + 1;
    if (notice.kind === 'limited') {
      if (entry) entry.reportedAt = now;
      const { ratePerS } = notice;
      const hasChanged = !entry || known === undefined || isChange(now, entry, known, ratePerS);
      return hasChanged ? this.#set(now, { runner, service, version, ratePerS }) : undefined;
    }
    // If the request is older than the last report, the limit may have come into force after this answer was made.
    const hasEnded = known !== undefined && provesEnd && sentAt > (entry?.reportedAt ?? Infinity);
    return hasEnded ? this.#set(now, { runner, service, version }) : undefined;
  }

  /** Applies an update from another VM; returns whether it was new. */
  apply(now: number, update: RunnerRate): boolean {
    const known = this.#entries.get(update.runner)?.rate;
    if (known && !isLater(update, known)) return false;
    return this.#set(now, update) !== undefined;
  }

  /** Drops limits that ended, or whose runners disappeared, more than `RETENTION_MS` ago. */
  prune(now: number, listed: ReadonlySet<string>): void {
    for (const [runner, entry] of this.#entries) {
      const { rate, changedAt } = entry;
      if (listed.has(runner)) entry.listedAt = now;
      const lastNeededAt = rate.ratePerS === undefined ? changedAt : entry.listedAt;
      if (now - lastNeededAt > RETENTION_MS) this.#entries.delete(runner);
    }
  }

  #set(now: number, rate: RunnerRate): RunnerRate | undefined {
    if (!this.#entries.has(rate.runner) && this.#entries.size >= MAX_ENTRIES) return undefined;
    this.#entries.set(rate.runner, { rate, changedAt: now, reportedAt: now, listedAt: now });
    return rate;
  }
}

function isChange(now: number, { changedAt }: Entry, known: number, ratePerS: number): boolean {
  const differs = Math.abs(ratePerS - known) > known * MIN_CHANGE_FRACTION;
  return differs && now - changedAt >= MIN_CHANGE_INTERVAL_MS;
}

/** Of two concurrent changes with the same version the one with the lower rate wins, since it satisfies both. */
function isLater(one: RunnerRate, other: RunnerRate): boolean {
  if (one.version !== other.version) return one.version > other.version;
  return (one.ratePerS ?? Infinity) < (other.ratePerS ?? Infinity);
}
