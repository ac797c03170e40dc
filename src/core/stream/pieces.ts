/** Limits the pieces in which a message may arrive: each takes processor time, whatever its size. */

/** Pieces that may arrive at once: what a runner sends after its link held a stream for some seconds. */
const BURST_PIECES = 4096;
/** Pieces per second that may follow, more than any stream has events. */
const PIECES_PER_S = 1000;
/** Bytes for which one more piece may arrive, so that large messages are not limited by their size. */
const BYTES_PER_PIECE = 64;
const SECOND_MS = 1000;

/** Counts the pieces of one message: chunks of its body, events, and interim responses before it. */
export class PieceCounter {
  readonly #startedAt: number;

  #pieces = 0;

  #bytes = 0;

  /** @param startedAt when the message began; this and all other times are in milliseconds */
  constructor(startedAt: number) {
    this.#startedAt = startedAt;
  }

  /**
   * Counts what has arrived; false if the message has too many pieces.
   * @param pieces what it costs, in pieces
   * @param bytes its size
   */
  add(now: number, pieces: number, bytes: number): boolean {
    this.#pieces += pieces;
    this.#bytes += bytes;
    if (this.#pieces <= BURST_PIECES) return true;
    const earned = ((now - this.#startedAt) / SECOND_MS) * PIECES_PER_S;
    return this.#pieces <= BURST_PIECES + earned + this.#bytes / BYTES_PER_PIECE;
  }
}
