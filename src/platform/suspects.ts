/** Stores quarantined requests, so that they stay quarantined when all VMs restart. */

import type { Suspect } from '../core/quarantine/types';
import type { SuspectArchive } from '../node/router/types';
import { encodeSuspect } from './records';
import { key } from './names';
import type { StoreClient } from './store';

/** Writes each quarantined request to the store with its own lease, so that it expires on its own. */
export class StoreSuspects implements SuspectArchive {
  readonly #store: StoreClient;

  constructor(store: StoreClient) {
    this.#store = store;
  }

  async save(suspect: Suspect, keptMs: number): Promise<void> {
    const lease = await this.#store.grantLease(keptMs);
    const name = `${key.suspects}${suspect.fingerprint}`;
    const value = encodeSuspect(Date.now(), suspect);
    await this.#store.commit({ expected: [], writes: [{ key: name, value, lease }] });
  }
}
