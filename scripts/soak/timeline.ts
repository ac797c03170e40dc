/** Records a run second by second, as JSON lines and for the report. */

import type { CallerAnswer, Outcome } from './callers';
import type { Breach } from './guarantees';
import type { LostStreamEnd } from './loststreams';

/** Measurements of one second of a run. */
export interface Second {
  readonly second: number;
  readonly outcomes: Readonly<Record<Outcome, number>>;
  /** Median duration of served requests; 0 if there are none. */
  readonly medianMs: number;
  /** 95th percentile of the duration of served requests; 0 if there are none. */
  readonly p95Ms: number;
  readonly vmsUp: number;
  /** Lowest configuration version that VMs report as applied; infinite if none reports one. */
  readonly configLow: number;
  /** Highest configuration version that VMs report as applied; -Infinity if none reports one. */
  readonly configHigh: number;
}

/** A fault and its interval, in seconds since the start of the run. */
export interface FaultSpan {
  readonly name: string;
  readonly target: string;
  readonly from: number;
  /** Infinite while the fault is in progress. */
  to: number;
}

/** State of the VMs as they report it. */
export interface FleetView {
  /** Number of VMs that are up and not suspended. */
  readonly vmsUp: number;
  readonly configVersions: readonly number[];
}

const outcomes: readonly Outcome[] = ['served', 'refused', 'failed', 'broken', 'left'];

function quantile(sorted: readonly number[], fraction: number): number {
  return Math.round(sorted[Math.floor(sorted.length * fraction)] ?? 0);
}

/** Collects outcomes, faults and violated guarantees of a run. */
export class Timeline {
  readonly seconds: Second[] = [];

  readonly faults: FaultSpan[] = [];

  readonly breaches: Breach[] = [];

  readonly #startedAt = Date.now();

  readonly #print: (line: unknown) => void;

  #outcomeCounts = new Map<Outcome, number>();

  #servedMs: number[] = [];

  /** @param print writes one output line */
  constructor(print: (line: unknown) => void) {
    this.#print = print;
  }

  get #elapsedS(): number {
    return (Date.now() - this.#startedAt) / 1000;
  }

  /** Counts the outcome of an attempt. */
  recordAnswer({ outcome, ms }: CallerAnswer): void {
    this.#outcomeCounts.set(outcome, (this.#outcomeCounts.get(outcome) ?? 0) + 1);
    if (outcome === 'served') this.#servedMs.push(ms);
  }

  /** Records the beginning of a fault; returns what to call when it ends. */
  recordFault(name: string, target: string): () => void {
    const span: FaultSpan = {
      name,
      target,
      from: this.#printFault(name, target, true),
      to: Infinity,
    };
    this.faults.push(span);
    return () => {
      span.to = this.#printFault(name, target, false);
    };
  }

  #printFault(fault: string, target: string, begins: boolean): number {
    const at = Math.round(this.#elapsedS * 1000) / 1000;
    this.#print({ at, fault, target, begins });
    return at;
  }

  /** Records the end of a stream whose runner had fallen silent. */
  recordLostStreamEnd(end: LostStreamEnd): void {
    this.#print({ at: this.#elapsedS, lostStream: end });
  }

  /** Records a violated guarantee. */
  recordBreach(breach: Breach): void {
    this.breaches.push(breach);
    this.#print({ at: this.#elapsedS, ...breach });
  }

  /** Completes the record of the current second and prints it. */
  recordSecond({ vmsUp, configVersions }: FleetView): void {
    const sorted = [...this.#servedMs].sort((a, b) => a - b);
    const second: Second = {
      second: Math.round(this.#elapsedS),
      outcomes: Object.fromEntries(
        outcomes.map((outcome) => [outcome, this.#outcomeCounts.get(outcome) ?? 0]),
      ) as Second['outcomes'],
      medianMs: quantile(sorted, 0.5),
      p95Ms: quantile(sorted, 0.95),
      vmsUp,
      configLow: Math.min(...configVersions),
      configHigh: Math.max(...configVersions),
    };
    this.seconds.push(second);
    this.#print(second);
    this.#outcomeCounts = new Map();
    this.#servedMs = [];
  }

  /** Number of attempts by outcome, over all completed seconds. */
  get totals(): Readonly<Record<Outcome, number>> {
    return Object.fromEntries(
      outcomes.map((outcome) => [
        outcome,
        this.seconds.reduce((sum, second) => sum + second.outcomes[outcome], 0),
      ]),
    ) as Readonly<Record<Outcome, number>>;
  }
}
