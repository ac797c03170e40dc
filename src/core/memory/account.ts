/**
 * Exact account of the KV cache memory reserved on each decode runner and of the prompts queued at
 * each prefill runner.
 *
 * Memory runs out long before the slots of a runner do. A full decode runner rejects a request
 * after its prompt was prefilled, which wastes that prefill, and a request that outgrows the memory
 * preempts another one in the middle of its stream.
 */

import type { Engine, Runner } from '../routing/types';
import type { Costs } from './cost';
import { roundUpToBlocks, generatedTokens, peakTokens } from './growth';
import { ReportedPace } from './pace';
import type { MemoryRules, EjectionRules } from './policy';
import type { FailureScore } from './ejection';
import { NO_FAILURES } from './ejection';
import type { Demand, ReportedRun } from './types';
import { requestOf } from './types';

/** Memory allocated to a request on a decode runner. */
export interface Allocation {
  readonly demand: Demand;
  readonly grantedAt: number;
  /** Expected number of output tokens. */
  expectedTokens: number;
  /** Usual error of that estimate, in tokens. */
  readonly deviationTokens: number;
  /** When decoding began; undefined if it has not. */
  startedAt: number | undefined;
  /** Whether the decode runner prefills the prompt itself. */
  readonly isLocalPrefill: boolean;
  /** Expected time of that, in milliseconds. */
  readonly localPrefillMs: number;
}

/** A time span in milliseconds. */
export interface Span {
  readonly from: number;
  readonly to: number;
}

/** A decode runner and its allocations. */
export interface DecodeState {
  readonly runner: Runner;
  /** Total KV cache memory, in tokens. */
  readonly memoryTokens: number;
  /** Allocations by request id. */
  readonly allocations: Map<string, Allocation>;
  /** Tokens that the runner reports as used and that this account does not explain. */
  unexplainedTokens: number;
  /** Tokens freed recently, which a delayed report may still include. */
  readonly freed: { readonly at: number; readonly id: string; readonly tokens: number }[];
  /** The runner gets no work before this time, since it is changing its stage. */
  switchingUntil: number;
  /** Failure score by the results of its requests. */
  failureScore: FailureScore;
  /** Measured time of a token relative to the engine's usual time; 1.3 is 30 % slower. */
  slowness: number;
  /** Token time by the runner's reports. */
  readonly pace: ReportedPace;
  /** The last local prefills that ended. */
  readonly localPrefills: Span[];
}

/** A prompt queued or running at a prefill runner. */
export interface PendingPrompt {
  readonly tokens: number;
  /** When the prompt was queued. */
  readonly queuedAt: number;
  /** Prompt tokens that were queued at the runner before this one. */
  readonly aheadTokens: number;
}

/** A prefill runner and its pending prompts. */
export interface PrefillState {
  readonly runner: Runner;
  /** Pending prompts by request id. */
  readonly pending: Map<string, PendingPrompt>;
  /** Measured prefill time relative to the expected time; 1.3 is 30 % slower. */
  slowness: number;
  /** The runner gets no work before this time, since it is changing its stage. */
  switchingUntil: number;
  /** Failure score by the results of its requests. */
  failureScore: FailureScore;
}

/** Time for which a report may still include a request that has ended, in milliseconds. */
const REPORT_LAG_MS = 1500;
/**
 * Tolerated difference between report and account, in tokens: block rounding and requests in
 * transit.
 */
const REPORT_SLACK_TOKENS = 1500;

/**
 * A local prefill is done or has failed after this time, in milliseconds, or after
 * `LOCAL_PREFILL_LIMIT_FACTOR` times its expected time if that is longer. With the fixed time alone,
 * long prompts were prefilled two at a time on one runner.
 */
const LOCAL_PREFILL_LIMIT_MS = 1200;
const LOCAL_PREFILL_LIMIT_FACTOR = 2;

/** Whether the decode runner of an allocation is prefilling its prompt at the moment. */
function isInLocalPrefill(
  now: number,
  { isLocalPrefill, startedAt, grantedAt, localPrefillMs }: Allocation,
): boolean {
  const limitMs = Math.max(LOCAL_PREFILL_LIMIT_MS, LOCAL_PREFILL_LIMIT_FACTOR * localPrefillMs);
  return isLocalPrefill && startedAt === undefined && now - grantedAt < limitMs;
}

