/**
 * Which software versions served each service lately.
 *
 * Where there was only one, it began every stream that a caller may still hold, and nothing
 * needs to be recorded or asked. That inference holds only as far back as this VM, or one that
 * told it, has known all runners.
 */

import type { Runner } from '../routing/types';
import type { VersionSighting, VersionsByService } from './types';
import { UNKNOWN_VERSION } from './types';

/** Time for which versions are remembered at least after their last runner is gone, in milliseconds: callers may come back that long. */
export const MIN_RETENTION_MS = 60_000;

interface Presence {
  /** Number of listed runners. */
  runners: number;
  /** Whether this VM has seen one itself. */
  isSeen: boolean;
  /** When the last one of them was removed; minus infinity if none was. */
  goneAt: number;
}

/** Whether a runner begins streams. */
export function beginsStreams(runner: Runner | undefined): runner is Runner {
  return runner !== undefined && runner.role !== 'prefill';
}

/** Versions by service. */
export class VersionHistory {
  readonly #services = new Map<string, Map<string, Presence>>();

  /** Current layouts of groups of routes. */
  #layouts: ReadonlyMap<string, string> = new Map();

  /** Listings whose runners restarted with another version. */
  readonly #restarted = new Set<string>();

  /** Since when all runners have been known; infinite before the first one is. */
  #completeSince = Infinity;

  #retentionMs = MIN_RETENTION_MS;

  /** Time for which versions are remembered after their last runner is gone, in milliseconds. */
  get retentionMs(): number {
    return this.#retentionMs;
  }

  /** @param longestStreamMs time after which no stream goes on any more, in milliseconds */
  setLongestStream(longestStreamMs: number): void {
    // Twice, since a caller may take a stream up again at the very end of its first attempt.
    this.#retentionMs = Math.max(MIN_RETENTION_MS, 2 * longestStreamMs);
  }

  /** Records that the listed state of a runner has changed; undefined if it is not listed. */
  changed(now: number, before: Runner | undefined, after: Runner | undefined): void {
    this.#completeSince = Math.min(this.#completeSince, now);
    if (before && after && before.version !== after.version) this.#restarted.add(after.listing);
    if (beginsStreams(before)) this.#leave(now, before.service, before.version);
    if (beginsStreams(after)) this.#enter(after.service, after.version);
  }

  /**
   * Records the layouts of groups of routes, which are remembered like the version of a service.
   * @param layouts digests by group
   */
  routesChanged(now: number, layouts: ReadonlyMap<string, string>): void {
    for (const [group, layout] of this.#layouts) {
      if (layouts.get(group) !== layout) this.#leave(now, group, layout);
    }
    for (const [group, layout] of layouts) {
      if (this.#layouts.get(group) !== layout) this.#enter(group, layout);
    }
    this.#layouts = layouts;
  }

  /** Whether a group of routes lately had a layout that this VM has not seen. */
  hadOtherLayout(now: number, group: string): boolean {
    return this.versionsOf(now, group).some((layout) => !this.#presenceOf(group, layout).isSeen);
  }

  /** The listings whose runners restarted with another version since the last call. */
  takeRestarted(): readonly string[] {
    const listings = [...this.#restarted];
    this.#restarted.clear();
    return listings;
  }

  /** Versions that served a service lately. */
  versionsOf(now: number, service: string): readonly string[] {
    const versions = this.#services.get(service);
    if (!versions) return [];
    for (const [version, { runners, goneAt }] of versions) {
      if (runners <= 0 && now - goneAt > this.#retentionMs) versions.delete(version);
    }
    return [...versions.keys()];
  }

  /** Whether all versions that served lately are known. */
  isComplete(now: number): boolean {
    return now - this.#completeSince >= this.#retentionMs;
  }

  /** Whether the streams of a service may have begun with one of several versions. */
  isAmbiguous(now: number, service: string): boolean {
    return !this.isComplete(now) || this.versionsOf(now, service).length > 1;
  }

  /** The versions that served each service lately, in a fixed order. */
  byService(now: number): VersionsByService {
    const served = [...this.#services.keys()]
      .sort()
      .map((service) => [service, [...this.versionsOf(now, service)].sort()] as const)
      .filter(([, versions]) => versions.length > 0);
    return Object.fromEntries(served);
  }

  /** All versions that served lately, for another VM. */
  sightings(now: number): readonly VersionSighting[] {
    return [...this.#services.keys()].flatMap((service) =>
      this.versionsOf(now, service).map((version) => {
        const { runners, goneAt } = this.#presenceOf(service, version);
        return { service, version, agoMs: runners > 0 ? 0 : now - goneAt };
      }),
    );
  }

  /**
   * Adds the versions that another VM or the store knows.
   * @param isComplete whether there were no others lately
   */
  learn(now: number, sightings: readonly VersionSighting[], isComplete: boolean): void {
    for (const { service, version, agoMs } of sightings) {
      const presence = this.#presenceOf(service, version);
      presence.goneAt = Math.max(presence.goneAt, now - agoMs);
    }
    if (isComplete) this.#completeSince = -Infinity;
  }

  /**
   * Adds the versions of the record in the store. A service that it lacks may have had any others
   * before its listed ones.
   * @param isComplete whether all listed runners are known
   */
  learnRecord(now: number, record: VersionsByService, isComplete: boolean): void {
    const recorded = Object.entries(record).flatMap(([service, versions]) =>
      versions.map((version) => ({ service, version, agoMs: 0 })),
    );
    const unrecorded = Object.keys(this.byService(now))
      .filter((service) => record[service] === undefined)
      .map((service) => ({ service, version: UNKNOWN_VERSION, agoMs: 0 }));
    this.learn(now, [...recorded, ...unrecorded], isComplete);
  }

  #enter(service: string, version: string): void {
    const presence = this.#presenceOf(service, version);
    presence.runners += 1;
    presence.isSeen = true;
  }

  #leave(now: number, service: string, version: string): void {
    const presence = this.#presenceOf(service, version);
    presence.runners -= 1;
    presence.goneAt = now;
  }

  #presenceOf(service: string, version: string): Presence {
    const versions = this.#services.get(service) ?? new Map<string, Presence>();
    this.#services.set(service, versions);
    const known = versions.get(version) ?? { runners: 0, isSeen: false, goneAt: -Infinity };
    versions.set(version, known);
    return known;
  }
}
