/** Random requests, generated from a seed, to a service whose engines are limited by memory. */

import { seeded } from '../virtual/workload';

/** A request that arrives at time `at`, in milliseconds. */
export interface MemoryJob {
  readonly id: string;
  /** Customer that sends it. Default: none. */
  readonly customer?: string;
  /** Priority; 0 is the highest. Default: 1. */
  readonly rank?: number;
  readonly at: number;
  readonly promptTokens: number;
  readonly outputTokens: number;
  readonly maxOutputTokens: number;
  /** Caller's estimate of the output tokens. */
  readonly hintTokens: number;
  /** Value of a complete response in time; the mean is about 1. */
  readonly worth: number;
}

/** Period in which the arrival rate is multiplied by a factor. Times in milliseconds. */
export interface Burst {
  readonly from: number;
  readonly to: number;
  readonly factor: number;
}

/** Arrival rate and sizes of requests. */
export interface MemoryLoad {
  /** Arrival rate outside of bursts. */
  readonly perSecond: number;
  /** Mean and maximum of the prompt tokens. Default: 5200 and 11,000. */
  readonly prompt?: { readonly mean: number; readonly most: number };
  /** Mean and maximum of the output tokens. Default: those of the engine of `smallMemoryFigures`. */
  readonly output?: { readonly mean: number; readonly most: number };
  readonly bursts: readonly Burst[];
  readonly untilMs: number;
}

/** Three bursts of 4 to 5 seconds, as at the beginning of a shift. */
export const shiftBursts: readonly Burst[] = [
  { from: 6000, to: 11_000, factor: 1.8 },
  { from: 17_000, to: 21_000, factor: 2.2 },
  { from: 27_000, to: 31_000, factor: 1.8 },
];

const MEAN_PROMPT_TOKENS = 5200;
const MAX_PROMPT_TOKENS = 11_000;
const PROMPT_SPREAD = 0.5;
const MEAN_OUTPUT_TOKENS = 500;
const MAX_OUTPUT_TOKENS = 1190;
const OUTPUT_SPREAD = 0.7;
const HINT_SPREAD = 0.5;
/** Weight of an output token in the value of a response, relative to a prompt token. */
const OUTPUT_WEIGHT = 10;
/** Part of the value that does not depend on the size. */
const BASE_WORTH = 0.3;

function ratePerMs({ perSecond, bursts }: MemoryLoad, at: number): number {
  const burst = bursts.find(({ from, to }) => from <= at && at < to);
  return (perSecond * (burst?.factor ?? 1)) / 1000;
}

/** Generates the requests; equal seeds give equal requests. */
export function drawMemoryJobs(load: MemoryLoad, seed: number): readonly MemoryJob[] {
  const random = seeded(seed);
  const { output = { mean: MEAN_OUTPUT_TOKENS, most: MAX_OUTPUT_TOKENS } } = load;
  const { prompt = { mean: MEAN_PROMPT_TOKENS, most: MAX_PROMPT_TOKENS } } = load;
  const gauss = (): number =>
    Math.sqrt(-2 * Math.log(1 - random())) * Math.cos(2 * Math.PI * random());
  const lognormal = (mean: number, spread: number): number =>
    mean * Math.exp(spread * gauss() - (spread * spread) / 2);
  const jobs: MemoryJob[] = [];
  let at = 0;
  for (;;) {
    at += -Math.log(1 - random()) / ratePerMs(load, at);
    if (at >= load.untilMs) return jobs;
    const promptTokens = Math.round(Math.min(prompt.most, lognormal(prompt.mean, PROMPT_SPREAD)));
    const outputTokens = Math.ceil(Math.min(output.most, lognormal(output.mean, OUTPUT_SPREAD)));
    const hintTokens = Math.round(outputTokens * Math.exp(HINT_SPREAD * gauss()));
    const size = promptTokens + OUTPUT_WEIGHT * outputTokens;
    const worth =
      BASE_WORTH + (1 - BASE_WORTH) * (size / (prompt.mean + OUTPUT_WEIGHT * output.mean));
    jobs.push({
      id: `job${jobs.length}`,
      at,
      promptTokens,
      outputTokens,
      maxOutputTokens: output.most,
      hintTokens,
      worth,
    });
  }
}
