/** The access log line of a completed request. */

import type { Exchange, Placement } from './exchange';
import type { CallRequest, Reply } from './types';

/** Ids of the parts of a request's prompt, as logged. */
interface LoggedParts {
  readonly parts?: readonly string[];
}

/** Maximum number of prompt parts in a log line. */
const MAX_LOGGED_PARTS = 16;

/** The first ids of the parts of a request's prompt, for the log; empty if it has none. */
export function partsField({ promptParts }: Pick<CallRequest, 'promptParts'>): LoggedParts {
  return promptParts.length === 0 ? {} : { parts: promptParts.slice(0, MAX_LOGGED_PARTS) };
}

/** Names the VM that forwarded a request in a step of its trail; empty if it went directly. */
export function viaText({ via }: Pick<Reply, 'via'>): string {
  return via === undefined ? '' : ` via ${via}`;
}

/** The load of the chosen runner at the time of the choice, for the log. */
function loadField(placement: Placement | undefined): Readonly<Record<string, unknown>> {
  if (!placement) return {};
  const { runner, expected, ageMs } = placement;
  const { inFlight, slots, slowness, waitMs, finishMs } = expected;
  return {
    load: {
      runner,
      inFlight: Math.round(inFlight * 10) / 10,
      slots,
      slowness: Math.round(slowness * 100) / 100,
      waitMs: Math.round(waitMs),
      finishMs: Math.round(finishMs),
      ...(ageMs === undefined ? {} : { ageMs: Math.round(ageMs) }),
    },
  };
}

/** Whether a request was answered within the latency target and the allowed pauses of its route. */
export function isInTime({ route, code, firstMs, pauseMs }: Exchange, ms: number): boolean {
  const isWithinGap = route.gapMs === 0 || pauseMs <= route.gapMs;
  return code === undefined && (firstMs ?? ms) <= route.aimMs && isWithinGap;
}

/**
 * The fields of the log line.
 * @param ms time from the complete request to the end of its response
 */
export function accessLogFields(
  exchange: Exchange,
  ms: number,
  configVersion: number,
): Readonly<Record<string, unknown>> {
  const { request, fingerprint, route, service, status, code, detail, trail } = exchange;
  const { continues, callerGone } = exchange;
  const versions = [...exchange.versions];
  const { firstMs = ms, pauseMs } = exchange;
  return {
    request: request.id,
    fingerprint,
    ...partsField(request),
    ...(request.customer === undefined ? {} : { customer: request.customer }),
    ...(continues ? { continues } : {}),
    route: route.name,
    service,
    configVersion,
    status,
    ...(code === undefined ? {} : { code }),
    ...(detail === undefined ? {} : { detail }),
    ...(callerGone ? { callerGone } : {}),
    ms: Math.round(ms),
    firstMs: Math.round(firstMs),
    pauseMs: Math.round(pauseMs),
    inTime: isInTime(exchange, ms),
    ...(request.priority === undefined ? {} : { rank: request.priority }),
    ...(versions.length > 0 ? { versions } : {}),
    arrivals: exchange.arrivals.counts,
    ...loadField(exchange.placement),
    ...(exchange.heldMs > 0 ? { heldMs: Math.round(exchange.heldMs) } : {}),
    trail,
  };
}
