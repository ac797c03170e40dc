/** Bytes that wait for a slow caller. The memory that they take is known exactly and does not depend on the size of events. */

/**
 * Size of the blocks to which small chunks are copied, and of the slices that are taken, in bytes.
 * A stream has thousands of events of some ten bytes, and each buffer of its own takes more than that.
 */
export const SLICE_BYTES = 16 * 1024;

/** A chunk, or a block with several ones. */
interface Chunk {
  readonly bytes: Buffer;
  /** Bytes from the start that hold data. */
  filled: number;
  /** Bytes from the start that were taken. */
  taken: number;
}

/** A part of what waits. */
export interface Slice {
  readonly bytes: Buffer;
  /** Memory in bytes that is not needed once the slice is sent; 0 if more of the same chunk waits. */
  readonly freed: number;
}

/** Chunks in the order in which they are sent. */
export class ChunkQueue {
  #chunks: Chunk[] = [];

  /** Whether nothing waits. */
  get isEmpty(): boolean {
    return this.#chunks.length === 0;
  }

  /** Adds a chunk, which must not be modified any more; returns how much memory it takes, in bytes. */
  push(bytes: Buffer): number {
    if (bytes.length >= SLICE_BYTES) {
      this.#chunks.push({ bytes, filled: bytes.length, taken: 0 });
      return bytes.length;
    }
    let added = 0;
    let rest = bytes;
    while (rest.length > 0) {
      let block = this.#chunks.at(-1);
      if (!block || block.filled === block.bytes.length) {
        block = { bytes: Buffer.allocUnsafeSlow(SLICE_BYTES), filled: 0, taken: 0 };
        this.#chunks.push(block);
        added += SLICE_BYTES;
      }
      const copied = rest.copy(block.bytes, block.filled);
      block.filled += copied;
      rest = rest.subarray(copied);
    }
    return added;
  }

  /** Takes the next bytes, at most `SLICE_BYTES`; undefined if nothing waits. */
  take(): Slice | undefined {
    const [first] = this.#chunks;
    if (!first) return undefined;
    const end = Math.min(first.filled, first.taken + SLICE_BYTES);
    const bytes = first.bytes.subarray(first.taken, end);
    first.taken = end;
    if (end < first.filled) return { bytes, freed: 0 };
    this.#chunks.shift();
    return { bytes, freed: first.bytes.length };
  }

  /** Discards all that waits. */
  clear(): void {
    this.#chunks = [];
  }
}
