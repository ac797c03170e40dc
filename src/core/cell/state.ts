/** State shared by the controllers of a cell. Every controller reads all of it; each section names its writers. */

import { RetryBudget } from './budget';
import { LearntCosts } from './costs';
import type { Entry } from './entry';
import { needsDecodeSlot } from './entry';
import { RunnerHealth } from './health';
import { OutputHistogram } from './outputs';
import type { PrefillLoad } from './capacity';
import { CapacityTracker } from './capacity';
import { PrefixMap } from './prefixes';
import { Quarantine } from '../quarantine/quarantine';
import { Trials } from '../quarantine/trials';
import { LatenessMargins } from './margins';
import { FairQueue } from './shares';
import type { CellAction, CellPolicy } from './types';
import type { CellRequest, CellView } from './view';
import { uncachedTokens } from '../prefix';

/** Totals since the cell was created. */
export interface CellCounters {
  arrived: number;
  refused: number;
  finished: number;
  cancelled: number;
  /** Prompt tokens that were prefilled. */
  prefillTokens: number;
  /** Prompt tokens whose prefill was discarded. */
  wastedTokens: number;
  retries: number;
}

/** Queue of requests whose caller already has tokens; it is served before the queues of all teams. */
export const RESUME_QUEUE = '\u0000resume';
/** Weight of that queue relative to a team of weight 1. */
const RESUME_QUEUE_WEIGHT = 1e6;

/** Processing time of the whole cell that a team below its share may catch up on in a burst, in milliseconds. */
const BURST_CREDIT_MS = 3000;

/** The shared state. */
export class CellState implements CellView {
  /** Written by the cell when the settings change. */
  policy: CellPolicy;

  /** Written by the lifecycle, prefill and transfer controllers, through `releaseResources` and their own assignments. */
  readonly capacity = new CapacityTracker();

  /** Written by the lifecycle controller. */
  readonly outputs: OutputHistogram;

  /** Written by the lifecycle and prefill controllers. */
  readonly costs: LearntCosts;

  /** Written by the prefill controller and on cache events. */
  readonly prefixes = new PrefixMap();

  /** Written by each controller that dispatches work or receives its outcome. */
  readonly health = new RunnerHealth();

  /** Written by the queue controller; the prefill controller takes requests from it. */
  readonly waiting: FairQueue<Entry>;

  /** Requests of the cell by id. Written by the queue and lifecycle controllers. */
  readonly requests = new Map<string, Entry>();

  /** Requests that are decoding. */
  readonly decoding = new Set<Entry>();

  /** Requests whose finished prefill is kept by its runner and that wait for a decode slot and a link. */
  readonly prefilled = new Set<Entry>();

  /** Written by the queue controller. */
  readonly budget = new RetryBudget();

  /** Requests and prompt blocks that crash engines. Written by the lifecycle controller. */
  readonly quarantine = new Quarantine();

  /** Requests that run alone with their prompt blocks. Written by the queue and lifecycle controllers. */
  readonly trials = new Trials();

  readonly counters: CellCounters = {
    arrived: 0,
    refused: 0,
    finished: 0,
    cancelled: 0,
    prefillTokens: 0,
    wastedTokens: 0,
    retries: 0,
  };

  /** Written by the queue and transfer controllers. */
  readonly margins = new LatenessMargins();

  /** Written by the controllers that start or end a prefill or assign a decode slot. */
  awaitingSlot = 0;

  /** Written by the prefill controller. */
  meanPrefillMs: number;

  /** Pending actions, in order; taken after each event. */
  readonly #actions: CellAction[] = [];

  constructor(policy: CellPolicy) {
    this.policy = policy;
    this.outputs = new OutputHistogram(policy.outputTokens);
    this.costs = new LearntCosts(policy);
    this.meanPrefillMs = policy.prefillBaseMs;
    this.waiting = new FairQueue<Entry>(
      (team) => (team === RESUME_QUEUE ? RESUME_QUEUE_WEIGHT : (this.policy.shares[team] ?? 1)),
      BURST_CREDIT_MS,
    );
  }

  /** Appends an action for the cell's host. */
  emit(action: CellAction): void {
    this.#actions.push(action);
  }

  /** Returns and clears the pending actions. */
  takeActions(): readonly CellAction[] {
    return this.#actions.splice(0);
  }

  /** Load of the prefill runner assigned to a request; undefined if it has none or the runner is unknown. */
  prefillLoadOf({ prefillRunner }: CellRequest): PrefillLoad | undefined {
    return prefillRunner === undefined ? undefined : this.capacity.prefillLoad(prefillRunner);
  }

  /** Releases everything that the request holds at its stage. Its stage becomes `queued`, but it is in no queue. */
  releaseResources(now: number, entry: Entry): void {
    const { stage, prefillRunner, decodeRunner, arrival } = entry;
    if (stage === 'queued') this.#removeFromQueue(entry);
    if (stage === 'prefilling' && prefillRunner !== undefined) {
      this.capacity.removePrefill(prefillRunner, now);
    }
    if (needsDecodeSlot(stage)) this.awaitingSlot -= 1;
    if (stage === 'transferring') this.endTransfer(entry);
    if (decodeRunner !== undefined) this.capacity.freeSlot(decodeRunner, now, arrival.promptTokens);
    this.prefilled.delete(entry);
    this.decoding.delete(entry);
    entry.decodeRunner = undefined;
    entry.stage = 'queued';
  }

  /** Releases the link of a request's transfer. */
  endTransfer(entry: Entry): void {
    const source = this.prefillLoadOf(entry);
    if (source) this.capacity.freeLink(source.runner.link);
  }

  /** Releases everything that a request holds and removes the request. */
  remove(now: number, entry: Entry): void {
    this.releaseResources(now, entry);
    this.requests.delete(entry.arrival.id);
    this.trials.withdraw(entry.arrival.id);
  }

  /** Counts the prefill of a request as discarded. */
  countWaste({ arrival, hitBlocks }: CellRequest): void {
    this.counters.wastedTokens += uncachedTokens(arrival.promptTokens, hitBlocks);
  }

  /** Compares the tracked capacity with the requests; each line means that a slot was lost or counted twice. */
  violations(): readonly string[] {
    const all = [...this.requests.values()];
    const found = this.capacity.decodeRunners.flatMap(({ runner, held }) => {
      const holders = all.filter(({ decodeRunner }) => decodeRunner === runner.id).length;
      return holders === held ? [] : [`${runner.id}: ${held} slots held by ${holders} requests`];
    });
    const count = all.filter(({ stage }) => needsDecodeSlot(stage)).length;
    if (count !== this.awaitingSlot) found.push(`${this.awaitingSlot} awaiting, ${count} counted`);
    const queued = all.filter(({ stage }) => stage === 'queued').length;
    if (queued !== this.waiting.size) found.push(`${this.waiting.size} waiting, ${queued} counted`);
    return found;
  }

  #removeFromQueue(entry: Entry): void {
    const removed = this.waiting.remove(entry.arrival.team, entry);
    if (!removed) this.waiting.remove(RESUME_QUEUE, entry);
  }
}
