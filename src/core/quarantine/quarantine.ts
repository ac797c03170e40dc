/**
 * Quarantine for requests and prompt parts that crash the runners that process them.
 *
 * A request can crash each runner that starts it, together with all other work on that
 * runner. Its caller retries under another id and at any VM; or many requests, of which no two
 * are alike, share a part of their prompts that does it. So one request or part can crash one
 * runner after the other: 25 in half a minute in one incident. All VMs count the runners that
 * crashed under each fingerprint: that of the whole request, and those of its prompt parts.
 *
 * A crash also accuses what is innocent: other requests on the same runner, and the other parts
 * of the request. These rules keep them out:
 * - a run that had produced output for some time did not crash its runner by being started;
 * - a run that goes on beyond that time, or is answered whole, clears its fingerprints for all VMs;
 * - three runners must have crashed, for a part at different moments;
 * - a request is refused only if it has all shared parts that one of these crashes accuses, or all
 *   that recurs among what two of them accuse. One that has only some of it may run, alone: it
 *   crashes its runner, or clears what it has.
 */

import { isPart, isSharedPart, ownFingerprints } from '../fingerprint';
import { textHash } from '../hash';
import { Completions } from './completions';
import type { CrashRecord } from './record';
import {
  clearRecord,
  CRASH_LIMIT,
  hasChanged,
  isRecurring,
  mergeRecord,
  quarantinedUntil,
  standingCrashes,
  toSuspect,
  TTL_MS,
} from './record';
import type { Suspect, Verdict } from './types';

/** Time from the first output of a run within which a crash of its runner is attributed to it, and after which it is found sound, in milliseconds: such requests crash runners as soon as they start. */
export const EARLY_CRASH_MS = 2000;
/** Time from the first output of a run after which a crash counts less, in milliseconds. */
const IMMEDIATE_CRASH_MS = 250;
/** Time for which a completion is remembered, in milliseconds: gossip of a crash arrives well before. */
const COMPLETION_TTL_MS = 60_000;
/** Maximum number of fingerprints kept. If all runners of a failure domain crash at once, they leave thousands. */
const MAX_RECORDS = 256;
/** Minimum age of a record with a single crash before one reported by another VM may evict it, in milliseconds. It limits the gossip during mass crashes to some 26 updates a second. */
const MIN_EVICTION_AGE_MS = 10_000;
/** Number of crashes that accuse nothing else that recurs, from which a request is like those that crashed runners. */
const RESEMBLED_CRASHES = 2;
/** Maximum number of prompt parts of one run that a crash accuses. */
const MAX_ACCUSED_PARTS = 32;

/** Whether the crash of a runner is attributed to a run on it, by the time of the run's first output if it had any. */
export function isAttributable(now: number, answeredAt: number | undefined): boolean {
  return answeredAt === undefined || now - answeredAt < EARLY_CRASH_MS;
}

/** Whether a run had produced output for a while; see `RunnerCrash.late`. */
export function isLate(now: number, answeredAt: number | undefined): boolean {
  return answeredAt !== undefined && now - answeredAt >= IMMEDIATE_CRASH_MS;
}

/** Requests and prompt parts that runners crashed on, by fingerprint. */
export class Quarantine {
  readonly #records = new Map<string, CrashRecord>();

  readonly #completions = new Completions(COMPLETION_TTL_MS);

  /** Whether no crash is known. */
  get isEmpty(): boolean {
    return this.#records.size === 0;
  }

  /** Records that a runner crashed while processing a request. Returns the update to spread; undefined if nothing changed. */
  recordCrash(now: number, fingerprint: string, runner: string, late = false): Suspect | undefined {
    const end = { runner, agoMs: 0, ...(late ? { late } : {}) };
    return this.#merge(now, { fingerprint, ends: [end] }, 0);
  }

  /** Records that a run was found not to crash its runner. Returns the update to spread; undefined if nothing changed. */
  recordCompletion(now: number, fingerprint: string): Suspect | undefined {
    this.#completions.add(now, fingerprint);
    const before = this.#records.get(fingerprint);
    if (!before) return undefined;
    const update = this.#replace(now, fingerprint, before, clearRecord(before));
    return update && { ...update, completedAgoMs: 0 };
  }

  /** Merges a report of another VM or the store. Returns the update to spread; undefined if nothing changed. */
  apply(now: number, suspect: Suspect): Suspect | undefined {
    return this.#merge(now, suspect, suspect.ends.length > 1 ? 0 : MIN_EVICTION_AGE_MS);
  }

  /** @param minAgeMs age from which another record may be evicted, in milliseconds */
  #merge(now: number, suspect: Suspect, minAgeMs: number): Suspect | undefined {
    const { fingerprint } = suspect;
    const known = this.#records.get(fingerprint);
    const before = known ?? new Map();
    const after = mergeRecord(now, before, suspect, this.#completions.lastOf(now, fingerprint));
    if (after.size === 0) return undefined;
    if (!known && !this.#evict(now, minAgeMs)) return undefined;
    return this.#replace(now, fingerprint, before, after);
  }

  #replace(
    now: number,
    fingerprint: string,
    before: CrashRecord,
    after: CrashRecord,
  ): Suspect | undefined {
    this.#records.set(fingerprint, after);
    return hasChanged(now, before, after) ? toSuspect(now, fingerprint, after) : undefined;
  }

  /** How much longer a fingerprint is in quarantine, in milliseconds; undefined if it is not. */
  refusedForMs(now: number, fingerprint: string): number | undefined {
    const record = this.#records.get(fingerprint);
    const until = record && quarantinedUntil(now, fingerprint, record);
    return until === undefined || until <= now ? undefined : until - now;
  }

