/** A route is moved to a service whose name differs from that of the old one in one sign. */

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

const HOST = 'desk.example';
const SERVICES = ['registry-app', 'registry_app'];
const MACHINES = 5;
const REQUESTS = 40;
/** The route's time limit, and when an answer counts as missing after it, in milliseconds. */
const TIMEOUT_MS = 1500;
const LATE_MS = 500;
/** Time budget of a client, in milliseconds. */
const BUDGET_MS = 4000;

function configOf(version, service) {
  return {
    version,
    routes: [
      {
        name: 'r-lookup',
        host: HOST,
        'path-prefix': '/lookup/',
        kind: 'idempotent',
        'timeout-ms': TIMEOUT_MS,
        'target-latency-ms': 193,
        priority: 2,
        service,
        'max-attempts': 2,
      },
    ],
    services: SERVICES.map((name) => ({ name, 'max-connections': 100 })),
    limits: {
      'max-header-bytes': 16_384,
      'max-body-bytes': 1_048_576,
      'header-timeout-ms': 10_000,
      'idle-timeout-ms': 15_000,
    },
  };
}

/** Starts a runner that tells its load with the fourth figure, and writes its entry. */
async function startRunner(deployment, id, number, service) {
  const host = deployment.ip(number);
  let port;
  const options = { id, host, stage: 'plain', load: '1,0,6,100' };
  await deployment.fork('./runner.mjs', options, (message) => {
    if (message.kind === 'listens') port = message.port;
    if (message.request) deployment.note(`${id}: ${message.kind} ${message.request}`);
  });
  deployment.store.put(`servers/${id}`, {
    service,
    address: `${host}:${port}`,
    zone: 'a',
    version: 'v1',
    slots: 6,
    state: 'ready',
    'cold-remaining-ms': 0,
    sequence: 0,
  });
}

/** Sends requests to all machines in turn; returns how many were unanswered at the time limit, and after it. */
async function askInTurn(deployment, machines, prefix) {
  const answered = [];
  for (let count = 0; count < REQUESTS; count += 1) {
    const id = prefix + count.toString(16).padStart(12, '0');
    const machine = machines[count % machines.length];
    const request = { id, host: HOST, path: '/lookup/2f', method: 'GET', waitMs: BUDGET_MS };
    deployment.note(`client: sends ${id} to ${machine.name}`);
    answered.push(
      ask(machine.front, request).then((answer) => {
        deployment.note(`client: ${id} got ${answer.status || answer.end} after ${answer.ms} ms`);
        return answer;
      }),
    );
    await pause(60);
  }
  const answers = await Promise.all(answered);
  const atLimit = answers.filter(({ ms }) => ms > TIMEOUT_MS).length;
  const late = answers.filter(({ ms }) => ms > TIMEOUT_MS + LATE_MS).length;
  const served = answers.filter(({ status }) => status === 200).length;
  const unanswered = `${atLimit} unanswered at the limit, ${late} half a second later`;
  deployment.note(`of ${REQUESTS} requests ${served} served, ${unanswered}`);
  return { atLimit, late, served };
}

await main(fileURLToPath(new URL('record.txt', import.meta.url)), async (deployment) => {
  const [before, after] = SERVICES;
  deployment.store.put('op/config', configOf(7, before));
  await startRunner(deployment, 'i-old1', 21, before);
  await startRunner(deployment, 'i-old2', 22, before);
  await startRunner(deployment, 'i-new1', 23, after);
  await startRunner(deployment, 'i-new2', 24, after);
  const machines = [];
  for (let count = 1; count <= MACHINES; count += 1) {
    const seeds = machines.slice(0, 3).map(({ settings }) => settings.listen.control);
    const machine = await deployment.machine(`front-a-${count}`, count, seeds);
    machines.push(machine);
    deployment.run(machine);
    await untilReady(machine);
  }
  await pause(3000);
  const calm = await askInTurn(deployment, machines, '0a0a');
  if (calm.served < REQUESTS) return COULD_NOT_RUN;
  if (hasTrouble) {
    deployment.store.put('op/config', configOf(9, after));
    deployment.note(`operator: moved the route from ${before} to ${after}`);
  }
  // Longer than the time in which the configuration is to be in force, and the window of calm.
  await pause(6000);
  const { atLimit, late } = await askInTurn(deployment, machines, '0b0b');
  return late >= 8 && late > atLimit / 2 ? BROKEN : HELD;
});
