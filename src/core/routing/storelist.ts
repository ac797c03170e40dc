/** The last full list of the store, by which records of other VMs are judged: those may be out of date. */

import type { RunnerRecord } from './directory';
import type { Position } from './position';
import { START, isLater } from './position';

/** The list as one VM has read it. */
export class StoreList {
  #ids: ReadonlySet<string> = new Set();

  /** Before the first list no record is judged. */
  #position: Position = START;

  /** @param ids the listed runners */
  learn(ids: ReadonlySet<string>, position: Position): void {
    this.#ids = ids;
    this.#position = position;
  }

  /**
   * The removal of a runner of which there is no record here, although its record is older than the
   * list: its entry was removed, or replaced by one that cannot be read. Empty otherwise.
   */
  removalOf({ id, position, runner }: RunnerRecord): readonly RunnerRecord[] {
    const isOlder = this.#position !== START && !isLater(position, this.#position);
    if (!runner || !isOlder || this.#ids.has(id)) return [];
    return [{ id, position: this.#position, runner: undefined }];
  }
}
