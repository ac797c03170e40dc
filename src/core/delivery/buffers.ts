/**
 * What one VM buffers for callers that read more slowly than runners send, and which of these
 * callers to disconnect.
 *
 * A runner aborts a response that stays unread for a few seconds, so responses are read at the
 * runner's pace and buffered. Without bounds, callers that read nothing would fill the memory of the
 * VM: 250 unread plain responses of 4 MiB take 1 GiB. At a bound, a response is held back at its runner,
 * which is what happens to callers that are slow but read. Those that read nothing are disconnected,
 * since their share of the buffers serves nobody.
 */

/** Limits of one VM. */
export interface BufferBounds {
  /** Bytes of one response. */
  readonly responseBytes: number;
  /** Bytes of all responses together. */
  readonly vmBytes: number;
  /** How long a caller may read nothing while a bound is reached, in milliseconds. */
  readonly stallMs: number;
}

/** The bound that a response has reached: its own, or that of all responses. */
export type ReachedBound = 'response' | 'vm';

/** A response whose caller is to be disconnected. */
export interface StalledResponse<T> {
  readonly response: T;
  readonly bytes: number;
  /** How long the caller has read nothing, in milliseconds. */
  readonly silentMs: number;
  readonly bound: ReachedBound;
}

/** The buffer of one response. */
interface Buffered {
  bytes: number;
  /** When the caller last read, or when the first bytes were buffered, less all pauses before. */
  readAt: number;
}

/**
 * Bytes that each response may buffer although the bound of the VM is reached. Callers that read at
 * a usual pace leave less than that unread, so that they are not held back because of others.
 */
export const FREE_BYTES = 64 * 1024;

/** The buffers of all responses of one VM. */
export class ResponseBuffers<T> {
  readonly #bounds: () => BufferBounds;

  readonly #buffered = new Map<T, Buffered>();

  #bytes = 0;

  /** Time for which the process did not run, in milliseconds. */
  #pausedMs = 0;

  /** @param bounds the limits in force */
  constructor(bounds: () => BufferBounds) {
    this.#bounds = bounds;
  }

  /** Bytes of all responses. */
  get bytes(): number {
    return this.#bytes;
  }

  /** Number of responses of which something is buffered. */
  get size(): number {
    return this.#buffered.size;
  }

  /** Bytes that may be added before the bound of the VM is reached. */
  get freeBytes(): number {
    return Math.max(0, this.#bounds().vmBytes - this.#bytes);
  }

  /** Bytes of a response were buffered. */
  added(now: number, response: T, bytes: number): void {
    const buffered = this.#buffered.get(response);
    this.#bytes += bytes;
    if (buffered) buffered.bytes += bytes;
    else this.#buffered.set(response, { bytes, readAt: now - this.#pausedMs });
  }

  /**
   * The caller of a response has read a part of it.
   * @param bytes what is not buffered any more; may be 0, if a larger chunk was read in part
   */
  read(now: number, response: T, bytes: number): void {
    const buffered = this.#buffered.get(response);
    if (!buffered) return;
    buffered.bytes -= bytes;
    buffered.readAt = now - this.#pausedMs;
    this.#bytes -= bytes;
    if (buffered.bytes <= 0) this.#buffered.delete(response);
  }

  /** The process did not run for a time, in which no caller could be seen to read. */
  paused(ms: number): void {
    this.#pausedMs += ms;
  }

  /** Nothing of a response is buffered any more. */
  remove(response: T): void {
    this.#bytes -= this.#buffered.get(response)?.bytes ?? 0;
    this.#buffered.delete(response);
  }

  /** Which bound holds a response back at its runner; undefined if more of it may be buffered. */
  heldBy(response: T): ReachedBound | undefined {
    const bytes = this.#buffered.get(response)?.bytes ?? 0;
    const { responseBytes, vmBytes } = this.#bounds();
    if (bytes >= responseBytes) return 'response';
    return bytes >= FREE_BYTES && this.#bytes >= vmBytes ? 'vm' : undefined;
  }

  /**
   * The responses whose callers are to be disconnected: of those that have read nothing for
   * `stallMs`, all that have reached their own bound, and as many others as bring the VM below its
   * bound, beginning with those that have read nothing for longest. They must be removed.
   */
  stalled(now: number): readonly StalledResponse<T>[] {
    const { responseBytes, vmBytes, stallMs } = this.#bounds();
    const ranAt = now - this.#pausedMs;
    const silent = [...this.#buffered]
      .filter(([, { readAt }]) => ranAt - readAt >= stallMs)
      .sort(([, a], [, b]) => a.readAt - b.readAt);
    const isLarge = ([, { bytes }]: (typeof silent)[number]): boolean => bytes >= responseBytes;
    let left = this.#bytes;
    const stalled: StalledResponse<T>[] = [];
    const take = (bound: ReachedBound, [response, { bytes, readAt }]: [T, Buffered]): void => {
      left -= bytes;
      stalled.push({ response, bytes, silentMs: ranAt - readAt, bound });
    };
    for (const entry of silent.filter(isLarge)) take('response', entry);
    for (const entry of silent.filter((one) => !isLarge(one))) {
      if (left < vmBytes) break;
      take('vm', entry);
    }
    return stalled;
  }
}
