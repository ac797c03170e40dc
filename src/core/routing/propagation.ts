/**
 * How news of configuration and runners gets to all VMs: whoever learns a change
 * tells a few others at once, and they tell on. Small news goes with the message;
 * the rest is fetched from whoever told of it, one fetch at a time and paced. What
 * was lost on the way shows in the digests that probes carry.
 */

import type { GossipUpdate } from '../membership/types';
import type { RunnerRecord } from './directory';
import type { Position } from './position';
import { latest, ordinalOf } from './position';

/** Path of news that the configuration changed. */
export const CONFIG_PATH = 'config';
/** Path of news that many runners changed. */
export const RUNNERS_PATH = 'runners';
/** Path of news that the store came back from an older copy. */
export const ERA_PATH = 'era';
/** Path of news of one runner, followed by its listing. */
export const RUNNER_PATH = 'runner/';

/** Changes that are told one by one; more at once are fetched together. */
const TOLD_MOST = 16;
/** Least time between two fetches of one VM, in milliseconds: with 800 VMs some two a second come to each. */
const FETCH_PACE_MS = 400;
/**
 * Time for which digests must differ before a VM fetches, in milliseconds: while
 * news goes round, they differ between VMs that will hear of it anyway.
 */
const DIFFERS_MS = 300;

/** What a VM knows, for comparison with what it hears. */
export interface KnownState {
  readonly configVersion: number;
  /** Latest position of a change of a runner. */
  readonly runnersPosition: Position;
}

/** Decides what one VM tells on and from whom it fetches. */
export class UpdatePropagation {
  /** VM to fetch from as soon as the pace allows. */
  #bearer: string | undefined;

  #fetchedAt = -Infinity;

  #differsSince: number | undefined;

  /** What to tell others of a new configuration. */
  configUpdates(version: number): readonly GossipUpdate[] {
    this.#differsSince = undefined;
    return [{ path: CONFIG_PATH, revision: version }];
  }

  /** What to tell others of changed runners. */
  runnerUpdates(
    facts: readonly RunnerRecord[],
    encode: (fact: RunnerRecord) => string,
  ): readonly GossipUpdate[] {
    this.#differsSince = undefined;
    const revision = ordinalOf(latest(facts.map(({ position }) => position)));
    if (facts.length > TOLD_MOST) return [{ path: RUNNERS_PATH, revision }];
    return facts.map((fact) => ({
      path: `${RUNNER_PATH}${fact.id}`,
      revision: ordinalOf(fact.position),
      text: encode(fact),
    }));
  }

  /** What to tell others of the store's eras, the latest first. */
  eraUpdates(starts: readonly Position[]): readonly GossipUpdate[] {
    this.#differsSince = undefined;
    return [{ path: ERA_PATH, revision: starts[0]?.era ?? 0, text: JSON.stringify(starts) }];
  }

  /** A member told that it has something newer which is not in the message. */
  receive({ path, revision }: GossipUpdate, address: string, known: KnownState): void {
    const own = path === CONFIG_PATH ? known.configVersion : ordinalOf(known.runnersPosition);
    if ((path === CONFIG_PATH || path === RUNNERS_PATH) && revision > own) this.#bearer = address;
  }

  /** A member's digest is another one. */
  reportMismatch(now: number, address: string): void {
    this.#differsSince ??= now;
    if (now - this.#differsSince >= DIFFERS_MS) this.#bearer ??= address;
  }

  /** The address to fetch from now, if there is one and the pace allows it. */
  takeFetchTarget(now: number): string | undefined {
    if (this.#bearer === undefined || now < this.nextFetchAt) return undefined;
    const address = this.#bearer;
    this.#bearer = undefined;
    this.#differsSince = undefined;
    this.#fetchedAt = now;
    return address;
  }

  /** When something is to be fetched; infinite if nothing is. */
  get nextFetchAt(): number {
    return this.#bearer === undefined ? Infinity : this.#fetchedAt + FETCH_PACE_MS;
  }
}
