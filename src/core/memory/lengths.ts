/** How many output tokens a request will probably make, learnt from those that finished. */

import { Estimate } from './estimate';
import type { LengthRules } from './policy';
import type { Demand } from './types';

/** Share of the most output that is expected before anything was learnt. */
const START_SHARE = 0.4;
/**
 * How the share is learnt: the start value counts as ten requests, since the
 * first to finish are those with the shortest outputs.
 */
const SHARE = { startWeight: 10, leastStep: 0.02 };
/** How the errors of the hint's weights are learnt. */
const ERRORS = { startWeight: 1, leastStep: 0.02 };
/** Error of each weight that is expected before anything was learnt, as a part of the most output. */
const START_ERROR = 0.25;

/** A weight of the hint and its mean squared error, as a part of the most output. */
interface Weighed {
  readonly weight: number;
  readonly squaredError: Estimate;
}

/** Expected output of requests. */
export class OutputLengths {
  readonly #share = new Estimate(START_SHARE, SHARE);

  readonly #weights: readonly Weighed[];

  constructor({ hintWeights }: LengthRules) {
    this.#weights = hintWeights.map((weight) => ({
      weight,
      squaredError: new Estimate(START_ERROR ** 2, ERRORS),
    }));
  }

  /** Expected output tokens. */
  expectedTokens(demand: Demand): number {
    return this.#mix(demand, this.#best.weight);
  }

  /** By how many tokens an expectation is usually off, as a root of the mean square. */
  deviationTokens({ maxOutputTokens }: Demand): number {
    return Math.sqrt(this.#best.squaredError.value) * maxOutputTokens;
  }

  record(demand: Demand, outputTokens: number): void {
    const most = Math.max(1, demand.maxOutputTokens);
    if (demand.hintTokens !== undefined) {
      for (const { weight, squaredError } of this.#weights) {
        const error = (this.#mix(demand, weight) - outputTokens) / most;
        squaredError.add(error * error);
      }
    }
    this.#share.add(Math.min(1, outputTokens / most));
  }

  get #best(): Weighed {
    return this.#weights.reduce((best, each) =>
      each.squaredError.value < best.squaredError.value ? each : best,
    );
  }

  #mix({ maxOutputTokens, hintTokens }: Demand, weight: number): number {
    const usual = this.#share.value * maxOutputTokens;
    const hint = Math.min(maxOutputTokens, hintTokens ?? usual);
    return Math.min(maxOutputTokens, weight * hint + (1 - weight) * usual);
  }
}
