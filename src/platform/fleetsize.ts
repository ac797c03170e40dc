/** Stores the number of VMs. */

import type { FleetSizeArchive } from '../node/router/types';
import { key } from './names';
import { encodeFleetSize } from './records';
import type { StoreClient } from './store';

/** Writes the number to one key of the store, without a lease: it must outlast an outage. */
export class StoreFleetSize implements FleetSizeArchive {
  readonly #store: StoreClient;

  constructor(store: StoreClient) {
    this.#store = store;
  }

  async save(vms: number): Promise<void> {
    await this.#store.put(key.fleetSize, encodeFleetSize(vms));
  }
}
