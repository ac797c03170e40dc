/**
 * Keeps the number of VMs in the store. A VM that starts while it reaches the store but no other VM
 * would otherwise take itself for the whole fleet.
 */

import type { Logger } from 'pino';

import { toFailure } from '../../core/failure';
import type { FleetCensus } from '../../core/membership/census';
import type { FleetSizeArchive } from './types';
import { WriteDelay } from './writedelay';

/** Dependencies of the stored number. */
export interface StoredFleetSizeContext {
  readonly census: FleetCensus;
  readonly archive: FleetSizeArchive;
  /** Whether this VM reads the store. */
  readonly readsStore: () => boolean;
  readonly random: () => number;
  readonly log: Logger;
}

/** Period of the check for changes, in milliseconds. */
const CHECK_MS = 500;

/** The record at one VM. */
export class StoredFleetSize {
  readonly #context: StoredFleetSizeContext;

  readonly #delay: WriteDelay;

  /** The number as it was last read or written; undefined before. */
  #stored: number | undefined;

  readonly #timer: NodeJS.Timeout;

  constructor(context: StoredFleetSizeContext) {
    this.#context = context;
    this.#delay = new WriteDelay(context.random);
    this.#timer = setInterval(() => this.check(performance.now()), CHECK_MS).unref();
  }

  /** Stops the timer. */
  stop(): void {
    clearInterval(this.#timer);
  }

  /** Applies the number that was read from the store; 0 if there is none. */
  learn(now: number, vms: number): void {
    this.#stored = vms;
    this.#context.census.learn(now, vms);
  }

  /**
   * Writes the number if it has grown, or if this VM has run long enough to know that it is too
   * high.
   */
  check(now: number): void {
    const { census, archive, readsStore, log } = this.#context;
    const stored = this.#stored ?? 0;
    const vms = census.count(now);
    const isWrong = vms > stored || (vms < stored && census.isLongLived(now));
    const mayWrite = readsStore() && this.#stored !== undefined;
    if (!this.#delay.isDue(now, mayWrite && isWrong)) return;
    archive
      .save(vms)
      .then(() => {
        this.#stored = vms;
        log.info({ vms, before: stored }, 'Saved the number of VMs.');
      })
      .catch((error) => log.warn(toFailure(error).line));
  }
}
