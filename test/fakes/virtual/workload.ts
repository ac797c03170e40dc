/** Requests of the two deployments, drawn from a seed. */

import { uniformInt } from 'pure-rand/distribution/uniformInt';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';

import type { EngineFigures } from '../engine/model';
import { defaultFigures } from '../engine/model';

/** A source of uniform numbers in [0, 1). */
export type Random = () => number;

const RANGE = 2 ** 32;

/** Seeded numbers; equal seeds give equal runs. */
export function seeded(seed: number): Random {
  const generator = xoroshiro128plus(seed);
  return () => uniformInt(generator, 0, RANGE - 1) / RANGE;
}

/** A request to come. */
export interface Job {
  readonly id: string;
  readonly at: number;
  readonly team: string;
  readonly promptTokens: number;
  readonly outputTokens: number;
  readonly blocks: readonly number[];
  /** Milliseconds after which the caller hangs up; Infinity for most. */
  readonly patienceMs: number;
}

/** What tells workloads apart. */
export interface Workload {
  readonly name: 'Dosel' | 'Bagmati';
  readonly prefillRunners: number;
  readonly decodeRunners: number;
  readonly figures: EngineFigures;
  readonly firstTokenMs: number;
  readonly tokenMs: number;
  readonly goodputWeight: number;
  readonly wasteWeight: number;
  /** Tokens that all prompts begin with. */
  readonly sharedTokens: number;
  readonly ownTokens: readonly [number, number];
  readonly meanOutput: number;
  readonly maxOutput: number;
  readonly teams: readonly string[];
}

const figures: EngineFigures = { ...defaultFigures, prefillTokenMs: 0.05 };

/** Summaries: patient, a long preamble shared by all. */
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

/** Deed readings: people wait, histories are long and unique. */
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
 * Most requests a second that the decode runners can complete: each slot is held
 * for the transfer and the whole answer, at the time between tokens of a full batch.
 */
export function decodeCapacity(work: Workload): number {
  const { slots, decodeBaseMs, decodeSlotMs, linkTokensPerMs } = work.figures;
  const [least, most] = work.ownTokens;
  const transferMs = (work.sharedTokens + (least + most) / 2) / linkTokensPerMs;
  const residenceMs = transferMs + work.meanOutput * (decodeBaseMs + decodeSlotMs * slots);
  return (work.decodeRunners * slots * 1000) / residenceMs;
}

/** How requests come. */
export interface Arrivals {
  /** Requests a second of each team, by the team's place in the workload. */
  readonly rates: readonly number[];
  readonly durationMs: number;
  /** Rates go up and down by half with this period; 0 keeps them steady. */
  readonly burstMs: number;
  /** Part of callers that hang up early. */
  readonly cancelled: number;
}

function exponential(random: Random, mean: number): number {
  return -Math.log(1 - random()) * mean;
}

function drawOutput(random: Random, { meanOutput, maxOutput }: Workload): number {
  // Truncation lowers the mean; the factor brings it back for a limit of four means.
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

/** All requests of a run in the order they come. */
export function drawJobs(work: Workload, arrivals: Arrivals, seed: number): readonly Job[] {
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
      const hangsUp = random() < arrivals.cancelled;
      const patienceMs = hangsUp ? exponential(random, 3000) : Infinity;
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
