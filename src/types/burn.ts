/** Data of the service-level report. */

import { z } from 'zod';

const tallySchema = z.object({ good: z.number(), bad: z.number() });

/** What one gateway saw since it began. */
export const gatewayBurnSchema = z.object({
  /** Start of the gateway, in milliseconds since 1970. */
  since: z.number(),
  rows: z.array(
    z.object({
      team: z.string(),
      service: z.string(),
      good: z.number(),
      bad: z.number(),
      cancelled: z.number(),
      /** Failed requests by code name. */
      refused: z.record(z.string(), z.number()),
      /** Counts by window name. */
      tallies: z.record(z.string(), tallySchema),
      /** 95th percentiles, in milliseconds. */
      firstTokenMs: z.number(),
      tokenMs: z.number(),
    }),
  ),
});

/** What one gateway saw since it began. */
export type GatewayBurn = z.infer<typeof gatewayBurnSchema>;

/** One service of one team over all gateways. */
export interface BurnRow {
  readonly team: string;
  readonly service: string;
  readonly target: number;
  readonly windowDays: number;
  readonly good: number;
  readonly bad: number;
  readonly cancelled: number;
  /** Part of the error budget that is left of what the gateways saw; negative once overspent. */
  readonly budgetLeft: number;
  /** Burn rate by window name; 1 uses the budget up in just the objective's window. */
  readonly burn: Readonly<Record<string, number>>;
  readonly refused: Readonly<Record<string, number>>;
  /** 95th percentiles of the worst gateway, in milliseconds. */
  readonly firstTokenMs: number;
  readonly tokenMs: number;
}

/** The whole report. */
export interface BurnReport {
  readonly rows: readonly BurnRow[];
  /** Gateways that did not answer; their share is missing. */
  readonly silent: readonly string[];
  /** Start of the youngest gateway that answered: what its predecessor saw is gone. */
  readonly since: number;
}
