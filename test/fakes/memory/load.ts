/** Requests of a service on whose engines memory binds, drawn from a seed. */

import { seeded } from '../virtual/workload';

/** A request to come. */
export interface MemoryJob {
  readonly id: string;
  /** Whose it is. Default: nobody's. */
  readonly customer?: string;
  readonly at: number;
  readonly promptTokens: number;
  readonly outputTokens: number;
  readonly maxOutputTokens: number;
  readonly hintTokens: number;
  /** What a whole answer in time is worth; the mean is about 1. */
  readonly worth: number;
}

/** Times in which more requests come, by a factor. */
export interface Burst {
  readonly from: number;
  readonly to: number;
  readonly factor: number;
}

/** How many requests come. */
export interface MemoryLoad {
  readonly perSecond: number;
  /** Mean and most output tokens. Default: those of the engine of `tightFigures`. */
  readonly output?: { readonly mean: number; readonly most: number };
  readonly bursts: readonly Burst[];
  readonly untilMs: number;
}

/** Three bursts of some seconds, as callers bring them at the beginning of a shift. */
export const shiftBursts: readonly Burst[] = [
  { from: 6000, to: 11_000, factor: 1.8 },
  { from: 17_000, to: 21_000, factor: 2.2 },
  { from: 27_000, to: 31_000, factor: 1.8 },
];

const MEAN_PROMPT = 5200;
const MOST_PROMPT = 11_000;
const PROMPT_SPREAD = 0.5;
const MEAN_OUTPUT = 500;
const MOST_OUTPUT = 1190;
const OUTPUT_SPREAD = 0.7;
const HINT_SPREAD = 0.5;
/** What a token of output counts in the worth of an answer against one of the prompt. */
const OUTPUT_WEIGHT = 10;
const BASE_WORTH = 0.3;

function ratePerMs({ perSecond, bursts }: MemoryLoad, at: number): number {
  const burst = bursts.find(({ from, to }) => from <= at && at < to);
  return (perSecond * (burst?.factor ?? 1)) / 1000;
}

/** Draws the requests of a run. */
export function drawMemoryJobs(load: MemoryLoad, seed: number): readonly MemoryJob[] {
  const random = seeded(seed);
  const { output = { mean: MEAN_OUTPUT, most: MOST_OUTPUT } } = load;
  const gauss = (): number =>
    Math.sqrt(-2 * Math.log(1 - random())) * Math.cos(2 * Math.PI * random());
  const around = (mean: number, spread: number): number =>
    mean * Math.exp(spread * gauss() - (spread * spread) / 2);
  const jobs: MemoryJob[] = [];
  let at = 0;
  for (;;) {
    at += -Math.log(1 - random()) / ratePerMs(load, at);
    if (at >= load.untilMs) return jobs;
    const promptTokens = Math.round(Math.min(MOST_PROMPT, around(MEAN_PROMPT, PROMPT_SPREAD)));
    const outputTokens = Math.ceil(Math.min(output.most, around(output.mean, OUTPUT_SPREAD)));
    const hintTokens = Math.round(outputTokens * Math.exp(HINT_SPREAD * gauss()));
    const size = promptTokens + OUTPUT_WEIGHT * outputTokens;
    const worth =
      BASE_WORTH + (1 - BASE_WORTH) * (size / (MEAN_PROMPT + OUTPUT_WEIGHT * output.mean));
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
