/**
 * Propagation of configuration and runner updates to all VMs. A VM that learns of a
 * change announces it to a few others at once, and they pass it on by gossip. Small
 * updates travel in the message; the rest is fetched from the VM that announced it, one
 * rate-limited fetch at a time. Lost updates show as differences in the digests that
 * probes carry. A digest names the version of the configuration, so each probe of a VM
 * with a newer one announces it again.
 */

import type { GossipUpdate } from '../membership/types';
import type { StateDigest } from './digest';
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
 * Time for which digests must differ without an update at this VM before it fetches, in
 * milliseconds: while updates circulate, digests differ between VMs that will receive
 * them anyway.
 */
const MISMATCH_MS = 300;
/**
 * Time for which digests may differ although updates keep arriving, in milliseconds. While
 * runners are replaced one after the other there is no pause between updates; an update that
 * passed a VM by would be missing there for as long as that takes, and the VM would send
 * requests to runners that have left.
 */
const MAX_MISMATCH_MS = 1000;
/** Time without a differing digest after which the others count as equal, in milliseconds: probes bring several in that time. */
const AGREEMENT_MS = 600;

/** Versions that a VM has, to compare with announced ones. */
export interface KnownState {
  readonly configVersion: number;
  /** Latest position of a change of a runner. */
  readonly runnersPosition: Position;
}

/** State that another VM has and this one lacks. */
interface Announcement {
  readonly revision: number;
  /** Address of the VM. */
  readonly address: string;
}

/** What a VM fetches from another one. */
export interface FetchTarget {
  readonly address: string;
  /**
   * Whether only the latest of the differing records are needed. While updates circulate, most of
   * the records that differ are on their way, and a configuration must not wait for them.
   */
  readonly recentOnly: boolean;
}

/** Paths of state that has to be fetched, the most urgent first. */
const FETCHED_PATHS: readonly string[] = [CONFIG_PATH, RUNNERS_PATH];

/** Revision of the state under a path that a VM has. */
function revisionOf(path: string, { configVersion, runnersPosition }: KnownState): number {
  return path === CONFIG_PATH ? configVersion : ordinalOf(runnersPosition);
}

/** Updates that announce a new configuration. */
export function configUpdates(version: number): readonly GossipUpdate[] {
  return [{ path: CONFIG_PATH, revision: version }];
}

/** Decides which updates one VM announces and from which VM it fetches. */
export class UpdatePropagation {
  /** Latest announcements of state to fetch as soon as the rate limit allows, by path. */
  readonly #announced = new Map<string, Announcement>();

  /** VM whose digest has differed for too long. */
  #differing: FetchTarget | undefined;

  #fetchedAt = -Infinity;

  /** Since when digests have differed without an update at this VM; undefined if none has since the last one. */
  #mismatchSince: number | undefined;

  /** Since when digests have differed, whatever updates arrived. */
  #differingSince = -Infinity;

  /** Time of the last differing digest. */
  #differedAt = -Infinity;

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
    if (!FETCHED_PATHS.includes(path) || revision <= revisionOf(path, known)) return;
    const { revision: latestRevision = 0 } = this.#announced.get(path) ?? {};
    if (revision >= latestRevision) this.#announced.set(path, { revision, address });
  }

  /** Handles the digest of a member, which differs from the own one. */
  receiveDigest(
    now: number,
    { configVersion, rest }: StateDigest,
    address: string,
    known: KnownState,
    ownRest: string,
  ): void {
    this.receive({ path: CONFIG_PATH, revision: configVersion }, address, known);
    if (rest === ownRest) return;
    if (now - this.#differedAt > AGREEMENT_MS) this.#differingSince = now;
    this.#differedAt = now;
    this.#mismatchSince ??= now;
    const isSettled = now - this.#mismatchSince >= MISMATCH_MS;
    if (isSettled || now - this.#differingSince >= MAX_MISMATCH_MS) {
      this.#differing ??= { address, recentOnly: !isSettled };
    }
  }

  /**
   * Takes what to fetch now; undefined if there is none or the rate limit does not
   * allow it yet. An announcement counts once, whatever becomes of the fetch: while this VM lacks
   * a configuration, each probe of a VM that has it is another announcement.
   */
  takeFetchTarget(now: number, known: KnownState): FetchTarget | undefined {
    const target = this.#nextTarget(known);
    if (!target || now < this.#fetchedAt + FETCH_INTERVAL_MS) return undefined;
    for (const [path, { address }] of this.#announced) {
      if (address === target.address) this.#announced.delete(path);
    }
    this.#differing = undefined;
    this.#mismatchSince = undefined;
    this.#differingSince = now;
    this.#fetchedAt = now;
    return target;
  }

  /** Time of the next fetch; infinite if none is pending. */
  nextFetchAt(known: KnownState): number {
    const isPending = this.#nextTarget(known) !== undefined;
    return isPending ? this.#fetchedAt + FETCH_INTERVAL_MS : Infinity;
  }

  #nextTarget(known: KnownState): FetchTarget | undefined {
    for (const path of FETCHED_PATHS) {
      const { revision = 0, address = '' } = this.#announced.get(path) ?? {};
      if (revision > revisionOf(path, known)) return { address, recentOnly: path === CONFIG_PATH };
    }
    return this.#differing;
  }
}
