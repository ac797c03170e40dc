/** The amount taken from a customer's quota for one request: its size once for each run that may have been executed. */
export class QuotaCharge {
  #paidRuns = 0;

  #usedRuns = 0;

  #size = 0;

  /** Whether the next run is already paid for. */
  get isCovered(): boolean {
    return this.#paidRuns > this.#usedRuns;
  }

  /** Pays for one more run. */
  take(size: number): void {
    this.#paidRuns += 1;
    this.#size = size;
  }

  /** Uses one paid run: the request is sent to a runner that may execute it. */
  spend(): void {
    this.#usedRuns += 1;
  }

  /** Returns one used run: the runner did not execute it. */
  refund(): void {
    this.#usedRuns -= 1;
  }

  /** The amount to return to the quota when no further run follows; 0 when called again. */
  settle(): number {
    const unused = Math.max(0, this.#paidRuns - this.#usedRuns) * this.#size;
    this.#paidRuns = this.#usedRuns;
    return unused;
  }
}
