/** What was taken of a customer's quota for one request: once for each run that there may have been. */
export class QuotaCharge {
  #taken = 0;

  #runs = 0;

  #size = 0;

  /** Whether one more run is paid for. */
  get isCovered(): boolean {
    return this.#taken > this.#runs;
  }

  /** One more run is paid for. */
  take(size: number): void {
    this.#taken += 1;
    this.#size = size;
  }

  /** The request is sent to a runner that may run it. */
  spend(): void {
    this.#runs += 1;
  }

  /** The runner did not run it. */
  refund(): void {
    this.#runs -= 1;
  }

  /** What is to be given back once no further run follows. */
  settle(): number {
    const left = Math.max(0, this.#taken - this.#runs) * this.#size;
    this.#taken = this.#runs;
    return left;
  }
}
