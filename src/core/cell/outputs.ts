/**
 * Learnt distribution of output lengths: how soon running requests will free
 * their slots.
 *
 * It learns from running requests too. Learning from finished ones alone, a new
 * owner would see the short answers first, take all answers for short, expect
 * slots too early and start prefills whose results are evicted.
 */

/** Read-only view of the distribution. */
export interface OutputLengths {
  /** Mean output length in tokens. */
  readonly mean: number;
  /** Chance that a request with `age` tokens out ends within the next `more` tokens. */
  probabilityOfEndWithin(age: number, more: number): number;
}

/** Buckets for each doubling of the length. */
const BUCKETS_PER_DOUBLING = 4;
/** Longest length told apart: 2^16 tokens. */
const BUCKET_COUNT = 16 * BUCKETS_PER_DOUBLING + 1;
/** Ends after which old ones have lost half their weight. */
const HALF_LIFE = 500;
/** Weight of the first guess, in requests. */
const PRIOR_WEIGHT = 8;
/** Weight at which all counts are scaled down again, against overflow. */
const RESCALE_AT = 1e9;

function bucketOf(tokens: number): number {
  const index = Math.floor(Math.log2(Math.max(1, tokens)) * BUCKETS_PER_DOUBLING);
  return Math.min(BUCKET_COUNT - 1, index);
}

function lowerBound(bucket: number): number {
  return bucket === 0 ? 0 : 2 ** (bucket / BUCKETS_PER_DOUBLING);
}

/** Ends against tokens at risk, in geometric buckets that fade by ends: a hazard rate for each bucket. */
export class OutputHistogram implements OutputLengths {
  readonly #ends = new Float64Array(BUCKET_COUNT);

  /** Tokens that requests put out while their length was in the bucket. */
  readonly #exposure = new Float64Array(BUCKET_COUNT);

  /** Integral of the hazard rate up to the lower bound of each bucket; rebuilt on demand. */
  readonly #hazard = new Float64Array(BUCKET_COUNT + 1);

  #mean = 0;

  #stale = true;

  #weight = 1;

  /** @param guess first guess at the mean, in tokens; an exponential distribution around it */
  constructor(guess: number) {
    for (let bucket = 0; bucket < BUCKET_COUNT; bucket += 1) {
      const low = lowerBound(bucket);
      const high = lowerBound(bucket + 1);
      const survivors = PRIOR_WEIGHT * Math.max(1e-9, Math.exp(-low / guess));
      this.#exposure[bucket] = survivors * (high - low);
      this.#ends[bucket] = (survivors * (high - low)) / guess;
    }
  }

  get mean(): number {
    if (this.#stale) this.#integrate();
    return this.#mean;
  }

  /** Notes that a request went on from one length to another. */
  addExposure(from: number, to: number): void {
    for (let bucket = bucketOf(from); bucket <= bucketOf(to); bucket += 1) {
      const low = Math.max(from, lowerBound(bucket));
      const high = bucket === BUCKET_COUNT - 1 ? to : Math.min(to, lowerBound(bucket + 1));
      this.#exposure[bucket] =
        (this.#exposure[bucket] ?? 0) + this.#weight * Math.max(0, high - low);
    }
    this.#stale = true;
  }

  /** Notes that a request ended at a length; its tokens are noted with `expose`. */
  addCompletion(tokens: number): void {
    this.#weight *= 2 ** (1 / HALF_LIFE);
    const bucket = bucketOf(tokens);
    this.#ends[bucket] = (this.#ends[bucket] ?? 0) + this.#weight;
    this.#stale = true;
    if (this.#weight > RESCALE_AT) this.#rescale();
  }

  probabilityOfEndWithin(age: number, more: number): number {
    if (this.#stale) this.#integrate();
    return 1 - Math.exp(this.#hazardAt(age) - this.#hazardAt(age + more));
  }

  #hazardAt(tokens: number): number {
    const bucket = bucketOf(tokens);
    return (
      (this.#hazard[bucket] ?? 0) + this.#rateOf(bucket) * Math.max(0, tokens - lowerBound(bucket))
    );
  }

  #rateOf(bucket: number): number {
    return (this.#ends[bucket] ?? 0) / Math.max(1e-12, this.#exposure[bucket] ?? 0);
  }

  #integrate(): void {
    this.#mean = 0;
    for (let bucket = 0; bucket < BUCKET_COUNT; bucket += 1) {
      const rate = this.#rateOf(bucket);
      const width = lowerBound(bucket + 1) - lowerBound(bucket);
      const before = this.#hazard[bucket] ?? 0;
      this.#hazard[bucket + 1] = before + rate * width;
      const survivors = Math.exp(-before);
      this.#mean +=
        rate < 1e-12 ? survivors * width : (survivors * (1 - Math.exp(-rate * width))) / rate;
    }
    this.#stale = false;
  }

  #rescale(): void {
    for (let bucket = 0; bucket < BUCKET_COUNT; bucket += 1) {
      this.#ends[bucket] = (this.#ends[bucket] ?? 0) / this.#weight;
      this.#exposure[bucket] = (this.#exposure[bucket] ?? 0) / this.#weight;
    }
    this.#weight = 1;
  }
}
