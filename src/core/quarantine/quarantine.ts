/**
 * Quarantine for requests that crash the runners that process them.
 *
 * A request can crash each runner that starts it, together with all other work on that
 * runner. Its caller retries under another id and at any VM, so a single request can
 * crash one runner after the other: sixteen within fifteen seconds in one incident. The
 * attempts have their content in common. All VMs count the runners that crashed while
 * processing the same content; from the third crash on they refuse it for a limited time.
 *
 * A crash also affects innocent requests on the same runner. Three rules keep them out: a
 * run that had produced output for some time did not crash its runner by being started; a
 * request that was completed since the crash or shortly before it does not crash runners;
 * and three different runners must have crashed.
 */

import { textHash } from '../hash';
import { Completions } from './completions';
import type { RunnerCrash, Suspect } from './types';

/** Number of crashed runners from which a request is refused. Two can be coincidence if runners crash on their own and callers retry; three have not been observed in that case. */
export const CRASH_LIMIT = 3;
/** Time for which crashes count, in milliseconds: much longer than callers take to retry, and enough for operators to investigate. */
export const TTL_MS = 600_000;
/** Time from the first output of a run within which a crash of its runner is attributed to it, in milliseconds: such requests crash runners as soon as they start. */
const EARLY_CRASH_MS = 2000;
/** Time after a completion in which crashes do not count, in milliseconds: a frequent request runs at several runners that may crash together. */
const COMPLETION_TTL_MS = 60_000;
/** Minimum advance of the completion time that is worth spreading, in milliseconds. */
const MIN_COMPLETION_ADVANCE_MS = 10_000;
/** Maximum number of requests kept. If all runners of a failure domain crash at once, they leave thousands. */
const MAX_ENTRIES = 256;
/** Minimum age of an entry with a single crash before one reported by another VM may evict it, in milliseconds. It limits the gossip during mass crashes to some 26 updates a second. */
const MIN_EVICTION_AGE_MS = 10_000;

/** All times are by the monotonic clock of this VM. */
interface Entry {
  /** Time of the latest crash of each runner, by instance id. */
  readonly ends: ReadonlyMap<string, number>;
  readonly completedAt: number;
}

/** Whether the crash of a runner is attributed to a run on it, by the time of the run's first output if it had any. */
export function isAttributable(now: number, answeredAt: number | undefined): boolean {
  return answeredAt === undefined || now - answeredAt < EARLY_CRASH_MS;
}

/** Requests that runners crashed on, by fingerprint. */
export class Quarantine {
  readonly #entries = new Map<string, Entry>();

  readonly #completions = new Completions(COMPLETION_TTL_MS);

  /** Records that a runner crashed while processing a request. Returns the update to spread; undefined if nothing changed. */
  recordCrash(now: number, fingerprint: string, runner: string): Suspect | undefined {
    return this.#merge(now, { fingerprint, ends: [{ runner, agoMs: 0 }] }, 0);
  }

