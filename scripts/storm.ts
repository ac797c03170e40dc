/**
 * Runs a long random sequence of events on one cell and checks all invariants.
 * Exits with 1 if one is broken or a request is left over.
 *
 *     node build/storm.cjs [EVENTS] [SEED]
 */

import { Storm } from '../test/fakes/virtual/storm';
import { seeded } from '../test/fakes/virtual/workload';

const events = Number(process.argv[2] ?? 1_000_000);
const seed = Number(process.argv[3] ?? 1);
const startedAt = Date.now();
const {
  violations: broken,
  outcomes: ends,
  remaining: left,
  events: eventCount,
} = new Storm(seeded(seed)).run(events);
console.log(
  `seed ${seed}: ${eventCount} events in ${Date.now() - startedAt} ms; ends ${JSON.stringify(ends)}`,
);
console.log(`invariants broken: ${broken.length}; requests left over: ${left}`);
for (const line of broken.slice(0, 5)) console.log(`  ${line}`);
if (broken.length > 0 || left > 0) process.exitCode = 1;
