/**
 * A stream that one machine reads through another one. The queue of new channels of the runner is full
 * for a moment, so that the opening packet of the direct channel is dropped, and the machine has another
 * one pass the bytes on. Then the process on that one is killed.
 */

import { setTimeout as pause } from 'node:timers/promises';
import { fileURLToPath, URL } from 'node:url';

import {
  ask,
  BROKEN,
  COULD_NOT_RUN,
  hasTrouble,
  HELD,
  main,
  openChannel,
  untilReady,
} from '../standins/deployment.mjs';
import { askForStream, config, EVENTS, ModelRunner } from '../standins/model.mjs';

/** Time for which the runner accepts no channels, in milliseconds. */
const HOLD_MS = 55;
/** Age of the stream at which the process is killed, in milliseconds. */
const KILL_AT_MS = 2600;
const TRIES = 8;
/** One answer in twenty has no length. */
const FRAMED = 19;
const UNFRAMED = 'a1b2';

/** Fills the queue of new channels of a runner for a moment; returns what empties it. */
async function fillQueue({ child, host, port }) {
  const isHolding = new Promise((resolve) => {
    const listen = ({ kind }) => {
      if (kind !== 'holding') return;
      child.off('message', listen);
      resolve();
    };
    child.on('message', listen);
  });
  child.send({ holdMs: HOLD_MS });
  await isHolding;
  await pause(4);
  const dummies = [openChannel(host, port), openChannel(host, port)];
  await pause(2);
  return () => dummies.forEach((socket) => socket.destroy());
}

/** How many channels a machine has passed on for others, by its metrics. */
async function passedOnBy({ settings }) {
  const { body } = await ask(`${settings.ip}:9464`, {
    id: 'metrics',
    host: 'metrics',
    path: '/metrics',
    method: 'GET',
    waitMs: 1000,
  });
  return Number(/^goldcrestdock_tunnels_forwarded_total (\d+)/m.exec(body)?.[1] ?? 0);
}

await main(fileURLToPath(new URL('record.txt', import.meta.url)), async (deployment) => {
  deployment.store.put('op/config', config);
  const prefill = new ModelRunner(deployment, 'i-pre1', 21, 'prefill');
  const decode = new ModelRunner(deployment, 'i-dec1', 22, 'decode', {
    unframed: UNFRAMED,
    backlog: 1,
  });
  await prefill.start();
  await decode.start();
  const first = await deployment.machine('front-a-1', 1, []);
  const seeds = [first.settings.listen.control];
  const others = [
    await deployment.machine('front-a-2', 2, seeds),
    await deployment.machine('front-a-3', 3, seeds),
  ];
  const processes = new Map();
  for (const machine of [first, ...others]) {
    processes.set(machine, deployment.run(machine));
    await untilReady(machine);
  }
  await pause(3000);
  // The first request of a process takes longer than later ones.
  await askForStream(deployment, first, '00000000000000aa');

  for (let count = 1; count <= TRIES; count += 1) {
    const id = `${UNFRAMED}c3d4e5f6000${count}`;
    const framed = [];
    for (let number = 1; number <= FRAMED; number += 1) {
      const machine = others[number % others.length];
      framed.push(askForStream(deployment, machine, `${count * 100 + number}`.padStart(16, '0')));
      await pause(30);
    }
    await pause(500);
    const before = await Promise.all(others.map(passedOnBy));
    const empty = await fillQueue(decode);
    const answered = askForStream(deployment, first, id);
    await pause(KILL_AT_MS);
    empty();
    const after = await Promise.all(others.map(passedOnBy));
    const between = others.find((_, index) => after[index] > before[index]);
    if (between) {
      deployment.note(`${between.name}: passes ${id} on between ${first.name} and ${decode.id}`);
      if (hasTrouble) {
        deployment.note(`${between.name}: killed`);
        processes.get(between).kill('SIGKILL');
      }
    }
    const { isComplete, events } = await answered;
    await Promise.all(framed);
    if (isComplete && events < EVENTS) return BROKEN;
    if (between && hasTrouble) return HELD;
    if (between) return isComplete ? HELD : COULD_NOT_RUN;
  }
  deployment.note('no stream was passed on by another machine');
  return COULD_NOT_RUN;
});