  /** Records that a runner completed a request. Returns the update to spread; undefined if nothing changed. */
  recordCompletion(now: number, fingerprint: string): Suspect | undefined {
    this.#completions.add(now, fingerprint);
    if (!this.#entries.has(fingerprint)) return undefined;
    return this.#merge(now, { fingerprint, ends: [], completedAgoMs: 0 }, 0);
  }

  /** Merges a report of another VM or the store. Returns the update to spread; undefined if nothing changed. */
  apply(now: number, suspect: Suspect): Suspect | undefined {
    return this.#merge(now, suspect, suspect.ends.length > 1 ? 0 : MIN_EVICTION_AGE_MS);
  }

  /** @param minAgeMs age from which another entry may be evicted, in milliseconds */
  #merge(now: number, suspect: Suspect, minAgeMs: number): Suspect | undefined {
    const { fingerprint } = suspect;
    const before = this.#entries.get(fingerprint);
    const after = merge(now, before, suspect, this.#completions.lastOf(now, fingerprint));
    if (after.ends.size === 0 || !hasChanged(before, after)) return undefined;
    if (!before && !this.#evict(now, minAgeMs)) return undefined;
    this.#entries.set(fingerprint, after);
    return toSuspect(now, fingerprint, after);
  }

  /** How much longer a request is refused, in milliseconds; undefined if it is not refused. */
  refusedForMs(now: number, fingerprint: string): number | undefined {
    const entry = this.#entries.get(fingerprint);
    const endsAt = entry && refusedUntil(now, entry);
    return endsAt === undefined ? undefined : endsAt - now;
  }

  /** Number of runners known to have crashed on a request, at most `CRASH_LIMIT`. */
  crashCount(fingerprint: string): number {
    return this.#entries.get(fingerprint)?.ends.size ?? 0;
  }

  /** All entries, to be sent to another VM. */
  suspects(now: number): readonly Suspect[] {
    this.#expire(now);
    return [...this.#entries].map(([fingerprint, entry]) => toSuspect(now, fingerprint, entry));
  }

  /** The requests that are refused now. */
  refused(now: number): readonly Suspect[] {
    return this.suspects(now).filter(
      ({ fingerprint }) => this.refusedForMs(now, fingerprint) !== undefined,
    );
  }

  /** Digest of the refused requests, to be compared between VMs; empty if there are none. */
  digest(now: number): string {
    const prints = this.refused(now).map(({ fingerprint }) => fingerprint);
    return prints.length === 0 ? '' : textHash(prints.sort().join(' ')).toString(36);
  }

  #expire(now: number): void {
    for (const [fingerprint, { ends }] of this.#entries) {
      if ([...ends.values()].every((at) => now - at >= TTL_MS)) this.#entries.delete(fingerprint);
    }
  }

  /** Evicts an entry if the limit is reached: the oldest of those with the fewest crashes. Returns whether there is capacity for one more. */
  #evict(now: number, minAgeMs: number): boolean {
    if (this.#entries.size < MAX_ENTRIES) return true;
    const weakest = this.#weakest();
    if (!weakest) return true;
    const [fingerprint, { ends }] = weakest;
    if (now - Math.max(...ends.values()) < minAgeMs) return false;
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

/** Combines the latest crashes, one per runner, and the latest completion. */
function merge(
  now: number,
  before: Entry | undefined,
  { ends, completedAgoMs = Infinity }: Suspect,
  completedHereAt: number,
): Entry {
  const reported = ends
    .filter(({ agoMs }) => agoMs < TTL_MS)
    .map(({ runner, agoMs }): [string, number] => [runner, now - agoMs]);
  // Known times override reported ones: a crash reported back over another path looks slightly more recent each time.
  const all = new Map([...reported, ...(before?.ends ?? [])]);
  const latest = [...all].sort(([, a], [, b]) => b - a).slice(0, CRASH_LIMIT);
  const completedAt = Math.max(
    before?.completedAt ?? -Infinity,
    completedHereAt,
    now - completedAgoMs,
  );
  return { ends: new Map(latest), completedAt };
}

function hasChanged(before: Entry | undefined, after: Entry): boolean {
  if (!before) return true;
  if (after.completedAt - before.completedAt >= MIN_COMPLETION_ADVANCE_MS) return true;
  return [...after.ends.keys()].some((runner) => !before.ends.has(runner));
}

/** When the refusal ends; undefined if the request is not refused now. */
function refusedUntil(now: number, { ends, completedAt }: Entry): number | undefined {
  const counted = [...ends.values()].filter((at) => at - completedAt > COMPLETION_TTL_MS);
  if (counted.length < CRASH_LIMIT) return undefined;
  const until = Math.min(...counted) + TTL_MS;
  return until > now ? until : undefined;
}

function toSuspect(now: number, fingerprint: string, { ends, completedAt }: Entry): Suspect {
  const ago = (at: number): number => Math.max(0, Math.round(now - at));
  const crashes = [...ends].map(([runner, at]): RunnerCrash => ({ runner, agoMs: ago(at) }));
  return {
    fingerprint,
    ends: crashes,
    ...(Number.isFinite(completedAt) ? { completedAgoMs: ago(completedAt) } : {}),
  };
}
