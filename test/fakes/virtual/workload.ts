/** Generates the requests of two example deployments from a seed. */

import { uniformInt } from 'pure-rand/distribution/uniformInt';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';

import type { EngineFigures } from '../engine/model';
import { defaultFigures } from '../engine/model';

/** A source of uniform numbers in [0, 1). */
export type Random = () => number;

const RANGE = 2 ** 32;

/** Creates a seeded source; equal seeds give equal sequences. */
export function seeded(seed: number): Random {
  const generator = xoroshiro128plus(seed);
  return () => uniformInt(generator, 0, RANGE - 1) / RANGE;
}

/** A request of a run. */
export interface Job {
  readonly id: string;
  /** Arrival time, in milliseconds. */
  readonly at: number;
  readonly team: string;
  readonly promptTokens: number;
  readonly outputTokens: number;
  /** Hashes of the prompt's cache blocks. */
  readonly blocks: readonly number[];
  /** Time after which the caller disconnects, in milliseconds; Infinity if it does not. */
  readonly patienceMs: number;
}

/** Parameters of a workload. */
export interface Workload {
  readonly name: 'Dosel' | 'Bagmati';
  readonly prefillRunners: number;
  readonly decodeRunners: number;
  readonly figures: EngineFigures;
  readonly firstTokenMs: number;
  readonly tokenMs: number;
  readonly goodputWeight: number;
  readonly wasteWeight: number;
  /** Length of the prefix shared by all prompts, in tokens. */
  readonly sharedTokens: number;
  /** Range of the rest of a prompt, in tokens. */
  readonly ownTokens: readonly [number, number];
  readonly meanOutput: number;
  readonly maxOutput: number;
  readonly teams: readonly string[];
}

const figures: EngineFigures = { ...defaultFigures, prefillTokenMs: 0.05 };

/** Summaries: high latency targets and a long prefix shared by all prompts. */
export const doselWork: Workload = {
  name: 'Dosel',
  prefillRunners: 2,
  decodeRunners: 4,
  figures,
  firstTokenMs: 4000,
  tokenMs: 60,
  goodputWeight: 1,
  wasteWeight: 200,
  sharedTokens: 2048,
  ownTokens: [500, 2500],
  meanOutput: 300,
  maxOutput: 1200,
  teams: ['crew-norte', 'crew-centro', 'crew-sur'],
};

/** Document reading with waiting users: low latency targets and long, unique prompts. */
export const bagmatiWork: Workload = {
  name: 'Bagmati',
  prefillRunners: 4,
  decodeRunners: 9,
  figures,
  firstTokenMs: 2000,
  tokenMs: 60,
  goodputWeight: 1,
  wasteWeight: 30,
  sharedTokens: 0,
  ownTokens: [1000, 5000],
  meanOutput: 350,
  maxOutput: 1400,
  teams: ['clerks', 'lawyers', 'loan-officers'],
};

/**
 * Maximum requests per second that the decode runners can complete. Each slot is held
 * for the transfer and the whole answer, at the time per token of a full batch.
 */
export function decodeCapacity(work: Workload): number {
  const { slots, decodeBaseMs, decodeSlotMs, linkTokensPerMs } = work.figures;
  const [least, most] = work.ownTokens;
  const transferMs = (work.sharedTokens + (least + most) / 2) / linkTokensPerMs;
  const residenceMs = transferMs + work.meanOutput * (decodeBaseMs + decodeSlotMs * slots);
  return (work.decodeRunners * slots * 1000) / residenceMs;
}

/** Arrival process of the requests. */
export interface Arrivals {
  /** Requests per second of each team, by the team's index in the workload. */
  readonly rates: readonly number[];
  readonly durationMs: number;
  /** Period with which rates alternate between 1.5 and 0.5 times their mean, in milliseconds; 0 keeps them constant. */
  readonly burstMs: number;
  /** Fraction of callers that disconnect early. */
  readonly cancelled: number;
}

function exponential(random: Random, mean: number): number {
  return -Math.log(1 - random()) * mean;
}

function drawOutput(random: Random, { meanOutput, maxOutput }: Workload): number {
  // The cut at maxOutput lowers the mean; the factor corrects this for a maximum of four means.
  return Math.max(1, Math.min(maxOutput, Math.round(exponential(random, meanOutput * 1.019))));
}

function drawBlocks(random: Random, work: Workload, promptTokens: number): readonly number[] {
  const { blockTokens } = work.figures;
  const shared = Math.floor(work.sharedTokens / blockTokens);
  const all = Math.floor(promptTokens / blockTokens);
  return Array.from({ length: all }, (_, i) =>
    i < shared ? i + 1 : Math.floor(random() * 2 ** 40) + 1000,
  );
}

/** All requests of a run in order of arrival. */
export function generateJobs(work: Workload, arrivals: Arrivals, seed: number): readonly Job[] {
  const random = seeded(seed);
  const jobs: Job[] = [];
  arrivals.rates.forEach((rate, index) => {
    const team = work.teams[index] ?? `team-${index}`;
    let at = exponential(random, 1000 / rate);
    while (at < arrivals.durationMs) {
      const wave =
        arrivals.burstMs > 0
          ? 1 + 0.5 * Math.sign(Math.sin((2 * Math.PI * at) / arrivals.burstMs))
          : 1;
      const [least, most] = work.ownTokens;
      const promptTokens = work.sharedTokens + Math.round(least + random() * (most - least));
      const disconnects = random() < arrivals.cancelled;
      const patienceMs = disconnects ? exponential(random, 3000) : Infinity;
      const blocks = drawBlocks(random, work, promptTokens);
      const outputTokens = drawOutput(random, work);
      jobs.push({
        id: `${team}~${jobs.length}`,
        at,
        team,
        promptTokens,
        outputTokens,
        blocks,
        patienceMs,
      });
      at += exponential(random, 1000 / (rate * wave));
    }
  });
  return jobs.sort((a, b) => a.at - b.at);
}
