/**
 * Sends random events to one cell: answers arrive out of order, late, twice or
 * never, runners fail for every reason, and requests are taken over from another
 * owner. Checks the cell's invariants after each event.
 */

import { Cell } from '../../../src/core/cell/cell';
import type { CellAction, CellEvent, FailureReason } from '../../../src/core/cell/types';
import { policyOf, runnersOf } from './bench';
import type { Random } from './workload';
import { bagmatiWork } from './workload';

/** Results of a run. */
export interface StormResult {
  readonly events: number;
  /** Invariant violations, each with the event that caused it. */
  readonly violations: readonly string[];
  /** Number of requests by outcome. */
  readonly outcomes: Readonly<Record<string, number>>;
  /** Requests that the cell still holds after everything was answered. */
  readonly remaining: number;
  /** Hash of all actions, to compare two runs. */
  readonly digest: number;
}

const reasons: readonly FailureReason[] = ['full', 'evicted', 'leaving', 'lost'];
const TEAMS = 5;
/** Share of answers that are dropped, and share of events that are repeated later. */
const ODD_SHARE = 0.05;

/** The id of the request that an event adds; undefined if it adds none. */
function idOf(event: CellEvent): string | undefined {
  if (event.kind === 'arrived') return event.arrival.id;
  return event.kind === 'adopted' ? event.adoption.arrival.id : undefined;
}

/** Drives one cell with random events. */
export class Storm {
  readonly #random: Random;

  readonly #cell: Cell;

  /** Actions that are not answered yet. */
  readonly #unanswered: CellAction[] = [];

  /** Requests that are streaming. */
  readonly #streaming = new Set<string>();

  /** Events to repeat later. */
  readonly #duplicates: CellEvent[] = [];

  readonly #ended = new Map<string, string>();

  readonly #violations: string[] = [];

  #now = 1000;

  #sequence = 0;

  #events = 0;

  #digest = 0;

  constructor(random: Random) {
    this.#random = random;
    const policy = policyOf(bagmatiWork);
    this.#cell = new Cell({ policy: { ...policy, queueLimit: 64 } });
    this.#dispatch({ kind: 'runners', runners: runnersOf(bagmatiWork) });
  }

  run(events: number): StormResult {
    while (this.#events < events) this.#step();
    this.#drain();
    const ends: Record<string, number> = {};
    for (const how of this.#ended.values()) ends[how] = (ends[how] ?? 0) + 1;
    return {
      events: this.#events,
      violations: this.#violations,
      outcomes: ends,
      remaining: this.#cell.requests.size,
      digest: this.#digest,
    };
  }

  #step(): void {
    this.#now += this.#random() * 20;
    const choice = this.#random();
    if (choice < 0.2) this.#arrive();
    else if (choice < 0.7) this.#answer();
    else if (choice < 0.85) this.#finish();
    else if (choice < 0.9) this.#report();
    else if (choice < 0.93) this.#cancel();
    else if (choice < 0.96) this.#resend();
    else if (choice < 0.97) this.#adopt();
    else this.#dispatch({ kind: 'woke' });
  }

  /** Completes all open requests and advances the time, after which the cell must hold no requests. */
  #drain(): void {
    for (let round = 0; round < 10_000 && this.#cell.requests.size > 0; round += 1) {
      this.#now += 10;
      for (const action of this.#unanswered.splice(0)) this.#succeed(action);
      for (const id of [...this.#streaming]) this.#reportFinished(id);
      for (const [id, { stage }] of this.#cell.requests) {
        // A request whose answer was dropped would wait forever; its gateway cancels it.
        if (stage !== 'queued' && round > 100) this.#dispatch({ kind: 'cancelled', id });
      }
      this.#dispatch({ kind: 'woke' });
    }
  }

  #dispatch(event: CellEvent): void {
    this.#events += 1;
    const before = new Set(this.#cell.requests.keys());
    const actions = this.#cell.handle(this.#now, event);
    for (const violation of this.#cell.violations()) this.#addViolation(event, violation);
    for (const action of actions) this.#recordAction(event, action, before);
  }

  #recordAction(event: CellEvent, action: CellAction, before: ReadonlySet<string>): void {
    for (const char of JSON.stringify(action)) {
      this.#digest = (this.#digest * 31 + char.charCodeAt(0)) % 1_000_000_007;
    }
    const isNew = event.kind === 'arrived' || event.kind === 'adopted';
    const known = before.has(action.id) || (isNew && idOf(event) === action.id);
    if (!known) this.#addViolation(event, `${action.kind} for ${action.id}, not in the cell`);
    this.#checkSlot(event, action);
    if (action.kind === 'refuse') this.#end(event, action.id, action.code);
    else this.#unanswered.push(action);
  }

  /** Checks that a decode runner never holds more requests than it has slots. */
  #checkSlot(event: CellEvent, action: CellAction): void {
    if (action.kind !== 'decode') return;
    const capacity = this.#cell.view.capacity.decodeRunners.find(
      ({ runner }) => runner.id === action.runner,
    );
    if (!capacity || capacity.held > capacity.runner.slots) {
      this.#addViolation(event, `${action.runner} holds ${capacity?.held}`);
    }
  }

  #end(event: CellEvent, id: string, how: string): void {
    if (this.#ended.has(id)) {
      this.#addViolation(event, `${id} ended as ${this.#ended.get(id)} and again as ${how}`);
    }
    this.#ended.set(id, how);
    this.#streaming.delete(id);
  }

