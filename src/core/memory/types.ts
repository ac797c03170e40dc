/** Types of the planner, which decides by KV cache memory which requests start on which runners. */

import type { Engine, Runner } from '../routing/types';

/** A request for a reservation. Times are milliseconds on the planner's clock. */
export interface Demand {
  readonly id: string;
  /** VM that sent the request. */
  readonly vm: string;
  /** Customer of the request; undefined if it names none. */
  readonly customer: string | undefined;
  /** Priority; 0 is the highest. */
  readonly rank: number;
  /**
   * Identifies the prompt, equal in all attempts of one caller; undefined if the caller names none.
   */
  readonly promptId: string | undefined;
  readonly promptTokens: number;
  /** Upper limit of the output tokens. */
  readonly maxOutputTokens: number;
  /** The caller's estimate of its output tokens; undefined if there is none. */
  readonly hintTokens: number | undefined;
  /** Deadline of the first event. */
  readonly dueAt: number;
  /**
   * Longest pause between events with which the answer is still on time, in milliseconds; 0 if
   * there is no limit.
   */
  readonly gapMs: number;
  /** When the caller disconnects if no event has arrived. */
  readonly lostAt: number;
  /** When the caller's time budget ends, after which the rest of the answer is lost. Default: never */
  readonly endsBy?: number | undefined;
  /** Whether an earlier attempt of the same caller was seen. */
  readonly returned: boolean;
  /** Whether the caller has already received a part of the answer. */
  readonly resuming: boolean;
  /** Software version that began the answer, which its decode runner must have. Default: any. */
  readonly version?: string | undefined;
  /** Whether its decode runner has to prefill the prompt itself, since the request may be sent to one runner only. Default: false */
  readonly prefillsLocally?: boolean | undefined;
  /** Runners that failed this request and should not get it again. */
  readonly avoid: readonly string[];
}

/**
 * Where a request is prefilled and where it is expected to decode; the decode runner is final once
 * it is assigned.
 */
export interface Grant {
  /** Undefined if the decode runner prefills the prompt itself. */
  readonly prefill: string | undefined;
  readonly decode: string;
}

/** A reservation that a gateway holds, as reported to a new owner. */
export interface Holding {
  readonly demand: Demand;
  readonly grant: Grant;
  /** When decoding began; undefined if it has not. */
  readonly startedAt: number | undefined;
}

/** The id of the request of a reservation: reservations add their number to it, after a slash. */
export function requestOf(id: string): string {
  const end = id.lastIndexOf('/');
  return end < 0 ? id : id.slice(0, end);
}

/** A request that runs on a runner. */
export interface ReportedRun {
  /** Id of the request, the same for all of its reservations. */
  readonly request: string;
  /** Tokens in memory. */
  readonly tokens: number;
}

/** A runner's report of its memory; some hundred milliseconds old. */
export interface MemoryReport {
  /** Id of the runner instance that sent the report. */
  readonly runner: string;
  /** Tokens in use that cannot be evicted. */
  readonly usedTokens: number;
  /** Running requests; undefined if the runner does not report them. */
  readonly runs?: readonly ReportedRun[];
}

/** Input of the planner. */
export type PlanEvent =
  | { readonly kind: 'asked'; readonly demand: Demand }
  | {
      readonly kind: 'prefilled';
      readonly id: string;
      readonly ms: number;
      /**
       * The decode runner that could not be reached; the prefilled KV cache is still at the prefill
       * runner.
       */
      readonly unreachable: string | undefined;
      /**
       * The decode runner that got nothing, since it takes no requests any more; the prefilled KV
       * cache is still at the prefill runner. Default: none.
       */
      readonly unavailable?: string | undefined;
      /** The decode runner that rejected the request. */
      readonly shedBy: string | undefined;
    }
  | { readonly kind: 'started'; readonly id: string }
  | { readonly kind: 'finished'; readonly id: string; readonly outputTokens: number }
  /** The pauses between its events are too long: the decode runner is slow. */
  | { readonly kind: 'slow'; readonly id: string }
  /** The request ended without a complete answer; `blame` is the runner that caused it, if any. */
  | { readonly kind: 'released'; readonly id: string; readonly blame: string | undefined }
  /** All reservations that a VM holds. */
  | { readonly kind: 'told'; readonly vm: string; readonly holdings: readonly Holding[] }
  /** Runners want no requests of a VM until some time. */
  | {
      readonly kind: 'backedOff';
      readonly vm: string;
      readonly backoffs: readonly { readonly runner: string; readonly until: number }[];
    }
  /** A VM is gone, and with it the callers of its requests. */
  | { readonly kind: 'vmLost'; readonly vm: string }
  | { readonly kind: 'reported'; readonly report: MemoryReport }
  /** A runner that had failed requests did not answer a check either. */
  | { readonly kind: 'silent'; readonly runner: string }
  /** Such a runner answers again. */
  | { readonly kind: 'answered'; readonly runner: string }
  | {
      readonly kind: 'runners';
      readonly engine: Engine;
      readonly runners: readonly Runner[];
      /** Whether requests of different ranks are ordered by rank. Default: false. */
      readonly byRank?: boolean | undefined;
    }
  | { readonly kind: 'woke' };

/**
 * Why a request is refused. `memory`, `prefill`: no capacity before its caller disconnects; `paused`:
 * no decode runner accepts requests of its VM before then; `version`: no runner of its software
 * version is free before then; `late`: it misses its deadline, and no capacity is left for it;
 * `unassigned`: it was prefilled and found no decode memory; `runnerFull`: its decode runner rejected
 * it; `localPrefill`: no decode runner can prefill it now.
 */
export type RefusalReason =
  | 'memory'
  | 'prefill'
  | 'paused'
  | 'version'
  | 'late'
  | 'unassigned'
  | 'runnerFull'
  | 'localPrefill';

/** What was expected for a waiting request when it was refused. Times in milliseconds from then. */
export interface RefusalForecast {
  /** Number of waiting requests before it. */
  readonly place: number;
  /** Time until its turn by memory, prefill capacity and pauses. */
  readonly waitMs: number;
  /** The same with the capacity left for late requests. */
  readonly lateMs: number;
  /** Time until it has to start for its deadline, and until its caller disconnects. */
  readonly dueInMs: number;
  readonly lostInMs: number;
}

/** Why a request was refused, for the log. */
export interface RefusalCause {
  readonly rank: number;
  readonly reason: RefusalReason;
  /** Undefined if it did not wait in the queue. */
  readonly forecast?: RefusalForecast | undefined;
}

/** Decision of the planner. */
export type PlanAction =
  | { readonly kind: 'grant'; readonly id: string; readonly grant: Grant }
  /** The prefill is done, and this decode runner has memory for the request. */
  | { readonly kind: 'bind'; readonly id: string; readonly decode: string }
  | {
      readonly kind: 'refuse';
      readonly id: string;
      readonly retryAfterMs: number;
      readonly cause: RefusalCause;
    };
