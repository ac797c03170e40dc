/** How many output tokens a request will probably make, learnt from those that finished. */

import type { Demand } from './types';

/** Share of the most output that is expected before anything was learnt. */
const FIRST_SHARE = 0.4;
/** Mean output before anything was learnt, in tokens. */
const MEAN_TOKENS = 500;
/** Weight of one finished request in the estimates. */
const STEP = 0.02;
/** Steps of the hint's weight that are weighed against each other. */
const HINT_WEIGHTS: readonly number[] = [0, 0.25, 0.5, 0.75, 1];

/** Expected output of requests. */
export class OutputLengths {
  #share = FIRST_SHARE;

  #mean = MEAN_TOKENS;

  /** Mean squared error of each weight of the hint, as a part of the most output. */
  readonly #errors = HINT_WEIGHTS.map(() => 0);

  /** Expected output tokens. */
  expect(demand: Demand): number {
    const best = this.#errors.indexOf(Math.min(...this.#errors));
    return this.#mix(demand, HINT_WEIGHTS[best] ?? 0);
  }

  /** By how many tokens an expectation is usually off, as a root of the mean square. */
  deviation({ maxOutputTokens }: Demand): number {
    return Math.sqrt(Math.min(...this.#errors)) * maxOutputTokens;
  }

  /** Mean output of the requests that finished, in tokens. */
  get mean(): number {
    return this.#mean;
  }

  learn(demand: Demand, outputTokens: number): void {
    const most = Math.max(1, demand.maxOutputTokens);
    if (demand.hintTokens !== undefined) {
      HINT_WEIGHTS.forEach((weight, index) => {
        const error = (this.#mix(demand, weight) - outputTokens) / most;
        this.#errors[index] = (this.#errors[index] ?? 0) * (1 - STEP) + STEP * error * error;
      });
    }
    this.#mean += STEP * (outputTokens - this.#mean);
    this.#share += STEP * (Math.min(1, outputTokens / most) - this.#share);
  }

  #mix({ maxOutputTokens, hintTokens }: Demand, weight: number): number {
    const usual = this.#share * maxOutputTokens;
    const hint = Math.min(maxOutputTokens, hintTokens ?? usual);
    return Math.min(maxOutputTokens, weight * hint + (1 - weight) * usual);
  }
}