/** Whether a decode runner is running a local prefill at the moment. */
export function isPrefillingLocally(now: number, { allocations }: DecodeState): boolean {
  return [...allocations.values()].some((allocation) => isInLocalPrefill(now, allocation));
}

/** Number of ended local prefills that are kept for each runner: those during one stream. */
const MAX_LOCAL_PREFILLS = 16;

/** Records a local prefill that ended. */
export function recordLocalPrefillSpan({ localPrefills }: DecodeState, span: Span): void {
  localPrefills.push(span);
  if (localPrefills.length > MAX_LOCAL_PREFILLS) localPrefills.shift();
}

/** Time since `from` in which a decode runner ran a local prefill, in milliseconds. */
export function localPrefillMsSince(now: number, state: DecodeState, from: number): number {
  let ms = 0;
  for (const span of state.localPrefills) ms += Math.max(0, span.to - Math.max(from, span.from));
  for (const allocation of state.allocations.values()) {
    if (isInLocalPrefill(now, allocation)) ms += now - Math.max(from, allocation.grantedAt);
  }
  return Math.min(ms, now - from);
}

/**
 * Time for which a finished local prefill still slows the measured pace of the other streams on
 * that runner, in milliseconds: the span of events over which the pace is measured.
 */
const LOCAL_PREFILL_EFFECT_MS = 800;

/** Whether a current or recent local prefill explains slow streams on a decode runner. */
export function isSlowedByLocalPrefill(now: number, { allocations }: DecodeState): boolean {
  return [...allocations.values()].some((allocation) => {
    const { isLocalPrefill, startedAt } = allocation;
    const hadLocalPrefill =
      isLocalPrefill && startedAt !== undefined && now - startedAt < LOCAL_PREFILL_EFFECT_MS;
    return hadLocalPrefill || isInLocalPrefill(now, allocation);
  });
}

/** Expected time at which an allocation is freed. */
export function expectedEndOf(now: number, allocation: Allocation, tokenMs: number): number {
  const { expectedTokens, startedAt, grantedAt } = allocation;
  const from = startedAt ?? grantedAt;
  return Math.max(now + tokenMs, from + expectedTokens * tokenMs);
}

/**
 * Usual error of the summed output estimates, in tokens; errors of single requests partly cancel
 * out.
 */
function deviationOf(allocations: Iterable<Allocation>): number {
  let squared = 0;
  for (const { deviationTokens } of allocations) squared += deviationTokens * deviationTokens;
  return Math.sqrt(squared);
}

/**
 * Runners of one stage that may get work: those that are not changing their stage and are not
 * ejected. If too many are ejected, the ejected ones are included.
 */
export function eligibleOf<T extends DecodeState | PrefillState>(
  now: number,
  states: Iterable<T>,
  { maxEjectedShare }: EjectionRules,
): readonly T[] {
  const notSwitching = [...states].filter(({ switchingUntil }) => now >= switchingUntil);
  const notEjected = notSwitching.filter(({ failureScore }) => now >= failureScore.ejectedUntil);
  return notEjected.length >= notSwitching.length * (1 - maxEjectedShare)
    ? notEjected
    : notSwitching;
}

/** Tokens of the reported requests that have no allocation on the runner and did not end there recently. */
function unknownTokens({ allocations, freed }: DecodeState, runs: readonly ReportedRun[]): number {
  const known = new Set([...allocations.keys(), ...freed.map(({ id }) => id)].map(requestOf));
  const unknown = runs.filter(({ request }) => !known.has(request));
  return unknown.reduce((sum, { tokens }) => sum + tokens, 0);
}

/** The account of all runners of one service. */
export class MemoryAccount {
  /** Decode runners by id. */
  readonly decode = new Map<string, DecodeState>();

  /** Prefill runners by id. */
  readonly prefill = new Map<string, PrefillState>();

  readonly #rules: MemoryRules;

  readonly #costs: Costs;

  constructor(rules: MemoryRules, costs: Costs) {
    this.#rules = rules;
    this.#costs = costs;
  }

