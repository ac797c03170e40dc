/** Placement policies: which runner a prefill or a decode is assigned to. */

import { BLOCK_TOKENS } from '../prefix';
import type { DecodeLoad, PrefillLoad } from './capacity';
import { freeSlotsOf } from './capacity';
import type { Arrival } from './types';
import type { CellView } from './view';

/** Chooses one of the runners that can take a request; undefined if there is none. */
export interface Placement {
  prefill(
    now: number,
    view: CellView,
    arrival: Arrival,
    candidates: readonly PrefillLoad[],
  ): PrefillLoad | undefined;
  decode(
    now: number,
    view: CellView,
    arrival: Arrival,
    candidates: readonly DecodeLoad[],
  ): DecodeLoad | undefined;
}

/** The item with the least cost, the first one if there are several; undefined if no cost is below Infinity. */
function minBy<T>(items: readonly T[], cost: (item: T) => number): T | undefined {
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

/** Selects the runner with the least cost in milliseconds: queueing, prefill of the tokens that are not predicted to be cached, and waiting for a busy link. */
export class CostPlacement implements Placement {
  prefill(
    now: number,
    view: CellView,
    arrival: Arrival,
    candidates: readonly PrefillLoad[],
  ): PrefillLoad | undefined {
    const transferMs = view.costs.transferMs(arrival.promptTokens);
    return minBy(candidates, ({ runner, busyUntil }) => {
      const hitTokens = view.prefixes.cachedBlocks(runner.id, arrival.blocks) * BLOCK_TOKENS;
      const workMs = view.costs.prefillMs(Math.max(0, arrival.promptTokens - hitTokens));
      const linkMs = view.capacity.isLinkBusy(runner.link) ? transferMs : 0;
      return Math.max(0, busyUntil - now) + workMs + linkMs;
    });
  }

  /** Selects the runner with the least filled batch, since each additional request slows down every token of the batch. */
  decode(
    _now: number,
    _view: CellView,
    _arrival: Arrival,
    candidates: readonly DecodeLoad[],
  ): DecodeLoad | undefined {
    return minBy(candidates, (load) => (load.cap - freeSlotsOf(load)) / load.cap);
  }
}

/** Baseline: round robin. */
export class RoundRobin implements Placement {
  #prefills = 0;

  #decodes = 0;

  prefill(
    _now: number,
    _view: CellView,
    _arrival: Arrival,
    candidates: readonly PrefillLoad[],
  ): PrefillLoad | undefined {
    this.#prefills += 1;
    return candidates[this.#prefills % candidates.length];
  }

  decode(
    _now: number,
    _view: CellView,
    _arrival: Arrival,
    candidates: readonly DecodeLoad[],
  ): DecodeLoad | undefined {
    this.#decodes += 1;
    return candidates[this.#decodes % candidates.length];
  }
}

/** Baseline: least load according to the runners' own delayed reports. */
export class LeastReportedLoad implements Placement {
  prefill(
    _now: number,
    _view: CellView,
    _arrival: Arrival,
    candidates: readonly PrefillLoad[],
  ): PrefillLoad | undefined {
    return minBy(candidates, ({ reportedRunning }) => reportedRunning);
  }

  decode(
    _now: number,
    _view: CellView,
    _arrival: Arrival,
    candidates: readonly DecodeLoad[],
  ): DecodeLoad | undefined {
    return minBy(candidates, ({ reportedRunning }) => reportedRunning);
  }
}
