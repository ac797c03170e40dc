/** A request as the cell's controllers write it. */

import type { Arrival } from './types';
import type { CellRequest, Stage } from './view';

type Mutable<T> = { -readonly [K in keyof T]: T[K] };

/** A `CellRequest` in the hands of the controllers. */
export type Entry = Mutable<CellRequest>;

/** A request that has just come in. */
export function newEntry(arrival: Arrival, now: number): Entry {
  return {
    arrival,
    stage: 'queued',
    since: now,
    prefillRunner: undefined,
    decodeRunner: undefined,
    hitBlocks: 0,
    forecastMs: 0,
    arrivedAt: now,
    sent: false,
    keptUntil: 0,
    lastFailedRunner: undefined,
    resumedTokens: 0,
    countedTokens: 0,
    batch: 1,
  };
}

/** Whether a request at this stage will want a decode slot and has none yet. */
export function needsDecodeSlot(stage: Stage): boolean {
  return stage === 'prefilling' || stage === 'prefilled';
}
