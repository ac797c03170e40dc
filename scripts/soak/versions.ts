/** Checks that streams go on at the software version that began them, and that callers can take them up again. */

import type { CallerAnswer } from './callers';
import type { SentRequest } from './requests';

/** Resumed streams from which on their share is checked. */
const MIN_RESUMED = 12;
/** Smallest share of the resumed streams that go on, relative to the new ones that begin. */
const MIN_RELATIVE_SHARE = 0.5;
/** Runners of a version that must serve for its resumed streams to count. */
const MIN_RUNNERS = 2;

interface Count {
  all: number;
  served: number;
}

/** Streams of all callers. */
export class VersionChecker {
  readonly #fresh: Count = { all: 0, served: 0 };

  readonly #resumed: Count = { all: 0, served: 0 };

  /**
   * Counts the end of an attempt at a stream that may be resumed; returns what is wrong with what its
   * caller holds, and undefined if nothing is.
   * @param isInTouch whether the VM was undisturbed, and some VM may know the stream
   * @param runners number of runners that serve the version of the stream
   */
  answered(
    { id, resumes }: SentRequest,
    { outcome, newEvents, versions }: CallerAnswer,
    isInTouch: boolean,
    runners: number,
  ): string | undefined {
    const counts = resumes ? runners >= MIN_RUNNERS : true;
    if (isInTouch && counts && outcome !== 'left') {
      const count = resumes ? this.#resumed : this.#fresh;
      count.all += 1;
      if (newEvents > 0 || outcome === 'served') count.served += 1;
    }
    if (versions.length <= 1) return undefined;
    const how = resumes ? `which continues ${resumes.stream}` : 'within one answer';
    return `${id}, ${how}: events of ${versions.join(' and ')}`;
  }

  /** What was counted. */
  get counts(): Readonly<Record<string, number>> {
    const { all, served } = this.#resumed;
    return { resumed: all, wentOn: served, begun: this.#fresh.served, fresh: this.#fresh.all };
  }

  /** What is wrong at the end of the run; undefined if nothing is. */
  get finding(): string | undefined {
    const { all, served } = this.#resumed;
    const share = served / Math.max(1, all);
    const freshShare = this.#fresh.served / Math.max(1, this.#fresh.all);
    if (all < MIN_RESUMED || share >= freshShare * MIN_RELATIVE_SHARE) return undefined;
    return `${served} of ${all} resumed streams went on, ${this.#fresh.served} of ${this.#fresh.all} new ones began`;
  }
}
