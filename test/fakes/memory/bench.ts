/**
 * Simulates requests to stand-in engines in virtual time, with placement by the real
 * planner or by a simpler policy, and computes the results for their callers.
 */

import type { Demand, PlanAction, PlanEvent } from '../../../src/core/memory/types';
import type { Engine, Runner } from '../../../src/core/routing/types';
import { runnerOf } from '../runner';
import { Schedule } from '../virtual/schedule';
import { TARGET_MS, MemoryCaller, MAX_GAP_MS } from './caller';
import type { MemoryFigures, Slowness } from './engines';
import { DecodeEngine, PrefillEngine } from './engines';
import type { MemoryJob } from './load';

/** Decides when and at which runner each request starts: the planner or a baseline. */
export interface PlacementPolicy {
  /** Processes an event and returns the resulting actions; `now` is in milliseconds. */
  handle(now: number, event: PlanEvent): readonly PlanAction[];
}

/** Inputs of a simulation. */
export interface MemoryBenchOptions {
  readonly jobs: readonly MemoryJob[];
  readonly policy: PlacementPolicy;
  readonly figures: MemoryFigures;
  readonly prefillRunners: number;
  readonly decodeRunners: number;
  /** Speed of the runner with an index, prefill runners first. Default: the usual one. */
  readonly slownessOf?: (index: number) => Slowness;
  /** Whether decode runners report their running requests. Default: false. */
  readonly reportsRuns?: boolean;
  /** VM that a caller uses for an attempt. Default: one VM for all. */
  readonly vmOf?: (job: MemoryJob, attempt: number) => string;
}

/** Results of a simulation; `asked` to `failed` are numbers of requests. */
export interface MemoryResult {
  readonly asked: number;
  readonly inTime: number;
  readonly late: number;
  readonly refused: number;
  readonly failed: number;
  /** Value earned as a fraction of the value requested; a late response counts a fifth. */
  readonly worth: number;
  /** Wasted prefill tokens as a fraction of all prompt tokens. */
  readonly wasted: number;
  /** 95th percentile of the time that finally refused requests waited, in milliseconds. */
  readonly refusedAfterMs: number;
  /** Value earned by the largest tenth of the prompts, as a fraction of the value of these. */
  readonly worthOfLargest: number;
  /** Attempts of callers and runs at runners beyond the first of each request. */
  readonly repeats: number;
  /** Refusals while nothing else waited and a prefill and a decode runner were idle. */
  readonly refusedBesideIdle: number;
}

/** One-way latency between gateway and owner, or gateway and runner. */
export const LATENCY_MS = 1.5;
const MAX_WAIT_MS = 3600;
const DEADLINE_MS = 14_000;
const KEEP_MS = 500;
/** Time of a KV transfer between runners. */
export const KV_TRANSFER_MS = 20;
const WAKE_INTERVAL_MS = 25;
const REPORT_INTERVAL_MS = 1000;
const MAX_ATTEMPTS = 2;
/** Largest fraction of the time to the deadline that a caller waits before its retry. */
const MAX_BACKOFF_FRACTION = 1 / 3;
const SLOTS = 64;
/** Quantile of the prompt sizes from which a prompt counts as large. */
const LARGE_QUANTILE = 0.9;

/** Simulation of one set of requests; runs once. */
export class MemoryBench {
  readonly #options: MemoryBenchOptions;

  readonly #schedule = new Schedule();

  readonly #prefills = new Map<string, PrefillEngine>();

  readonly #decodes = new Map<string, DecodeEngine>();

  readonly #callers = new Map<string, MemoryCaller>();

  #wastedTokens = 0;

  #repeats = 0;

  #refusedBesideIdle = 0;

  /** Times that all runners have restarted. */
  #restarts = 0;

  constructor(options: MemoryBenchOptions) {
    this.#options = options;
    this.#startRunners('');
  }

