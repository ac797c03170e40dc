/** Keeps refused requests in the store, each under a lease of its own. */

import type { Suspect } from '../core/quarantine/types';
import type { SuspectArchive } from '../node/router/types';
import { encodeSuspect } from './records';
import { key } from './names';
import type { StoreClient } from './store';

/** Saves refused requests. */
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
