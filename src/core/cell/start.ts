/** When a prefill may start, given that its result needs a decode slot soon after. */

import { probabilityAtLeast, forecastReleases } from './forecast';
import type { CellView } from './view';

/** A rule for starting prefills. */
export interface StartRule {
  /**
   * @param readyInMs time until the prefill would be done
   * @returns whether to start it now
   */
  mayStart(now: number, view: CellView, readyInMs: number): boolean;
}

/** Part of the time a result is kept that may be counted on; the rest covers messages and report lag. */
const KEEP_MARGIN = 0.75;

/**
 * Starts a prefill when a slot will probably be free before its result is
 * evicted. The threshold is the critical fractile of the two costs: prefill
 * thrown away against a slot left idle.
 */
export class SlotForecastStart implements StartRule {
  mayStart(now: number, view: CellView, readyInMs: number): boolean {
    const missing = view.awaitingSlot + 1 - view.capacity.freeSlots;
    if (missing <= 0) return true;
    const { goodputWeight, wasteWeight, keepMs } = view.policy;
    const threshold = wasteWeight / (wasteWeight + goodputWeight);
    const releases = forecastReleases(now, view, readyInMs + keepMs * KEEP_MARGIN);
    return probabilityAtLeast(releases, missing) >= threshold;
  }
}

/** Baseline: starts at once and waits for a slot afterwards. */
export class ImmediateStart implements StartRule {
  mayStart(): boolean {
    return true;
  }
}
