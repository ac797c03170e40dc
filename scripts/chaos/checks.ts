/** Checks of invariants against the records of the simulated engines and services. */

import { setTimeout as pause } from 'node:timers/promises';

import type { Deployment } from '../../test/fakes/deployment';
import { call } from '../../test/fakes/http';
import type { InvariantRecorder } from './invariants';

/** Time limit for engines to release all requests after the last caller has ended. */
const RELEASE_TIMEOUT_MS = 15_000;

/** URLs of all engines of the model service. */
function engineUrls(deployment: Deployment): readonly string[] {
  return (deployment.consortium.pools.deeds?.runners ?? []).map(({ url }) => url);
}

/** Adds to `ran` the run ids that each engine has executed. Call it before an engine is killed: its record is lost with it. */
export async function snapshotRuns(deployment: Deployment, ran: Set<string>): Promise<void> {
  const answers = await Promise.all(
    engineUrls(deployment).map((url) => call('GET', `${url}/ran`).catch(() => undefined)),
  );
  for (const answer of answers) {
    for (const id of (answer?.body as { ran?: string[] } | undefined)?.ran ?? []) ran.add(id);
  }
}

/** Checks that each receipt ran at most once, and that the receipts in `neverRun` (always refused as not run) did not run. */
export async function checkRuns(
  deployment: Deployment,
  recorder: InvariantRecorder,
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
      recorder.check(
        'notRun',
        !runs.has(key),
        () => `${key} ran, but all its attempts were refused as not run`,
      );
    }
    recorder.check(
      'atMostOnce',
      (runs.get(key) ?? 0) <= 1,
      () => `${key} ran ${runs.get(key)} times`,
    );
  }
}

/** Checks that every engine releases all requests once no caller is left. */
export async function checkMemory(
  deployment: Deployment,
  recorder: InvariantRecorder,
): Promise<void> {
  for (const url of engineUrls(deployment)) {
    const deadline = Date.now() + RELEASE_TIMEOUT_MS;
    let held: readonly string[] = [];
    do {
      const { body } = await call('GET', `${url}/v1/requests`);
      ({ held } = body as { held: string[] });
      await pause(100);
    } while (held.length > 0 && Date.now() < deadline);
    recorder.check('memory', held.length === 0, () => `${url} holds ${held.join(', ')}`);
  }
}

interface Status {
  readonly schedulers: readonly {
    readonly vm: string;
    readonly detail: { readonly metrics: Record<string, number> } | null;
  }[];
}

/** Returns the status of the deployment, as `ctl status` shows it. */
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

/** Checks that every scheduler reports its status and no broken invariant. */
export async function checkStatus(
  deployment: Deployment,
  recorder: InvariantRecorder,
): Promise<void> {
  const { schedulers } = await readStatus(deployment);
  for (const { vm, detail } of schedulers) {
    const broken = detail?.metrics['invariant.broken'] ?? 0;
    recorder.check(
      'account',
      detail !== null && broken === 0,
      () => `${vm}: found ${broken} broken invariants, expected a status with 0`,
    );
  }
}
