/** Checks against the stand-ins' own records. */

import { setTimeout as pause } from 'node:timers/promises';

import type { Deployment } from '../../test/fakes/deployment';
import { call } from '../../test/fakes/http';
import type { InvariantRecorder } from './invariants';

/** Time in which engines must be free after the last request, in milliseconds. */
const FREE_MS = 15_000;

function engines(deployment: Deployment): readonly string[] {
  return (deployment.consortium.pools.deeds?.runners ?? []).map(({ url }) => url);
}

/** Adds the runs that engines have worked on; an engine that is killed forgets its own. */
export async function snapshotRuns(deployment: Deployment, ran: Set<string>): Promise<void> {
  const answers = await Promise.all(
    engines(deployment).map((url) => call('GET', `${url}/ran`).catch(() => undefined)),
  );
  for (const answer of answers) {
    for (const id of (answer?.body as { ran?: string[] } | undefined)?.ran ?? []) ran.add(id);
  }
}

/** Every receipt ran at most once, and those whose caller was only ever told "not run" did not. */
export async function checkRuns(
  deployment: Deployment,
  ledger: InvariantRecorder,
  receipts: ReadonlySet<string>,
  neverRun: ReadonlySet<string>,
): Promise<void> {
  const { runners } = deployment.consortium.pools.registry ?? { runners: [] };
  const answers = await Promise.all(runners.map(({ url }) => call('GET', `${url}/runs`)));
  const runs = new Map<string, number>();
  for (const { body } of answers) {
    for (const [key, count] of Object.entries(body as Record<string, number>)) {
      runs.set(key, (runs.get(key) ?? 0) + count);
    }
  }
  for (const key of receipts) {
    if (neverRun.has(key)) {
      ledger.check('notRun', !runs.has(key), () => `${key} ran, its caller was told it did not`);
    }
    ledger.check(
      'atMostOnce',
      (runs.get(key) ?? 0) <= 1,
      () => `${key} ran ${runs.get(key)} times`,
    );
  }
}

/** With no caller left, every engine is free. */
export async function checkMemory(
  deployment: Deployment,
  ledger: InvariantRecorder,
): Promise<void> {
  for (const url of engines(deployment)) {
    const until = Date.now() + FREE_MS;
    let held: readonly string[] = [];
    do {
      const { body } = await call('GET', `${url}/v1/requests`);
      ({ held } = body as { held: string[] });
      await pause(100);
    } while (held.length > 0 && Date.now() < until);
    ledger.check('memory', held.length === 0, () => `${url} holds ${held.join(', ')}`);
  }
}

interface Status {
  readonly schedulers: readonly {
    readonly vm: string;
    readonly detail: { readonly metrics: Record<string, number> } | null;
  }[];
}

/** What `ctl status` would show. */
export async function readStatus(deployment: Deployment): Promise<Status> {
  const headers = { authorization: `Bearer ${deployment.spec.operatorToken}` };
  const { body } = await call(
    'GET',
    `http://${deployment.operators(1)}/v1/status`,
    undefined,
    headers,
  );
  return body as Status;
}

/** No scheduler has counted a broken invariant. */
export async function checkStatus(
  deployment: Deployment,
  ledger: InvariantRecorder,
): Promise<void> {
  const { schedulers } = await readStatus(deployment);
  for (const { vm, detail } of schedulers) {
    const broken = detail?.metrics['invariant.broken'] ?? 0;
    ledger.check('account', detail !== null && broken === 0, () => `${vm} counted ${broken}`);
  }
}
