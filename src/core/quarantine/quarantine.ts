/**
 * Keeps a request from the runners once it has ended several of them.
 *
 * A request can end each runner that begins to run it, and everything else on that
 * runner with it. Its caller sends it again, under another id and to any VM, so that
 * one request takes runner after runner: sixteen of them in fifteen seconds where this
 * was seen. What all its attempts have in common is its content. All VMs count the
 * runners that ended under one content; from the third on they refuse it for a while.
 *
 * A runner that ends takes innocent requests with it. They are told apart by three
 * things: a run that had brought answers for a while did not end its runner by being
 * begun; one that was completed since, or shortly before, ends no runner; and three
 * different runners must have ended under it.
 */

import { textHash } from '../hash';
import { Completions } from './completions';
import type { RunnerCrash, Suspect } from './types';

/** Runners that end under one request before it is refused: two can be chance where runners crash by themselves and callers repeat, three were never seen so. */
export const CRASH_LIMIT = 3;
/** Time for which ends count, in milliseconds: long beside the return of a caller, and in it operators can look. */
export const TTL_MS = 600_000;
/** Time from the first part of an answer within which the end of its runner is held against the request, in milliseconds: such a request ends runners as soon as they begin it. */
const YOUNG_MS = 2000;
/** Time after a completion in which ends do not count, in milliseconds: a request that is sent often has runs at several runners that crash together. */
const PROVEN_MS = 60_000;
/** By how much a completion must be later than the one known to be news, in milliseconds. */
const COMPLETION_STEP_MS = 10_000;
/** Requests kept. All runners of a failure domain may crash at once and leave thousands. */
const KEPT_MOST = 256;
/** Time after which one with a single end yields to another that somebody tells of, in milliseconds. It bounds what a storm of crashes has VMs tell each other to some 26 a second. */
const YIELD_MS = 10_000;

/** All times are steady times of this VM. */
interface Entry {
  /** Time of the latest end of each runner, by runner. */
  readonly ends: ReadonlyMap<string, number>;
  readonly completedAt: number;
}

/** Whether the end of a runner is held against a run of it. */
export function isAttributable(now: number, answeredAt: number | undefined): boolean {
  return answeredAt === undefined || now - answeredAt < YOUNG_MS;
}

/** Requests under which runners ended, by fingerprint. */
export class Quarantine {
  readonly #entries = new Map<string, Entry>();

  readonly #completions = new Completions(PROVEN_MS);

  /** A runner ended under a request. Gives what is to be told to others, if that is news. */
  recordCrash(now: number, fingerprint: string, runner: string): Suspect | undefined {
    return this.#takeOver(now, { fingerprint, ends: [{ runner, agoMs: 0 }] }, 0);
  }

