/** Which runner a prefill or a decode goes to. */

import { BLOCK_TOKENS } from '../prefix';
import type { DecodeLoad, PrefillLoad } from './capacity';
import { freeSlotsOf } from './capacity';
import type { Arrival } from './types';
import type { CellView } from './view';

/** A way to choose among runners that are able. */
export interface Placement {
  prefill(
    now: number,
    view: CellView,
    arrival: Arrival,
    able: readonly PrefillLoad[],
  ): PrefillLoad | undefined;
  decode(
    now: number,
    view: CellView,
    arrival: Arrival,
    able: readonly DecodeLoad[],
  ): DecodeLoad | undefined;
}

function least<T>(items: readonly T[], cost: (item: T) => number): T | undefined {
  let best: T | undefined;
  let bestCost = Infinity;
  for (const item of items) {
    const value = cost(item);
    if (value < bestCost) {
      best = item;
      bestCost = value;
    }
  }
  return best;
}

/** Least cost in milliseconds: queue, prefill left after the predicted hit, busy link. */
export class CostPlacement implements Placement {
  prefill(
    now: number,
    view: CellView,
    arrival: Arrival,
    able: readonly PrefillLoad[],
  ): PrefillLoad | undefined {
    const moveMs = view.costs.transferMs(arrival.promptTokens);
    return least(able, ({ runner, busyUntil }) => {
      const hitTokens = view.prefixes.cachedBlocks(runner.id, arrival.blocks) * BLOCK_TOKENS;
      const workMs = view.costs.prefillMs(Math.max(0, arrival.promptTokens - hitTokens));
      const linkMs = view.capacity.isLinkBusy(runner.link) ? moveMs : 0;
      return Math.max(0, busyUntil - now) + workMs + linkMs;
    });
  }

  /** Least filled batch, since each further request slows every token of the batch. */
  decode(
    _now: number,
    _view: CellView,
    _arrival: Arrival,
    able: readonly DecodeLoad[],
  ): DecodeLoad | undefined {
    return least(able, (place) => (place.cap - freeSlotsOf(place)) / place.cap);
  }
}

/** Baseline: each runner in turn. */
export class RoundRobin implements Placement {
  #prefills = 0;

  #decodes = 0;

  prefill(
    _now: number,
    _view: CellView,
    _arrival: Arrival,
    able: readonly PrefillLoad[],
  ): PrefillLoad | undefined {
    this.#prefills += 1;
    return able[this.#prefills % able.length];
  }

  decode(
    _now: number,
    _view: CellView,
    _arrival: Arrival,
    able: readonly DecodeLoad[],
  ): DecodeLoad | undefined {
    this.#decodes += 1;
    return able[this.#decodes % able.length];
  }
}

/** Baseline: least load by the runners' own late reports. */
export class LeastReportedLoad implements Placement {
  prefill(
    _now: number,
    _view: CellView,
    _arrival: Arrival,
    able: readonly PrefillLoad[],
  ): PrefillLoad | undefined {
    return least(able, ({ reportedRunning: reported }) => reported);
  }

  decode(
    _now: number,
    _view: CellView,
    _arrival: Arrival,
    able: readonly DecodeLoad[],
  ): DecodeLoad | undefined {
    return least(able, ({ reportedRunning: reported }) => reported);
  }
}
