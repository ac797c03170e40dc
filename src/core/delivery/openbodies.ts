/** Bodies that are being read, and which of them to give up when all together take too much memory. */

/** The bodies of one process. */
export class OpenBodies<T> {
  readonly #maxBytes: number;

  /** Bytes that each body takes. */
  readonly #sizes = new Map<T, number>();

  #bytes = 0;

  /** @param maxBytes most that all bodies may take */
  constructor(maxBytes: number) {
    this.#maxBytes = maxBytes;
  }

  /**
   * Records how many bytes a body takes by now. Returns the body to give up, if all together take too
   * much: the largest, so that small ones are read beside many that never end.
   */
  grown(body: T, bytes: number): T | undefined {
    this.#bytes += bytes - (this.#sizes.get(body) ?? 0);
    this.#sizes.set(body, bytes);
    if (this.#bytes <= this.#maxBytes) return undefined;
    const [largest] = [...this.#sizes].reduce((most, one) => (one[1] > most[1] ? one : most));
    return largest;
  }

  /** Records that a body was read, or given up. */
  ended(body: T): void {
    this.#bytes -= this.#sizes.get(body) ?? 0;
    this.#sizes.delete(body);
  }
}
