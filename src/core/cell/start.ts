/** Rules for when a prefill may start, given that its result needs a decode slot soon afterwards. */

import { probabilityAtLeast, forecastReleases } from './forecast';
import type { CellView } from './view';

/** A rule for starting prefills. */
export interface StartRule {
  /**
   * @param readyInMs time until the prefill would be finished, in milliseconds
   * @returns whether to start the prefill now
   */
  mayStart(now: number, view: CellView, readyInMs: number): boolean;
}

/** Fraction of the retention time of a result that the rule relies on; the rest covers message and report delays. */
const USABLE_KEEP_FRACTION = 0.75;

/**
 * Starts a prefill when a decode slot will probably be free before its result is
 * evicted. The probability threshold is the critical fractile of the two costs:
 * discarded prefill work against an idle slot.
 */
export class SlotForecastStart implements StartRule {
  mayStart(now: number, view: CellView, readyInMs: number): boolean {
    const missing = view.awaitingSlot + 1 - view.capacity.freeSlots;
    if (missing <= 0) return true;
    const { goodputWeight, wasteWeight, keepMs } = view.policy;
    const threshold = wasteWeight / (wasteWeight + goodputWeight);
    const releases = forecastReleases(now, view, readyInMs + keepMs * USABLE_KEEP_FRACTION);
    return probabilityAtLeast(releases, missing) >= threshold;
  }
}

/** Baseline: starts every prefill immediately and waits for a decode slot afterwards. */
export class ImmediateStart implements StartRule {
  mayStart(): boolean {
    return true;
  }
}
