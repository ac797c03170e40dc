/** Types of a cell: the bounded set of runners of one service that one scheduler plans. */

import type { CodeName } from '../codes';

/** What a runner does: `prefill` and `decode` of a model, or `plain` calls. */
export type RunnerRole = 'prefill' | 'decode' | 'plain';

/** A runner as the operators' settings describe it. */
export interface Runner {
  readonly id: string;
  readonly role: RunnerRole;
  readonly domain: string;
  /** Requests it runs at once. */
  readonly slots: number;
  /** KV cache it holds, in tokens. */
  readonly memoryTokens: number;
  /** Name of the link its KV cache leaves by. */
  readonly link: string;
}

/** How urgent a request is; `interactive` goes before `batch`. */
export type Tier = 'interactive' | 'batch';

/** A request for a place. Times are milliseconds on the clock of the owner. */
export interface Arrival {
  readonly id: string;
  readonly team: string;
  readonly tier: Tier;
  readonly promptTokens: number;
  /** Most output tokens the caller accepts. */
  readonly maxTokens: number;
  /** When the first token is due. */
  readonly deadline: number;
  /** Prefix block hashes, first block first. */
  readonly blocks: readonly number[];
  /** The same for all attempts of one request. Default: its gateway tells none. */
  readonly fingerprint?: string | undefined;
}

/** What a runner last said of itself; always late. */
export interface LoadReport {
  readonly runner: string;
  /** When the runner looked. */
  readonly asOf: number;
  readonly running: number;
  readonly leaving: boolean;
}

/** What happened, as told to the cell. */
export type CellEvent =
  | { readonly kind: 'arrived'; readonly arrival: Arrival }
  | {
      readonly kind: 'prefilled';
      readonly id: string;
      readonly cachedTokens: number;
      readonly keptUntil: number;
    }
  | { readonly kind: 'started'; readonly id: string }
  | { readonly kind: 'finished'; readonly id: string; readonly tokens: number }
  | {
      readonly kind: 'failed';
      readonly id: string;
      readonly runner: string;
      readonly reason: FailureReason;
      /** Output tokens the caller has already. */
      readonly tokens: number;
    }
  | { readonly kind: 'cancelled'; readonly id: string }
  | { readonly kind: 'adopted'; readonly adoption: Adoption }
  | { readonly kind: 'reported'; readonly report: LoadReport }
  | {
      readonly kind: 'cached';
      readonly runner: string;
      readonly added: readonly number[];
      readonly removed: readonly number[];
    }
  | { readonly kind: 'runners'; readonly runners: readonly Runner[] }
  | { readonly kind: 'policy'; readonly policy: CellPolicy }
  /** Runners whose VM leaves by the platform's list, or that operators drain. */
  | { readonly kind: 'departing'; readonly runners: readonly string[] }
  | { readonly kind: 'woke' };

/**
 * Why a runner did not finish a step. `full` and `evicted` are its own word that it ran
 * nothing; no connection to an `unreachable` one came about; of a `lost` one nothing is known.
 */
export type FailureReason = 'full' | 'evicted' | 'leaving' | 'unreachable' | 'lost';

/** A request that ran under an earlier owner and is told to the new one. */
export interface Adoption {
  readonly arrival: Arrival;
  readonly stage: 'prefilling' | 'prefilled' | 'decoding';
  readonly prefillRunner: string | undefined;
  readonly decodeRunner: string | undefined;
}

/** What the cell wants done. */
export type CellAction =
  | { readonly kind: 'prefill'; readonly id: string; readonly runner: string }
  | {
      readonly kind: 'decode';
      readonly id: string;
      readonly runner: string;
      readonly source: string;
    }
  | {
      readonly kind: 'refuse';
      readonly id: string;
      readonly code: CodeName;
      readonly notRun: boolean;
      readonly retryAfterMs: number;
    };

/** Policy of a service, from its settings. */
export interface CellPolicy {
  /** Weight of a request completed within its targets. */
  readonly goodputWeight: number;
  /** Weight of prefill work thrown away. */
  readonly wasteWeight: number;
  /** Target between tokens, in milliseconds. */
  readonly tokenTargetMs: number;
  /** Requests that may wait. */
  readonly queueLimit: number;
  /** How long an engine keeps a finished prefill, in milliseconds. */
  readonly keepMs: number;
  /** First guess at prefill cost, corrected by outcomes: milliseconds. */
  readonly prefillBaseMs: number;
  readonly prefillTokenMs: number;
  /** Link rate in tokens of KV cache per millisecond. */
  readonly linkTokensPerMs: number;
  /** First guess at time between tokens: base plus this much for each request in the batch. */
  readonly decodeBaseMs: number;
  readonly decodeSlotMs: number;
  /** First guess at output tokens. */
  readonly outputTokens: number;
  /** Weights of teams; a team that is not named has weight 1. */
  readonly shares: Readonly<Record<string, number>>;
}
