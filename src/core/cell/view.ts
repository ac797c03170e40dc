/** Read-only view of a cell's state, for its policies. */

import type { Costs } from './costs';
import type { Health } from './health';
import type { ForecastMargins } from './margins';
import type { OutputLengths } from './outputs';
import type { CellCapacity } from './capacity';
import type { PrefixPrediction } from './prefixes';
import type { QueueView } from './shares';
import type { Arrival, CellPolicy } from './types';

/** Processing stage of a request. */
export type Stage = 'queued' | 'prefilling' | 'prefilled' | 'transferring' | 'decoding';

/** A request inside the cell. */
export interface CellRequest {
  readonly arrival: Arrival;
  readonly stage: Stage;
  /** Start time of the stage. */
  readonly since: number;
  readonly prefillRunner: string | undefined;
  readonly decodeRunner: string | undefined;
  /** Prompt blocks predicted to be cached when the prefill was assigned. */
  readonly hitBlocks: number;
  /** Time of the first token that was forecast at admission, in milliseconds after the arrival. */
  readonly forecastMs: number;
  /** Arrival time of the request. */
  readonly arrivedAt: number;
  /** Whether the request was ever sent to a runner. A later refusal cannot say "not run". */
  readonly sent: boolean;
  /** Time at which the runner evicts the finished prefill. */
  readonly keptUntil: number;
  /** Runner that last failed this request; it is only chosen if there is no other. */
  readonly lastFailedRunner: string | undefined;
  /** Number of output tokens that the caller has received from previous runners. */
  readonly resumedTokens: number;
  /** Output length up to which the request is recorded in the learnt distribution, in tokens. */
  readonly countedTokens: number;
  /** Size of the batch that the request joined, for learning the time between tokens. */
  readonly batch: number;
}

/** State that a policy may read. */
export interface CellView {
  readonly policy: CellPolicy;
  readonly capacity: CellCapacity;
  readonly outputs: OutputLengths;
  readonly costs: Costs;
  readonly waiting: QueueView;
  readonly prefixes: PrefixPrediction;
  readonly health: Health;
  /** Requests that are decoding. */
  readonly decoding: Iterable<CellRequest>;
  /** Number of requests whose prefill is assigned or finished and that have no decode slot yet. */
  readonly awaitingSlot: number;
  readonly margins: ForecastMargins;
  /** Exponential moving average of the prefill cost after cache hits, in milliseconds. */
  readonly meanPrefillMs: number;
}
