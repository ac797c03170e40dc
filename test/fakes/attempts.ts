/** First attempts of callers at the VMs of a deployment, for tests of what they are answered. */

import type { CallerAnswer, RouterCluster } from './routers';

/** Services that attempts ask for in turn. */
export const attemptedServices = ['plain', 'model'] as const;

/** A first attempt of a caller. */
export interface Attempt extends CallerAnswer {
  readonly service: (typeof attemptedServices)[number];
  /** Index of the VM. */
  readonly vm: number;
  /** When it was sent, from a given time, in milliseconds. */
  readonly sentAt: number;
  readonly ms: number;
}

/** Sends one request, by its turn to one of the VMs and services. */
export async function attempt(
  routers: RouterCluster,
  vms: number,
  turn: number,
  startedAt: number,
): Promise<Attempt> {
  const service = attemptedServices[turn % attemptedServices.length] ?? 'plain';
  const at = performance.now();
  const answer = await routers.sendRequest(turn, `/${service}/steady`, `steady ${turn}`);
  const ms = performance.now() - at;
  return { ...answer, service, vm: turn % vms, sentAt: at - startedAt, ms };
}

/** Statuses by how many attempts got them. */
export function statusesOf(
  attempts: readonly Pick<Attempt, 'status'>[],
): Readonly<Record<string, number>> {
  const counts: Record<string, number> = {};
  for (const { status } of attempts) counts[status] = (counts[status] ?? 0) + 1;
  return counts;
}

/** Names of the first VMs. */
export function firstVms(count: number): readonly string[] {
  return Array.from({ length: count }, (_, index) => `vm${index + 1}`);
}
