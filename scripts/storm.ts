/**
 * A long storm at one cell with all invariants on.
 *
 *     node build/storm.cjs [EVENTS] [SEED]
 */

import { Storm } from '../test/fakes/virtual/storm';
import { seeded } from '../test/fakes/virtual/workload';

const events = Number(process.argv[2] ?? 1_000_000);
const seed = Number(process.argv[3] ?? 1);
const began = Date.now();
const {
  violations: broken,
  outcomes: ends,
  remaining: left,
  events: told,
} = new Storm(seeded(seed)).run(events);
console.log(
  `seed ${seed}: ${told} events in ${Date.now() - began} ms; ends ${JSON.stringify(ends)}`,
);
console.log(`invariants broken: ${broken.length}; requests left over: ${left}`);
for (const line of broken.slice(0, 5)) console.log(`  ${line}`);
if (broken.length > 0 || left > 0) process.exitCode = 1;
