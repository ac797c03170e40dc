/** Sends one response to its caller, and buffers what the caller has not read. */

import type { ServerResponse } from 'node:http';

import { ChunkQueue } from '../../core/delivery/chunkqueue';
import type { BufferedResponse, CallerBuffers } from './callerbuffers';

/** The part of the VM's buffers that one response uses. */
export type DeliveryBuffers = Pick<CallerBuffers, 'added' | 'read' | 'remove' | 'room'>;

/**
 * Largest chunk that is sent whole to a caller that has read all before, in bytes: what Node reads
 * at once from a runner. Larger ones are sent in slices, by which it is known whether the caller reads.
 */
const MAX_WHOLE_BYTES = 64 * 1024;

/** The response of one request. */
export class Delivery implements BufferedResponse {
  readonly id: string;

  readonly service: string;

  readonly disconnect: BufferedResponse['disconnect'];

  readonly #res: ServerResponse;

  readonly #buffers: DeliveryBuffers;

  readonly #queue = new ChunkQueue();

  /** Whether the connection takes no more until it has drained. */
  #isBlocked = false;

  /** Counted memory that is freed when the connection has drained, in bytes. */
  #draining = 0;

  #isEnding = false;

  constructor(
    res: ServerResponse,
    buffers: DeliveryBuffers,
    { id, service, disconnect }: BufferedResponse,
  ) {
    this.id = id;
    this.service = service;
    this.disconnect = disconnect;
    this.#res = res;
    this.#buffers = buffers;
    const release = (): void => {
      this.#queue.clear();
      buffers.remove(this);
    };
    res.on('drain', () => this.#drained(performance.now()));
    res.on('finish', release);
    res.on('close', release);
  }

  /** Sends a chunk, or buffers it if the caller has not read what was sent before. */
  write(now: number, chunk: Buffer): void {
    if (this.#res.destroyed) return;
    if (!this.#sendsWhole(chunk)) {
      this.#enqueue(now, chunk);
      return;
    }
    this.#isBlocked = !this.#res.write(chunk);
    if (!this.#isBlocked) return;
    this.#buffers.added(now, this, chunk.length);
    this.#draining = chunk.length;
  }

  /** Resolves when more of the response may be buffered, or the signal is aborted. */
  room(signal: AbortSignal): Promise<void> {
    return this.#buffers.room(this, signal);
  }

  /** Completes the response, after what is buffered and a last chunk if one is given. */
  end(now: number, chunk: Buffer = Buffer.alloc(0)): void {
    this.#isEnding = true;
    if (!this.#sendsWhole(chunk)) {
      this.#enqueue(now, chunk);
      return;
    }
    this.#res.end(chunk);
    if (this.#res.writableLength > 0) this.#buffers.added(now, this, chunk.length);
  }

  #sendsWhole(chunk: Buffer): boolean {
    return !this.#isBlocked && this.#queue.isEmpty && chunk.length <= MAX_WHOLE_BYTES;
  }

  #enqueue(now: number, chunk: Buffer): void {
    const bytes = this.#queue.push(chunk);
    if (bytes > 0) this.#buffers.added(now, this, bytes);
    this.#pump(now);
  }

  #drained(now: number): void {
    const freed = this.#draining;
    this.#draining = 0;
    this.#isBlocked = false;
    this.#buffers.read(now, this, freed);
    this.#pump(now);
  }

  /** Sends slices until the connection takes no more. */
  #pump(now: number): void {
    while (!this.#isBlocked && !this.#res.destroyed) {
      const slice = this.#queue.take();
      if (!slice) break;
      this.#isBlocked = !this.#res.write(slice.bytes);
      if (this.#isBlocked) this.#draining += slice.freed;
      else this.#buffers.read(now, this, slice.freed);
    }
    const isComplete = this.#isEnding && this.#queue.isEmpty;
    if (isComplete && !this.#res.writableEnded && !this.#res.destroyed) this.#res.end();
  }
}
