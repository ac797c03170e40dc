/** Bytes that arrive in pieces, kept in one buffer. */

const MIN_CAPACITY_BYTES = 1024;
const GROWTH_FACTOR = 1.5;

/**
 * Joins pieces as they arrive. A piece takes no memory beyond its bytes, however small it is, and each
 * byte is copied a small number of times.
 */
export class GrowingBuffer {
  #bytes: Buffer;

  #length: number;

  /** Whether what follows the bytes in their buffer is free. */
  #isOwned = false;

  readonly #expectedBytes: number;

  /**
   * @param bytes the first bytes, which are not copied
   * @param expectedBytes length that all bytes will probably have; 0 if that is not known
   */
  constructor(bytes: Buffer = Buffer.alloc(0), expectedBytes = 0) {
    this.#bytes = bytes;
    this.#length = bytes.length;
    this.#expectedBytes = expectedBytes;
  }

  get length(): number {
    return this.#length;
  }

  /** Bytes of memory that it takes. */
  get capacity(): number {
    return this.#bytes.length;
  }

  /** All bytes; valid also after more are appended. */
  get bytes(): Buffer {
    return this.#bytes.subarray(0, this.#length);
  }

  append(piece: Buffer): void {
    const length = this.#length + piece.length;
    if (this.#length === 0) {
      this.#bytes = piece;
      this.#isOwned = false;
    } else {
      this.#reserve(length);
      piece.copy(this.#bytes, this.#length);
    }
    this.#length = length;
  }

  #reserve(length: number): void {
    if (this.#isOwned && length <= this.#bytes.length) return;
    const isExpected = length <= this.#expectedBytes;
    const capacity = isExpected ? this.#expectedBytes : length * GROWTH_FACTOR;
    const grown = Buffer.allocUnsafeSlow(Math.max(MIN_CAPACITY_BYTES, Math.ceil(capacity)));
    this.bytes.copy(grown);
    this.#bytes = grown;
    this.#isOwned = true;
  }
}
