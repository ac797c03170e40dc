/** The entry of this VM in the store, by which other VMs find it. */

import type { Logger } from 'pino';

import { toFailure } from '../core/failure';
import type { ListedVm } from './entries';
import { key } from './names';
import { encodeVm } from './records';
import type { StoreClient } from './store';

/**
 * Writes and removes the entry. It needs no lease, because membership probes detect which VMs are
 * alive. Only VMs that read the store register: a VM that contacts one of them learns of all others
 * from it.
 */
export class Registration {
  readonly #store: StoreClient;

  readonly #self: ListedVm;

  readonly #log: Logger;

  readonly #key: string;

  /** Era in which the entry was written or found; undefined if it has to be written. */
  #era: number | undefined;

  /** Resolves once the entry is written. */
  #written: Promise<void> | undefined;

  #isLeaving = false;

  constructor(store: StoreClient, self: ListedVm, log: Logger) {
    this.#store = store;
    this.#self = self;
    this.#log = log;
    this.#key = `${key.vms}${self.vm}`;
  }

  /**
   * Writes the entry unless that was done in this era: a store that was restored from an older copy may lack it.
   * @param listed the VMs that the store lists
   */
  ensure(era: number, listed: readonly ListedVm[]): void {
    if (this.#isLeaving || this.#era === era) return;
    this.#era = era;
    const { vm: self, address } = this.#self;
    if (listed.some((one) => one.vm === self && one.address === address)) return;
    this.#written = this.#store
      .put(this.#key, encodeVm(address))
      .then(() => this.#log.info({ key: this.#key, era }, 'Registered this VM.'))
      .catch((error) => {
        if (this.#era === era) this.#era = undefined;
        this.#log.warn(toFailure(error).line);
      });
  }

  /** Removes the entry if there is one, once a write in progress has ended. */
  leave(): void {
    if (this.#isLeaving) return;
    this.#isLeaving = true;
    if (this.#era === undefined) return;
    this.#remove().catch((error) => this.#log.warn(toFailure(error).line));
  }

  /** Writes no entry from now on. */
  stop(): void {
    this.#isLeaving = true;
  }

  async #remove(): Promise<void> {
    const era = this.#era;
    await this.#written;
    await this.#store.remove(this.#key);
    this.#log.info({ key: this.#key, era }, 'Removed the entry of this VM.');
  }
}
