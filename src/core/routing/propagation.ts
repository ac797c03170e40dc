/**
 * Propagation of configuration and runner updates to all VMs. A VM that learns of a
 * change announces it to a few others at once, and they pass it on by gossip. Small
 * updates travel in the message; the rest is fetched from the VM that announced it, one
 * rate-limited fetch at a time. Lost updates show as differences in the digests that
 * probes carry.
 */

import type { GossipUpdate } from '../membership/types';
import type { RunnerRecord } from './directory';
import type { Position } from './position';
import { latest, ordinalOf } from './position';

/** Path of updates of the configuration. */
export const CONFIG_PATH = 'config';
/** Path of updates that announce changes of many runners. */
export const RUNNERS_PATH = 'runners';
/** Path of updates that announce that the store was restored from an older copy. */
export const ERA_PATH = 'era';
/** Path of updates of one runner, followed by its listing. */
export const RUNNER_PATH = 'runner/';

/** Maximum number of changes that are announced one by one; more at once are fetched together. */
const MAX_SINGLE_UPDATES = 16;
/** Minimum time between two fetches of one VM, in milliseconds: with 800 VMs each receives some two requests a second. */
const FETCH_INTERVAL_MS = 400;
/**
 * Time for which digests must differ before a VM fetches, in milliseconds: while updates
 * circulate, digests differ between VMs that will receive them anyway.
 */
const MISMATCH_MS = 300;

/** Versions that a VM has, to compare with announced ones. */
export interface KnownState {
  readonly configVersion: number;
  /** Latest position of a change of a runner. */
  readonly runnersPosition: Position;
}

/** Decides which updates one VM announces and from which VM it fetches. */
export class UpdatePropagation {
  /** Address to fetch from as soon as the rate limit allows. */
  #source: string | undefined;

  #fetchedAt = -Infinity;

  #mismatchSince: number | undefined;

  /** Updates that announce a new configuration. */
  configUpdates(version: number): readonly GossipUpdate[] {
    this.#mismatchSince = undefined;
    return [{ path: CONFIG_PATH, revision: version }];
  }

  /** Updates that announce changed runners. */
  runnerUpdates(
    records: readonly RunnerRecord[],
    encode: (record: RunnerRecord) => string,
  ): readonly GossipUpdate[] {
    this.#mismatchSince = undefined;
    const revision = ordinalOf(latest(records.map(({ position }) => position)));
    if (records.length > MAX_SINGLE_UPDATES) return [{ path: RUNNERS_PATH, revision }];
    return records.map((record) => ({
      path: `${RUNNER_PATH}${record.id}`,
      revision: ordinalOf(record.position),
      text: encode(record),
    }));
  }

  /** Updates that announce the store's eras, given latest first. */
  eraUpdates(starts: readonly Position[]): readonly GossipUpdate[] {
    this.#mismatchSince = undefined;
    return [{ path: ERA_PATH, revision: starts[0]?.era ?? 0, text: JSON.stringify(starts) }];
  }

  /** Handles the announcement of a member that has something newer which is not in the message. */
  receive({ path, revision }: GossipUpdate, address: string, known: KnownState): void {
    const own = path === CONFIG_PATH ? known.configVersion : ordinalOf(known.runnersPosition);
    if ((path === CONFIG_PATH || path === RUNNERS_PATH) && revision > own) this.#source = address;
  }

  /** Records that a member's digest differs. */
  reportMismatch(now: number, address: string): void {
    this.#mismatchSince ??= now;
    if (now - this.#mismatchSince >= MISMATCH_MS) this.#source ??= address;
  }

  /** Takes the address to fetch from now; undefined if there is none or the rate limit does not allow it yet. */
  takeFetchTarget(now: number): string | undefined {
    if (this.#source === undefined || now < this.nextFetchAt) return undefined;
    const address = this.#source;
    this.#source = undefined;
    this.#mismatchSince = undefined;
    this.#fetchedAt = now;
    return address;
  }

  /** Time of the next fetch; infinite if none is pending. */
  get nextFetchAt(): number {
    return this.#source === undefined ? Infinity : this.#fetchedAt + FETCH_INTERVAL_MS;
  }
}
