/**
 * Randomised chaos test with real processes: injects overlapping and repeated
 * faults while callers send requests and operators change settings. Prints one
 * line for each invariant; exits with 1 if one is broken or was never checked.
 *
 *     node build/chaos.cjs [SECONDS] [SEED]
 */

import { Deployment, bagmati } from '../../test/fakes/deployment';
import { seeded } from '../../test/fakes/virtual/workload';
import { Callers } from './callers';
import { Faults } from './faults';
import { InvariantRecorder } from './invariants';
import { Operators } from './operators';
import { checkMemory, checkRuns, checkStatus, readStatus, snapshotRuns } from './checks';

/** Interval between snapshots of the runs that engines have executed. */
const SNAPSHOT_PERIOD_MS = 500;

/** Waits for a phase and prints its duration to standard error. */
async function timed(phase: string, work: Promise<void>): Promise<void> {
  const startedAt = Date.now();
  await work;
  console.error(`${phase}: ${Date.now() - startedAt} ms`);
}

async function main(): Promise<void> {
  const seconds = Number(process.argv[2] ?? 120);
  const seed = Number(process.argv[3] ?? 1);
  const random = seeded(seed);
  const recorder = new InvariantRecorder();
  const deployment = new Deployment(bagmati);
  process.once('SIGTERM', () => {
    deployment.stop().finally(() => process.exit(1));
  });
  try {
    await deployment.start();
    const ran = new Set<string>();
    const snapshotTimer = setInterval(() => {
      snapshotRuns(deployment, ran).catch(() => {});
    }, SNAPSHOT_PERIOD_MS);
    const callers = new Callers(deployment, recorder, seeded(seed + 1));
    const operators = new Operators(deployment, recorder, seeded(seed + 2));
    const faults = new Faults(deployment, random, ran);
    const end = Date.now() + seconds * 1000;
    await Promise.all([callers.run(end), operators.run(end), faults.run(end)]);
    clearInterval(snapshotTimer);
    await timed('heal', faults.heal());
    await timed('settle', callers.settle());
    await timed('settings', operators.check());
    await snapshotRuns(deployment, ran);
    callers.checkNotRun(ran);
    await checkRuns(deployment, recorder, callers.receipts, callers.neverRun);
    await checkMemory(deployment, recorder);
    await checkStatus(deployment, recorder);
    console.log(`seed ${seed}, ${seconds} s, faults: ${faults.summary}`);
    console.log(callers.summary);
    if (process.env.CHAOS_STATUS) console.log(JSON.stringify(await readStatus(deployment)));
  } finally {
    await deployment.stop();
  }
  process.exitCode = recorder.print() ? 0 : 1;
}

main().catch((error: Error) => {
  console.error(error);
  process.exitCode = 1;
});
