/**
 * Messages by which VMs share the load of the runners of a plain service. Tuples keep them short,
 * and times are sent as ages in milliseconds, since the clocks of VMs differ.
 */

import { z } from 'zod';

import { Failure } from '../../core/failure';
import type { Outcomes } from '../../core/plain/failures';
import type { LoadNews } from '../../core/plain/loadshare';
import type { LoadRow } from '../../core/plain/loadtable';
import type { LoadReport } from '../../core/plain/types';
import { MAX_ID_CHARS, listOf } from '../wire';

/** Most runners, and most requests sent, that a message names. */
const MAX_ENTRIES = 256;
const MAX_AGE_MS = 60_000;
/** Most requests on their way to one runner that a message counts; each takes memory where it is read. */
const MAX_SENT = 4096;

const id = z.string().min(1).max(MAX_ID_CHARS);
const count = z.int().min(0).max(1_000_000);
const ageMs = z.number().min(0).max(MAX_AGE_MS);
/** Running, waiting, slots, slowness and age. */
const report = z.tuple([count, count, count.min(1), z.number().positive().nullable(), ageMs]);

const results = z.number().min(0).max(1_000_000);
/** Requests of a runner that succeeded and that failed. */
const outcomes = z.tuple([results, results]);

/** What a VM passes on, and the request for which it asks the owner for a runner. */
const askSchema = z.object({
  service: id,
  seen: listOf(z.tuple([id, report]), MAX_ENTRIES),
  sent: listOf(z.tuple([id, ageMs]), MAX_ENTRIES),
  ended: listOf(z.tuple([id, outcomes]), MAX_ENTRIES).default([]),
  want: z
    .object({ ms: z.number().positive().max(MAX_AGE_MS), avoid: listOf(id, MAX_ENTRIES) })
    .optional(),
});
/** The runner for the request, and for each runner the requests sent since its newest report. */
const answerSchema = z.object({
  runner: id.nullable(),
  rows: listOf(
    z.tuple([id, count.max(MAX_SENT), report.nullable(), outcomes.nullable().default(null)]),
    MAX_ENTRIES,
  ),
});

/** Results of a service's runners, from its owner. */
const failuresSchema = z.object({
  service: id,
  ended: listOf(z.tuple([id, outcomes]), MAX_ENTRIES),
});

export type LoadAsk = Readonly<z.infer<typeof askSchema>>;
export type LoadAnswer = Readonly<z.infer<typeof answerSchema>>;
type WireReport = z.infer<typeof report>;

/** Decodes a message to the owner; throws a `peerRejected` failure. */
export function loadAskOf(params: unknown): LoadAsk {
  return decode(askSchema, params);
}

/** Decodes the owner's answer; throws a `peerRejected` failure. */
export function loadAnswerOf(answer: unknown): LoadAnswer {
  return decode(answerSchema, answer);
}

/** Results of the requests to a service by runner. */
export interface ServiceOutcomes {
  readonly service: string;
  readonly ended: readonly Outcomes[];
}

/** Decodes the results of a service's runners; throws a `peerRejected` failure. */
export function failuresOf(params: unknown): ServiceOutcomes {
  const { service, ended } = decode(failuresSchema, params);
  return { service, ended: ended.map(([runner, counts]) => fromWireOutcomes(runner, counts)) };
}

/** Encodes the results of a service's runners. */
export function toWireFailures(
  service: string,
  ended: readonly Outcomes[],
): z.infer<typeof failuresSchema> {
  const rows = ended.slice(0, MAX_ENTRIES);
  return { service, ended: rows.map((one) => [one.runner, toWireOutcomes(one)]) };
}

/** Encodes what a VM passes on. */
export function toWireNews(
  now: number,
  { reports, sent, outcomes: ended }: LoadNews,
): Pick<LoadAsk, 'seen' | 'sent' | 'ended'> {
  return {
    seen: reports.slice(0, MAX_ENTRIES).map((one) => [one.runner, toWireReport(now, one)]),
    sent: sent.slice(-MAX_ENTRIES).map(({ runner, at }) => [runner, ageOf(now, at)]),
    ended: ended.slice(0, MAX_ENTRIES).map((one) => [one.runner, toWireOutcomes(one)]),
  };
}

/** Decodes what another VM passes on. */
export function fromWireNews(now: number, { seen, sent, ended }: LoadAsk): LoadNews {
  return {
    reports: seen.map(([runner, one]) => fromWireReport(now, runner, one)),
    sent: sent.map(([runner, age]) => ({ runner, at: now - age })),
    outcomes: ended.map(([runner, counts]) => fromWireOutcomes(runner, counts)),
  };
}

/** The runners that a message names as those to avoid. */
export function toWireAvoid(runners: readonly string[]): string[] {
  return runners.slice(0, MAX_ENTRIES);
}

/** Encodes rows of the owner's table. */
export function toWireRows(now: number, rows: readonly LoadRow[]): LoadAnswer['rows'] {
  return rows
    .slice(0, MAX_ENTRIES)
    .map(({ runner, sent, report: one, outcomes: recent }) => [
      runner,
      Math.min(MAX_SENT, sent),
      one ? toWireReport(now, one) : null,
      recent ? toWireOutcomes(recent) : null,
    ]);
}

/** Decodes rows of the owner's table. */
export function fromWireRows(now: number, rows: LoadAnswer['rows']): readonly LoadRow[] {
  return rows.map(([runner, sent, one, recent]) => ({
    runner,
    sent,
    report: one ? fromWireReport(now, runner, one) : undefined,
    outcomes: recent ? fromWireOutcomes(runner, recent) : undefined,
  }));
}

function toWireReport(now: number, { at, load }: LoadReport): WireReport {
  const { running, waiting, slots, slowness = null } = load;
  return [running, waiting, slots, slowness, ageOf(now, at)];
}

function fromWireReport(
  now: number,
  runner: string,
  [running, waiting, slots, slowness, age]: WireReport,
): LoadReport {
  const load = { running, waiting, slots, slowness: slowness ?? undefined };
  return { runner, at: now - age, load };
}

function toWireOutcomes({ succeeded, failed }: Outcomes): z.infer<typeof outcomes> {
  return [roundCount(succeeded), roundCount(failed)];
}

function fromWireOutcomes(runner: string, [succeeded, failed]: z.infer<typeof outcomes>): Outcomes {
  return { runner, succeeded, failed };
}

function roundCount(value: number): number {
  return Math.round(value * 100) / 100;
}

function ageOf(now: number, at: number): number {
  return Math.round(Math.min(MAX_AGE_MS, Math.max(0, now - at)));
}

function decode<T>(schema: z.ZodType<T>, value: unknown): T {
  const parsed = schema.safeParse(value);
  if (parsed.success) return parsed.data;
  const [issue] = parsed.error.issues;
  const field = issue?.path.join('.') ?? '';
  throw new Failure('peerRejected', `found a load message whose ${field} does not fit`);
}
