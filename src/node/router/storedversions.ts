/**
 * Keeps in the store which software versions served each service lately. VMs that all start anew
 * know only the runners that are listed now: without the record, a version that has just gone
 * could not be told from one that never was, and that may happen to any service while no VM runs.
 *
 * A runner whose version the record lacks is held until some VM has written it. If its streams
 * began before, all VMs were killed and it was gone when they started again, its streams would go
 * on at another version.
 */

import type { Logger } from 'pino';

import { toFailure } from '../../core/failure';
import type { RunnerRecord } from '../../core/routing/directory';
import type { Runner } from '../../core/routing/types';
import type { VersionHistory } from '../../core/versions/history';
import { beginsStreams } from '../../core/versions/history';
import { lacksVersion } from '../../core/versions/record';
import type { VersionRecord, VersionsByService } from '../../core/versions/types';
import type { VersionArchive } from './types';
import { WriteDelay } from './writedelay';

/** Dependencies of the stored versions. */
export interface StoredVersionsContext {
  readonly versions: VersionHistory;
  readonly archive: VersionArchive;
  /** Whether this VM reads the store. */
  readonly readsStore: () => boolean;
  readonly random: () => number;
  /** Called when the record has changed: runners may be held no longer. */
  readonly onRecorded: () => void;
  readonly log: Logger;
}

/** Period of the check for changes, and shortest time between two writes, in milliseconds. */
const CHECK_MS = 500;

/** The record at one VM. */
export class StoredVersions {
  readonly #context: StoredVersionsContext;

  /** The record as it was last read or written; undefined if there is none. */
  #record: VersionRecord | undefined;

  /** Whether that is the present record: not before it was read, nor after another VM has changed it. */
  #isCurrent = false;

  readonly #delay: WriteDelay;

  #isSaving = false;

  #savedAt = -Infinity;

  readonly #timer: NodeJS.Timeout;

  constructor(context: StoredVersionsContext) {
    this.#context = context;
    this.#delay = new WriteDelay(context.random);
    this.#timer = setInterval(() => this.check(performance.now()), CHECK_MS).unref();
  }

  /** Stops the timer. */
  stop(): void {
    clearInterval(this.#timer);
  }

  /**
   * Applies the record that was read from the store.
   * @param record undefined if no VM has ever written one
   * @param isAll whether it is part of a full read, which goes on with the runners
   */
  learn(now: number, record: VersionRecord | undefined, isAll: boolean): void {
    // The answer to a write may come before the change itself.
    const isOlder = !isAll && (record?.revision ?? Infinity) < (this.#record?.revision ?? 0);
    if (isOlder) return;
    this.#record = record;
    this.#isCurrent = true;
    this.#learnVersions(now, false);
    this.#context.onRecorded();
  }

  /** Must be called at the end of a full read, when all listed runners are known. */
  listed(now: number): void {
    this.#learnVersions(now, true);
    this.check(now);
  }

  /** Marks the records of runners that are held. */
  hold(facts: readonly RunnerRecord[]): readonly RunnerRecord[] {
    return facts.map((fact) =>
      fact.runner && this.isHeld(fact.runner) ? { ...fact, held: true } : fact,
    );
  }

  /** Whether the record lacks the version of a runner. */
  isHeld(runner: Runner): boolean {
    return beginsStreams(runner) && lacksVersion(this.#record, runner);
  }

  /** Writes the record if the store lacks a change. */
  check(now: number): void {
    const { versions, readsStore } = this.#context;
    const served = versions.byService(now);
    const isLate = this.#delay.isDue(now, readsStore() && this.#lacksChange(now, served));
    if (this.#isSaving) return;
    if (isLate || (this.#isUrgent(served) && now - this.#savedAt >= CHECK_MS)) {
      this.#save(now, served);
    }
  }

  #lacksChange(now: number, served: VersionsByService): boolean {
    if (!this.#isCurrent) return false;
    const record = this.#record;
    // One that cannot be read is replaced by a VM that knows all versions.
    if (record && !record.versions) return this.#context.versions.isComplete(now);
    return JSON.stringify(served) !== JSON.stringify(record?.versions ?? {});
  }

  /** Whether the record lacks a version: VMs that start anew would not know of it. */
  #isUrgent(served: VersionsByService): boolean {
    if (!this.#isCurrent || !this.#context.readsStore()) return false;
    const sightings = Object.entries(served).flatMap(([service, versions]) =>
      versions.map((version) => ({ service, version })),
    );
    return this.#record === undefined
      ? sightings.length > 0
      : sightings.some((sighting) => lacksVersion(this.#record, sighting));
  }

  #learnVersions(now: number, isAll: boolean): void {
    const { versions } = this.#context;
    // A VM that knows all versions itself also knows when they were last seen.
    if (!this.#isCurrent || versions.isComplete(now)) return;
    if (!this.#record) versions.learn(now, [], isAll);
    else if (this.#record.versions) versions.learnRecord(now, this.#record.versions, isAll);
  }

  #save(now: number, versions: VersionsByService): void {
    const { archive, log } = this.#context;
    this.#isSaving = true;
    this.#savedAt = now;
    archive
      .save(versions, this.#record?.revision ?? 0)
      .then((revision) => this.#saved(versions, revision))
      .catch((error) => log.warn(toFailure(error).line))
      .finally(() => {
        this.#isSaving = false;
      });
  }

  /** @param revision undefined if another VM had changed the record, which this one will read then */
  #saved(versions: VersionsByService, revision: number | undefined): void {
    const { log, onRecorded } = this.#context;
    if (revision === undefined) {
      this.#isCurrent = false;
      log.info('Another VM has saved which software versions serve.');
      return;
    }
    log.info({ versions, revision }, 'Saved which software versions serve.');
    if (revision < (this.#record?.revision ?? 0)) return;
    this.#record = { revision, versions };
    onRecorded();
  }
}
