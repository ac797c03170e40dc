/** Crashes and completions of one fingerprint: how reports are merged, and which crashes count against it. */

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
export const MAX_CRASHES = 8;
/** Time before a completion in which crashes do not count, and after it as well, in milliseconds: requests that share a part run at many runners, which may crash together. */
const COMPLETION_WINDOW_MS = 2000;
/** Minimum time between two crashes that count separately against a prompt part, in milliseconds: a failure domain that loses power crashes many runners at once, and requests that share the part ran on several of them. */
const SEPARATION_MS = 100;
/** Minimum advance of the completion time that is worth spreading, in milliseconds. */
const MIN_COMPLETION_ADVANCE_MS = 10_000;

/** The crash of one runner; times are by the monotonic clock of this VM. */
interface Crash {
  readonly at: number;
  readonly late: boolean;
}

/** What is known of one fingerprint. */
export interface CrashRecord {
  /** The latest crash of each runner, by instance id. */
  readonly crashes: ReadonlyMap<string, Crash>;
  /** Time of the last completion; minus infinity if none is known. */
  readonly completedAt: number;
}

/** A crash that counts, and the runner's instance id. */
type StandingCrash = readonly [runner: string, crash: Crash];

/** Combines the latest crashes, one per runner, and the latest completion. */
export function mergeRecord(
  now: number,
  before: CrashRecord | undefined,
  { ends, completedAgoMs = Infinity }: Suspect,
  completedHereAt: number,
): CrashRecord {
  const reported = ends
    .filter(({ agoMs }) => agoMs < TTL_MS)
    .map(({ runner, agoMs, late = false }): [string, Crash] => [runner, { at: now - agoMs, late }]);
  // Known crashes override reported ones: one reported back over another path looks slightly more recent each time.
  const all = new Map([...reported, ...(before?.crashes ?? [])]);
  const latest = [...all].sort(([, a], [, b]) => b.at - a.at).slice(0, MAX_CRASHES);
  const completedAt = Math.max(
    before?.completedAt ?? -Infinity,
    completedHereAt,
    now - completedAgoMs,
  );
  return { crashes: new Map(latest), completedAt };
}

/** Whether a merged record has something that other VMs need to know. */
export function hasChanged(
  now: number,
  before: CrashRecord | undefined,
  after: CrashRecord,
): boolean {
  if (!before) return true;
  if (after.completedAt - before.completedAt >= MIN_COMPLETION_ADVANCE_MS) return true;
  const standing = standingCrashes(now, after);
  const isCleared = standing.length < standingCrashes(now, before).length;
  return isCleared || standing.some(([runner]) => !before.crashes.has(runner));
}

/** The crashes that count: no run was found sound since, or shortly before. The earliest first. */
export function standingCrashes(
  now: number,
  { crashes, completedAt }: CrashRecord,
): readonly StandingCrash[] {
  return [...crashes]
    .filter(([, { at }]) => now - at < TTL_MS && at - completedAt > COMPLETION_WINDOW_MS)
    .sort(([, a], [, b]) => a.at - b.at);
}

/** When the quarantine of a fingerprint ends; undefined if it is not in quarantine. */
export function quarantinedUntil(
  now: number,
  fingerprint: string,
  record: CrashRecord,
): number | undefined {
  const all = separateTimes(fingerprint, standingCrashes(now, record));
  const early = separateTimes(
    fingerprint,
    standingCrashes(now, record).filter(([, { late }]) => !late),
  );
  const since = early.at(-CRASH_LIMIT) ?? all.at(-LATE_CRASH_LIMIT);
  return since === undefined ? undefined : since + TTL_MS;
}

/** Whether crashes with a prompt part recur, so that requests with it run one at a time until one is found sound or it is quarantined. */
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
export function toSuspect(
  now: number,
  fingerprint: string,
  { crashes, completedAt }: CrashRecord,
): Suspect {
  const ago = (at: number): number => Math.max(0, Math.round(now - at));
  const ends = [...crashes].map(([runner, { at, late }]): RunnerCrash => ({
    runner,
    agoMs: ago(at),
    ...(late ? { late } : {}),
  }));
  return {
    fingerprint,
    ends,
    ...(Number.isFinite(completedAt) ? { completedAgoMs: ago(completedAt) } : {}),
  };
}
