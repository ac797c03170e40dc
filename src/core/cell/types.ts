/** Types of a cell: the bounded set of runners of one service that one scheduler assigns work to. */

import type { CodeName } from '../codes';
import { blockFingerprints } from '../fingerprint';

/** Work that a runner does: `prefill` or `decode` for a model, or `plain` calls. */
export type RunnerRole = 'prefill' | 'decode' | 'plain';

/** A runner, as described in the operators' settings. */
export interface Runner {
  readonly id: string;
  readonly role: RunnerRole;
  readonly domain: string;
  /** Maximum number of requests it runs concurrently. */
  readonly slots: number;
  /** KV cache capacity, in tokens. */
  readonly memoryTokens: number;
  /** Name of the network link over which its KV cache is transferred to other runners. */
  readonly link: string;
}

/** Urgency of a request; `interactive` goes before `batch`. */
export type Tier = 'interactive' | 'batch';

/** A request to be scheduled. Times are milliseconds on the owner's clock. */
export interface Arrival {
  readonly id: string;
  readonly team: string;
  readonly tier: Tier;
  readonly promptTokens: number;
  /** Maximum number of output tokens the caller accepts. */
  readonly maxTokens: number;
  /** Time by which the first token is due. */
  readonly deadline: number;
  /** Prefix block hashes, first block first. */
  readonly blocks: readonly number[];
  /** Identical for all attempts of one request; undefined if the gateway sends none. */
  readonly fingerprint?: string | undefined;
}

/** What crashes of engines may count against: a request's own fingerprint and those of its prompt blocks. */
export function fingerprintsOf({ fingerprint, blocks }: Arrival): readonly string[] {
  const own = fingerprint === undefined ? [] : [fingerprint];
  return [...own, ...blockFingerprints(blocks)];
}

/** Load reported by a runner. It is always delayed. */
export interface LoadReport {
  readonly runner: string;
  /** Time of the measurement at the runner. */
  readonly asOf: number;
  readonly running: number;
  readonly leaving: boolean;
}

/** An event that the cell processes. */
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
      /** Output tokens that the caller has already received. */
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
  /** Runners whose VM the platform lists as leaving, or that operators drain. */
  | { readonly kind: 'departing'; readonly runners: readonly string[] }
  | { readonly kind: 'woke' };

/**
 * Why a runner did not finish a step. With `full` and `evicted` the runner itself reports that
 * it ran nothing, with `leaving` it refuses work because it is leaving, with `unreachable` no
 * connection was established, and with `lost` the outcome is unknown.
 */
export type FailureReason = 'full' | 'evicted' | 'leaving' | 'unreachable' | 'lost';

/** A request that ran under a previous owner, as reported to the new one. */
export interface Adoption {
  readonly arrival: Arrival;
  readonly stage: 'prefilling' | 'prefilled' | 'decoding';
  readonly prefillRunner: string | undefined;
  readonly decodeRunner: string | undefined;
}

/** An action that the cell's host carries out. */
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
  /** Weight of prefill work that is discarded. */
  readonly wasteWeight: number;
  /** Target time between tokens, in milliseconds. */
  readonly tokenTargetMs: number;
  /** Maximum number of queued requests. */
  readonly queueLimit: number;
  /** How long an engine keeps a finished prefill, in milliseconds. */
  readonly keepMs: number;
  /** Initial estimate of the prefill cost (fixed and per token), in milliseconds; corrected by observed outcomes. */
  readonly prefillBaseMs: number;
  readonly prefillTokenMs: number;
  /** Link rate in tokens of KV cache per millisecond. */
  readonly linkTokensPerMs: number;
  /** Initial estimate of the time between tokens, in milliseconds: a base plus an amount for each request in the batch. */
  readonly decodeBaseMs: number;
  readonly decodeSlotMs: number;
  /** Initial estimate of the output tokens of a request. */
  readonly outputTokens: number;
  /** Weights of teams; a team that is not listed has weight 1. */
  readonly shares: Readonly<Record<string, number>>;
}
