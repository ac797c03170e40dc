/**
 * The cell: takes events, keeps the blackboard and answers with actions.
 * It has no clock, no socket and no random source; equal events give equal actions.
 */

import { match } from 'ts-pattern';

import { BLOCK_TOKENS } from '../prefix';
import type { Admission } from './admission';
import { DeadlineAdmission, jitter } from './admission';
import { RetryBudget } from './budget';
import { LearntCosts } from './costs';
import { RunnerHealth } from './health';
import { OutputHistogram } from './outputs';
import type { DecodePlace, PrefillPlace } from './places';
import { PlaceBook, freeOf } from './places';
import type { Placement } from './placement';
import { CostPlacement } from './placement';
import { PrefixMap } from './prefixes';
import { FairQueue } from './shares';
import type { StartRule } from './start';
import { DecodeFirst } from './start';
import type {
  Adoption,
  Arrival,
  CellAction,
  CellEvent,
  CellPolicy,
  LoadReport,
  Runner,
} from './types';
import type { CellRequest, CellView, Stage } from './view';

/** The variable parts of a cell. */
export interface CellOptions {
  readonly policy: CellPolicy;
  /** Default: refuse what cannot meet its deadline. */
  readonly admission?: Admission;
  /** Default: start when a decode slot is likely in time. */
  readonly startRule?: StartRule;
  /** Default: least cost in milliseconds. */
  readonly placement?: Placement;
  /**
   * No request is granted before this time. A new owner does not know what its
   * predecessor granted until the gateways have told it. Default: 0.
   */
  readonly grantsFrom?: number;
}

/** What a cell counted since it began. */
export interface CellCounters {
  readonly arrived: number;
  readonly refused: number;
  readonly finished: number;
  readonly cancelled: number;
  readonly prefillTokens: number;
  readonly wastedTokens: number;
  readonly retries: number;
}

type Mutable<T> = { -readonly [K in keyof T]: T[K] };
type Entry = Mutable<CellRequest>;
type Failed = Extract<CellEvent, { kind: 'failed' }>;

/** Queue of requests that already sent tokens to their caller; it goes before all others. */
const RESUME_LANE = '\u0000resume';
/** Weight of the resume lane against a team of weight 1. */
const RESUME_WEIGHT = 1e6;
/** A prefill runner gets its next prefill this long before it is done with the last, in milliseconds. */
const PREFILL_LOOKAHEAD_MS = 15;
/** A prefilled request is given up this long before its eviction, in milliseconds. */
const EVICTION_MARGIN_MS = 5;
/** Longest time without a look at a queue that is not empty, in milliseconds. */
const REVIEW_MS = 20;
/** Time that a resumed request may wait for a slot, in milliseconds. */
const RESUME_WAIT_MS = 20_000;
/** Weight of the newest prefill in the fading mean. */
const MEAN_WEIGHT = 0.05;

/** Plans one cell. */
export class Cell implements CellView {
  readonly places = new PlaceBook();

  readonly outputs: OutputHistogram;

  readonly costs: LearntCosts;

  readonly prefixes = new PrefixMap();

  readonly health = new RunnerHealth();

  readonly waiting: FairQueue<Entry>;

  meanPrefillMs: number;

  readonly #requests = new Map<string, Entry>();

  readonly #decoding = new Set<Entry>();

  readonly #prefilled = new Set<Entry>();

  readonly #budget = new RetryBudget();

  readonly #admission: Admission;

  readonly #startRule: StartRule;

  readonly #placement: Placement;

  readonly #grantsFrom: number;