  /** A runner ran a request to a whole answer. Gives what is to be told to others, if that is news. */
  recordCompletion(now: number, fingerprint: string): Suspect | undefined {
    this.#completions.add(now, fingerprint);
    if (!this.#entries.has(fingerprint)) return undefined;
    return this.#takeOver(now, { fingerprint, ends: [], completedAgoMs: 0 }, 0);
  }

  /** Takes over what another VM or the store tells. Gives what is to be told on, if that was news. */
  apply(now: number, suspect: Suspect): Suspect | undefined {
    return this.#takeOver(now, suspect, suspect.ends.length > 1 ? 0 : YIELD_MS);
  }

  /** @param yieldMs age from which another request makes room for it, in milliseconds */
  #takeOver(now: number, suspect: Suspect, yieldMs: number): Suspect | undefined {
    const { fingerprint } = suspect;
    const before = this.#entries.get(fingerprint);
    const after = merge(now, before, suspect, this.#completions.lastOf(now, fingerprint));
    if (after.ends.size === 0 || !isNews(before, after)) return undefined;
    if (!before && !this.#makeRoom(now, yieldMs)) return undefined;
    this.#entries.set(fingerprint, after);
    return toSuspect(now, fingerprint, after);
  }

  /** Until when a request is refused, as a time from now in milliseconds. Default: it is not. */
  refusedForMs(now: number, fingerprint: string): number | undefined {
    const entry = this.#entries.get(fingerprint);
    const endsAt = entry && refusedUntil(now, entry);
    return endsAt === undefined ? undefined : endsAt - now;
  }

  /** Runners that are known to have ended under a request. */
  crashCount(fingerprint: string): number {
    return this.#entries.get(fingerprint)?.ends.size ?? 0;
  }

  /** All that is known, to be told to another VM. */
  suspects(now: number): readonly Suspect[] {
    this.#expire(now);
    return [...this.#entries].map(([fingerprint, entry]) => toSuspect(now, fingerprint, entry));
  }

  /** Requests that are refused. */
  refused(now: number): readonly Suspect[] {
    return this.suspects(now).filter(
      ({ fingerprint }) => this.refusedForMs(now, fingerprint) !== undefined,
    );
  }

  /** The requests that are refused in short, for others to compare; empty if there are none. */
  digest(now: number): string {
    const prints = this.refused(now).map(({ fingerprint }) => fingerprint);
    return prints.length === 0 ? '' : textHash(prints.sort().join(' ')).toString(36);
  }

  #expire(now: number): void {
    for (const [fingerprint, { ends }] of this.#entries) {
      if ([...ends.values()].every((at) => now - at >= TTL_MS)) this.#entries.delete(fingerprint);
    }
  }

  /** Whether there is room for one more request; of those with the fewest ends the oldest makes it. */
  #makeRoom(now: number, yieldMs: number): boolean {
    if (this.#entries.size < KEPT_MOST) return true;
    const weakest = this.#weakest();
    if (!weakest) return true;
    const [fingerprint, { ends }] = weakest;
    if (now - Math.max(...ends.values()) < yieldMs) return false;
    this.#entries.delete(fingerprint);
    return true;
  }

  #weakest(): readonly [string, Entry] | undefined {
    let weakest: [string, Entry] | undefined;
    for (const entry of this.#entries) {
      if (!weakest || entry[1].ends.size < weakest[1].ends.size) weakest = entry;
      if (weakest[1].ends.size === 1) break;
    }
    return weakest;
  }
}

/** The latest ends of both, one for each runner, and the latest completion. */
function merge(
  now: number,
  before: Entry | undefined,
  { ends, completedAgoMs = Infinity }: Suspect,
  completedHereAt: number,
): Entry {
  const fresh = ends
    .filter(({ agoMs }) => agoMs < TTL_MS)
    .map(({ runner, agoMs }): [string, number] => [runner, now - agoMs]);
  // What is known goes last and stands: an end that comes back by another way is a little younger each time.
  const all = new Map([...fresh, ...(before?.ends ?? [])]);
  const latest = [...all].sort(([, a], [, b]) => b - a).slice(0, CRASH_LIMIT);
  const completedAt = Math.max(
    before?.completedAt ?? -Infinity,
    completedHereAt,
    now - completedAgoMs,
  );
  return { ends: new Map(latest), completedAt };
}

function isNews(before: Entry | undefined, after: Entry): boolean {
  if (!before) return true;
  if (after.completedAt - before.completedAt >= COMPLETION_STEP_MS) return true;
  return [...after.ends.keys()].some((runner) => !before.ends.has(runner));
}

/** Undefined if it is not refused now. */
function refusedUntil(now: number, { ends, completedAt }: Entry): number | undefined {
  const telling = [...ends.values()].filter((at) => at - completedAt > PROVEN_MS);
  if (telling.length < CRASH_LIMIT) return undefined;
  const until = Math.min(...telling) + TTL_MS;
  return until > now ? until : undefined;
}

function toSuspect(now: number, fingerprint: string, { ends, completedAt }: Entry): Suspect {
  const ago = (at: number): number => Math.max(0, Math.round(now - at));
  const told = [...ends].map(([runner, at]): RunnerCrash => ({ runner, agoMs: ago(at) }));
  return {
    fingerprint,
    ends: told,
    ...(Number.isFinite(completedAt) ? { completedAgoMs: ago(completedAt) } : {}),
  };
}
