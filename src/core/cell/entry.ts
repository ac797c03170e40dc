/** Mutable form of a request, as used by the cell's controllers. */

import type { Arrival } from './types';
import type { CellRequest, Stage } from './view';

type Mutable<T> = { -readonly [K in keyof T]: T[K] };

/** A `CellRequest` that the controllers may modify. */
export type Entry = Mutable<CellRequest>;

/** Creates the entry of a request that has just arrived. */
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

/** Whether a request at this stage will need a decode slot and has none yet. */
export function needsDecodeSlot(stage: Stage): boolean {
  return stage === 'prefilling' || stage === 'prefilled';
}
