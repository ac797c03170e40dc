/** The blackboard of a cell. Controllers read all of it; each section names who writes to it. */

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
import { LatenessMargins } from './margins';
import { FairQueue } from './shares';
import type { CellAction, CellPolicy } from './types';
import type { CellRequest, CellView } from './view';
import { uncachedTokens } from '../prefix';

/** What a cell counted since it began. */
export interface CellCounters {
  arrived: number;
  refused: number;
  finished: number;
  cancelled: number;
  /** Prompt tokens that were worked through. */
  prefillTokens: number;
  /** Prompt tokens that were worked through in vain. */
  wastedTokens: number;
  retries: number;
}

/** Queue of requests whose caller has tokens already; it goes before all teams. */
export const RESUME_QUEUE = '\u0000resume';
/** Weight of that queue against a team of weight 1. */
const RESUME_WEIGHT = 1e6;

/** Time of the whole cell that a team below its share may catch up in a burst, in milliseconds. */
const CREDIT_MS = 3000;

/** Sections of the blackboard. */
export class CellState implements CellView {
  /** Written by the cell on new settings. */
  policy: CellPolicy;

  /** Written by the lifecycle, the prefill and the transfer controller through `leaveStage` and their own grants. */
  readonly capacity = new CapacityTracker();

  /** Written by the lifecycle controller. */
  readonly outputs: OutputHistogram;

  /** Written by the lifecycle and the prefill controller. */
  readonly costs: LearntCosts;

  /** Written by the prefill controller and on cache events. */
  readonly prefixes = new PrefixMap();

  /** Written by whoever gives work and hears how it went. */
  readonly health = new RunnerHealth();

  /** Written by the admission controller; the prefill controller takes from it. */
  readonly waiting: FairQueue<Entry>;

  /** Written by the admission and the lifecycle controller. */
  readonly requests = new Map<string, Entry>();

  /** Requests that stream. */
  readonly decoding = new Set<Entry>();

  /** Requests whose prefill is kept and that wait for a slot and a link. */
  readonly prefilled = new Set<Entry>();

  readonly budget = new RetryBudget();

  /** Written by the lifecycle controller: requests that end their engines. */
  readonly quarantine = new Quarantine();

  readonly counters: CellCounters = {
    arrived: 0,
    refused: 0,
    finished: 0,
    cancelled: 0,
    prefillTokens: 0,
    wastedTokens: 0,
    retries: 0,
  };

  /** Written by the queue and the transfer controller. */
  readonly margins = new LatenessMargins();

  awaitingSlot = 0;

  meanPrefillMs: number;

  /** What is to be done, in order; taken after each event. */
  readonly #actions: CellAction[] = [];

  constructor(policy: CellPolicy) {
    this.policy = policy;
    this.outputs = new OutputHistogram(policy.outputTokens);
    this.costs = new LearntCosts(policy);
    this.meanPrefillMs = policy.prefillBaseMs;
    this.waiting = new FairQueue<Entry>(
      (team) => (team === RESUME_QUEUE ? RESUME_WEIGHT : (this.policy.shares[team] ?? 1)),
      CREDIT_MS,
    );
  }

  emit(action: CellAction): void {
    this.#actions.push(action);
  }

  takeActions(): readonly CellAction[] {
    return this.#actions.splice(0);
  }

  /** The prefill runner that has worked for a request. */
  prefillLoadOf({ prefillRunner }: CellRequest): PrefillLoad | undefined {
    return prefillRunner === undefined ? undefined : this.capacity.prefillLoad(prefillRunner);
  }

  /** Gives back whatever the request holds at its stage and leaves it queued nowhere. */
  releaseResources(now: number, entry: Entry): void {
    const { stage, prefillRunner, decodeRunner, arrival } = entry;
    if (stage === 'queued') this.#leaveQueue(entry);
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

  endTransfer(entry: Entry): void {
    const source = this.prefillLoadOf(entry);
    if (source) this.capacity.freeLink(source.runner.link);
  }

  /** Forgets a request after giving back what it holds. */
  remove(now: number, entry: Entry): void {
    this.releaseResources(now, entry);
    this.requests.delete(entry.arrival.id);
  }

  /** Counts the prefill of a request as thrown away. */
  countWaste({ arrival, hitBlocks }: CellRequest): void {
    this.counters.wastedTokens += uncachedTokens(arrival.promptTokens, hitBlocks);
  }

  /** Checks the account against the requests; each line means a place was lost or counted twice. */
  violations(): readonly string[] {
    const all = [...this.requests.values()];
    const found = this.capacity.decodeRunners.flatMap(({ runner, held }) => {
      const holders = all.filter(({ decodeRunner }) => decodeRunner === runner.id).length;
      return holders === held ? [] : [`${runner.id}: ${held} slots held by ${holders} requests`];
    });
    const promised = all.filter(({ stage }) => needsDecodeSlot(stage)).length;
    if (promised !== this.awaitingSlot)
      found.push(`${this.awaitingSlot} promised, ${promised} counted`);
    const queued = all.filter(({ stage }) => stage === 'queued').length;
    if (queued !== this.waiting.size) found.push(`${this.waiting.size} waiting, ${queued} counted`);
    return found;
  }

  #leaveQueue(entry: Entry): void {
    const left = this.waiting.remove(entry.arrival.team, entry);
    if (!left) this.waiting.remove(RESUME_QUEUE, entry);
  }
}
