/** Types of the planner: who may start on which runners, decided by KV cache memory. */

import type { Engine, Runner } from '../routing/types';

/** A request for a place. Times are milliseconds on the planner's clock. */
export interface Demand {
  readonly id: string;
  /** VM that asked and that holds the request. */
  readonly vm: string;
  /** Whose it is. Default: nobody's. */
  readonly customer: string | undefined;
  /** 0 first. */
  readonly rank: number;
  /** Names the prompt, the same in all tries of one caller. Default: the caller tells none. */
  readonly promptId: string | undefined;
  readonly promptTokens: number;
  /** Most output tokens. */
  readonly maxOutputTokens: number;
  /** The caller's own guess at its output tokens. Default: none. */
  readonly hintTokens: number | undefined;
  /** When the first event is due. */
  readonly dueAt: number;
  /** Longest pause between events with which the answer is on time, in milliseconds; 0 if none is set. */
  readonly gapMs: number;
  /** When the caller will have left if no event came. */
  readonly lostAt: number;
  /** Whether the caller asked for it before. */
  readonly returned: boolean;
  /** Whether the caller has a part of the answer already. */
  readonly resuming: boolean;
  /** Runners that failed this request and should not get it again. */
  readonly avoid: readonly string[];
}

/** Where a request is prefilled and where it will probably decode; the latter is certain once it is bound. */
export interface Grant {
  /** Undefined if the decode runner reads the prompt itself. */
  readonly prefill: string | undefined;
  readonly decode: string;
}

/** A place that a gateway holds, as told to a new owner. */
export interface Holding {
  readonly demand: Demand;
  readonly grant: Grant;
  /** When decoding began. Default: it has not. */
  readonly startedAt: number | undefined;
}

/** A request that a runner runs. */
export interface ReportedRun {
  /** Id of the request, whichever of its places it has. */
  readonly request: string;
  /** Tokens in memory. */
  readonly tokens: number;
}

/** What a runner says of its memory; some hundred milliseconds old. */
export interface MemoryReport {
  /** Id of the start that told it. */
  readonly runner: string;
  /** Tokens that cannot yield. */
  readonly usedTokens: number;
  /** What it runs. Default: it does not tell. */
  readonly runs?: readonly ReportedRun[];
}

/** What happened. */
export type PlanEvent =
  | { readonly kind: 'asked'; readonly demand: Demand }
  | {
      readonly kind: 'prefilled';
      readonly id: string;
      readonly ms: number;
      /** The decode runner that could not be reached; what was read still lies at the prefill runner. */
      readonly unreachable: string | undefined;
      /** The decode runner that turned the request away. */
      readonly shedBy: string | undefined;
    }
  | { readonly kind: 'started'; readonly id: string }
  | { readonly kind: 'finished'; readonly id: string; readonly outputTokens: number }
  /** Its events come far apart: the decode runner is slow. */
  | { readonly kind: 'slow'; readonly id: string }
  /** The request left its place without a whole answer; `runner` is whom it holds to blame. */
  | { readonly kind: 'released'; readonly id: string; readonly blame: string | undefined }
  /** All places that a VM holds. */
  | { readonly kind: 'told'; readonly vm: string; readonly holdings: readonly Holding[] }
  /** A VM is gone and with it the callers of its requests. */
  | { readonly kind: 'vmLost'; readonly vm: string }
  | { readonly kind: 'reported'; readonly report: MemoryReport }
  | { readonly kind: 'runners'; readonly engine: Engine; readonly runners: readonly Runner[] }
  | { readonly kind: 'woke' };

/** What the planner decided. */
export type PlanAction =
  | { readonly kind: 'grant'; readonly id: string; readonly grant: Grant }
  /** The prefill is done and this decode runner has room for it. */
  | { readonly kind: 'bind'; readonly id: string; readonly decode: string }
  | { readonly kind: 'refuse'; readonly id: string; readonly retryAfterMs: number };
