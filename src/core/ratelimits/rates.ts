/**
 * The rate limits of runners as one VM knows them.
 *
 * A runner names its limit in its answers for as long as it holds. Answers of several
 * VMs overtake each other, and news of a limit is told several times, so each change
 * has a version: a VM that sees one makes the next version, and the highest one wins.
 */

import { textHash } from '../hash';
import type { Runner } from '../routing/types';
import type { RateNotice, RunnerRate } from './types';

/** What an answer tells of the limit of its runner. */
export interface RateObservation {
  /** When its request was sent. */
  readonly sentAt: number;
  readonly notice: RateNotice;
  /** Whether a runner without a limit would surely have answered so. */
  readonly provesEnd: boolean;
}

/** By how much a rate must differ from the known one to be news, as a part: some runners work it out anew for each answer. */
const NEWS_PART = 0.1;
/** Least time between two such changes of one runner, in milliseconds. */
const NEWS_PACE_MS = 500;
/** How long a limit that has ended, or whose runner is gone, is remembered, so that late news of it is known for what it is, in milliseconds. */
const KEPT_MS = 60_000;
/** Runners whose limits are kept: more than there are in the largest fleet. */
const KEPT_MOST = 10_000;

/** Which runners are limited, in short, for VMs to compare; empty if none is. */
export function digestOf(limited: readonly RunnerRate[]): string {
  const ids = limited.map(({ runner }) => runner);
  return ids.length === 0 ? '' : textHash(ids.sort().join(' ')).toString(36);
}

interface Entry {
  readonly rate: RunnerRate;
  readonly changedAt: number;
  /** When the limit was named last, as far as this VM knows. */
  namedAt: number;
  /** When its runner was last listed. */
  listedAt: number;
}

/** Rate limits by runner. */
export class RunnerRates {
  readonly #entries = new Map<string, Entry>();

  /** Requests a second that a runner takes from all VMs together. Default: it names no limit. */
  ratePerS(runner: string): number | undefined {
    return this.#entries.get(runner)?.rate.ratePerS;
  }

  /** What is known of a runner's limit. Default: it never named one. */
  rateOf(runner: string): RunnerRate | undefined {
    return this.#entries.get(runner)?.rate;
  }

  /** The limits in force. */
  get limited(): readonly RunnerRate[] {
    return this.all.filter(({ ratePerS }) => ratePerS !== undefined);
  }

  /** The limits in force and those that ended a while ago, to be told to another VM. */
  get all(): readonly RunnerRate[] {
    return [...this.#entries.values()].map(({ rate }) => rate);
  }

  /** Takes an answer's word. Gives what is to be told to others, if that is news. */
  observe(
    now: number,
    { id: runner, service }: Runner,
    { sentAt, notice, provesEnd }: RateObservation,
  ): RunnerRate | undefined {
    const entry = this.#entries.get(runner);
    const known = entry?.rate.ratePerS;
    const version = (entry?.rate.version ?? 0) + 1;
    if (notice.kind === 'limited') {
      if (entry) entry.namedAt = now;
      const { ratePerS } = notice;
      const isNews = !entry || known === undefined || isChange(now, entry, known, ratePerS);
      return isNews ? this.#set(now, { runner, service, version, ratePerS }) : undefined;
    }
    // The limit may have been named after this answer was made, where its request is older.
    const isOver = known !== undefined && provesEnd && sentAt > (entry?.namedAt ?? Infinity);
    return isOver ? this.#set(now, { runner, service, version }) : undefined;
  }

  /** Takes over what another VM tells; whether that was news. */
  apply(now: number, told: RunnerRate): boolean {
    const known = this.#entries.get(told.runner)?.rate;
    if (known && !isLater(told, known)) return false;
    return this.#set(now, told) !== undefined;
  }

  /** Forgets limits that ended, or whose runners are gone, a while ago. */
  prune(now: number, listed: ReadonlySet<string>): void {
    for (const [runner, entry] of this.#entries) {
      const { rate, changedAt } = entry;
      if (listed.has(runner)) entry.listedAt = now;
      const neededAt = rate.ratePerS === undefined ? changedAt : entry.listedAt;
      if (now - neededAt > KEPT_MS) this.#entries.delete(runner);
    }
  }

  #set(now: number, rate: RunnerRate): RunnerRate | undefined {
    if (!this.#entries.has(rate.runner) && this.#entries.size >= KEPT_MOST) return undefined;
    this.#entries.set(rate.runner, { rate, changedAt: now, namedAt: now, listedAt: now });
    return rate;
  }
}

function isChange(now: number, { changedAt }: Entry, known: number, ratePerS: number): boolean {
  const differs = Math.abs(ratePerS - known) > known * NEWS_PART;
  return differs && now - changedAt >= NEWS_PACE_MS;
}

/** Of two changes that VMs saw at the same time, the one with the lower rate wins: it keeps to both. */
function isLater(one: RunnerRate, other: RunnerRate): boolean {
  if (one.version !== other.version) return one.version > other.version;
  return (one.ratePerS ?? Infinity) < (other.ratePerS ?? Infinity);
}
