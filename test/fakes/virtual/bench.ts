/** Drives the decision code of one cell against simulated engines under virtual time. */

import type { CellOptions } from '../../../src/core/cell/cell';
import { Cell } from '../../../src/core/cell/cell';
import type {
  CellAction,
  CellEvent,
  CellPolicy,
  FailureReason,
  Runner,
} from '../../../src/core/cell/types';
import type { EngineEvent } from '../engine/model';
import { EngineModel } from '../engine/model';
import { Schedule } from './schedule';
import type { Job, Workload } from './workload';

/** Faults to inject into a run. */
export interface BenchFaults {
  /** When a decode runner crashes and loses all its requests; it restarts empty after 5 s. Default: never. */
  readonly runnerDiesAt?: number;
  /** When load reports stop. Default: never. */
  readonly reportsStopAt?: number;
}

/** Input of one run. */
export interface BenchOptions {
  readonly work: Workload;
  readonly jobs: readonly Job[];
  readonly cell: Omit<CellOptions, 'policy'>;
  readonly faults?: BenchFaults;
  /** Requests that arrive before this time, in milliseconds, are served but not counted. */
  readonly warmUpMs: number;
  /** End of the counted time, in milliseconds; requests in progress at that time are served to completion. */
  readonly untilMs: number;
  /** Checks the cell's invariants after every event and throws on the first violation. */
  readonly checkInvariants?: boolean;
  /** Called for each event with the actions that it caused. */
  readonly onEvent?: (event: CellEvent, actions: readonly CellAction[]) => void;
}

/** Results of one team. */
export interface TeamResult {
  readonly sent: number;
  readonly good: number;
}

/** Results of one run. */
export interface BenchResult {
  /** Requests that arrived in the counted time. */
  readonly sent: number;
  /** Requests that arrived in the counted time and completed within both latency targets. */
  readonly good: number;
  /** Requests that completed within both targets in the counted time, whenever they arrived; this rate is comparable to the capacity bound. */
  readonly goodInTime: number;
  readonly completed: number;
  readonly refused: number;
  readonly cancelled: number;
  /** Fraction of all prefill work that was wasted, as counted by the engines. */
  readonly wasted: number;
  /** Longest time from when a request could be known to miss its deadline until its refusal, in milliseconds. */
  readonly refusalLagMs: number;
  readonly firstTokenMs: readonly number[];
  readonly teams: Readonly<Record<string, TeamResult>>;
  readonly events: number;
  /** Refusals marked as not run although a runner had received the request. */
  readonly falseNotRun: number;
  /** Requests without an outcome. */
  readonly unfinished: number;
}

/** One-way latency between gateway and owner, or gateway and runner, in milliseconds. */
const HOP_MS = 1.5;
const REPORT_MS = 500;
const REPORT_LAG_MS = 300;
const CACHE_EVENTS_MS = 1000;
/** Time from a runner's crash to its restart, in milliseconds. */
const DOWNTIME_MS = 5000;

interface RequestState {
  readonly job: Job;
  prefillAt: string | undefined;
  decodeAt: string | undefined;
  work: number;
  sent: boolean;
  firstTokenAt: number;
  tokens: number;
  ended: 'completed' | 'refused' | 'cancelled' | undefined;
  good: boolean;
  endedAt: number;
  /** Number of prefills sent for this request. */
  attempt: number;
}

interface RunnerNode {
  readonly runner: Runner;
  model: EngineModel;
  dead: boolean;
}

/** Policy for a workload, with the engines' actual timings as initial estimates. */
export function policyOf(work: Workload): CellPolicy {
  const { figures } = work;
  return {
    goodputWeight: work.goodputWeight,
    wasteWeight: work.wasteWeight,
    tokenTargetMs: work.tokenMs,
    queueLimit: 512,
    keepMs: figures.keepMs,
    prefillBaseMs: figures.prefillBaseMs,
    prefillTokenMs: figures.prefillTokenMs,
    linkTokensPerMs: figures.linkTokensPerMs,
    decodeBaseMs: figures.decodeBaseMs,
    decodeSlotMs: figures.decodeSlotMs,
    outputTokens: work.meanOutput,
    shares: {},
  };
}

