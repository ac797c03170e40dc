/** Runners leave without a report of `draining` right after the watches that waited at the store were cut. */

import process from 'node:process';

import {
  BOUNDS,
  Clients,
  Deployment,
  PlainRunner,
  configOf,
  freeNetwork,
  pause,
  runCase,
} from '../standins-2/kit.mjs';

const hasTrouble = process.env.TROUBLE !== '0';
const [root, recordFile] = process.argv.slice(2);

const ROUTERS = 3;
const RUNNERS = 12;
/** `release`: half of the runners, one at a time; the new one starts first. */
const REPLACED = 6;
/** Time between the cut of the watches that wait and the removal of an entry. */
const REMOVED_AFTER_MS = 40;
/** How much longer than `drain-ms` a runner serves before it exits. */
const LITTLE_LONGER_MS = 500;
const WORK_MS = 400;
const REQUESTS_PER_S = 120;
/** Length of the traffic before a runner leaves. */
const TRAFFIC_MS = 1500;
/** The clients pause from this long before it leaves, so that it answers nothing after that. */
const QUIET_MS = 800;
/** They send again from this long before it exits. */
const AGAIN_MS = 300;
const BUDGET_MS = 4000;
const DRAIN_MS = BOUNDS['drain-ms'];

runCase(recordFile, async (record) => {
  const deployment = new Deployment(root, await freeNetwork());
  const { store } = deployment;
  const late = [];
  const lost = [];
  const options = {
    service: 'tiles',
    workMs: WORK_MS,
    onLine: (text) => record.line(text),
    onRequest: (request, { id }, afterMs) => {
      if (afterMs <= DRAIN_MS) return;
      late.push(request);
      record.line(`${request} reaches ${id} ${afterMs} ms after the removal of its entry`);
    },
    onLost: (request) => lost.push(request),
  };
  const runners = Array.from(
    { length: RUNNERS + REPLACED },
    (_, index) => new PlainRunner(deployment, index, options),
  );
  /** What cuts the watches that wait. */
  let waiting = [];
  store.onWaiting = (cut) => waiting.push(cut);
  const cutWatches = () => {
    waiting.forEach((cut) => cut());
    waiting = [];
    record.line('the watches that wait are cut');
  };
  let clients;
  try {
    const config = configOf('tiles', { budgetMs: BUDGET_MS });
    await deployment.start(ROUTERS, (empty) => empty.put('op/config', config));
    for (const runner of runners.slice(0, RUNNERS)) await runner.start();
    await pause(3000);
    clients = new Clients(deployment.routers, { budgetMs: BUDGET_MS });
    const sendFor = (ms) => clients.run((at) => (at < ms ? REQUESTS_PER_S : 0));
    // Machines are in touch and the core is stable after `stable-window-ms`.
    await pause(BOUNDS['stable-window-ms'] + 1000);
    for (let index = 0; index < REPLACED; index += 1) {
      const runner = runners[index];
      await runners[RUNNERS + index].start();
      await sendFor(TRAFFIC_MS);
      await pause(QUIET_MS);
      if (hasTrouble) cutWatches();
      await pause(REMOVED_AFTER_MS);
      runner.removeEntry();
      await pause(DRAIN_MS + LITTLE_LONGER_MS - AGAIN_MS);
      const after = sendFor(2 * AGAIN_MS);
      await pause(AGAIN_MS);
      runner.exit();
      record.line(`${runner.id} exits`);
      await after;
    }
    await clients.ended();
  } finally {
    runners.forEach((runner) => runner.exit());
    await deployment.stop();
  }
  const outcomes = lost.map((id) => `${id}: ${clients.outcomes.get(id)}`);
  record.line(`answers: ${JSON.stringify(clients.counts)}`);
  record.line(`requests lost by the exit of a runner: ${lost.length} (${outcomes.join(', ')})`);
  record.line(`requests that reached a runner later than drain-ms: ${late.length}`);
  record.line(late.length > 0 ? 'DRAIN is broken' : 'DRAIN holds');
  if (!clients.counts['status 200']) throw new Error('no request was served');
  return late.length > 0;
});
