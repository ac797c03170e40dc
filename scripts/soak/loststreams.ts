/** Checks that streams of runners that stop answering, with their connections open, go on at other runners. */

import type { CallerAnswer } from './callers';
import type { SentRequest } from './requests';

/** Streams from which on the share that goes on is checked. */
const MIN_STREAMS = 10;
/** Smallest share that must go on. All streams of a runner stop at once, and a VM of the soak may send about two repeats at once by its retry budget. */
const MIN_SHARE = 0.1;

/** Resumable streams that ran at a runner when it fell silent. */
export class LostStreamChecker {
  /** Streams by request, and whether another runner began to run them since. */
  readonly #streams = new Map<SentRequest, boolean>();

  #ended = 0;

  #wentOn = 0;

  #whole = 0;

  /** The runner of a stream fell silent. */
  lost(request: SentRequest): void {
    this.#streams.set(request, false);
  }

  /** A runner begins to run a request. */
  began(request: SentRequest): void {
    if (this.#streams.has(request)) this.#streams.set(request, true);
  }

  /** Counts the end of an attempt; returns what is wrong with what its caller holds of the stream. */
  answered(request: SentRequest, { outcome, integrityError }: CallerAnswer): string | undefined {
    const wentOn = this.#streams.get(request);
    this.#streams.delete(request);
    if (wentOn === undefined || outcome === 'left') return undefined;
    this.#ended += 1;
    if (wentOn) this.#wentOn += 1;
    if (wentOn && outcome === 'served') this.#whole += 1;
    return wentOn ? integrityError : undefined;
  }

  /** What was counted. */
  get counts(): Readonly<Record<string, number>> {
    return { lost: this.#ended, lostWentOn: this.#wentOn, lostWhole: this.#whole };
  }

  /** What is wrong at the end of the run; undefined if nothing is. */
  get finding(): string | undefined {
    if (this.#ended < MIN_STREAMS || this.#wentOn >= this.#ended * MIN_SHARE) return undefined;
    return `${this.#wentOn} of ${this.#ended} streams went on after their runner fell silent`;
  }
}
