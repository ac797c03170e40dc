/** Expected number of output tokens of a request, learned from finished requests. */

import { Estimate } from './estimate';
import type { LengthRules } from './policy';
import type { Demand } from './types';

/** Expected output before the first measurement, as a share of the output limit. */
const INITIAL_SHARE = 0.4;
/**
 * The initial value counts as ten requests, since the first to finish are those with the shortest
 * outputs.
 */
const SHARE_OPTIONS = { startWeight: 10, leastStep: 0.02 };
/** Running mean of the errors of the hint weights. */
const ERROR_OPTIONS = { startWeight: 1, leastStep: 0.02 };
/** Initial error of each weight, as a share of the output limit. */
const INITIAL_ERROR = 0.25;

/** A weight of the hint and its mean squared error, as a share of the output limit. */
interface HintWeight {
  readonly weight: number;
  readonly squaredError: Estimate;
}

/** Estimates of output lengths. */
export class OutputLengths {
  readonly #share = new Estimate(INITIAL_SHARE, SHARE_OPTIONS);

  readonly #weights: readonly HintWeight[];

  constructor({ hintWeights }: LengthRules) {
    this.#weights = hintWeights.map((weight) => ({
      weight,
      squaredError: new Estimate(INITIAL_ERROR ** 2, ERROR_OPTIONS),
    }));
  }

  /** Expected output tokens of a request. */
  expectedTokens(demand: Demand): number {
    return this.#weighted(demand, this.#best.weight);
  }

  /** Usual error of an estimate in tokens, as the root mean square. */
  deviationTokens({ maxOutputTokens }: Demand): number {
    return Math.sqrt(this.#best.squaredError.value) * maxOutputTokens;
  }

  /** Records the output length of a finished request. */
  record(demand: Demand, outputTokens: number): void {
    const limit = Math.max(1, demand.maxOutputTokens);
    if (demand.hintTokens !== undefined) {
      for (const { weight, squaredError } of this.#weights) {
        const error = (this.#weighted(demand, weight) - outputTokens) / limit;
        squaredError.add(error * error);
      }
    }
    this.#share.add(Math.min(1, outputTokens / limit));
  }

  get #best(): HintWeight {
    return this.#weights.reduce((best, candidate) =>
      candidate.squaredError.value < best.squaredError.value ? candidate : best,
    );
  }

  #weighted({ maxOutputTokens, hintTokens }: Demand, weight: number): number {
    const usual = this.#share.value * maxOutputTokens;
    const hint = Math.min(maxOutputTokens, hintTokens ?? usual);
    return Math.min(maxOutputTokens, weight * hint + (1 - weight) * usual);
  }
}
