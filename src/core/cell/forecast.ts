/** Forecasts from live state: when slots come free and when a first token can be out. */

import type { CellRequest, CellView } from './view';

/** Mean and variance of a count. */
export interface CountEstimate {
  readonly mean: number;
  readonly variance: number;
}

/** Mean time a request holds a decode slot, in milliseconds. */
export function residenceMs(view: CellView): number {
  const runners = Math.max(1, view.capacity.decodeRunners.length);
  const batch = view.capacity.decodeSlots / runners;
  return Math.max(1, view.outputs.mean * view.costs.tokenMs(batch));
}

/** Output tokens that a streaming request should have by now. */
export function estimateOutputTokens(
  now: number,
  view: CellView,
  { since, batch, resumedTokens: resumedAt }: CellRequest,
): number {
  return resumedAt + (now - since) / view.costs.tokenMs(batch);
}

/** Slots that running requests will free within the horizon. */
export function forecastReleases(now: number, view: CellView, horizonMs: number): CountEstimate {
  let mean = 0;
  let variance = 0;
  for (const request of view.decoding) {
    const age = estimateOutputTokens(now, view, request);
    const more = horizonMs / view.costs.tokenMs(request.batch);
    const mustEnd = age + more >= request.arrival.maxTokens;
    const ends = mustEnd ? 1 : view.outputs.probabilityOfEndWithin(age, more);
    mean += ends;
    variance += ends * (1 - ends);
  }
  return { mean, variance };
}

/** Chance that a count is at least `least`, by the normal approximation. */
export function probabilityAtLeast(count: CountEstimate, least: number): number {
  const gap = least - 0.5 - count.mean;
  if (count.variance < 1e-9) return gap <= 0 ? 1 : 0;
  return 1 - normalBelow(gap / Math.sqrt(count.variance));
}

/** Standard normal distribution function; Abramowitz and Stegun 26.2.17, error under 1e-7. */
function normalBelow(z: number): number {
  const t = 1 / (1 + 0.2316419 * Math.abs(z));
  const tail =
    ((((1.330274429 * t - 1.821255978) * t + 1.781477937) * t - 0.356563782) * t + 0.31938153) * t;
  const density = Math.exp((-z * z) / 2) / Math.sqrt(2 * Math.PI);
  return z >= 0 ? 1 - density * tail : density * tail;
}

/** Milliseconds until a new request's first token, with `ahead` requests served before it. */
export function forecastFirstTokenMs(
  now: number,
  view: CellView,
  promptTokens: number,
  hitTokens: number,
  ahead: number,
): number {
  const prefillMs = view.costs.prefillMs(Math.max(0, promptTokens - hitTokens));
  const wait = Math.max(waitForPrefill(now, view, ahead), waitForSlot(view, ahead) - prefillMs);
  return wait + prefillMs + view.costs.transferMs(promptTokens) + view.costs.tokenMs(1);
}

function waitForPrefill(now: number, view: CellView, ahead: number): number {
  const runners = view.capacity.prefillRunners.filter(({ leaving }) => !leaving);
  if (runners.length === 0) return Infinity;
  const backlog = runners.reduce((sum, place) => sum + Math.max(0, place.busyUntil - now), 0);
  return (backlog + ahead * view.meanPrefillMs) / runners.length;
}

function waitForSlot(view: CellView, ahead: number): number {
  const { decodeSlots, freeSlots } = view.capacity;
  if (decodeSlots === 0) return Infinity;
  const missing = ahead + 1 + view.awaitingSlot - freeSlots;
  return missing <= 0 ? 0 : (missing * residenceMs(view)) / decodeSlots;
}
