/**
 * Keeps in the store which services several software versions served lately. VMs that all start
 * anew know only the runners that are listed now: without the record, a version that has just gone
 * could not be told from one that never was.
 */

import type { Logger } from 'pino';

import { toFailure } from '../../core/failure';
import type { VersionHistory } from '../../core/versions/history';
import type { VersionsByService } from '../../core/versions/types';
import type { VersionArchive } from './types';
import { WriteDelay } from './writedelay';

/** Dependencies of the stored versions. */
export interface StoredVersionsContext {
  readonly versions: VersionHistory;
  readonly archive: VersionArchive;
  /** Whether this VM reads the store. */
  readonly readsStore: () => boolean;
  readonly random: () => number;
  readonly log: Logger;
}

/** Period of the check for changes, in milliseconds. */
const CHECK_MS = 500;

/** The record at one VM. */
export class StoredVersions {
  readonly #context: StoredVersionsContext;

  /** The record as it was last read or written, as text; undefined before. */
  #stored: string | undefined;

  readonly #delay: WriteDelay;

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
   * @param isAll whether all runners were read before
   */
  learn(now: number, stored: VersionsByService, isAll: boolean): void {
    this.#stored = JSON.stringify(stored);
    const { versions } = this.#context;
    // A VM that knows all versions itself also knows when they were last seen.
    if (versions.isComplete(now)) return;
    const sightings = Object.entries(stored).flatMap(([service, names]) =>
      names.map((version) => ({ service, version, agoMs: 0 })),
    );
    versions.learn(now, sightings, isAll);
  }

  /** Writes the record if the store lacks a change. */
  check(now: number): void {
    const { versions, archive, readsStore, log } = this.#context;
    const mixed = versions.mixedServices(now);
    const wanted = JSON.stringify(mixed);
    const lacksChange = this.#stored !== undefined && wanted !== this.#stored;
    if (!this.#delay.isDue(now, readsStore() && lacksChange)) return;
    archive
      .save(mixed)
      .then(() => {
        this.#stored = wanted;
        log.info({ versions: mixed }, 'Saved which services have several software versions.');
      })
      .catch((error) => log.warn(toFailure(error).line));
  }
}
