/** The arrivals of one request at runners, which of them are repeats, and what is paid for them. */

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

/** What a call costs. */
export interface ArrivalCost {
  /** Repeats to pay when the call is sent. */
  readonly repeats: number;
  /** Repeats to set aside: a prefill is of use only if the run that follows can be sent, too. */
  readonly held: number;
}

/**
 * Counts the arrivals of one request. The first prefill that a runner completes is free, and so is
 * the first other arrival; each further one is a repeat, also if the runner rejects it. A call is
 * paid as if it would fail, since that is known only afterwards.
 */
export class Arrivals {
  #prefills = 0;

  #runs = 0;

  #isPrefilled = false;

  #paid = 0;

  #held = 0;

  /** What the next call costs, less what is paid and held already. */
  costOf(kind: ArrivalKind): ArrivalCost {
    const isPrefill = kind === 'prefill';
    const [prefills, runs] = isPrefill
      ? [this.#prefills + 1, this.#runs]
      : [this.#prefills, this.#runs + 1];
    const now = Math.max(this.#paid, repeatsOf(prefills, this.#isPrefilled, runs));
    const later = isPrefill ? Math.max(now, repeatsOf(prefills, true, runs + 1)) : now;
    return { repeats: now - this.#paid, held: later - now };
  }

  /** Number of repeats that are set aside for this request. */
  get held(): number {
    return this.#held;
  }

  /** Records how many repeats are set aside for this request now. */
  hold(repeats: number): void {
    this.#held = repeats;
  }

  /** Counts a call that is sent to a runner, at its cost. */
  add(kind: ArrivalKind, { repeats, held }: ArrivalCost): void {
    if (kind === 'prefill') this.#prefills += 1;
    else this.#runs += 1;
    this.#paid += repeats;
    this.#held = held;
  }

  /** Takes back the last call of a kind, which did not reach its runner. Returns how many repeats are paid too much. */
  remove(kind: ArrivalKind): number {
    if (kind === 'prefill') this.#prefills -= 1;
    else this.#runs -= 1;
    return this.#reclaim();
  }

  /** Records that a runner completed a prefill. Returns how many repeats are paid too much. */
  prefilled(): number {
    this.#isPrefilled = true;
    return this.#reclaim();
  }

  /** Ends the request. Returns how many repeats are set aside no more. */
  settle(): number {
    const released = this.#held;
    this.#held = 0;
    return released;
  }

  /** Sets aside what is paid too much, for the call that follows. */
  #reclaim(): number {
    const surplus = this.#paid - this.repeats;
    this.#paid -= surplus;
    this.#held += surplus;
    return surplus;
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
