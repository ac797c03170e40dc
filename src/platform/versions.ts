/** Stores which software versions served each service lately. */

import type { VersionsByService } from '../core/versions/types';
import type { VersionArchive } from '../node/router/types';
import { key } from './names';
import { encodeVersions } from './records';
import type { StoreClient } from './store';

/** Writes the record to one key of the store, without a lease: it must outlast an outage. */
export class StoreVersions implements VersionArchive {
  readonly #store: StoreClient;

  constructor(store: StoreClient) {
    this.#store = store;
  }

  async save(versions: VersionsByService, revision: number): Promise<number | undefined> {
    const written = await this.#store.commit({
      expected: [{ key: key.versions, revision }],
      writes: [{ key: key.versions, value: encodeVersions(versions), lease: 0 }],
    });
    return written?.revision;
  }
}
