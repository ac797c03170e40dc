/**
 * The machines are stopped and started in turn. A client asks for addresses just after a machine has got
 * SIGTERM, is still told that machine's address, keeps it for three times as long as it is told, and sends
 * a request for a stream to it at the end of that time.
 */

import { setTimeout } from 'node:timers';
import { setTimeout as pause } from 'node:timers/promises';
import { fileURLToPath, URL } from 'node:url';

import {
  ask,
  BROKEN,
  COULD_NOT_RUN,
  hasTrouble,
  HELD,
  main,
  untilReady,
} from '../standins/deployment.mjs';
import { askForStream, config, EVENTS, ModelRunner } from '../standins/model.mjs';

const MACHINES = 8;
/** Machines that are stopped in turn, at most, and the time between two. */
const STOPPED = 4;
const GAP_MS = 2000;
const GRACE_MS = 8000;
/** Some clients keep a look-up's answer for three times as long as it says. */
const KEPT_TIMES = 3;
/** How long before the end of that time the client uses it, in milliseconds. */
const MARGIN_MS = 20;
/** Requests sent later than this after SIGTERM have to be answered, in milliseconds. */
const LATE_MS = 3000;
/** How much later than that the request is to be sent at least, so that the case is beyond doubt. */
const DOUBT_MS = 30;

/** With TROUBLE=0 the requests are sent at the times that follow from this lag, in milliseconds. */
const USUAL_LAG_MS = 200;

/** Asks all machines but one for addresses until none tells its address any more; returns the last answer that did. */
async function lastLookUp(machines, leaving, stoppedAt) {
  let last;
  const others = machines.filter((machine) => machine !== leaving);
  for (let isTold = true; isTold && Date.now() - stoppedAt < 1500;) {
    isTold = false;
    for (const { name, settings } of others) {
      const answer = await ask(settings.listen.directory, {
        id: 'look-up',
        host: settings.listen.directory,
        path: '/v1/lookup?name=desk.example&region=r&zone=a',
        method: 'GET',
        waitMs: 1000,
      });
      const at = Date.now();
      const { addresses = [], 'ttl-s': ttlS = 0 } =
        answer.status === 200 ? JSON.parse(answer.body) : {};
      if (addresses.includes(leaving.front)) {
        isTold = true;
        last = { name, at, keptMs: ttlS * 1000 * KEPT_TIMES };
      }
    }
  }
  return last;
}

await main(fileURLToPath(new URL('record.txt', import.meta.url)), async (deployment) => {
  deployment.store.put('op/config', config);
  const runners = [
    new ModelRunner(deployment, 'i-pre1', 21, 'prefill'),
    new ModelRunner(deployment, 'i-dec1', 22, 'decode'),
    new ModelRunner(deployment, 'i-dec2', 23, 'decode'),
  ];
  for (const runner of runners) await runner.start();
  const machines = [];
  const processes = new Map();
  for (let count = 1; count <= MACHINES; count += 1) {
    const seeds = machines.slice(0, 3).map(({ settings }) => settings.listen.control);
    const machine = await deployment.machine(`front-a-${count}`, count, seeds);
    machines.push(machine);
    processes.set(machine, deployment.run(machine));
  }
  for (const machine of machines) await untilReady(machine);
  await pause(5000);

  const answered = [];
  const ends = [];
  for (let count = 1; count <= STOPPED; count += 1) {
    const machine = machines[count - 1];
    const id = `a1b2c3d4e5f6000${count}`;
    const stoppedAt = Date.now();
    if (hasTrouble) {
      const child = processes.get(machine);
      deployment.note(`${machine.name}: SIGTERM`);
      child.kill('SIGTERM');
      ends.push(
        new Promise((resolve) => {
          child.once('exit', () => {
            deployment.restart(machine);
            resolve();
          });
          setTimeout(() => child.kill('SIGKILL'), GRACE_MS);
        }),
      );
    }
    const last = hasTrouble
      ? await lastLookUp(machines, machine, stoppedAt)
      : { name: machines.at(-1).name, at: stoppedAt + USUAL_LAG_MS, keptMs: KEPT_TIMES * 1000 };
    if (last) {
      const toldMs = last.at - stoppedAt;
      const sendAt = last.at + last.keptMs - MARGIN_MS;
      deployment.note(
        `client: ${last.name} tells the address of ${machine.name}, ${toldMs} ms later`,
      );
      if (sendAt - stoppedAt >= LATE_MS + DOUBT_MS) {
        answered.push(
          pause(sendAt - Date.now()).then(async () => {
            const sentMs = Date.now() - stoppedAt;
            const answer = await askForStream(deployment, machine, id);
            return { ...answer, id, sentMs };
          }),
        );
      }
    }
    await pause(Math.max(0, stoppedAt + GAP_MS - Date.now()));
  }
  if (answered.length === 0) return COULD_NOT_RUN;
  const answers = await Promise.all(answered);
  await Promise.all(ends);
  let result = HELD;
  for (const { id, sentMs, status, isComplete, events } of answers) {
    const hasRun = runners.some((runner) => runner.told('runs', id));
    const isLost = hasRun && sentMs > LATE_MS && !isComplete && events < EVENTS;
    deployment.note(
      `${id}: sent ${sentMs} ms after SIGTERM, ran: ${hasRun}, status ${status}, lost: ${isLost}`,
    );
    if (isLost) result = BROKEN;
    if (!hasTrouble && !isComplete) result = COULD_NOT_RUN;
  }
  return result;
});
