/** Learnt distribution of output lengths: how soon running requests will free their slots. */

/** Read-only view of the distribution. */
export interface OutputLengths {
  /** Mean output length in tokens. */
  readonly mean: number;
  /** Chance that a request with `age` tokens out ends within the next `more` tokens. */
  endsWithin(age: number, more: number): number;
}

/** Buckets for each doubling of the length. */
const BUCKETS_PER_DOUBLING = 4;
/** Longest length told apart: 2^16 tokens. */
const BUCKET_COUNT = 16 * BUCKETS_PER_DOUBLING + 1;
/** Observations after which old ones have lost half their weight. */
const HALF_LIFE = 500;
/** Weight of the first guess, in observations. */
const PRIOR_WEIGHT = 8;
/** Weight at which all counts are scaled down again, against overflow. */
const RESCALE_AT = 1e9;

function bucketOf(tokens: number): number {
  const index = Math.floor(Math.log2(Math.max(1, tokens)) * BUCKETS_PER_DOUBLING);
  return Math.min(BUCKET_COUNT - 1, index);
}

function lowerBound(bucket: number): number {
  return 2 ** (bucket / BUCKETS_PER_DOUBLING);
}

/** Histogram with geometric buckets whose counts fade by observation. */
export class OutputHistogram implements OutputLengths {
  readonly #counts = new Float64Array(BUCKET_COUNT);

  /** Observations in or above each bucket; rebuilt on demand. */
  readonly #above = new Float64Array(BUCKET_COUNT + 1);

  #stale = true;

  #weight = 1;

  #sum = 0;

  #total = 0;

  constructor(guess: number) {
    // An exponential guess around the mean, so that the first decisions are neither all nor nothing.
    for (let quantile = 0.5; quantile < PRIOR_WEIGHT; quantile += 1) {
      this.#add(-Math.log(1 - quantile / PRIOR_WEIGHT) * guess, 1);
    }
  }

  get mean(): number {
    return this.#sum / this.#total;
  }

  observe(tokens: number): void {
    this.#weight *= 2 ** (1 / HALF_LIFE);
    this.#add(tokens, this.#weight);
    if (this.#weight > RESCALE_AT) this.#rescale();
  }

  endsWithin(age: number, more: number): number {
    const alive = this.#survivors(age);
    if (alive <= 0) return 1;
    return 1 - this.#survivors(age + more) / alive;
  }

  #add(tokens: number, weight: number): void {
    const bucket = bucketOf(tokens);
    this.#counts[bucket] = (this.#counts[bucket] ?? 0) + weight;
    this.#sum += tokens * weight;
    this.#total += weight;
    this.#stale = true;
  }

  #rescale(): void {
    for (let i = 0; i < BUCKET_COUNT; i += 1) {
      this.#counts[i] = (this.#counts[i] ?? 0) / this.#weight;
    }
    this.#sum /= this.#weight;
    this.#total /= this.#weight;
    this.#weight = 1;
    this.#stale = true;
  }

  /** Weight of observations longer than `tokens`, linear inside a bucket. */
  #survivors(tokens: number): number {
    if (this.#stale) this.#accumulate();
    const bucket = bucketOf(tokens);
    const low = lowerBound(bucket);
    const into = Math.max(0, Math.min(1, (tokens - low) / (lowerBound(bucket + 1) - low)));
    return (this.#above[bucket + 1] ?? 0) + (this.#counts[bucket] ?? 0) * (1 - into);
  }

  #accumulate(): void {
    for (let i = BUCKET_COUNT - 1; i >= 0; i -= 1) {
      this.#above[i] = (this.#above[i + 1] ?? 0) + (this.#counts[i] ?? 0);
    }
    this.#stale = false;
  }
}
