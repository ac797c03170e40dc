/**
 * Learnt distribution of output lengths, used to forecast when running requests
 * release their slots.
 *
 * It also learns from running requests. From finished requests alone, a new owner
 * would see the short answers first, underestimate all lengths, expect free slots too
 * early and start prefills whose results are evicted before they are used.
 */

/** Read-only view of the distribution. */
export interface OutputLengths {
  /** Mean output length in tokens. */
  readonly mean: number;
  /** Probability that a request that has produced `age` tokens ends within the next `more` tokens. */
  probabilityOfEndWithin(age: number, more: number): number;
}

/** Number of buckets per doubling of the length. */
const BUCKETS_PER_DOUBLING = 4;
/** Number of buckets; lengths from 2^16 tokens share the last one. */
const BUCKET_COUNT = 16 * BUCKETS_PER_DOUBLING + 1;
/** Number of completed requests after which an observation has lost half of its weight. */
const HALF_LIFE_REQUESTS = 500;
/** Weight of the initial estimate, in requests. */
const PRIOR_WEIGHT = 8;
/** Weight at which all counts are scaled down, to prevent overflow. */
const MAX_OBSERVATION_WEIGHT = 1e9;

function bucketOf(tokens: number): number {
  const index = Math.floor(Math.log2(Math.max(1, tokens)) * BUCKETS_PER_DOUBLING);
  return Math.min(BUCKET_COUNT - 1, index);
}

function lowerBound(bucket: number): number {
  return bucket === 0 ? 0 : 2 ** (bucket / BUCKETS_PER_DOUBLING);
}

/** Hazard rate (completed requests per token of exposure) in geometric buckets. Old observations decay with each completed request. */
export class OutputHistogram implements OutputLengths {
  /** Weighted number of requests that ended with a length in the bucket. */
  readonly #completions = new Float64Array(BUCKET_COUNT);

  /** Weighted number of tokens that requests produced while their length was in the bucket. */
  readonly #exposure = new Float64Array(BUCKET_COUNT);

  /** Integral of the hazard rate up to the lower bound of each bucket; recomputed on demand. */
  readonly #cumulativeHazard = new Float64Array(BUCKET_COUNT + 1);

  #mean = 0;

  #isStale = true;

  #weight = 1;

  /** @param initialMean initial estimate of the mean length in tokens; the prior is an exponential distribution with this mean */
  constructor(initialMean: number) {
    for (let bucket = 0; bucket < BUCKET_COUNT; bucket += 1) {
      const low = lowerBound(bucket);
      const high = lowerBound(bucket + 1);
      const survivors = PRIOR_WEIGHT * Math.max(1e-9, Math.exp(-low / initialMean));
      this.#exposure[bucket] = survivors * (high - low);
      this.#completions[bucket] = (survivors * (high - low)) / initialMean;
    }
  }

  get mean(): number {
    if (this.#isStale) this.#integrate();
    return this.#mean;
  }

  /** Records that a request progressed from one length to another. */
  addExposure(from: number, to: number): void {
    for (let bucket = bucketOf(from); bucket <= bucketOf(to); bucket += 1) {
      const low = Math.max(from, lowerBound(bucket));
      const high = bucket === BUCKET_COUNT - 1 ? to : Math.min(to, lowerBound(bucket + 1));
      this.#exposure[bucket] =
        (this.#exposure[bucket] ?? 0) + this.#weight * Math.max(0, high - low);
    }
    this.#isStale = true;
  }

  /** Records that a request ended at a length. Its tokens are recorded with `addExposure`. */
  addCompletion(tokens: number): void {
    this.#weight *= 2 ** (1 / HALF_LIFE_REQUESTS);
    const bucket = bucketOf(tokens);
    this.#completions[bucket] = (this.#completions[bucket] ?? 0) + this.#weight;
    this.#isStale = true;
    if (this.#weight > MAX_OBSERVATION_WEIGHT) this.#rescale();
  }

  probabilityOfEndWithin(age: number, more: number): number {
    if (this.#isStale) this.#integrate();
    return 1 - Math.exp(this.#cumulativeHazardAt(age) - this.#cumulativeHazardAt(age + more));
  }

  #cumulativeHazardAt(tokens: number): number {
    const bucket = bucketOf(tokens);
    return (
      (this.#cumulativeHazard[bucket] ?? 0) +
      this.#hazardRate(bucket) * Math.max(0, tokens - lowerBound(bucket))
    );
  }

  #hazardRate(bucket: number): number {
    return (this.#completions[bucket] ?? 0) / Math.max(1e-12, this.#exposure[bucket] ?? 0);
  }

  #integrate(): void {
    this.#mean = 0;
    for (let bucket = 0; bucket < BUCKET_COUNT; bucket += 1) {
      const rate = this.#hazardRate(bucket);
      const width = lowerBound(bucket + 1) - lowerBound(bucket);
      const before = this.#cumulativeHazard[bucket] ?? 0;
      this.#cumulativeHazard[bucket + 1] = before + rate * width;
      const survivors = Math.exp(-before);
      this.#mean +=
        rate < 1e-12 ? survivors * width : (survivors * (1 - Math.exp(-rate * width))) / rate;
    }
    this.#isStale = false;
  }

  #rescale(): void {
    for (let bucket = 0; bucket < BUCKET_COUNT; bucket += 1) {
      this.#completions[bucket] = (this.#completions[bucket] ?? 0) / this.#weight;
      this.#exposure[bucket] = (this.#exposure[bucket] ?? 0) / this.#weight;
    }
    this.#weight = 1;
  }
}
