/** A release is taken back within a second, while all routers are killed: which version goes on? */

import process from 'node:process';

import { Deployment, freeNetwork, pause, runCase } from '../standins-2/kit.mjs';
import { ClientStream, ModelRunner, modelConfigOf } from '../standins-2/model.mjs';

const hasTrouble = process.env.TROUBLE !== '0';
const [root, recordFile] = process.argv.slice(2);

const ROUTERS = 3;
const PREFILL = 2;
const DECODE = 6;
/** Runners of the new version that join. */
const JOINING = 2;
const EVENTS = 40;
const GAP_MS = 100;
const STREAMS_PER_S = 100;
/** Time from the new version's start to the kill of all routers. */
const KILLED_AFTER_MS = 600;
const DOWN_MS = 1000;
/** ORDER allows two streams with events of two software versions. */
const MAX_MIXED = 2;

runCase(recordFile, async (record) => {
  const deployment = new Deployment(root, await freeNetwork());
  const runnerOf = (index, stage, version) =>
    new ModelRunner(deployment, index, {
      service: 'llm',
      stage,
      version,
      events: EVENTS,
      gapMs: GAP_MS,
    });
  const old = Array.from({ length: PREFILL + DECODE }, (_, index) =>
    runnerOf(index, index < PREFILL ? 'prefill' : 'decode', 'v1'),
  );
  const joining = Array.from({ length: JOINING }, (_, index) =>
    runnerOf(PREFILL + DECODE + index, 'decode', 'v1.1'),
  );
  const streams = [];
  try {
    await deployment.start(ROUTERS, (store) => store.put('op/config', modelConfigOf('llm')));
    for (const runner of old) await runner.start();
    await pause(8000);
    record.line(
      `versions in the store: ${JSON.stringify(deployment.store.valueOf('goldcrestdock/served'))}`,
    );
    for (const runner of joining) await runner.start();
    record.line(`${JOINING} runners of v1.1 join`);
    const killedAt = Date.now() + KILLED_AFTER_MS;
    const attempts = [];
    while (Date.now() < killedAt) {
      const stream = new ClientStream(`s${streams.length}`, deployment.routers);
      attempts.push(stream.attempt(deployment.routers[streams.length % ROUTERS]));
      streams.push(stream);
      await pause(1000 / STREAMS_PER_S);
    }
    if (hasTrouble) {
      for (const router of deployment.routers) router.kill('SIGKILL');
      for (const router of deployment.routers) await router.ended();
      record.line('all routers are killed');
    }
    await pause(DOWN_MS / 2);
    for (const runner of joining) {
      runner.exit();
      runner.removeEntry();
    }
    record.line('the runners of v1.1 are gone');
    await pause(DOWN_MS / 2);
    record.line(
      `versions in the store: ${JSON.stringify(deployment.store.valueOf('goldcrestdock/served'))}`,
    );
    if (hasTrouble) for (const router of deployment.routers) router.start();
    await Promise.all(attempts);
    await deployment.allReady();
    await Promise.all(streams.map((stream) => stream.goOn(8000)));
  } finally {
    [...old, ...joining].forEach((runner) => runner.exit());
    await deployment.stop();
  }
  for (const { name, versions, events, isWhole, attempts } of streams) {
    record.line(
      `${name}: ${events.length} events of ${versions.join(' and ')}, ${isWhole ? 'whole' : 'not whole'}; ${attempts.join(', ')}`,
    );
  }
  const mixed = streams.filter(({ versions }) => versions.length > 1);
  const begun = streams.filter(({ events }) => events[0]?.data === 'v1.1');
  record.line(
    `streams ${streams.length}, begun at v1.1 ${begun.length}, with both versions ${mixed.length}`,
  );
  record.line(mixed.length > MAX_MIXED ? 'ORDER is broken' : 'ORDER holds');
  if (begun.length === 0) throw new Error('no stream began at the new version');
  return mixed.length > MAX_MIXED;
});