  #startRunners(suffix: string): void {
    const { figures, prefillRunners, decodeRunners, slownessOf } = this.#options;
    for (let i = 0; i < prefillRunners; i += 1) {
      this.#prefills.set(`p${i}${suffix}`, new PrefillEngine(figures, slownessOf?.(i)));
    }
    const listener = {
      onEvent: (now: number, id: string) => this.#onEvent(now, id),
      onEnd: (now: number, id: string) => this.#onEnd(now, id),
    };
    for (let i = 0; i < decodeRunners; i += 1) {
      const slowness = slownessOf?.(prefillRunners + i);
      const engine = new DecodeEngine(figures, this.#schedule, listener, slowness);
      this.#decodes.set(`d${i}${suffix}`, engine);
    }
  }

  /** Schedules a fault; must be called before `run`. */
  at(ms: number, run: (now: number) => void): void {
    this.#schedule.add(ms, () => run(ms));
  }

  /** Ends all requests of VMs that crash; their callers send them again to another VM, as new ones. */
  loseVms(now: number, vms: ReadonlySet<string>): void {
    for (const caller of [...this.#callers.values()]) {
      const { job, decode } = caller;
      const isOpen = caller.state === 'waiting' || caller.state === 'away';
      if (isOpen && vms.has(this.#vmOf(job, caller.attempts))) {
        this.#decodes.get(decode ?? '')?.cancel(job.id);
        caller.disconnect();
        const again = new MemoryCaller({ ...job, id: `${job.id}+`, at: now + LATENCY_MS });
        this.#callers.set(again.job.id, again);
        this.#repeats += 1;
        this.#after(LATENCY_MS, (at) => this.#send(at, again));
      }
    }
  }

  /** All runners crash; all of them are listed again, empty, after a time in milliseconds. */
  restartRunners(now: number, afterMs: number): void {
    const lost = [...this.#callers.values()].filter(
      ({ state, prefilled, decode }) => state === 'waiting' && (prefilled || decode !== undefined),
    );
    const decodes = new Map(this.#decodes);
    this.#prefills.clear();
    this.#decodes.clear();
    this.#list(now);
    for (const caller of lost) {
      const { job, decode } = caller;
      const engine = decodes.get(decode ?? '');
      this.#dispatch(now, { kind: 'released', id: job.id, blame: undefined });
      caller.loseRun(engine?.producedOf(job.id) ?? 0);
      engine?.cancel(job.id);
      const demand = { ...this.#demandOf(now, caller), resuming: caller.hasEvents };
      this.#after(LATENCY_MS, (at) => this.#dispatch(at, { kind: 'asked', demand }));
    }
    this.#after(afterMs, (at) => {
      this.#restarts += 1;
      this.#startRunners(`@${this.#restarts}`);
      this.#list(at);
    });
  }

  /** Runs the simulation to the deadline of the last request. */
  run(): MemoryResult {
    const { jobs } = this.#options;
    this.#list(0);
    for (const job of jobs) {
      const caller = new MemoryCaller(job);
      this.#callers.set(job.id, caller);
      this.#schedule.add(job.at, () => this.#send(job.at, caller));
    }
    const untilMs = (jobs.at(-1)?.at ?? 0) + DEADLINE_MS;
    this.#every(WAKE_INTERVAL_MS, untilMs, (now) => this.#dispatch(now, { kind: 'woke' }));
    this.#every(REPORT_INTERVAL_MS, untilMs, (now) => this.#report(now));
    while (this.#schedule.next() < untilMs) this.#schedule.run();
    return this.#result();
  }

  /** Fraction of each customer's requests that were served in time; valid after `run`. */
  get served(): Readonly<Record<string, number>> {
    return servedFractions([...this.#callers.values()]);
  }

  /** All callers; valid after `run`. */
  get callers(): readonly MemoryCaller[] {
    return [...this.#callers.values()];
  }

  #list(now: number): void {
    const byRank = new Set(this.#options.jobs.map(({ rank }) => rank)).size > 1;
    const runners = this.#runners();
    this.#dispatch(now, { kind: 'runners', engine: this.#engine(), runners, byRank });
  }

  #vmOf(job: MemoryJob, attempt: number): string {
    return this.#options.vmOf?.(job, attempt) ?? 'vm1';
  }

  #every(periodMs: number, untilMs: number, run: (now: number) => void): void {
    for (let at = periodMs; at < untilMs; at += periodMs) this.#schedule.add(at, () => run(at));
  }

  #after(ms: number, run: (now: number) => void): void {
    const at = this.#schedule.now + ms;
    this.#schedule.add(at, () => run(at));
  }

  #report(now: number): void {
    for (const [runner, engine] of this.#decodes) {
      const { usedTokens, runs } = engine;
      const known = this.#options.reportsRuns ? { runs } : {};
      this.#dispatch(now, { kind: 'reported', report: { runner, usedTokens, ...known } });
    }
  }

  #engine(): Engine {
    const { memoryTokens, eventTokens } = this.#options.figures;
    return { slots: SLOTS, memoryTokens, eventTokens, keepMs: KEEP_MS, switchMs: undefined };
  }

  #runners(): readonly Runner[] {
    return [
      ...[...this.#prefills.keys()].map((id) => runnerOf(id, 'prefill')),
      ...[...this.#decodes.keys()].map((id) => runnerOf(id, 'decode')),
    ];
  }

  #send(now: number, caller: MemoryCaller): void {
    if (caller.attempts > 0) this.#repeats += 1;
    caller.startAttempt(now);
    const { attempts } = caller;
    const demand = this.#demandOf(now, caller);
    this.#schedule.add(demand.lostAt, () => this.#disconnect(demand.lostAt, caller, attempts));
    this.#after(LATENCY_MS, (at) => this.#dispatch(at, { kind: 'asked', demand }));
  }

  #demandOf(now: number, { job, attempts }: MemoryCaller): Demand {
    return {
      id: job.id,
      vm: this.#vmOf(job, attempts),
      customer: job.customer,
      rank: job.rank ?? 1,
      promptId: undefined,
      promptTokens: job.promptTokens,
      maxOutputTokens: job.maxOutputTokens,
      hintTokens: job.hintTokens,
      dueAt: job.at + TARGET_MS,
      gapMs: MAX_GAP_MS,
      lostAt: Math.min(now + MAX_WAIT_MS, job.at + DEADLINE_MS),
      returned: attempts > 1,
      resuming: false,
      avoid: [],
    };
  }

