/**
 * A storm of events at one cell: answers come crossed, late, twice or never,
 * runners fail in every way, gateways ask again, owners hand over. After each
 * event the cell's invariants are checked.
 */

import { Cell } from '../../../src/core/cell/cell';
import type { CellAction, CellEvent, FailureReason } from '../../../src/core/cell/types';
import { policyOf, runnersOf } from './bench';
import type { Random } from './workload';
import { bagmatiWork } from './workload';

/** What a storm came to. */
export interface StormResult {
  readonly events: number;
  readonly broken: readonly string[];
  /** Requests by how they ended. */
  readonly ends: Readonly<Record<string, number>>;
  /** Requests that the cell still knows after everything was answered. */
  readonly left: number;
  /** All actions as text, to compare two runs. */
  readonly digest: number;
}

const reasons: readonly FailureReason[] = ['full', 'evicted', 'leaving', 'lost'];
const TEAMS = 5;
/** Share of answers that are kept back and come much later, or twice. */
const ODD = 0.05;

/** The request that an event brings in. */
function idOf(event: CellEvent): string | undefined {
  if (event.kind === 'arrived') return event.arrival.id;
  return event.kind === 'adopted' ? event.adoption.arrival.id : undefined;
}

/** Drives one cell through a storm. */
export class Storm {
  readonly #random: Random;

  readonly #cell: Cell;

  /** Actions that were not answered yet. */
  readonly #open: CellAction[] = [];

  /** Requests that stream. */
  readonly #streaming = new Set<string>();

  /** Events to be told again later. */
  readonly #again: CellEvent[] = [];

  readonly #ended = new Map<string, string>();

  readonly #broken: string[] = [];

  #now = 1000;

  #sequence = 0;

  #events = 0;

  #digest = 0;

  constructor(random: Random) {
    this.#random = random;
    const policy = policyOf(bagmatiWork);
    this.#cell = new Cell({ policy: { ...policy, queueLimit: 64 } });
    this.#tell({ kind: 'runners', runners: runnersOf(bagmatiWork) });
  }

