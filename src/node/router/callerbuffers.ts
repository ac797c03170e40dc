/** Buffers of responses whose callers read more slowly than runners send: holds back, counts and disconnects. */

import type { Logger } from 'pino';

import type { BufferBounds, StalledResponse } from '../../core/delivery/buffers';
import { FREE_BYTES, ResponseBuffers } from '../../core/delivery/buffers';
import { Failure } from '../../core/failure';
import { LogRateLimiter } from '../loglimiter';
import type { Metrics } from '../metrics';

/** Dependencies of the buffers. */
export interface CallerBuffersContext {
  /** The bounds in force. */
  readonly bounds: () => BufferBounds;
  readonly metrics: Metrics;
  readonly log: Logger;
}

/** A response of which something may be buffered. */
export interface BufferedResponse {
  /** Id of the request. */
  readonly id: string;
  readonly service: string;
  /** Ends the response. */
  disconnect(failure: Failure): void;
}

/** Period of the check for callers that read nothing, in milliseconds: short beside the time that they have. */
const CHECK_MS = 250;
const LINES_PER_S = 20;

/** What one VM buffers for its callers. */
export class CallerBuffers {
  readonly #context: CallerBuffersContext;

  readonly #buffers: ResponseBuffers<BufferedResponse>;

  readonly #lines: LogRateLimiter;

  /** Responses that are held back at their runners, with what lets them go on, in the order of arrival. */
  readonly #held = new Map<BufferedResponse, () => void>();

  #timer: NodeJS.Timeout | undefined;

  #checkedAt = 0;

  constructor(context: CallerBuffersContext) {
    this.#context = context;
    this.#buffers = new ResponseBuffers(context.bounds);
    this.#lines = new LogRateLimiter(LINES_PER_S, (lines) =>
      context.log.info({ lines }, 'Disconnected more callers that read nothing.'),
    );
  }

  /** Number of responses of which something is buffered. */
  get size(): number {
    return this.#buffers.size;
  }

  /** State of the buffers, for operators. */
  snapshot(): Readonly<Record<string, unknown>> {
    return { responses: this.size, bytes: this.#buffers.bytes, held: this.#held.size };
  }

  /** Bytes of a response were buffered. */
  added(now: number, response: BufferedResponse, bytes: number): void {
    this.#buffers.added(now, response, bytes);
    if (this.#timer) return;
    this.#checkedAt = now;
    this.#timer = setInterval(() => this.#check(performance.now()), CHECK_MS).unref();
  }

  /**
   * The caller of a response has read a part of it.
   * @param bytes what is not buffered any more
   */
  read(now: number, response: BufferedResponse, bytes: number): void {
    this.#buffers.read(now, response, bytes);
    this.#release(response);
  }

  /** Nothing of a response is buffered any more. */
  remove(response: BufferedResponse): void {
    this.#buffers.remove(response);
    this.#release(response);
  }

  /** Resolves when more of a response may be buffered, or the signal is aborted. */
  async room(response: BufferedResponse, signal: AbortSignal): Promise<void> {
    const bound = this.#buffers.heldBy(response);
    if (!bound || signal.aborted) return;
    this.#context.metrics.count(`callers.held_${bound}`);
    await new Promise<void>((resolve) => {
      const goOn = (): void => {
        this.#held.delete(response);
        signal.removeEventListener('abort', goOn);
        resolve();
      };
      this.#held.set(response, goOn);
      signal.addEventListener('abort', goOn);
    });
  }

  /**
   * Lets a response go on that has room again by itself, then others, only as many as the VM has
   * room for: each adds up to one chunk of its runner.
   */
  #release(changed: BufferedResponse): void {
    if (this.#held.size === 0) return;
    if (!this.#buffers.heldBy(changed)) this.#held.get(changed)?.();
    let free = this.#buffers.freeBytes;
    for (const [response, goOn] of this.#held) {
      if (free <= 0) return;
      if (!this.#buffers.heldBy(response)) {
        free -= FREE_BYTES;
        goOn();
      }
    }
  }

  #check(now: number): void {
    const { metrics } = this.#context;
    // A late check shows that the process did not run: it was frozen or had no processor time.
    this.#buffers.paused(Math.max(0, now - this.#checkedAt - CHECK_MS));
    this.#checkedAt = now;
    for (const stalled of this.#buffers.stalled(now)) this.#disconnect(now, stalled);
    metrics.gauge('callers.buffered_bytes', this.#buffers.bytes);
    if (this.size > 0) return;
    clearInterval(this.#timer);
    this.#timer = undefined;
  }

  #disconnect(now: number, stalled: StalledResponse<BufferedResponse>): void {
    const { metrics, log } = this.#context;
    const { response, bytes, bound } = stalled;
    const silentMs = Math.round(stalled.silentMs);
    metrics.count('callers.disconnected');
    if (this.#lines.tryAcquire(now)) {
      const { id: request, service } = response;
      const { bytes: vmBytes } = this.#buffers;
      log.info(
        { request, service, code: 'callerStalled', bound, bytes, vmBytes, silentMs },
        'Disconnected a caller that reads nothing.',
      );
    }
    const detail = `read nothing for ${silentMs} ms while ${bytes} bytes were buffered for it`;
    response.disconnect(new Failure('callerStalled', detail));
    this.remove(response);
  }
}