  readonly #counters: Mutable<CellCounters> = {
    arrived: 0,
    refused: 0,
    finished: 0,
    cancelled: 0,
    prefillTokens: 0,
    wastedTokens: 0,
    retries: 0,
  };

  #policy: CellPolicy;

  #promised = 0;

  #nextLoss = Infinity;

  #actions: CellAction[] = [];

  constructor(options: CellOptions) {
    const { policy } = options;
    this.#policy = policy;
    this.outputs = new OutputHistogram(policy.outputTokens);
    this.costs = new LearntCosts(policy);
    this.meanPrefillMs = policy.prefillBaseMs;
    this.#admission = options.admission ?? new DeadlineAdmission();
    this.#startRule = options.startRule ?? new DecodeFirst();
    this.#placement = options.placement ?? new CostPlacement();
    this.#grantsFrom = options.grantsFrom ?? 0;
    const weightOf = (team: string): number =>
      team === RESUME_LANE ? RESUME_WEIGHT : (this.#policy.shares[team] ?? 1);
    this.waiting = new FairQueue<Entry>(weightOf);
  }

  get policy(): CellPolicy {
    return this.#policy;
  }

  get decoding(): Iterable<CellRequest> {
    return this.#decoding;
  }

  get promised(): number {
    return this.#promised;
  }

  get counters(): CellCounters {
    return this.#counters;
  }

  /** Requests known to the cell. */
  get requests(): Iterable<CellRequest> {
    return this.#requests.values();
  }

  has(id: string): boolean {
    return this.#requests.has(id);
  }

  /** Takes one event and returns what is to be done, in order. */
  handle(now: number, event: CellEvent): readonly CellAction[] {
    this.#actions = [];
    match(event)
      .with({ kind: 'arrived' }, ({ arrival }) => this.#arrive(now, arrival))
      .with({ kind: 'prefilled' }, ({ id, cachedTokens, keptUntil }) =>
        this.#finishPrefill(now, id, cachedTokens, keptUntil),
      )
      .with({ kind: 'started' }, ({ id }) => this.#startDecode(now, id))
      .with({ kind: 'finished' }, ({ id, tokens }) => this.#finish(now, id, tokens))
      .with({ kind: 'failed' }, (failed) => this.#fail(now, failed))
      .with({ kind: 'cancelled' }, ({ id }) => this.#cancel(now, id))
      .with({ kind: 'adopted' }, ({ adoption }) => this.#adopt(now, adoption))
      .with({ kind: 'reported' }, ({ report }) => this.#report(now, report))
      .with({ kind: 'cached' }, ({ runner, added, removed }) => {
        this.prefixes.add(runner, added);
        this.prefixes.remove(runner, removed);
      })
      .with({ kind: 'runners' }, ({ runners }) => this.#setRunners(runners))
      .with({ kind: 'policy' }, ({ policy }) => {
        this.#policy = policy;
        this.#applyCaps();
      })
      .with({ kind: 'woke' }, () => {})
      .exhaustive();
    this.#pump(now);
    return this.#actions;
  }

  /** When the cell wants to be woken if nothing else happens. */
  nextWake(now: number): number {
    let next = this.#nextLoss;
    for (const { keptUntil } of this.#prefilled)
      { next = Math.min(next, keptUntil - EVICTION_MARGIN_MS); }
    if (this.waiting.size > 0) next = Math.min(next, Math.max(now + REVIEW_MS, this.#grantsFrom));
    return next;
  }

  /** Checks the account against the requests; a broken line means a slot was lost or counted twice. */
  violations(): readonly string[] {
    const found: string[] = [];
    for (const place of this.places.decodeRunners) {
      const holders = [...this.#requests.values()].filter(
        (r) => r.decodeRunner === place.runner.id,
      );
      if (holders.length !== place.held)
        { found.push(`${place.runner.id}: ${place.held} held, ${holders.length} holders`); }
    }
    const promised = [...this.#requests.values()].filter(
      (r) => r.stage === 'prefilling' || r.stage === 'prefilled',
    );
    if (promised.length !== this.#promised)
      { found.push(`promised ${this.#promised}, counted ${promised.length}`); }
    const queued = [...this.#requests.values()].filter((r) => r.stage === 'queued');
    if (queued.length !== this.waiting.size)
      { found.push(`queue ${this.waiting.size}, counted ${queued.length}`); }
    return found;
  }

  #arrive(now: number, arrival: Arrival): void {
    const known = this.#requests.get(arrival.id);
    if (known) {
      this.#arriveAgain(now, known);
      return;
    }
    this.#counters.arrived += 1;
    const verdict = this.#admission.decide(now, this, arrival);
    if (!verdict.admitted) {
      this.#counters.refused += 1;
      const { code, retryAfterMs } = verdict;
      this.#actions.push({ kind: 'refuse', id: arrival.id, code, notRun: true, retryAfterMs });
      return;
    }
    this.#budget.earn(arrival.team);
    const entry = newEntry(arrival, now);
    this.#requests.set(arrival.id, entry);
    this.waiting.push(arrival.team, entry);
    this.#nextLoss = Math.min(this.#nextLoss, this.#lossTime(entry));
  }

  /**
   * A gateway asks again for a request that it holds nothing for: what it was
   * told, or what it told, was lost with its link. Without starting over, the
   * request would hold its place here and wait for ever.
   */
  #arriveAgain(now: number, entry: Entry): void {
    if (entry.stage === 'queued') return;
    if (entry.stage === 'prefilling') {
      this.#repeatAction(entry);
      return;
    }
    this.#waste(entry);
    this.#leaveStage(now, entry);
    this.#retry(now, entry);
  }

  /** Tells again what was lost with a link. */
  #repeatAction({ arrival: { id }, stage, prefillRunner, decodeRunner }: Entry): void {
    if (stage === 'prefilling' && prefillRunner !== undefined) {
      this.#actions.push({ kind: 'prefill', id, runner: prefillRunner });
    }
    if (stage === 'transferring' && prefillRunner !== undefined && decodeRunner !== undefined) {
      this.#actions.push({ kind: 'decode', id, runner: decodeRunner, source: prefillRunner });
    }
  }

  #finishPrefill(now: number, id: string, cachedTokens: number, keptUntil: number): void {
    const entry = this.#requests.get(id);
    if (entry?.stage !== 'prefilling' || entry.prefillRunner === undefined) return;
    const work = Math.max(0, entry.arrival.promptTokens - cachedTokens);
    const alone = this.places.prefillPlace(entry.prefillRunner)?.pending === 1;
    if (alone) this.costs.observePrefill(work, now - entry.since);
    this.places.endPrefill(entry.prefillRunner, now);
    this.health.succeeded(entry.prefillRunner);
    this.#counters.prefillTokens += work;
    entry.stage = 'prefilled';
    entry.since = now;
    entry.keptUntil = keptUntil;
    this.#prefilled.add(entry);
  }

  #startDecode(now: number, id: string): void {
    const entry = this.#requests.get(id);
    if (entry?.stage !== 'transferring') return;
    this.#endTransfer(entry);
    if (entry.decodeRunner !== undefined) this.health.succeeded(entry.decodeRunner);
    entry.stage = 'decoding';
    entry.since = now;
    this.#decoding.add(entry);
  }

  #finish(now: number, id: string, tokens: number): void {
    const entry = this.#requests.get(id);
    if (!entry) return;
    if (entry.stage === 'decoding') {
      const fresh = Math.max(1, tokens - entry.resumedAt);
      this.outputs.observe(tokens);
      this.costs.observeTokens(this.#batchOf(entry), (now - entry.since) / fresh);
    }
    this.#counters.finished += 1;
    this.#drop(now, entry);
  }

  #cancel(now: number, id: string): void {
    const entry = this.#requests.get(id);
    if (!entry) return;
    this.#counters.cancelled += 1;
    if (entry.stage === 'prefilling' || entry.stage === 'prefilled') this.#waste(entry);
    for (const runner of [entry.prefillRunner, entry.decodeRunner]) {
      if (runner !== undefined) this.health.inconclusive(runner);
    }
    this.#drop(now, entry);
  }

  /** Every step back goes through here: what is proven not run, or lost, is queued again within the budget. */
  #fail(now: number, { id, runner, reason, tokens }: Failed): void {
    const entry = this.#requests.get(id);
    if (!entry || (entry.prefillRunner !== runner && entry.decodeRunner !== runner)) return;
    if (reason === 'lost') {
      this.health.failed(now, runner);
      this.prefixes.forget(runner);
    } else {
      this.health.inconclusive(runner);
    }
    const keepsPrefill =
      reason === 'full' && entry.decodeRunner === runner && entry.keptUntil > now;
    if (keepsPrefill) {
      this.#backToPrefilled(now, entry);
      return;
    }
    if (entry.stage === 'prefilled' || entry.stage === 'transferring') this.#waste(entry);
    this.#leaveStage(now, entry);
    entry.avoid = runner;
    this.#noteTokensOut(entry, tokens);
    this.#retry(now, entry);
  }

  /** Tokens that the caller has become part of the prompt of the next run. */
  #noteTokensOut(entry: Entry, tokens: number): void {
    const fresh = tokens - entry.resumedAt;
    if (fresh <= 0) return;
    entry.resumedAt = tokens;
    entry.arrival = { ...entry.arrival, promptTokens: entry.arrival.promptTokens + fresh };
  }

  /** A finished prefill whose decode place was lost is used again while it is kept. */
  #backToPrefilled(now: number, entry: Entry): void {
    this.#leaveStage(now, entry);
    entry.stage = 'prefilled';
    entry.since = now;
    this.#promised += 1;
    this.#prefilled.add(entry);
  }

  #retry(now: number, entry: Entry): void {
    if (!this.#budget.spend(entry.arrival.team)) {
      this.#giveUp(now, entry, 'retriesSpent');
      return;
    }
    this.#counters.retries += 1;
    entry.stage = 'queued';
    entry.since = now;
    if (entry.resumedAt > 0) {
      entry.arrival = { ...entry.arrival, deadline: now + RESUME_WAIT_MS };
      this.waiting.unshift(RESUME_LANE, entry);
    } else {
      this.waiting.unshift(entry.arrival.team, entry);
    }
    this.#nextLoss = Math.min(this.#nextLoss, this.#lossTime(entry));
  }

  #giveUp(
    now: number,
    entry: Entry,
    code: 'retriesSpent' | 'timedOut' | 'deadlineUnreachable',
  ): void {
    this.#counters.refused += 1;
    const { id } = entry.arrival;
    const retryAfterMs = jitter(id, this.meanPrefillMs);
    this.#actions.push({ kind: 'refuse', id, code, notRun: !entry.sent, retryAfterMs });
    this.#drop(now, entry);
  }

  #adopt(now: number, { arrival, stage, prefillRunner, decodeRunner }: Adoption): void {
    const known = this.#requests.get(arrival.id);
    if (known) {
      this.#arriveAgain(now, known);
      return;
    }
    const entry = newEntry(arrival, now);
    entry.sent = true;
    entry.prefillRunner = prefillRunner;
    this.#requests.set(arrival.id, entry);
    if (stage === 'decoding' && decodeRunner !== undefined) {
      entry.decodeRunner = decodeRunner;
      entry.stage = 'decoding';
      this.places.holdSlot(decodeRunner, now, arrival.promptTokens);
      this.#decoding.add(entry);
      return;
    }
    entry.stage = stage === 'decoding' ? 'prefilled' : stage;
    this.#promised += 1;
    if (entry.stage === 'prefilling' && prefillRunner !== undefined) {
      this.places.givePrefill(prefillRunner, now, this.costs.prefillMs(arrival.promptTokens));
    } else {
      entry.keptUntil = now + this.policy.keepMs / 2;
      this.#prefilled.add(entry);
    }
  }

  #report(now: number, report: LoadReport): void {
    this.places.report(now, report);
    this.#applyCaps();
  }

  #setRunners(runners: readonly Runner[]): void {
    this.places.setRunners(runners);
    this.health.setPoolSize(runners.length);
    this.#applyCaps();
  }

  /** Caps the batches so that the time between tokens stays within the target. */
  #applyCaps(): void {
    for (const { runner } of this.places.decodeRunners) {
      this.places.setCap(
        runner.id,
        this.costs.batchWithin(this.policy.tokenTargetMs, runner.slots),
      );
    }
  }

  #pump(now: number): void {
    this.#expirePrefilled(now);
    this.#sendTransfers(now);
    if (now >= this.#nextLoss) this.#refuseLost(now);
    if (now < this.#grantsFrom) return;
    while (this.#startNext(now));
  }

  #expirePrefilled(now: number): void {
    for (const entry of this.#prefilled) {
      if (now >= entry.keptUntil - EVICTION_MARGIN_MS) {
        this.#waste(entry);
        this.#leaveStage(now, entry);
        this.#retry(now, entry);
      }
    }
  }

  #sendTransfers(now: number): void {
    if (this.#prefilled.size === 0) return;
    const urgent = [...this.#prefilled].sort((a, b) => a.keptUntil - b.keptUntil);
    for (const entry of urgent) this.#sendTransfer(now, entry);
  }

  #sendTransfer(now: number, entry: Entry): void {
    const source =
      entry.prefillRunner === undefined ? undefined : this.places.prefillPlace(entry.prefillRunner);
    if (!source || this.places.linkBusy(source.runner.link)) return;
    const target = this.#chooseDecode(now, entry);
    if (!target) return;
    this.#prefilled.delete(entry);
    this.#promised -= 1;
    entry.stage = 'transferring';
    entry.since = now;
    entry.decodeRunner = target.runner.id;
    entry.batch = target.held + target.foreign + 1;
    this.places.holdSlot(target.runner.id, now, entry.arrival.promptTokens);
    this.places.holdLink(source.runner.link);
    this.health.given(now, target.runner.id);
    const { id } = entry.arrival;
    this.#actions.push({ kind: 'decode', id, runner: target.runner.id, source: source.runner.id });
  }

  #chooseDecode(now: number, entry: Entry): DecodePlace | undefined {
    const needed = entry.arrival.promptTokens + this.outputs.mean;
    const able = this.places.decodeRunners.filter(
      (place) =>
        freeOf(place) > 0 &&
        place.heldTokens + needed <= place.runner.memoryTokens &&
        this.health.allows(now, place.runner.id),
    );
    const others = able.filter(({ runner }) => runner.id !== entry.avoid);
    return this.#placement.decode(now, this, entry.arrival, others.length > 0 ? others : able);
  }

  /** Time from which the request cannot have its first token by its deadline any more. */
  #lossTime({ arrival }: Entry): number {
    const best = this.costs.transferMs(arrival.promptTokens) + this.costs.tokenMs(1);
    return arrival.deadline - best;
  }

  #refuseLost(now: number): void {
    const lost = this.waiting.removeWhere((entry) => now >= this.#lossTime(entry));
    for (const entry of lost)
      { this.#giveUp(now, entry, entry.sent ? 'timedOut' : 'deadlineUnreachable'); }
    this.#nextLoss = Infinity;
    for (const entry of this.#requests.values()) {
      if (entry.stage === 'queued')
        { this.#nextLoss = Math.min(this.#nextLoss, this.#lossTime(entry)); }
    }
  }

  #startNext(now: number): boolean {
    const entry = this.waiting.peek();
    if (!entry) return false;
    const place = this.#choosePrefill(now, entry);
    if (!place) return false;
    const { arrival } = entry;
    const hitBlocks = this.prefixes.hits(place.runner.id, arrival.blocks);
    const workMs = this.costs.prefillMs(
      Math.max(0, arrival.promptTokens - hitBlocks * BLOCK_TOKENS),
    );
    const readyInMs = Math.max(0, place.busyUntil - now) + workMs;
    if (!this.#startRule.mayStart(now, this, readyInMs)) return false;
    this.waiting.take(workMs + residenceShare(this));
    this.#startPrefill(now, entry, place, hitBlocks, workMs);
    return true;
  }

  #choosePrefill(now: number, entry: Entry): PrefillPlace | undefined {
    const able = this.places.prefillRunners.filter(
      (place) =>
        !place.leaving &&
        place.busyUntil - now <= PREFILL_LOOKAHEAD_MS &&
        place.pending < 2 &&
        this.health.allows(now, place.runner.id),
    );
    const others = able.filter(({ runner }) => runner.id !== entry.avoid);
    return this.#placement.prefill(now, this, entry.arrival, others.length > 0 ? others : able);
  }

  #startPrefill(
    now: number,
    entry: Entry,
    place: PrefillPlace,
    hitBlocks: number,
    workMs: number,
  ): void {
    const { id } = entry.arrival;
    const runner = place.runner.id;
    entry.stage = 'prefilling';
    entry.since = now;
    entry.prefillRunner = runner;
    entry.hitBlocks = hitBlocks;
    entry.sent = true;
    this.#promised += 1;
    this.meanPrefillMs += MEAN_WEIGHT * (workMs - this.meanPrefillMs);
    this.places.givePrefill(runner, now, workMs);
    this.prefixes.add(runner, entry.arrival.blocks);
    this.health.given(now, runner);
    this.#actions.push({ kind: 'prefill', id, runner });
  }

  #waste(entry: Entry): void {
    const hitTokens = entry.hitBlocks * BLOCK_TOKENS;
    this.#counters.wastedTokens += Math.max(0, entry.arrival.promptTokens - hitTokens);
  }

  #batchOf(entry: Entry): number {
    const held =
      entry.decodeRunner === undefined
        ? 0
        : (this.places.decodePlace(entry.decodeRunner)?.held ?? 0);
    return (entry.batch + held) / 2;
  }

  #endTransfer(entry: Entry): void {
    const source =
      entry.prefillRunner === undefined ? undefined : this.places.prefillPlace(entry.prefillRunner);
    if (source) this.places.freeLink(source.runner.link);
  }

  /** Gives back whatever the request holds at its stage. */
  #leaveStage(now: number, entry: Entry): void {
    const { stage, prefillRunner, decodeRunner } = entry;
    if (stage === 'queued') this.#leaveQueue(entry);
    if (stage === 'prefilling' && prefillRunner !== undefined)
      { this.places.endPrefill(prefillRunner, now); }
    if (isPromised(stage)) this.#promised -= 1;
    if (stage === 'transferring') this.#endTransfer(entry);
    if (decodeRunner !== undefined)
      { this.places.freeSlot(decodeRunner, now, entry.arrival.promptTokens); }
    this.#prefilled.delete(entry);
    this.#decoding.delete(entry);
    entry.decodeRunner = undefined;
    entry.stage = 'queued';
  }

  #leaveQueue(entry: Entry): void {
    if (!this.waiting.remove(entry.arrival.team, entry)) this.waiting.remove(RESUME_LANE, entry);
  }

  #drop(now: number, entry: Entry): void {
    this.#leaveStage(now, entry);
    this.#requests.delete(entry.arrival.id);
  }
}

function isPromised(stage: Stage): boolean {
  return stage === 'prefilling' || stage === 'prefilled';
}

/** A request's use of decode capacity, in milliseconds of the whole pool. */
function residenceShare(cell: Cell): number {
  const slots = Math.max(1, cell.places.decodeSlots);
  return (cell.outputs.mean * cell.costs.tokenMs(1)) / slots;
}

function newEntry(arrival: Arrival, now: number): Entry {
  return {
    arrival,
    stage: 'queued',
    since: now,
    prefillRunner: undefined,
    decodeRunner: undefined,
    hitBlocks: 0,
    sent: false,
    keptUntil: 0,
    avoid: undefined,
    resumedAt: 0,
    batch: 1,
  };
}
