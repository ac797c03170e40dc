/**
 * Exact account of the KV cache that was given out on each decode runner, and of
 * the prompts given to each prefill runner.
 *
 * Runners admit by memory long before their slots are full. A request that comes
 * to a full runner is turned away after its prompt was read for nothing, and one
 * that outgrows the memory pushes another out in the middle of its stream.
 */

import type { Engine, Runner } from '../routing/types';
import type { Costs } from './cost';
import { roundUpToBlocks, generatedTokens, peakTokens } from './growth';
import { ReportedPace } from './pace';
import type { MemoryRules, EjectionRules } from './policy';
import type { FailureScore } from './ejection';
import { NO_FAILURES } from './ejection';
import type { Demand } from './types';

/** A request in its place on a decode runner. */
export interface Allocation {
  readonly demand: Demand;
  readonly grantedAt: number;
  /** Output tokens that are expected of it. */
  expectedTokens: number;
  /** By how many tokens that is usually off. */
  readonly deviationTokens: number;
  /** When decoding began. */
  startedAt: number | undefined;
  /** Whether the decode runner reads the prompt itself. */
  readonly isLocalPrefill: boolean;
}

/** A decode runner and what it holds. */
export interface DecodeState {
  readonly runner: Runner;
  readonly memoryTokens: number;
  readonly allocations: Map<string, Allocation>;
  /** Tokens in use there that this account does not know of, from reports. */
  unexplainedTokens: number;
  /** Tokens given back a moment ago, which a late report may still count. */
  readonly freed: { readonly at: number; readonly tokens: number }[];
  /** No work until then, while it changes its stage. */
  switchingUntil: number;
  failureScore: FailureScore;
  /** Measured time of a token against that of the engine; 1.3 is a runner slower by 30 %. */
  slowness: number;
  readonly pace: ReportedPace;
}

/** A prompt that a prefill runner works on. */
export interface PendingPrompt {
  readonly tokens: number;
  readonly queuedAt: number;
  /** Tokens that the runner had to read before it. */
  readonly aheadTokens: number;
}

/** A prefill runner and the prompts given to it. */
export interface PrefillState {
  readonly runner: Runner;
  readonly pending: Map<string, PendingPrompt>;
  /** Measured time against expected time; 1.3 is a runner slower by 30 %. */
  slowness: number;
  switchingUntil: number;
  failureScore: FailureScore;
}

/** A report that still counts a request that has ended looks back at most this far, in milliseconds. */
const REPORT_LAG_MS = 1500;
/** Tokens by which report and account may differ for rounding and for requests on their way. */
const REPORT_SLACK_TOKENS = 1500;

/** Time after which a prompt that a decode runner reads itself was read or never will be, in milliseconds: three times that of the largest. */
const READ_LIMIT_MS = 1200;

/** Whether the decode runner of a request reads its prompt itself at the moment. */
function isBeingRead(
  now: number,
  { isLocalPrefill: direct, startedAt, grantedAt }: Allocation,
): boolean {
  return direct && startedAt === undefined && now - grantedAt < READ_LIMIT_MS;
}

/** Whether a decode runner reads a prompt itself at the moment. */
export function isPrefillingLocally(now: number, { allocations: holders }: DecodeState): boolean {
  return [...holders.values()].some((holder) => isBeingRead(now, holder));
}

/** Time for which the streams of a decode runner show that it read a prompt itself, in milliseconds: the events over which their pace is taken. */
const READ_SHOWS_MS = 800;

/** Whether a decode runner's streams are slow because it reads a prompt itself, or did a moment ago. */
export function isSlowedByLocalPrefill(
  now: number,
  { allocations: holders }: DecodeState,
): boolean {
  return [...holders.values()].some((holder) => {
    const { isLocalPrefill: direct, startedAt } = holder;
    const wasReading = direct && startedAt !== undefined && now - startedAt < READ_SHOWS_MS;
    return wasReading || isBeingRead(now, holder);
  });
}

/** When a request will probably give its memory back. */
export function expectedEndOf(now: number, holder: Allocation, tokenMs: number): number {
  const { expectedTokens, startedAt, grantedAt } = holder;
  const from = startedAt ?? grantedAt;
  return Math.max(now + tokenMs, from + expectedTokens * tokenMs);
}

/** By how many tokens the outputs of all are usually off together; single ones are off in both ways. */
function deviationOf(holders: Iterable<Allocation>): number {
  let squared = 0;
  for (const { deviationTokens } of holders) squared += deviationTokens * deviationTokens;
  return Math.sqrt(squared);
}

/** Runners of one stage that may get work: those that are not changing and, unless too many are not, trusted. */
export function eligibleOf<T extends DecodeState | PrefillState>(
  now: number,
  states: Iterable<T>,
  { maxEjectedShare: distrustedPart }: EjectionRules,
): readonly T[] {
  const steady = [...states].filter(({ switchingUntil: avoidUntil }) => now >= avoidUntil);
  const trusted = steady.filter(({ failureScore: trust }) => now >= trust.ejectedUntil);
  return trusted.length >= steady.length * (1 - distrustedPart) ? trusted : steady;
}

/** All runners of one service. */
export class MemoryAccount {
  readonly decode = new Map<string, DecodeState>();

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

  /** Tokens that may still be given out at a runner. */
  freeTokens(now: number, state: DecodeState): number {
    if (now < state.switchingUntil) return 0;
    const { reservableShare: fill, deviationFactor: deviations, peak } = this.#rules;
    const taken = peak.estimate(now, state.allocations.values(), this.tokenMs(state));
    const margin = deviations * deviationOf(state.allocations.values());
    return Math.max(0, state.memoryTokens * fill - state.unexplainedTokens - taken - margin);
  }

  /** Runners that get no work for now because of how their requests went. */
  ejected(now: number): readonly string[] {
    return [...this.prefill.values(), ...this.decode.values()]
      .filter(({ failureScore: trust }) => now < trust.ejectedUntil)
      .map(({ runner }) => runner.id);
  }

  /** Takes over the runners that may get work; the account of others is dropped, since nothing more is given to them. */
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

  /** Compares a runner's own word with the account; what is not explained is somebody else's. */
  applyReport(now: number, id: string, usedTokens: number): void {
    const state = this.decode.get(id);
    if (!state) return;
    while ((state.freed[0]?.at ?? Infinity) < now - REPORT_LAG_MS) state.freed.shift();
    let known = REPORT_SLACK_TOKENS;
    for (const { tokens } of state.freed) known += tokens;
    const tokenMs = this.tokenMs(state);
    for (const holder of state.allocations.values()) known += peakTokens(now, holder, tokenMs);
    state.unexplainedTokens = Math.max(0, usedTokens - known);
  }

  /**
   * A request that somebody else placed has become known. Where the runner's last
   * report must have counted it already, it is no longer unexplained there.
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

  /** Takes a request off its decode runner. */
  release(now: number, runner: string, id: string): void {
    const state = this.decode.get(runner);
    const holder = state?.allocations.get(id);
    if (!state || !holder) return;
    state.allocations.delete(id);
    state.freed.push({ at: now, tokens: peakTokens(now, holder, this.tokenMs(state)) });
  }
}
