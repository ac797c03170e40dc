/** Messages between VMs: places asked of the VM that plans a service. */

import { z } from 'zod';

import type { Demand, Grant, Holding } from '../../core/memory/types';

const id = z.string().min(1).max(200);
const service = z.string().min(1).max(200);
const tokens = z.number().min(0).max(1e9);
const ms = z.number();

/** A demand on the wire. Clocks of VMs differ, so times are told as distances from now. */
const demandFields = {
  id,
  customer: z.string().max(200).optional(),
  rank: z.number(),
  promptId: id.optional(),
  promptTokens: tokens,
  maxOutputTokens: tokens,
  hintTokens: tokens.optional(),
  dueInMs: ms,
  gapMs: ms,
  lostInMs: ms,
  resuming: z.boolean(),
  avoid: z.array(id).max(64),
};

/** Asks for a place. */
export const askSchema = z.object({ service, ...demandFields });
/** Tells how a placed request goes on. */
export const noteSchema = z.object({
  service,
  id,
  kind: z.enum(['started', 'slow', 'finished', 'released']),
  outputTokens: tokens.optional(),
  blame: id.optional(),
});
/** Tells that a prefill is done, after `ms`, and asks for the decode runner. */
export const readySchema = z.object({
  service,
  id,
  ms,
  unreachable: id.optional(),
  shedBy: id.optional(),
});
/** Tells all places that the sender holds. */
export const holdSchema = z.object({
  service,
  holdings: z
    .array(
      z.object({
        ...demandFields,
        prefill: id.optional(),
        decode: id,
        startedAgoMs: ms.optional(),
      }),
    )
    .max(10_000),
});
/** Asks a VM to tell all places of a service that it holds. */
export const gatherSchema = z.object({ service });
/** The planner's word on a request. */
export const decisionSchema = z.discriminatedUnion('state', [
  z.object({ state: z.literal('granted'), id, prefill: id.optional(), decode: id }),
  z.object({ state: z.literal('bound'), id, decode: id }),
  z.object({ state: z.literal('refused'), id, retryAfterMs: ms }),
  z.object({ state: z.literal('waiting'), id }),
]);

/** A verdict that comes after a wait. */
export const delayedDecisionSchema = z.object({ service: z.string(), verdict: decisionSchema });

export type ReservationRequest = Readonly<z.infer<typeof askSchema>>;
export type ProgressReport = Readonly<z.infer<typeof noteSchema>>;
export type PrefillReport = Readonly<z.infer<typeof readySchema>>;
export type HoldingsReport = Readonly<z.infer<typeof holdSchema>>;
export type Decision = Readonly<z.infer<typeof decisionSchema>>;

type DemandMessage = Omit<ReservationRequest, 'service'>;

/** What a VM knows of a request that it asks a place for; the owner knows whether its caller came back. */
export type LocalDemand = Omit<Demand, 'vm' | 'returned'>;

/** From this VM's clock to the wire. */
export function toWireDemand(now: number, demand: LocalDemand): DemandMessage {
  const { dueAt, lostAt, hintTokens, promptId, avoid, ...same } = demand;
  return {
    id: same.id,
    rank: same.rank,
    promptTokens: same.promptTokens,
    maxOutputTokens: same.maxOutputTokens,
    resuming: same.resuming,
    avoid: [...avoid],
    dueInMs: dueAt - now,
    gapMs: same.gapMs,
    lostInMs: lostAt - now,
    ...(hintTokens === undefined ? {} : { hintTokens }),
    ...(promptId === undefined ? {} : { promptId }),
    ...(same.customer === undefined ? {} : { customer: same.customer }),
  };
}

/** From the wire to this VM's clock. */
export function fromWireDemand(now: number, vm: string, message: DemandMessage): Demand {
  return {
    id: message.id,
    vm,
    customer: message.customer,
    rank: message.rank,
    promptId: message.promptId,
    promptTokens: message.promptTokens,
    maxOutputTokens: message.maxOutputTokens,
    hintTokens: message.hintTokens,
    dueAt: now + message.dueInMs,
    gapMs: message.gapMs,
    lostAt: now + message.lostInMs,
    returned: false,
    resuming: message.resuming,
    avoid: message.avoid,
  };
}

/** A place that this VM holds, for the wire. */
export function toWireHolding(
  now: number,
  demand: LocalDemand,
  grant: Grant,
  startedAt: number | undefined,
): HoldingsReport['holdings'][number] {
  return {
    ...toWireDemand(now, demand),
    decode: grant.decode,
    ...(grant.prefill === undefined ? {} : { prefill: grant.prefill }),
    ...(startedAt === undefined ? {} : { startedAgoMs: now - startedAt }),
  };
}

/** A place that another VM holds. */
export function fromWireHolding(
  now: number,
  vm: string,
  entry: HoldingsReport['holdings'][number],
): Holding {
  const { startedAgoMs } = entry;
  return {
    demand: fromWireDemand(now, vm, entry),
    grant: { prefill: entry.prefill, decode: entry.decode },
    startedAt: startedAgoMs === undefined ? undefined : now - startedAgoMs,
  };
}
