/**
 * Keeps in the store which software versions served each service lately. VMs that all start anew
 * know only the runners that are listed now: without the record, a version that has just gone
 * could not be told from one that never was, and that may happen to any service while no VM runs.
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

  /** Whether there is no record yet. */
  #isFirst = false;

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
   * @param stored undefined if no VM has ever written one
   * @param isAll whether all runners were read before
   */
  learn(now: number, stored: VersionsByService | undefined, isAll: boolean): void {
    this.#isFirst = stored === undefined;
    this.#stored = JSON.stringify(stored ?? {});
    const { versions } = this.#context;
    // A VM that knows all versions itself also knows when they were last seen.
    if (versions.isComplete(now)) return;
    if (stored) versions.learnRecord(now, stored, isAll);
    else versions.learn(now, [], isAll);
  }

  /** Writes the record if the store lacks a change. */
  check(now: number): void {
    const { versions, archive, readsStore, log } = this.#context;
    const served = versions.byService(now);
    const wanted = JSON.stringify(served);
    const lacksChange = readsStore() && this.#stored !== undefined && wanted !== this.#stored;
    const isDue = this.#delay.isDue(now, lacksChange);
    if (!isDue && !(lacksChange && this.#isFirst)) return;
    archive
      .save(served)
      .then(() => {
        this.#stored = wanted;
        this.#isFirst = false;
        log.info({ versions: served }, 'Saved which software versions serve.');
      })
      .catch((error) => log.warn(toFailure(error).line));
  }
}
