/** Retry budget of one service at one VM: its share of the repeats that the fleet may send. */

import type { ArrivalCost } from './arrivals';

/** Limits for the whole fleet. */
export interface RetryBounds {
  /** Repeats allowed per request of a caller. */
  readonly ratio: number;
  /** Additional repeats allowed for the whole fleet in any window. */
  readonly extra: number;
  /** Length of the window in milliseconds. */
  readonly windowMs: number;
}

/** What the share of one VM rests on. */
export interface RetryShare {
  readonly bounds: RetryBounds;
  /** Number of VMs that may send repeats; undefined if it is not known. */
  readonly vms: number | undefined;
}

/** The state of a budget, for the log. */
export interface RetryState {
  /** Repeats earned by requests and not yet used. */
  readonly earned: number;
  /** What is left of the additional repeats in the window. */
  readonly extra: number;
  /** Repeats that are set aside for calls that will follow. */
  readonly held: number;
}

/** Fraction of the additional repeats that is shared out; the rest covers VMs that join while others do not hear of them. */
const SHARED_FRACTION = 0.8;
/** Fraction of a share that requests fill and that may be saved; the rest is available in each window. */
const SAVED_FRACTION = 0.5;

/** The two parts of a VM's share of the additional repeats. */
interface Parts {
  /** Most repeats earned by requests that are saved. */
  readonly maxEarned: number;
  /** Additional repeats in any window. */
  readonly extra: number;
}

function partsOf({ bounds, vms }: RetryShare): Parts {
  if (vms === undefined) return { maxEarned: 0, extra: 0 };
  const share = (SHARED_FRACTION * bounds.extra) / Math.max(1, vms);
  // Less than one saved repeat could never be sent.
  const maxEarned = Math.max(SAVED_FRACTION * share, Math.min(1, share));
  return { maxEarned, extra: share - maxEarned };
}

interface Spend {
  readonly at: number;
  readonly repeats: number;
}

/** The start of a process. */
export interface ProcessStart {
  readonly at: number;
  /** Whether the fleet starts for the first time, so that no other process ran on this VM before, as far as its settings tell. */
  readonly isFirst: boolean;
}

/** Largest fraction of the additional repeats that a process of a fleet's first start has in its first window. */
const FIRST_FRACTION = 0.5;

/**
 * Limits the repeats of one VM without any messages, so that those of all VMs stay within the limit
 * of the fleet in any window. Without a limit, a failing service would receive every request
 * several times when it has the least capacity.
 *
 * Each request earns a part of a repeat. What was saved before a window and is sent in it, and what
 * may be sent without being earned, is together at most this VM's share of the additional repeats.
 * A process that starts has saved nothing, and for one window only what requests earn, so that it
 * stays within the share of its VM together with the process before it. When a fleet starts for
 * the first time, its processes have additional repeats that grow with their age: the first of them
 * have not counted those that follow, and the settings may still name the first start at a later
 * one. However often a process starts in a window, it has no more than a fraction of its share.
 */
export class RetryBudget {
  readonly #start: ProcessStart;

  #earned = 0;

  #held = 0;

  /** Additional repeats sent in the window, the oldest first. */
  readonly #spends: Spend[] = [];

  constructor(start: ProcessStart) {
    this.#start = start;
  }

  /** Adds what a request of a caller earns. */
  earn(share: RetryShare): void {
    this.#earned = Math.min(partsOf(share).maxEarned, this.#earned + share.bounds.ratio);
  }

  /**
   * Whether repeats may be sent now, and others set aside. A call that costs nothing is always
   * allowed: more may be set aside than is left, after the share has shrunk or repeats were given
   * back to a budget that has saved all it may.
   * @param held what is set aside for the same request already
   */
  affords(now: number, share: RetryShare, cost: ArrivalCost, held: number): boolean {
    if (cost.repeats + cost.held === 0) return true;
    const { earned, extra } = this.state(now, share);
    return cost.repeats + cost.held <= earned + extra - (this.#held - held);
  }

  /** Takes repeats that are sent now, and sets others aside; see `affords`. False if there are not enough. */
  spend(now: number, share: RetryShare, cost: ArrivalCost, held: number): boolean {
    if (!this.affords(now, share, cost, held)) return false;
    const { earned } = this.state(now, share);
    const additional = Math.max(0, cost.repeats - earned);
    this.#earned = earned - (cost.repeats - additional);
    if (additional > 0) this.#spends.push({ at: now, repeats: additional });
    this.#held += cost.held - held;
    return true;
  }

  /** Sets aside repeats for a call that will follow; false if there are not enough. See `affords`. */
  hold(now: number, share: RetryShare, repeats: number, held: number): boolean {
    if (!this.affords(now, share, { repeats, held: 0 }, held)) return false;
    this.#held += repeats - held;
    return true;
  }

  /** Sets aside repeats that were taken and not sent. */
  giveBack(share: RetryShare, repeats: number): void {
    this.#earned = Math.min(partsOf(share).maxEarned, this.#earned + repeats);
    this.#held += repeats;
  }

  /** Releases what was set aside for a request. */
  release(held: number): void {
    this.#held -= held;
  }

  /** The state, for the log. */
  state(now: number, share: RetryShare): RetryState {
    const since = now - share.bounds.windowMs;
    while ((this.#spends[0]?.at ?? Infinity) < since) this.#spends.shift();
    const { maxEarned, extra } = partsOf(share);
    const spent = this.#spends.reduce((sum, { repeats }) => sum + repeats, 0);
    const available = extra * this.#availablePart(now, share);
    return {
      earned: Math.min(maxEarned, this.#earned),
      extra: Math.max(0, available - spent),
      held: this.#held,
    };
  }

  /** The fraction of the additional repeats that this process has. */
  #availablePart(now: number, { bounds: { windowMs } }: RetryShare): number {
    const { at, isFirst } = this.#start;
    const windows = (now - at) / windowMs;
    if (windows >= 1) return 1;
    // What the process before this one has sent in this window is not known.
    return isFirst ? FIRST_FRACTION * windows : 0;
  }
}
