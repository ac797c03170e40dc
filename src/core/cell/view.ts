/** The cell's blackboard: sections that one controller writes each and all may read. */

import type { Costs } from './costs';
import type { Health } from './health';
import type { ForecastMargins } from './margins';
import type { OutputLengths } from './outputs';
import type { CellCapacity } from './capacity';
import type { PrefixPrediction } from './prefixes';
import type { QueueView } from './shares';
import type { Arrival, CellPolicy } from './types';

/** How far a request has come. */
export type Stage = 'queued' | 'prefilling' | 'prefilled' | 'transferring' | 'decoding';

/** A request inside the cell. */
export interface CellRequest {
  readonly arrival: Arrival;
  readonly stage: Stage;
  /** When the stage began. */
  readonly since: number;
  readonly prefillRunner: string | undefined;
  readonly decodeRunner: string | undefined;
  /** Prompt blocks found in the cache, as predicted when the prefill was given. */
  readonly hitBlocks: number;
  /** What admission forecast for the first token, in milliseconds from the arrival. */
  readonly forecastMs: number;
  /** When the request came in. */
  readonly arrivedAt: number;
  /** Whether any runner was sent this request: after that, a refusal is not "not run". */
  readonly sent: boolean;
  /** When the runner evicts the finished prefill. */
  readonly keptUntil: number;
  /** Runner that failed this request last; it is tried last. */
  readonly lastFailedRunner: string | undefined;
  /** Output tokens the caller has from earlier runners. */
  readonly resumedTokens: number;
  /** Output length up to which the request has been counted in the learnt distribution. */
  readonly countedTokens: number;
  /** Batch that the request joined, for learning time between tokens. */
  readonly batch: number;
}

/** Everything a policy may look at. */
export interface CellView {
  readonly policy: CellPolicy;
  readonly capacity: CellCapacity;
  readonly outputs: OutputLengths;
  readonly costs: Costs;
  readonly waiting: QueueView;
  readonly prefixes: PrefixPrediction;
  readonly health: Health;
  /** Requests that hold a decode slot and stream. */
  readonly decoding: Iterable<CellRequest>;
  /** Prefills given or finished whose request holds no decode slot yet. */
  readonly awaitingSlot: number;
  readonly margins: ForecastMargins;
  /** Fading mean of prefill cost after cache hits, in milliseconds. */
  readonly meanPrefillMs: number;
}
