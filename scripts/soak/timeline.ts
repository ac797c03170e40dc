/** What happened in a run, second by second, as JSON lines and for the report. */

import type { CallerAnswer, Outcome } from './callers';
import type { Breach } from './guarantees';

/** One second of a run. */
export interface Second {
  readonly second: number;
  readonly outcomes: Readonly<Record<Outcome, number>>;
  /** Of the answers that were served, in milliseconds; 0 without any. */
  readonly medianMs: number;
  readonly p95Ms: number;
  readonly vmsUp: number;
  /** Lowest and highest version of the configuration by which VMs say that they go. */
  readonly configLow: number;
  readonly configHigh: number;
}

/** A fault and when it was, in seconds from the start of the run. */
export interface FaultSpan {
  readonly name: string;
  readonly target: string;
  readonly from: number;
  to: number;
}

/** What VMs say of themselves. */
export interface FleetView {
  readonly vmsUp: number;
  readonly configVersions: readonly number[];
}

const outcomes: readonly Outcome[] = ['served', 'refused', 'failed', 'broken', 'left'];

function quantile(sorted: readonly number[], part: number): number {
  return Math.round(sorted[Math.floor(sorted.length * part)] ?? 0);
}

/** Collects what happens. */
export class Timeline {
  readonly seconds: Second[] = [];

  readonly faults: FaultSpan[] = [];

  readonly breaches: Breach[] = [];

  readonly #began = Date.now();

  readonly #print: (line: unknown) => void;

  readonly #open = new Map<number, FaultSpan>();

  #counts = new Map<Outcome, number>();

  #times: number[] = [];

  /** @param print takes each line */
  constructor(print: (line: unknown) => void) {
    this.#print = print;
  }

  get #at(): number {
    return (Date.now() - this.#began) / 1000;
  }

  recordAnswer({ outcome, ms }: CallerAnswer): void {
    this.#counts.set(outcome, (this.#counts.get(outcome) ?? 0) + 1);
    if (outcome === 'served') this.#times.push(ms);
  }

  fault(id: number, name: string, target: string, begins: boolean): void {
    const at = Math.round(this.#at * 1000) / 1000;
    this.#print({ at, fault: name, target, begins });
    if (begins) {
      const span = { name, target, from: at, to: Infinity };
      this.#open.set(id, span);
      this.faults.push(span);
    }
    const span = this.#open.get(id);
    if (span && !begins) span.to = at;
  }

  recordBreach(breach: Breach): void {
    this.breaches.push(breach);
    this.#print({ at: this.#at, ...breach });
  }

  /** One more second has passed. */
  recordSecond({ vmsUp, configVersions }: FleetView): void {
    const sorted = [...this.#times].sort((a, b) => a - b);
    const second: Second = {
      second: Math.round(this.#at),
      outcomes: Object.fromEntries(
        outcomes.map((one) => [one, this.#counts.get(one) ?? 0]),
      ) as Second['outcomes'],
      medianMs: quantile(sorted, 0.5),
      p95Ms: quantile(sorted, 0.95),
      vmsUp,
      configLow: Math.min(...configVersions),
      configHigh: Math.max(...configVersions),
    };
    this.seconds.push(second);
    this.#print(second);
    this.#counts = new Map();
    this.#times = [];
  }

  /** All outcomes so far. */
  get totals(): Readonly<Record<Outcome, number>> {
    return Object.fromEntries(
      outcomes.map((one) => [
        one,
        this.seconds.reduce((sum, second) => sum + second.outcomes[one], 0),
      ]),
    ) as Readonly<Record<Outcome, number>>;
  }
}
