/** Crashes under one fingerprint: how reports are merged, and which crashes count against it. */

import { isPart } from '../fingerprint';
import type { RunnerCrash, Suspect } from './types';

/** Time for which crashes count, in milliseconds: much longer than callers take to retry, and enough for operators to investigate. */
export const TTL_MS = 600_000;
/** Number of crashed runners from which a fingerprint is quarantined. Two can be coincidence if runners crash on their own and callers retry; three have not been observed in that case. */
export const CRASH_LIMIT = 3;
/** The same if the runs had produced output for a while when their runners crashed. */
const LATE_CRASH_LIMIT = 5;
/** Number of crashed runners from which requests with a prompt part run one at a time. */
const TRIAL_LIMIT = 2;
/** Maximum number of crashes kept for one fingerprint. */
const MAX_CRASHES = 32;
/** Maximum number of crashes in one report. */
const MAX_REPORTED_CRASHES = 8;
/** Time before a crash in which a completion clears it, in milliseconds: requests that share a part run at many runners, which may crash together. */
const COMPLETION_WINDOW_MS = 2000;
/** Minimum time between two crashes that count separately against a prompt part, in milliseconds: a failure domain that loses power crashes many runners at once, and requests that share the part ran on several of them. */
const SEPARATION_MS = 100;

/** The crash of one runner. */
interface Crash {
  /** Time by the monotonic clock of this VM. Reports age while they wait to be sent, so that it may be too late by seconds. */
  readonly at: number;
  readonly late: boolean;
  readonly cleared: boolean;
}

/** What is known of one fingerprint: the crash of each runner, by instance id. */
export type CrashRecord = ReadonlyMap<string, Crash>;

/** A crash that counts, and the runner's instance id. */
type StandingCrash = readonly [runner: string, crash: Crash];

/** Whether a completion clears a crash: it was later, or shortly before. */
function clears(completedAt: number, crashedAt: number): boolean {
  return crashedAt - completedAt <= COMPLETION_WINDOW_MS;
}

/**
 * Adds reported crashes to a record, if there is room. A crash that is cleared by any report stays so.
 * @param completedAt time of the last completion that this VM knows by itself
 */
export function mergeRecord(
  now: number,
  before: CrashRecord,
  { ends, completedAgoMs = Infinity }: Suspect,
  completedAt: number,
): CrashRecord {
  const after = new Map(before);
  for (const { runner, agoMs, late = false, cleared } of ends) {
    const known = before.get(runner);
    // Ages within one report are comparable, those of several are not.
    const isCleared = cleared ?? clears(-completedAgoMs, -agoMs);
    const at = known?.at ?? now - agoMs;
    const crash = { at, late: known?.late ?? late, cleared: known?.cleared || isCleared };
    if (known || (agoMs < TTL_MS && after.size < MAX_CRASHES)) after.set(runner, crash);
  }
  for (const [runner, crash] of after) {
    if (clears(completedAt, crash.at)) after.set(runner, { ...crash, cleared: true });
  }
  return after;
}

/** The record after a run was found sound: no crash so far counts. */
export function clearRecord(before: CrashRecord): CrashRecord {
  return new Map([...before].map(([runner, crash]) => [runner, { ...crash, cleared: true }]));
}

/** Whether other VMs need to know the changes of a record: crashes that count, or that no longer do. */
export function hasChanged(now: number, before: CrashRecord, after: CrashRecord): boolean {
  const hasStood = ([runner, { cleared }]: StandingCrash): boolean =>
    cleared && before.get(runner)?.cleared === false;
  return (
    standingCrashes(now, after).some(([runner]) => !before.has(runner)) || [...after].some(hasStood)
  );
}

/** The crashes that count, the earliest first. */
export function standingCrashes(now: number, record: CrashRecord): readonly StandingCrash[] {
  return [...record]
    .filter(([, { at, cleared }]) => !cleared && now - at < TTL_MS)
    .sort(([, a], [, b]) => a.at - b.at);
}

/** When the quarantine of a fingerprint ends; undefined if it is not in quarantine. */
export function quarantinedUntil(
  now: number,
  fingerprint: string,
  record: CrashRecord,
): number | undefined {
  const standing = standingCrashes(now, record);
  const all = separateTimes(fingerprint, standing);
  const early = separateTimes(
    fingerprint,
    standing.filter(([, { late }]) => !late),
  );
  const since = early.at(-CRASH_LIMIT) ?? all.at(-LATE_CRASH_LIMIT);
  return since === undefined ? undefined : since + TTL_MS;
}

/** Whether crashes recur under a fingerprint: requests with such a prompt part run one at a time until one is found sound, or the part is in quarantine. */
export function isRecurring(now: number, fingerprint: string, record: CrashRecord): boolean {
  return separateTimes(fingerprint, standingCrashes(now, record)).length >= TRIAL_LIMIT;
}

/** The times of crashes that count separately. Attempts of one request follow each other, so that each of their crashes does. */
function separateTimes(fingerprint: string, crashes: readonly StandingCrash[]): readonly number[] {
  const times = crashes.map(([, { at }]) => at);
  if (!isPart(fingerprint)) return times;
  const separate: number[] = [];
  for (const at of times) {
    if (at - (separate.at(-1) ?? -Infinity) >= SEPARATION_MS) separate.push(at);
  }
  return separate;
}

/** Encodes a record for other VMs. */
export function toSuspect(now: number, fingerprint: string, record: CrashRecord): Suspect {
  const latest = [...record].sort(([, a], [, b]) => b.at - a.at).slice(0, MAX_REPORTED_CRASHES);
  const ends = latest.map(([runner, { at, late, cleared }]): RunnerCrash => ({
    runner,
    agoMs: Math.max(0, Math.round(now - at)),
    ...(late ? { late } : {}),
    cleared,
  }));
  // For programs that do not know `cleared`.
  const lastCleared = ends.find(({ cleared }) => cleared);
  return { fingerprint, ends, ...(lastCleared ? { completedAgoMs: lastCleared.agoMs } : {}) };
}
