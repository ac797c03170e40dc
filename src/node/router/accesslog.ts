/** The log line of a request that has its final answer. */

import type { Exchange } from './exchange';

/** @param ms time from the whole request to the end of its answer */
export function accessLogFields(
  exchange: Exchange,
  ms: number,
  configVersion: number,
): Readonly<Record<string, unknown>> {
  const { request, fingerprint, route, service, status, code, trail, callerGone } = exchange;
  const { firstMs = ms, pauseMs } = exchange;
  const isPaced = route.gapMs === 0 || pauseMs <= route.gapMs;
  const inTime = code === undefined && firstMs <= route.aimMs && isPaced;
  return {
    request: request.id,
    fingerprint,
    ...(request.customer === undefined ? {} : { customer: request.customer }),
    route: route.name,
    service,
    configVersion,
    status,
    ...(code === undefined ? {} : { code }),
    ...(callerGone ? { callerGone } : {}),
    ms: Math.round(ms),
    firstMs: Math.round(firstMs),
    pauseMs: Math.round(pauseMs),
    inTime,
    trail,
  };
}
