/** The arrivals of one request at runners, and which of them are repeats. */

/** A call that a runner gets for a request: one that only prefills its prompt, or one that runs it. */
export type ArrivalKind = 'prefill' | 'run';

/** Counts of the arrivals of one request. */
export interface ArrivalCounts {
  readonly prefills: number;
  readonly runs: number;
  /** Arrivals beyond the first. */
  readonly repeats: number;
  /** Repeats that are paid from the retry budget. */
  readonly paid: number;
}

/**
 * Counts the arrivals of one request. The first prefill that a runner completes is free, and so is
 * the first other arrival; each further one is a repeat, also if the runner rejects it.
 */
export class Arrivals {
  #prefills = 0;

  #runs = 0;

  #isPrefilled = false;

  #paid = 0;

  /** Counts a call that is sent to a runner. */
  add(kind: ArrivalKind): void {
    if (kind === 'prefill') this.#prefills += 1;
    else this.#runs += 1;
  }

  /** Takes back the last call of a kind, which did not reach its runner. */
  remove(kind: ArrivalKind): void {
    if (kind === 'prefill') this.#prefills -= 1;
    else this.#runs -= 1;
  }

  /** Records that a runner completed a prefill. */
  prefilled(): void {
    this.#isPrefilled = true;
  }

  /** Records that repeats were paid from the retry budget. */
  pay(repeats: number): void {
    this.#paid += repeats;
  }

  /** Number of repeats; a prefill without an answer counts as one that was rejected. */
  get repeats(): number {
    return repeatsOf(this.#prefills, this.#isPrefilled, this.#runs);
  }

  /** The counts, for the log. */
  get counts(): ArrivalCounts {
    const { repeats } = this;
    return { prefills: this.#prefills, runs: this.#runs, repeats, paid: this.#paid };
  }
}

function repeatsOf(prefills: number, isPrefilled: boolean, runs: number): number {
  return Math.max(0, prefills - (isPrefilled ? 1 : 0) + runs - 1);
}
