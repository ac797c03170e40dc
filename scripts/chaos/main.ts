/**
 * A long randomised run with real processes: random faults of all kinds,
 * together and twice, while callers go on. Prints one line for each invariant
 * and exits accordingly.
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

const RUNS_PERIOD_MS = 500;

/** Tells on standard error how long a phase took. */
async function timed(phase: string, work: Promise<void>): Promise<void> {
  const began = Date.now();
  await work;
  console.error(`${phase}: ${Date.now() - began} ms`);
}

async function main(): Promise<void> {
  const seconds = Number(process.argv[2] ?? 120);
  const seed = Number(process.argv[3] ?? 1);
  const random = seeded(seed);
  const ledger = new InvariantRecorder();
  const deployment = new Deployment(bagmati);
  process.once('SIGTERM', () => {
    deployment.stop().finally(() => process.exit(1));
  });
  try {
    await deployment.start();
    const ran = new Set<string>();
    const watcher = setInterval(() => {
      snapshotRuns(deployment, ran).catch(() => {});
    }, RUNS_PERIOD_MS);
    const callers = new Callers(deployment, ledger, seeded(seed + 1));
    const operators = new Operators(deployment, ledger, seeded(seed + 2));
    const faults = new Faults(deployment, random, ran);
    const end = Date.now() + seconds * 1000;
    await Promise.all([callers.run(end), operators.run(end), faults.run(end)]);
    clearInterval(watcher);
    await timed('heal', faults.heal());
    await timed('settle', callers.settle());
    await timed('settings', operators.check());
    await snapshotRuns(deployment, ran);
    callers.checkNotRun(ran);
    await checkRuns(deployment, ledger, callers.receipts, callers.neverRun);
    await checkMemory(deployment, ledger);
    await checkStatus(deployment, ledger);
    console.log(`seed ${seed}, ${seconds} s, faults: ${faults.summary}`);
    console.log(callers.summary);
    if (process.env.CHAOS_STATUS) console.log(JSON.stringify(await readStatus(deployment)));
  } finally {
    await deployment.stop();
  }
  process.exitCode = ledger.print() ? 0 : 1;
}

main().catch((error: Error) => {
  console.error(error);
  process.exitCode = 1;
});