/** Runners for a workload, spread over three failure domains. */
export function runnersOf(work: Workload): readonly Runner[] {
  const total = work.prefillRunners + work.decodeRunners;
  return Array.from({ length: total }, (_, i) => ({
    id: `r${i}`,
    role: i < work.prefillRunners ? 'prefill' : 'decode',
    domain: `domain-${i % 3}`,
    slots: work.figures.slots,
    memoryTokens: work.figures.memoryTokens,
    link: `r${i}`,
  }));
}

/** Simulates one run. */
export class Bench {
  readonly #options: BenchOptions;

  readonly #cell: Cell;

  readonly #schedule = new Schedule();

  readonly #nodes = new Map<string, RunnerNode>();

  readonly #requests = new Map<string, RequestState>();

  readonly #firstTokens: number[] = [];

  #now = 0;

  #events = 0;

  #totalWork = 0;

  #wastedWork = 0;

  #refusalLagMs = 0;

  #falseNotRun = 0;

  #wakeAt = Infinity;

  constructor(options: BenchOptions) {
    this.#options = options;
    this.#cell = new Cell({ ...options.cell, policy: policyOf(options.work) });
    const runners = runnersOf(options.work);
    for (const runner of runners) {
      this.#nodes.set(runner.id, {
        runner,
        model: new EngineModel(options.work.figures),
        dead: false,
      });
    }
    this.#dispatch({ kind: 'runners', runners });
  }

  get cell(): Cell {
    return this.#cell;
  }

  run(): BenchResult {
    const { jobs, faults } = this.#options;
    for (const job of jobs) this.#schedule.add(job.at, () => this.#arrive(job));
    const end = (jobs.at(-1)?.at ?? 0) + 1;
    for (let at = REPORT_MS; at < end; at += REPORT_MS) {
      this.#schedule.add(at, () => this.#reportLoad(at));
    }
    for (let at = CACHE_EVENTS_MS; at < end; at += CACHE_EVENTS_MS) {
      this.#schedule.add(at, () => this.#reportCaches());
    }
    if (faults?.runnerDiesAt !== undefined) {
      this.#schedule.add(faults.runnerDiesAt, () => this.#killRunner());
    }
    while (this.#step());
    return this.#result();
  }

  /** Processes the next event; returns false when there is none. */
  #step(): boolean {
    let at = Math.min(this.#schedule.next(), this.#wakeAt);
    let first: RunnerNode | undefined;
    for (const node of this.#nodes.values()) {
      const next = node.dead ? Infinity : node.model.next();
      if (next < at) {
        at = next;
        first = node;
      }
    }
    if (at === Infinity) return false;
    this.#now = at;
    if (first) this.#advanceEngine(first);
    else if (this.#wakeAt <= at) this.#dispatch({ kind: 'woke' });
    else this.#schedule.run();
    return true;
  }

  #dispatch(event: CellEvent): void {
    this.#events += 1;
    const actions = this.#cell.handle(this.#now, event);
    this.#options.onEvent?.(event, actions);
    if (this.#options.checkInvariants) {
      const [violation] = this.#cell.violations();
      if (violation !== undefined) throw new Error(`after ${JSON.stringify(event)}: ${violation}`);
    }
    for (const action of actions) this.#perform(action);
    this.#wakeAt = Math.max(this.#now + 0.01, this.#cell.nextWake(this.#now));
  }

  #dispatchLater(event: CellEvent): void {
    this.#schedule.add(this.#now + HOP_MS, () => this.#dispatch(event));
  }

  #arrive(job: Job): void {
    this.#requests.set(job.id, {
      job,
      prefillAt: undefined,
      decodeAt: undefined,
      work: 0,
      sent: false,
      firstTokenAt: 0,
      tokens: 0,
      ended: undefined,
      good: false,
      endedAt: 0,
      attempt: 0,
    });
    const { id, team, promptTokens, blocks } = job;
    const deadline = job.at + this.#options.work.firstTokenMs;
    const arrival = {
      id,
      team,
      tier: 'interactive' as const,
      promptTokens,
      maxTokens: this.#options.work.maxOutput,
      deadline,
      blocks,
    };
    this.#dispatchLater({ kind: 'arrived', arrival });
    if (job.patienceMs < Infinity) {
      this.#schedule.add(job.at + job.patienceMs, () => this.#disconnect(id));
    }
  }

  #disconnect(id: string): void {
    const live = this.#requests.get(id);
    if (!live || live.ended) return;
    live.ended = 'cancelled';
    if (live.tokens === 0) this.#wastedWork += live.work;
    this.#cancelAt(live.prefillAt, id);
    this.#cancelAt(live.decodeAt, id);
    this.#dispatchLater({ kind: 'cancelled', id });
  }

  #cancelAt(runner: string | undefined, id: string): void {
    const node = runner === undefined ? undefined : this.#nodes.get(runner);
    if (node && !node.dead) node.model.cancel(this.#now, id);
  }

  #perform(action: CellAction): void {
    const live = this.#requests.get(action.id);
    if (!live || live.ended) return;
    if (action.kind === 'refuse') this.#refuse(live, action.notRun);
    else if (action.kind === 'prefill') {
      this.#schedule.add(this.#now + 2 * HOP_MS, () => this.#prefill(live, action.runner));
    } else {
      this.#schedule.add(this.#now + 2 * HOP_MS, () =>
        this.#decode(live, action.runner, action.source),
      );
    }
  }

  #refuse(live: RequestState, notRun: boolean): void {
    const { job } = live;
    const { work } = this.#options;
    const bestMs =
      job.promptTokens / work.figures.linkTokensPerMs +
      work.figures.decodeBaseMs +
      work.figures.decodeSlotMs;
    const unservableAt = Math.max(job.at + HOP_MS, job.at + work.firstTokenMs - bestMs);
    if (!live.sent) this.#refusalLagMs = Math.max(this.#refusalLagMs, this.#now - unservableAt);
    if (notRun && live.sent) this.#falseNotRun += 1;
    live.ended = 'refused';
    this.#cancelAt(live.prefillAt, job.id);
  }

  #prefill(live: RequestState, runner: string): void {
    const node = this.#nodes.get(runner);
    if (live.ended || !node) return;
    live.sent = true;
    live.prefillAt = runner;
    live.attempt += 1;
    const { id, promptTokens, blocks } = live.job;
    if (node.dead) this.#fail(live, runner, 'lost');
    else {
      node.model.prefill(this.#now, {
        id,
        promptTokens: promptTokens + live.tokens,
        blocks,
        priority: 0,
      });
    }
  }

  #decode(live: RequestState, runner: string, source: string): void {
    const node = this.#nodes.get(runner);
    const from = this.#nodes.get(source);
    if (live.ended || !node || !from) return;
    const { id, promptTokens, outputTokens } = live.job;
    const job = {
      id,
      promptTokens: promptTokens + live.tokens,
      outputTokens: outputTokens - live.tokens,
    };
    live.decodeAt = runner;
    if (node.dead) this.#fail(live, runner, 'lost');
    else if (!node.model.reserve(job)) this.#fail(live, runner, 'full');
    else if (!from.model.send(this.#now, id)) {
      node.model.cancel(this.#now, id);
      this.#fail(live, runner, 'evicted');
    }
  }

  #fail(live: RequestState, runner: string, reason: FailureReason): void {
    this.#dispatchLater({ kind: 'failed', id: live.job.id, runner, reason, tokens: live.tokens });
  }

  #advanceEngine(node: RunnerNode): void {
    for (const event of node.model.advance(this.#now)) this.#receive(node, event);
  }

  #receive(node: RunnerNode, event: EngineEvent): void {
    const live = this.#requests.get(event.id);
    if (!live) return;
    if (event.kind === 'prefilled') this.#prefilled(live, event);
    else if (event.kind === 'evicted') this.#wastedWork += live.work;
    else if (event.kind === 'sent') this.#sent(live);
    else if (event.kind === 'token') this.#token(live, event.at);
    else this.#finished(live, event.at);
  }

  #prefilled(
    live: RequestState,
    { cachedTokens, keptUntil }: Extract<EngineEvent, { kind: 'prefilled' }>,
  ): void {
    const { id, promptTokens } = live.job;
    live.work = promptTokens + live.tokens - cachedTokens;
    this.#totalWork += live.work;
    if (!live.ended) this.#dispatchLater({ kind: 'prefilled', id, cachedTokens, keptUntil });
  }

  #sent(live: RequestState): void {
    const node = live.decodeAt === undefined ? undefined : this.#nodes.get(live.decodeAt);
    if (!live.ended && node && !node.dead) node.model.decode(this.#now, live.job.id);
  }

  #token(live: RequestState, at: number): void {
    const { id } = live.job;
    live.tokens += 1;
    if (live.tokens === 1) {
      live.firstTokenAt = at;
      if (live.job.at >= this.#options.warmUpMs) this.#firstTokens.push(at - live.job.at);
    }
    if (this.#cell.requests.get(id)?.stage === 'transferring') {
      this.#dispatchLater({ kind: 'started', id });
    }
  }

  #finished(live: RequestState, at: number): void {
    if (live.ended) return;
    live.ended = 'completed';
    live.endedAt = at;
    const { work } = this.#options;
    const { id, outputTokens } = live.job;
    const firstTokenMs = live.firstTokenAt - live.job.at;
    const tokenMs = outputTokens > 1 ? (at - live.firstTokenAt) / (outputTokens - 1) : 0;
    live.good = firstTokenMs <= work.firstTokenMs && tokenMs <= work.tokenMs;
    this.#dispatchLater({ kind: 'finished', id, tokens: outputTokens });
  }

  #reportLoad(at: number): void {
    const { reportsStopAt = Infinity } = this.#options.faults ?? {};
    if (at >= reportsStopAt) return;
    for (const { runner, model, dead } of this.#nodes.values()) {
      const running = runner.role === 'prefill' ? model.prefills : model.batch;
      const report = { runner: runner.id, asOf: this.#now, running, leaving: false };
      if (!dead) {
        this.#schedule.add(this.#now + REPORT_LAG_MS, () =>
          this.#dispatch({ kind: 'reported', report }),
        );
      }
    }
  }

  #reportCaches(): void {
    for (const { runner, model } of this.#nodes.values()) {
      if (runner.role === 'prefill') {
        const { added, removed } = model.takeCacheChanges();
        this.#dispatchLater({ kind: 'cached', runner: runner.id, added, removed });
      }
    }
  }

  #killRunner(): void {
    const node = [...this.#nodes.values()].find(({ runner }) => runner.role === 'decode');
    if (!node) return;
    node.dead = true;
    for (const id of node.model.held) {
      const live = this.#requests.get(id);
      if (live && !live.ended) this.#fail(live, node.runner.id, 'lost');
    }
    this.#schedule.add(this.#now + DOWNTIME_MS, () => {
      node.model = new EngineModel(this.#options.work.figures);
      node.dead = false;
    });
  }

  #result(): BenchResult {
    const all = [...this.#requests.values()];
    const { warmUpMs, untilMs } = this.#options;
    const counted = all.filter(({ job }) => job.at >= warmUpMs);
    const teams: Record<string, TeamResult> = {};
    for (const { job, good } of counted) {
      const { sent, good: before } = teams[job.team] ?? { sent: 0, good: 0 };
      teams[job.team] = { sent: sent + 1, good: before + (good ? 1 : 0) };
    }
    const count = (what: RequestState['ended']): number =>
      counted.filter(({ ended }) => ended === what).length;
    return {
      sent: counted.length,
      good: counted.filter(({ good }) => good).length,
      goodInTime: all.filter(
        ({ good, endedAt }) => good && endedAt >= warmUpMs && endedAt < untilMs,
      ).length,
      completed: count('completed'),
      refused: count('refused'),
      cancelled: count('cancelled'),
      wasted: this.#totalWork === 0 ? 0 : this.#wastedWork / this.#totalWork,
      refusalLagMs: this.#refusalLagMs,
      firstTokenMs: this.#firstTokens.sort((a, b) => a - b),
      teams,
      events: this.#events,
      falseNotRun: this.#falseNotRun,
      unfinished: all.filter(({ ended }) => ended === undefined).length,
    };
  }
}
