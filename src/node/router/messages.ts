/** Messages between VMs: reservations requested from the VM that plans a service. */

import { z } from 'zod';

import type { Demand, Grant, Holding } from '../../core/memory/types';
import { MAX_ID_CHARS, listOf } from '../wire';

const id = z.string().min(1).max(MAX_ID_CHARS);
const service = z.string().min(1).max(200);
const tokens = z.number().min(0).max(1e9);
const ms = z.number();

/** A demand on the wire. The clocks of VMs differ, so times are sent relative to the time of sending, in milliseconds. */
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
  endsInMs: ms.optional(),
  resuming: z.boolean(),
  version: z.string().max(200).optional(),
  prefillsLocally: z.boolean().optional(),
  avoid: listOf(id, 64),
};

/** Requests a reservation. */
export const askSchema = z.object({ service, ...demandFields });
/** Reports the progress of a request that holds a reservation. */
export const noteSchema = z.object({
  service,
  id,
  kind: z.enum(['started', 'slow', 'finished', 'released']),
  outputTokens: tokens.optional(),
  blame: id.optional(),
});
/** Reports that a prefill was done in `ms` milliseconds, and requests the decode runner. */
export const readySchema = z.object({
  service,
  id,
  ms,
  unreachable: id.optional(),
  unavailable: id.optional(),
  shedBy: id.optional(),
});
/** Most pauses that one message names. */
const MAX_BACKOFFS = 10_000;
/** Pauses that runners asked the sender for, with the time left in milliseconds. */
const backoffs = listOf(z.object({ runner: id, ms: z.number().min(0) }), MAX_BACKOFFS);
/** Reports new pauses that runners of a service asked the sender for. */
export const backoffSchema = z.object({ service, backoffs });
/** Tells the VM that forwarded a request that its runner asked for a pause. */
export const forwardedBackoffSchema = z.object({ runner: id, ms: z.number().min(0) });
/** Reports all reservations that the sender holds for a service, and the pauses that last. */
export const holdSchema = z.object({
  service,
  holdings: listOf(
    z.object({
      ...demandFields,
      prefill: id.optional(),
      decode: id,
      startedAgoMs: ms.optional(),
    }),
    10_000,
  ),
  backoffs: backoffs.default([]),
});
/** Requests a report of all reservations that the receiver holds for a service. */
export const gatherSchema = z.object({ service });
/** The planner's decision on a request. */
export const decisionSchema = z.discriminatedUnion('state', [
  z.object({ state: z.literal('granted'), id, prefill: id.optional(), decode: id }),
  z.object({ state: z.literal('bound'), id, decode: id }),
  z.object({ state: z.literal('refused'), id, retryAfterMs: ms }),
  z.object({ state: z.literal('waiting'), id }),
]);

/** A decision that is sent after a wait. */
export const delayedDecisionSchema = z.object({ service: z.string(), verdict: decisionSchema });

export type ReservationRequest = Readonly<z.infer<typeof askSchema>>;
export type ProgressReport = Readonly<z.infer<typeof noteSchema>>;
export type PrefillReport = Readonly<z.infer<typeof readySchema>>;
export type HoldingsReport = Readonly<z.infer<typeof holdSchema>>;
export type ForwardedBackoff = Readonly<z.infer<typeof forwardedBackoffSchema>>;
export type BackoffReport = Readonly<z.infer<typeof backoffSchema>>;
export type Decision = Readonly<z.infer<typeof decisionSchema>>;

type WireDemand = Omit<ReservationRequest, 'service'>;

/** A request's demand as its own VM describes it. The owner adds the VM and whether the caller has retried. */
export type LocalDemand = Omit<Demand, 'vm' | 'returned'>;

/** Converts a demand from this VM's clock to the wire. */
export function toWireDemand(now: number, demand: LocalDemand): WireDemand {
  const { dueAt, lostAt, endsBy, hintTokens, promptId, avoid, ...rest } = demand;
  return {
    id: rest.id,
    rank: rest.rank,
    promptTokens: rest.promptTokens,
    maxOutputTokens: rest.maxOutputTokens,
    resuming: rest.resuming,
    avoid: [...avoid],
    dueInMs: dueAt - now,
    gapMs: rest.gapMs,
    lostInMs: lostAt - now,
    ...(endsBy === undefined ? {} : { endsInMs: endsBy - now }),
    ...(hintTokens === undefined ? {} : { hintTokens }),
    ...(promptId === undefined ? {} : { promptId }),
    ...(rest.customer === undefined ? {} : { customer: rest.customer }),
    ...(rest.version === undefined ? {} : { version: rest.version }),
    ...(rest.prefillsLocally ? { prefillsLocally: true } : {}),
  };
}

/** Converts the demand of another VM from the wire to this VM's clock. */
export function fromWireDemand(now: number, vm: string, message: WireDemand): Demand {
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
    endsBy: message.endsInMs === undefined ? undefined : now + message.endsInMs,
    returned: false,
    resuming: message.resuming,
    version: message.version,
    prefillsLocally: message.prefillsLocally,
    avoid: message.avoid,
  };
}

/** Converts a reservation of this VM to the wire. */
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

/** Converts the reservation of another VM from the wire to this VM's clock. */
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