  /** What may become of a request, by its fingerprints. */
  verdict(now: number, fingerprints: readonly string[]): Verdict {
    if (this.isEmpty) return { kind: 'allowed' };
    const all = new Set(fingerprints);
    for (const fingerprint of all) {
      const forMs = this.refusedForMs(now, fingerprint);
      if (forMs !== undefined && this.#resemblesCrashed(now, fingerprint, all)) {
        return { kind: 'refused', fingerprint, forMs };
      }
    }
    const recurring = [...all].filter((one) => isPart(one) && this.#isRecurring(now, one));
    if (recurring.length === 0) return { kind: 'allowed' };
    return { kind: 'trial', fingerprints: recurring };
  }

  /** Number of runners known to have crashed under a fingerprint, at most `CRASH_LIMIT`. */
  crashCount(fingerprint: string): number {
    return Math.min(CRASH_LIMIT, this.#records.get(fingerprint)?.size ?? 0);
  }

  /** All records, to be sent to another VM. */
  suspects(now: number): readonly Suspect[] {
    this.#expire(now);
    return [...this.#records].map(([fingerprint, record]) => toSuspect(now, fingerprint, record));
  }

  /** What is in quarantine now. */
  refused(now: number): readonly Suspect[] {
    return this.suspects(now).filter(
      ({ fingerprint }) => this.refusedForMs(now, fingerprint) !== undefined,
    );
  }

  /** Digest of what is in quarantine or runs on trial, to be compared between VMs; empty if there is none. */
  digest(now: number): string {
    this.#expire(now);
    const prints = [...this.#records.keys()].filter(
      (one) =>
        this.refusedForMs(now, one) !== undefined || (isPart(one) && this.#isRecurring(now, one)),
    );
    return prints.length === 0 ? '' : textHash(prints.sort().join(' ')).toString(36);
  }

  /**
   * The fingerprints of a request that a crash accuses. If its prompt has many parts, those that
   * are accused already come first, and the crash of each runner picks others of the rest.
   */
  accused(now: number, fingerprints: readonly string[], runner: string): readonly string[] {
    const own = ownFingerprints(fingerprints);
    const parts = own.filter(isPart);
    if (parts.length <= MAX_ACCUSED_PARTS) return own;
    const rankOf = (one: string): number => (this.#standing(now, one).length > 0 ? -1 : 0);
    const order = new Map(parts.map((one) => [one, rankOf(one) || textHash(`${runner} ${one}`)]));
    const chosen = [...parts].sort((a, b) => (order.get(a) ?? 0) - (order.get(b) ?? 0));
    const whole = own.filter((one) => !isPart(one));
    return [...whole, ...chosen.slice(0, MAX_ACCUSED_PARTS)];
  }

  /** Whether a request is like those that crashed runners under one of its fingerprints. */
  #resemblesCrashed(now: number, fingerprint: string, all: ReadonlySet<string>): boolean {
    const accused = this.#standing(now, fingerprint).map((runner) => this.#accusedBy(now, runner));
    const hasAll = (some: readonly string[]): boolean => some.every((one) => all.has(one));
    if (accused.some((some) => hasAll(some.filter(isSharedPart)))) return true;
    const recurring = accused.map((some) => some.filter((one) => this.#isRecurring(now, one)));
    return recurring.filter(hasAll).length >= RESEMBLED_CRASHES;
  }

  /** The fingerprints against which the crash of a runner counts. */
  #accusedBy(now: number, runner: string): readonly string[] {
    return [...this.#records]
      .filter(([, record]) => record.has(runner))
      .map(([fingerprint]) => fingerprint)
      .filter((one) => this.#standing(now, one).includes(runner));
  }

  #isRecurring(now: number, fingerprint: string): boolean {
    const record = this.#records.get(fingerprint);
    return record !== undefined && isRecurring(now, fingerprint, record);
  }

  /** Ids of the runners whose crashes count against a fingerprint. */
  #standing(now: number, fingerprint: string): readonly string[] {
    const record = this.#records.get(fingerprint);
    return record ? standingCrashes(now, record).map(([runner]) => runner) : [];
  }

  #expire(now: number): void {
    for (const [fingerprint, record] of this.#records) {
      const isOld = [...record.values()].every(({ at }) => now - at >= TTL_MS);
      if (isOld) this.#records.delete(fingerprint);
    }
  }

  /** Evicts a record if the limit is reached: the oldest of those with the fewest crashes that count. Returns whether there is capacity for one more. */
  #evict(now: number, minAgeMs: number): boolean {
    if (this.#records.size < MAX_RECORDS) return true;
    const weakest = this.#weakest(now);
    if (!weakest) return true;
    const [fingerprint, record] = weakest;
    const lastAt = Math.max(...[...record.values()].map(({ at }) => at));
    const isCleared = standingCrashes(now, record).length === 0;
    if (!isCleared && now - lastAt < minAgeMs) return false;
    this.#records.delete(fingerprint);
    return true;
  }

  #weakest(now: number): readonly [string, CrashRecord] | undefined {
    let weakest: [string, CrashRecord] | undefined;
    let fewest = Infinity;
    for (const entry of this.#records) {
      const count = standingCrashes(now, entry[1]).length;
      if (count < fewest) {
        weakest = entry;
        fewest = count;
      }
      if (fewest === 0) break;
    }
    return weakest;
  }
}