  /** Time of an output token on a decode runner, in milliseconds. */
  tokenMs({ slowness }: DecodeState): number {
    return this.#costs.tokenMs * slowness;
  }

  /** Tokens that can still be reserved at a runner. */
  freeTokens(now: number, state: DecodeState): number {
    if (now < state.switchingUntil) return 0;
    const { reservableShare, deviationFactor, peak } = this.#rules;
    const taken = peak.estimate(now, state.allocations.values(), this.tokenMs(state));
    const margin = deviationFactor * deviationOf(state.allocations.values());
    return Math.max(
      0,
      state.memoryTokens * reservableShare - state.unexplainedTokens - taken - margin,
    );
  }

  /** Runners that are ejected at the moment because their requests failed or were slow. */
  ejected(now: number): readonly string[] {
    return [...this.prefill.values(), ...this.decode.values()]
      .filter(({ failureScore }) => now < failureScore.ejectedUntil)
      .map(({ runner }) => runner.id);
  }

  /**
   * Sets the runners that may get work. The accounts of all others are dropped, since they get no
   * more requests.
   */
  setRunners(engine: Engine, runners: readonly Runner[]): void {
    const listed = new Map(runners.map(({ id, role }) => [id, role]));
    for (const runner of runners) {
      if (runner.role === 'decode' && !this.decode.has(runner.id)) {
        this.decode.set(runner.id, {
          runner,
          memoryTokens: engine.memoryTokens,
          allocations: new Map(),
          unexplainedTokens: 0,
          freed: [],
          switchingUntil: 0,
          failureScore: NO_FAILURES,
          slowness: 1,
          pace: new ReportedPace(),
          localPrefills: [],
        });
      }
      if (runner.role === 'prefill' && !this.prefill.has(runner.id)) {
        this.prefill.set(runner.id, {
          runner,
          pending: new Map(),
          slowness: 1,
          switchingUntil: 0,
          failureScore: NO_FAILURES,
        });
      }
    }
    for (const id of this.decode.keys()) if (listed.get(id) !== 'decode') this.decode.delete(id);
    for (const id of this.prefill.keys()) {
      if (listed.get(id) !== 'prefill') this.prefill.delete(id);
    }
  }

  /**
   * Compares a runner's report with the account. Memory that the account does not explain belongs
   * to requests of other planners or clients. Where the runner names its requests, those that the
   * account does not know count whatever was freed here: while an owner that is cut off plans for its
   * callers, what ended within the report's lag would hide up to a third of a runner's memory.
   */
  applyReport(
    now: number,
    id: string,
    usedTokens: number,
    runs: readonly ReportedRun[] = [],
  ): void {
    const state = this.decode.get(id);
    if (!state) return;
    while ((state.freed[0]?.at ?? Infinity) < now - REPORT_LAG_MS) state.freed.shift();
    let explained = REPORT_SLACK_TOKENS;
    for (const { tokens } of state.freed) explained += tokens;
    const tokenMs = this.tokenMs(state);
    for (const entry of state.allocations.values()) explained += peakTokens(now, entry, tokenMs);
    state.unexplainedTokens = Math.max(0, usedTokens - explained, unknownTokens(state, runs));
  }

  /**
   * Adjusts the unexplained memory after a reservation of another planner has become known. If the
   * runner's last report must already have included the request, its tokens are no longer
   * unexplained.
   */
  explainReported(now: number, id: string, request: string): void {
    const state = this.decode.get(id);
    const { demand, startedAt } = state?.allocations.get(request) ?? {};
    if (!state || !demand || startedAt === undefined || now - startedAt < REPORT_LAG_MS) return;
    const tokens = roundUpToBlocks(
      demand.promptTokens + generatedTokens(now, startedAt, this.tokenMs(state)),
    );
    state.unexplainedTokens = Math.max(0, state.unexplainedTokens - tokens);
  }

  /** Frees the allocation of a request on its decode runner. */
  release(now: number, runner: string, id: string): void {
    const state = this.decode.get(runner);
    const allocation = state?.allocations.get(id);
    if (!state || !allocation) return;
    state.allocations.delete(id);
    state.freed.push({ at: now, id, tokens: peakTokens(now, allocation, this.tokenMs(state)) });
  }
}
