/** Checks that streams of runners that stop answering, with their connections open, go on at other runners. */

import type { CallerAnswer, Outcome } from './callers';
import type { SentRequest } from './requests';

/** Streams from which on the share that goes on is checked. */
const MIN_STREAMS = 10;
/** Smallest share that must go on. All streams of a runner stop at once, and a VM of the soak may send about two repeats at once by its retry budget. */
const MIN_SHARE = 0.1;

/** How a stream ended whose runner fell silent. */
export interface LostStreamEnd {
  readonly id: string;
  /** Id of the runner's instance. */
  readonly runner: string;
  readonly wentOn: boolean;
  readonly outcome: Outcome;
  readonly status: number;
  /** Time from the loss of the runner until the end, in milliseconds. */
  readonly lostMs: number;
}

/** A stream whose runner fell silent. */
interface LostStream {
  readonly runner: string;
  /** Epoch milliseconds. */
  readonly lostAt: number;
  /** Whether another runner has begun to run it since. */
  wentOn: boolean;
}

/** Resumable streams that ran at a runner when it fell silent. */
export class LostStreamChecker {
  readonly #onEnd: (end: LostStreamEnd) => void;

  readonly #streams = new Map<SentRequest, LostStream>();

  #ended = 0;

  #wentOn = 0;

  #whole = 0;

  /** @param onEnd called for each stream that is counted */
  constructor(onEnd: (end: LostStreamEnd) => void) {
    this.#onEnd = onEnd;
  }

  /** The runner of a stream fell silent. */
  lost(now: number, request: SentRequest, runner: string): void {
    this.#streams.set(request, { runner, lostAt: now, wentOn: false });
  }

  /** A runner begins to run a request. */
  began(request: SentRequest): void {
    const stream = this.#streams.get(request);
    if (stream) stream.wentOn = true;
  }

  /** Counts the end of an attempt; returns what is wrong with what its caller holds of the stream. */
  answered(now: number, request: SentRequest, answer: CallerAnswer): string | undefined {
    const { outcome, status, integrityError } = answer;
    const stream = this.#streams.get(request);
    this.#streams.delete(request);
    if (!stream || outcome === 'left') return undefined;
    const { runner, lostAt, wentOn } = stream;
    this.#ended += 1;
    if (wentOn) this.#wentOn += 1;
    if (wentOn && outcome === 'served') this.#whole += 1;
    this.#onEnd({ id: request.id, runner, wentOn, outcome, status, lostMs: now - lostAt });
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
