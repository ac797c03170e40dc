/**
 * Plays requests against stand-in engines under virtual time, placed by the real
 * planner or by a simpler policy, and counts what their callers got.
 */

import type { Demand, PlanAction, PlanEvent } from '../../../src/core/memory/types';
import type { Engine, Runner } from '../../../src/core/routing/types';
import { runnerOf } from '../runner';
import { Schedule } from '../virtual/schedule';
import { TARGET_MS, MemoryCaller, MAX_GAP_MS } from './caller';
import type { MemoryFigures } from './engines';
import { DecodeEngine, PrefillEngine } from './engines';
import type { MemoryJob } from './load';

/** What decides who starts where: the planner, or a baseline. */
export interface PlacementPolicy {
  handle(now: number, event: PlanEvent): readonly PlanAction[];
}

/** A run. */
export interface MemoryBenchOptions {
  readonly jobs: readonly MemoryJob[];
  readonly policy: PlacementPolicy;
  readonly figures: MemoryFigures;
  readonly prefillRunners: number;
  readonly decodeRunners: number;
}

/** What came out. */
export interface MemoryResult {
  readonly asked: number;
  readonly inTime: number;
  readonly late: number;
  readonly refused: number;
  readonly failed: number;
  /** Worth earned, as a part of all worth asked for; a late answer counts a fifth. */
  readonly worth: number;
  /** Prompt tokens read for nothing, as a part of all that were asked for. */
  readonly wasted: number;
  /** Longest time for which a request was held that ended refused, in milliseconds: the 95th percentile. */
  readonly refusedAfterMs: number;
  /** Worth earned by the largest tenth of the prompts, as a part of theirs. */
  readonly worthOfLargest: number;
}

/** One way between gateway and owner, or gateway and runner, in milliseconds. */
const HOP_MS = 1.5;
const PATIENCE_MS = 3600;
const DEADLINE_MS = 14_000;
const KEEP_MS = 500;
/** Time of a move of memory between runners, in milliseconds. */
export const KV_TRANSFER_MS = 20;
const WAKE_MS = 25;
const REPORT_MS = 1000;
const CALLER_TRIES = 2;
/** Largest part of the time left that a caller stays away. */
const AWAY_PART = 1 / 3;
const SLOTS = 64;
/** Prompts above this part of all by size are the largest. */
const LARGE_PART = 0.9;

/** A bench for one run. */
export class MemoryBench {
  readonly #options: MemoryBenchOptions;

  readonly #schedule = new Schedule();

  readonly #prefills = new Map<string, PrefillEngine>();

  readonly #decodes = new Map<string, DecodeEngine>();

  readonly #callers = new Map<string, MemoryCaller>();

  #wastedTokens = 0;

  constructor(options: MemoryBenchOptions) {
    this.#options = options;
    const { figures, prefillRunners, decodeRunners } = options;
    for (let i = 0; i < prefillRunners; i += 1) {
      this.#prefills.set(`p${i}`, new PrefillEngine(figures));
    }
    const listener = {
      onEvent: (now: number, id: string) => this.#onEvent(now, id),
      onEnd: (now: number, id: string) => this.#onEnd(now, id),
    };
    for (let i = 0; i < decodeRunners; i += 1) {
      this.#decodes.set(`d${i}`, new DecodeEngine(figures, this.#schedule, listener));
    }
  }

  run(): MemoryResult {
    const { jobs } = this.#options;
    this.#tell(0, { kind: 'runners', engine: this.#engine(), runners: this.#runners() });
    for (const job of jobs) {
      const caller = new MemoryCaller(job);
      this.#callers.set(job.id, caller);
      this.#schedule.add(job.at, () => this.#ask(job.at, caller));
    }
    const untilMs = (jobs.at(-1)?.at ?? 0) + DEADLINE_MS;
    this.#every(WAKE_MS, untilMs, (now) => this.#tell(now, { kind: 'woke' }));
    this.#every(REPORT_MS, untilMs, (now) => this.#report(now));
    while (this.#schedule.next() < untilMs) this.#schedule.run();
    return this.#result();
  }

  /** Part of each customer's requests that were served in time; after a run. */
  get served(): Readonly<Record<string, number>> {
    return servedOf([...this.#callers.values()]);
  }

  #every(periodMs: number, untilMs: number, run: (now: number) => void): void {
    for (let at = periodMs; at < untilMs; at += periodMs) this.#schedule.add(at, () => run(at));
  }

  #later(ms: number, run: (now: number) => void): void {
    const at = this.#schedule.now + ms;
    this.#schedule.add(at, () => run(at));
  }

  #report(now: number): void {
    for (const [runner, engine] of this.#decodes) {
      this.#tell(now, { kind: 'reported', report: { runner, usedTokens: engine.usedTokens } });
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

  #ask(now: number, caller: MemoryCaller): void {
    const { job } = caller;
    caller.startAttempt(now);
    const { attempts: tries } = caller;
    const lostAt = Math.min(now + PATIENCE_MS, job.at + DEADLINE_MS);
    this.#schedule.add(lostAt, () => this.#leave(lostAt, caller, tries));
    const demand: Demand = {
      id: job.id,
      vm: 'vm1',
      customer: job.customer,
      rank: 1,
      promptId: undefined,
      promptTokens: job.promptTokens,
      maxOutputTokens: job.maxOutputTokens,
      hintTokens: job.hintTokens,
      dueAt: job.at + TARGET_MS,
      gapMs: MAX_GAP_MS,
      lostAt,
      returned: tries > 1,
      resuming: false,
      avoid: [],
    };
    this.#later(HOP_MS, (at) => this.#tell(at, { kind: 'asked', demand }));
  }

  /** A caller that saw no event in its patience leaves. */
  #leave(now: number, caller: MemoryCaller, tries: number): void {
    if (caller.state !== 'waiting' || caller.attempts !== tries || caller.hasEvents) return;
    const { job, prefilled, decode } = caller;
    caller.disconnect();
    if (prefilled) this.#wastedTokens += job.promptTokens;
    this.#decodes.get(decode ?? '')?.cancel(job.id);
    this.#tell(now, { kind: 'released', id: job.id, blame: undefined });
  }

