/** Decisions of planners on requests, as they are sent to the VMs that asked. */

import type { Logger } from 'pino';
import { match } from 'ts-pattern';

import type { Planner } from '../../core/memory/planner';
import type { PlanAction, PlanEvent } from '../../core/memory/types';
import type { Decision } from './messages';

/** Sends a decision back to the VM that requested it. */
export type DecisionCallback = (service: string, decision: Decision) => void;

/** Converts an action of the planner of a service to the decision on a request, and logs it with the load at that time. */
export function decisionOf(
  log: Logger,
  now: number,
  service: string,
  planner: Planner,
  action: PlanAction,
): Decision {
  const { id } = action;
  const load = planner.load(now);
  const summary = { waiting: planner.waiting, placed: planner.placed, load };
  return match(action)
    .returnType<Decision>()
    .with({ kind: 'grant' }, ({ grant }) => {
      log.info({ request: id, service, ...grant, ...summary }, 'Gave a place.');
      const { prefill, decode } = grant;
      return { state: 'granted', id, decode, ...(prefill === undefined ? {} : { prefill }) };
    })
    .with({ kind: 'bind' }, ({ decode }) => {
      log.info(
        { request: id, service, bound: decode, ...summary },
        'Assigned a request to a decode runner.',
      );
      return { state: 'bound', id, decode };
    })
    .with({ kind: 'refuse' }, ({ retryAfterMs, cause }) => {
      log.info(
        { request: id, service, retryAfterMs, ...cause, ...summary },
        'Refused a reservation.',
      );
      return { state: 'refused', id, retryAfterMs };
    })
    .exhaustive();
}

/** The request whose decision is returned by the call itself, not through its callback. */
export function callingRequestOf(event: PlanEvent): string | undefined {
  if (event.kind === 'asked') return event.demand.id;
  return event.kind === 'prefilled' ? event.id : undefined;
}