  #addViolation(event: CellEvent, what: string): void {
    this.#violations.push(`after ${JSON.stringify(event)}: ${what}`);
  }

  #arrive(): void {
    this.#sequence += 1;
    const id = `r${this.#sequence}`;
    const arrival = {
      id,
      team: `team-${Math.floor(this.#random() * TEAMS)}`,
      tier: 'interactive' as const,
      promptTokens: 1 + Math.floor(this.#random() * 6000),
      maxTokens: 1400,
      deadline: this.#now + this.#random() * 4000,
      blocks: [Math.floor(this.#random() * 10)],
    };
    this.#dispatch({ kind: 'arrived', arrival });
  }

  #answer(): void {
    const index = Math.floor(this.#random() * this.#unanswered.length);
    const [action] = this.#unanswered.splice(index, 1);
    if (!action || this.#ended.has(action.id)) return;
    if (this.#random() < ODD_SHARE) return;
    if (this.#random() < 0.2) this.#fail(action);
    else this.#succeed(action);
  }

  #succeed(action: CellAction): void {
    if (this.#ended.has(action.id)) return;
    const { id } = action;
    if (action.kind === 'prefill') {
      const event: CellEvent = {
        kind: 'prefilled',
        id,
        cachedTokens: 0,
        keptUntil: this.#now + 800,
      };
      this.#dispatchMaybeTwice(event);
    } else if (action.kind === 'decode') {
      this.#dispatchMaybeTwice({ kind: 'started', id });
      this.#streaming.add(id);
    }
  }

  #fail(action: CellAction): void {
    if (action.kind === 'refuse') return;
    const reason = reasons[Math.floor(this.#random() * reasons.length)] ?? 'lost';
    this.#dispatchMaybeTwice({
      kind: 'failed',
      id: action.id,
      runner: action.runner,
      reason,
      tokens: 0,
    });
  }

  #dispatchMaybeTwice(event: CellEvent): void {
    this.#dispatch(event);
    if (this.#random() < ODD_SHARE) this.#duplicates.push(event);
  }

  #resend(): void {
    const [event] = this.#duplicates.splice(
      Math.floor(this.#random() * this.#duplicates.length),
      1,
    );
    if (event) this.#dispatch(event);
  }

  #finish(): void {
    const [id] = this.#streaming;
    if (id !== undefined) this.#reportFinished(id);
  }

  #reportFinished(id: string): void {
    const known = this.#cell.requests.has(id);
    this.#streaming.delete(id);
    this.#dispatchMaybeTwice({
      kind: 'finished',
      id,
      tokens: 1 + Math.floor(this.#random() * 1000),
    });
    if (known) this.#end({ kind: 'woke' }, id, 'finished');
  }

  #cancel(): void {
    const ids = [...this.#cell.requests.keys()];
    const id = ids[Math.floor(this.#random() * ids.length)];
    if (id === undefined) return;
    this.#dispatchMaybeTwice({ kind: 'cancelled', id });
    this.#end({ kind: 'woke' }, id, 'cancelled');
  }

  #adopt(): void {
    this.#sequence += 1;
    const id = `a${this.#sequence}`;
    const stage =
      (['prefilling', 'prefilled', 'decoding'] as const)[Math.floor(this.#random() * 3)] ??
      'decoding';
    const arrival = {
      id,
      team: 'team-0',
      tier: 'batch' as const,
      promptTokens: 500,
      maxTokens: 1400,
      deadline: this.#now + 4000,
      blocks: [],
    };
    this.#dispatch({
      kind: 'adopted',
      adoption: { arrival, stage, prefillRunner: 'r0', decodeRunner: 'r5' },
    });
    if (stage === 'prefilling') this.#unanswered.push({ kind: 'prefill', id, runner: 'r0' });
    if (stage === 'decoding') this.#streaming.add(id);
  }

  #report(): void {
    const runner = `r${Math.floor(this.#random() * 13)}`;
    const leaving = this.#random() < 0.05;
    const running = Math.floor(this.#random() * 25);
    this.#dispatch({
      kind: 'reported',
      report: { runner, asOf: this.#now - 300, running, leaving },
    });
  }
}