  #tell(now: number, event: PlanEvent): void {
    for (const action of this.#options.policy.handle(now, event)) {
      this.#later(HOP_MS, (at) => this.#carryOut(at, action));
    }
  }

  #carryOut(now: number, action: PlanAction): void {
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
    caller.startPrefill();
    const doneAt = this.#prefills.get(runner)?.prefill(now, promptTokens) ?? now;
    this.#schedule.add(doneAt + HOP_MS, () => {
      if (caller.state !== 'waiting') return;
      const ready = { kind: 'prefilled', id, ms: doneAt - now } as const;
      this.#tell(doneAt + HOP_MS, { ...ready, unreachable: undefined, shedBy: undefined });
    });
  }

  #decode(now: number, caller: MemoryCaller, runner: string, moved: boolean): void {
    const { job } = caller;
    caller.assignDecode(runner);
    this.#later(moved ? KV_TRANSFER_MS : HOP_MS, (at) => {
      const read = moved ? job.promptTokens : 0;
      if (caller.state !== 'waiting' || this.#decodes.get(runner)?.admit(at, job, read)) return;
      if (moved) this.#wastedTokens += job.promptTokens;
      this.#tell(now, { kind: 'released', id: job.id, blame: undefined });
      this.#refuse(at, caller, TARGET_MS);
    });
  }

  #refuse(now: number, caller: MemoryCaller, retryAfterMs: number): void {
    caller.refuse(now, CALLER_TRIES);
    if (caller.state !== 'away') return;
    const left = caller.job.at + DEADLINE_MS - now;
    this.#later(Math.min(retryAfterMs, left * AWAY_PART), (at) => this.#ask(at, caller));
  }

  #onEvent(now: number, id: string): void {
    if (this.#callers.get(id)?.takeEvent(now)) this.#tell(now, { kind: 'started', id });
  }

  #onEnd(now: number, id: string): void {
    const caller = this.#callers.get(id);
    if (!caller) return;
    caller.finish();
    this.#tell(now, { kind: 'finished', id, outputTokens: caller.job.outputTokens });
    this.#tell(now, { kind: 'released', id, blame: undefined });
  }

  #result(): MemoryResult {
    const callers = [...this.#callers.values()];
    const sizes = callers.map(({ job }) => job.promptTokens).sort((a, b) => a - b);
    const large = percentile(sizes, LARGE_PART);
    let lostTokens = this.#wastedTokens;
    for (const { recomputedTokens: readAgain } of this.#decodes.values()) lostTokens += readAgain;
    const refused = callers.filter(({ state }) => state === 'refused');
    const done = callers.filter(({ state }) => state === 'done').length;
    const inTime = callers.filter((caller) => caller.inTime).length;
    return {
      asked: callers.length,
      inTime,
      late: done - inTime,
      refused: refused.length,
      failed: callers.length - done - refused.length,
      worth: worthOf(callers),
      wasted: lostTokens / sizes.reduce((sum, tokens) => sum + tokens, 0),
      refusedAfterMs: percentile(
        refused.map(({ waitedMs: heldMs }) => heldMs).sort((a, b) => a - b),
        0.95,
      ),
      worthOfLargest: worthOf(callers.filter(({ job }) => job.promptTokens >= large)),
    };
  }
}

function percentile(sorted: readonly number[], part: number): number {
  return sorted[Math.floor(sorted.length * part)] ?? 0;
}

function servedOf(callers: readonly MemoryCaller[]): Readonly<Record<string, number>> {
  const names = new Set(callers.map(({ job }) => job.customer ?? ''));
  return Object.fromEntries(
    [...names].sort().map((name) => {
      const own = callers.filter(({ job }) => (job.customer ?? '') === name);
      return [name, own.filter(({ inTime }) => inTime).length / own.length];
    }),
  );
}

function worthOf(callers: readonly MemoryCaller[]): number {
  let earned = 0;
  let asked = 0;
  for (const caller of callers) {
    asked += caller.job.worth;
    earned += caller.earned;
  }
  return earned / Math.max(1, asked);
}