  /** Disconnects a caller that received no event within its waiting time. */
  #disconnect(now: number, caller: MemoryCaller, attempts: number): void {
    if (caller.state !== 'waiting' || caller.attempts !== attempts || caller.hasEvents) return;
    const { job, prefilled, decode } = caller;
    caller.disconnect();
    if (prefilled) this.#wastedTokens += job.promptTokens;
    this.#decodes.get(decode ?? '')?.cancel(job.id);
    this.#dispatch(now, { kind: 'released', id: job.id, blame: undefined });
  }

  #dispatch(now: number, event: PlanEvent): void {
    for (const action of this.#options.policy.handle(now, event)) {
      this.#after(LATENCY_MS, (at) => this.#execute(at, action));
    }
  }

  #execute(now: number, action: PlanAction): void {
    const caller = this.#callers.get(action.id);
    if (caller?.state !== 'waiting') return;
    if (action.kind === 'refuse') this.#refuse(now, caller, action.retryAfterMs);
    else if (action.kind === 'bind') this.#decode(now, caller, action.decode, true);
    else if (action.grant.prefill === undefined) {
      this.#decode(now, caller, action.grant.decode, false);
    } else this.#prefill(now, caller, action.grant.prefill);
  }

  #prefill(now: number, caller: MemoryCaller, runner: string): void {
    const { id, promptTokens } = caller.job;
    if (caller.prefilled) this.#wastedTokens += promptTokens;
    this.#countRun(caller);
    const { runs } = caller;
    caller.startPrefill();
    const doneAt = this.#prefills.get(runner)?.prefill(now, promptTokens) ?? now;
    this.#schedule.add(doneAt + LATENCY_MS, () => {
      if (caller.state !== 'waiting' || caller.runs !== runs) return;
      const prefilled = { kind: 'prefilled', id, ms: doneAt - now } as const;
      this.#dispatch(doneAt + LATENCY_MS, {
        ...prefilled,
        unreachable: undefined,
        shedBy: undefined,
      });
    });
  }

  #decode(now: number, caller: MemoryCaller, runner: string, transferred: boolean): void {
    const { job } = caller;
    if (!transferred) this.#countRun(caller);
    const { runs } = caller;
    caller.assignDecode(runner);
    this.#after(transferred ? KV_TRANSFER_MS : LATENCY_MS, (at) => {
      const cached = transferred ? job.promptTokens : 0;
      if (caller.state !== 'waiting' || caller.runs !== runs) return;
      if (this.#decodes.get(runner)?.admit(at, job, cached)) return;
      if (transferred) this.#wastedTokens += job.promptTokens;
      this.#dispatch(now, { kind: 'released', id: job.id, blame: undefined });
      this.#refuse(at, caller, TARGET_MS);
    });
  }

  #countRun(caller: MemoryCaller): void {
    if (caller.runs > 0) this.#repeats += 1;
    caller.startRun();
  }

  /** Whether a prefill runner has nothing to do, and a decode runner has most of its memory free. */
  #hasIdleRunners(now: number): boolean {
    const { memoryTokens } = this.#options.figures;
    return (
      [...this.#prefills.values()].some((engine) => engine.isIdle(now)) &&
      [...this.#decodes.values()].some(({ usedTokens }) => usedTokens < memoryTokens / 2)
    );
  }

  #refuse(now: number, caller: MemoryCaller, retryAfterMs: number): void {
    const isAnyWaiting = [...this.#callers.values()].some(
      (one) => one !== caller && one.state === 'waiting' && one.runs === 0,
    );
    if (!isAnyWaiting && this.#hasIdleRunners(now)) this.#refusedBesideIdle += 1;
    caller.refuse(now, MAX_ATTEMPTS);
    if (caller.state !== 'away') return;
    const leftMs = caller.job.at + DEADLINE_MS - now;
    this.#after(Math.min(retryAfterMs, leftMs * MAX_BACKOFF_FRACTION), (at) =>
      this.#send(at, caller),
    );
  }

  #onEvent(now: number, id: string): void {
    if (this.#callers.get(id)?.takeEvent(now)) this.#dispatch(now, { kind: 'started', id });
  }

  #onEnd(now: number, id: string): void {
    const caller = this.#callers.get(id);
    if (!caller) return;
    caller.finish();
    this.#dispatch(now, { kind: 'finished', id, outputTokens: caller.job.outputTokens });
    this.#dispatch(now, { kind: 'released', id, blame: undefined });
  }

  #result(): MemoryResult {
    const callers = [...this.#callers.values()];
    const sizes = callers.map(({ job }) => job.promptTokens).sort((a, b) => a - b);
    const large = percentile(sizes, LARGE_QUANTILE);
    let wastedTokens = this.#wastedTokens;
    for (const { recomputedTokens } of this.#decodes.values()) wastedTokens += recomputedTokens;
    const refused = callers.filter(({ state }) => state === 'refused');
    const completed = callers.filter(({ state }) => state === 'done').length;
    const inTime = callers.filter((caller) => caller.inTime).length;
    return {
      asked: callers.length,
      inTime,
      late: completed - inTime,
      refused: refused.length,
      failed: callers.length - completed - refused.length,
      worth: earnedFraction(callers),
      wasted: wastedTokens / sizes.reduce((sum, tokens) => sum + tokens, 0),
      refusedAfterMs: percentile(
        refused.map(({ waitedMs }) => waitedMs).sort((a, b) => a - b),
        0.95,
      ),
      worthOfLargest: earnedFraction(callers.filter(({ job }) => job.promptTokens >= large)),
      repeats: this.#repeats,
      refusedBesideIdle: this.#refusedBesideIdle,
    };
  }
}

function percentile(sorted: readonly number[], fraction: number): number {
  return sorted[Math.floor(sorted.length * fraction)] ?? 0;
}

function servedFractions(callers: readonly MemoryCaller[]): Readonly<Record<string, number>> {
  const names = new Set(callers.map(({ job }) => job.customer ?? ''));
  return Object.fromEntries(
    [...names].sort().map((name) => {
      const own = callers.filter(({ job }) => (job.customer ?? '') === name);
      return [name, own.filter(({ inTime }) => inTime).length / own.length];
    }),
  );
}

function earnedFraction(callers: readonly MemoryCaller[]): number {
  let earned = 0;
  let asked = 0;
  for (const caller of callers) {
    asked += caller.job.worth;
    earned += caller.earned;
  }
  return earned / Math.max(1, asked);
}
