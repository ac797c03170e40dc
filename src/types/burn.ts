/** Types of the service-level report. */

import { z } from 'zod';

const tallySchema = z.object({ good: z.number(), bad: z.number() });

/** Schema of `GatewayBurn`. */
export const gatewayBurnSchema = z.object({
  /** Start time of the gateway, in Unix milliseconds. */
  since: z.number(),
  rows: z.array(
    z.object({
      team: z.string(),
      service: z.string(),
      good: z.number(),
      bad: z.number(),
      cancelled: z.number(),
      /** Number of failed requests by code name. */
      refused: z.record(z.string(), z.number()),
      /** Good and bad requests by window name. */
      tallies: z.record(z.string(), tallySchema),
      /** 95th percentile of the time to the first token, in milliseconds. */
      firstTokenMs: z.number(),
      /** 95th percentile of the time per output token, in milliseconds. */
      tokenMs: z.number(),
    }),
  ),
});

/** Counts of one gateway since it started. */
export type GatewayBurn = z.infer<typeof gatewayBurnSchema>;

/** One service of one team, summed over all gateways. */
export interface BurnRow {
  readonly team: string;
  readonly service: string;
  /** Objective: fraction of requests that must be good. */
  readonly target: number;
  /** Window of the objective, in days. */
  readonly windowDays: number;
  readonly good: number;
  readonly bad: number;
  readonly cancelled: number;
  /** Remaining fraction of the error budget, based on the requests that the gateways counted; negative if overspent. */
  readonly budgetLeft: number;
  /** Burn rate by window name; at 1 the budget lasts exactly the window of the objective. */
  readonly burn: Readonly<Record<string, number>>;
  /** Number of failed requests by code name. */
  readonly refused: Readonly<Record<string, number>>;
  /** 95th percentile of the time to the first token on the slowest gateway, in milliseconds. */
  readonly firstTokenMs: number;
  /** 95th percentile of the time per output token on the slowest gateway, in milliseconds. */
  readonly tokenMs: number;
}

/** The whole report. */
export interface BurnReport {
  readonly rows: readonly BurnRow[];
  /** Gateways that did not answer; their counts are missing. */
  readonly silent: readonly string[];
  /** Latest start time of the gateways that answered, in Unix milliseconds. Counts of the instances before are lost. */
  readonly since: number;
}