  run(events: number): StormResult {
    while (this.#events < events) this.#step();
    this.#calm();
    const ends: Record<string, number> = {};
    for (const how of this.#ended.values()) ends[how] = (ends[how] ?? 0) + 1;
    return {
      events: this.#events,
      broken: this.#broken,
      ends,
      left: this.#cell.requests.size,
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
    else if (choice < 0.96) this.#repeat();
    else if (choice < 0.97) this.#adopt();
    else this.#tell({ kind: 'woke' });
  }

  /** Lets all that is open end well, then lets time pass: nothing may be left. */
  #calm(): void {
    for (let round = 0; round < 10_000 && this.#cell.requests.size > 0; round += 1) {
      this.#now += 10;
      for (const action of this.#open.splice(0)) this.#answerWell(action);
      for (const id of [...this.#streaming]) this.#tellFinished(id);
      for (const [id, { stage }] of this.#cell.requests) {
        // What waits for an answer that was never sent is asked about by its gateway or given up by it.
        if (stage !== 'queued' && round > 100) this.#tell({ kind: 'cancelled', id });
      }
      this.#tell({ kind: 'woke' });
    }
  }

  #tell(event: CellEvent): void {
    this.#events += 1;
    const before = new Set(this.#cell.requests.keys());
    const actions = this.#cell.handle(this.#now, event);
    for (const violation of this.#cell.violations()) this.#note(event, violation);
    for (const action of actions) this.#take(event, action, before);
  }

  #take(event: CellEvent, action: CellAction, before: ReadonlySet<string>): void {
    for (const char of JSON.stringify(action)) {
      this.#digest = (this.#digest * 31 + char.charCodeAt(0)) % 1_000_000_007;
    }
    const fresh = event.kind === 'arrived' || event.kind === 'adopted';
    const known = before.has(action.id) || (fresh && idOf(event) === action.id);
    if (!known) this.#note(event, `${action.kind} for ${action.id}, which the cell does not have`);
    this.#checkSlot(event, action);
    if (action.kind === 'refuse') this.#end(event, action.id, action.code);
    else this.#open.push(action);
  }

  /** A slot is never given on a runner that has none left, whatever others hold there. */
  #checkSlot(event: CellEvent, action: CellAction): void {
    if (action.kind !== 'decode') return;
    const place = this.#cell.view.capacity.decodeRunners.find(
      ({ runner }) => runner.id === action.runner,
    );
    if (!place || place.held > place.runner.slots) {
      this.#note(event, `${action.runner} holds ${place?.held}`);
    }
  }

  #end(event: CellEvent, id: string, how: string): void {
    if (this.#ended.has(id)) {
      this.#note(event, `${id} ended as ${this.#ended.get(id)} and again as ${how}`);
    }
    this.#ended.set(id, how);
    this.#streaming.delete(id);
  }

  #note(event: CellEvent, what: string): void {
    this.#broken.push(`after ${JSON.stringify(event)}: ${what}`);
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
    this.#tell({ kind: 'arrived', arrival });
  }

  #answer(): void {
    const index = Math.floor(this.#random() * this.#open.length);
    const [action] = this.#open.splice(index, 1);
    if (!action || this.#ended.has(action.id)) return;
    if (this.#random() < ODD) return;
    if (this.#random() < 0.2) this.#fail(action);
    else this.#answerWell(action);
  }

  #answerWell(action: CellAction): void {
    if (this.#ended.has(action.id)) return;
    const { id } = action;
    if (action.kind === 'prefill') {
      const event: CellEvent = {
        kind: 'prefilled',
        id,
        cachedTokens: 0,
        keptUntil: this.#now + 800,
      };
      this.#tellMaybeTwice(event);
    } else if (action.kind === 'decode') {
      this.#tellMaybeTwice({ kind: 'started', id });
      this.#streaming.add(id);
    }
  }

  #fail(action: CellAction): void {
    if (action.kind === 'refuse') return;
    const reason = reasons[Math.floor(this.#random() * reasons.length)] ?? 'lost';
    this.#tellMaybeTwice({
      kind: 'failed',
      id: action.id,
      runner: action.runner,
      reason,
      tokens: 0,
    });
  }

  #tellMaybeTwice(event: CellEvent): void {
    this.#tell(event);
    if (this.#random() < ODD) this.#again.push(event);
  }

  #repeat(): void {
    const [event] = this.#again.splice(Math.floor(this.#random() * this.#again.length), 1);
    if (event) this.#tell(event);
  }

  #finish(): void {
    const [id] = this.#streaming;
    if (id !== undefined) this.#tellFinished(id);
  }

  #tellFinished(id: string): void {
    const known = this.#cell.requests.has(id);
    this.#streaming.delete(id);
    this.#tellMaybeTwice({ kind: 'finished', id, tokens: 1 + Math.floor(this.#random() * 1000) });
    if (known) this.#end({ kind: 'woke' }, id, 'finished');
  }

  #cancel(): void {
    const ids = [...this.#cell.requests.keys()];
    const id = ids[Math.floor(this.#random() * ids.length)];
    if (id === undefined) return;
    this.#tellMaybeTwice({ kind: 'cancelled', id });
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
    this.#tell({
      kind: 'adopted',
      adoption: { arrival, stage, prefillRunner: 'r0', decodeRunner: 'r5' },
    });
    if (stage === 'prefilling') this.#open.push({ kind: 'prefill', id, runner: 'r0' });
    if (stage === 'decoding') this.#streaming.add(id);
  }

  #report(): void {
    const runner = `r${Math.floor(this.#random() * 13)}`;
    const leaving = this.#random() < 0.05;
    const running = Math.floor(this.#random() * 25);
    this.#tell({ kind: 'reported', report: { runner, asOf: this.#now - 300, running, leaving } });
  }
}
