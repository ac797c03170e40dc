/**
 * One of two machines gets SIGTERM, as machines are stopped and started in turn, and the process on the
 * other one is killed before the first has ended.
 */

import { readFileSync } from 'node:fs';
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

const GRACE_MS = 8000;
/** Time from SIGTERM until the other process is killed, in milliseconds. */
const KILL_AFTER_MS = 1500;
/** Time that the process has to notice that, in milliseconds. */
const SETTLE_MS = 1500;
/** Share of a core from which a process counts as busy all the time. */
const BUSY_SHARE = 0.9;
/** Clock ticks of `/proc` a second. */
const TICKS_PER_S = 100;

const KEY = 'k-5c1e07a2';
/** The configuration with a customer that has an allowance, in tokens. */
const limited = {
  ...config,
  tenants: [
    {
      name: 'clerks',
      'api-keys': [KEY],
      unit: 'tokens',
      'rate-per-s': 5000,
      burst: 20_000,
      'plain-tokens': 100,
    },
  ],
};
const bounds = {
  'strict-revoke': true,
  'revoke-ms': 5000,
  'quota-window-s': 8,
  'quota-overage': 0.1,
  'quota-slack': 190_000,
};

/** Processor time that a process has used, in milliseconds; undefined if there is no such process. */
function processorMs({ pid }) {
  try {
    const fields = readFileSync(`/proc/${pid}/stat`, 'utf8').split(') ')[1].split(' ');
    return ((Number(fields[11]) + Number(fields[12])) * 1000) / TICKS_PER_S;
  } catch {
    return undefined;
  }
}

/** Whether a machine answers the platform's question at all. */
async function answers({ ready }) {
  const question = { id: 'ready', host: ready, path: '/v1/readiness', method: 'GET', waitMs: 900 };
  const { status } = await ask(ready, question);
  return status !== 0;
}

await main(fileURLToPath(new URL('record.txt', import.meta.url)), async (deployment) => {
  deployment.store.put('op/config', limited);
  const prefill = new ModelRunner(deployment, 'i-pre1', 21, 'prefill');
  const decode = new ModelRunner(deployment, 'i-dec1', 22, 'decode');
  await prefill.start();
  await decode.start();
  const first = await deployment.machine('front-a-1', 1, [], bounds);
  const second = await deployment.machine('front-a-2', 2, [first.settings.listen.control], bounds);
  const process = deployment.run(first);
  await untilReady(first);
  const other = deployment.run(second);
  await untilReady(second);
  await pause(5000);

  const answered = askForStream(deployment, first, 'a1b2c3d4e5f60001', KEY);
  await pause(500);
  if (hasTrouble) {
    deployment.note(`${first.name}: SIGTERM`);
    process.kill('SIGTERM');
    setTimeout(() => process.kill('SIGKILL'), GRACE_MS);
    await pause(KILL_AFTER_MS);
    deployment.note(`${second.name}: killed`);
    other.kill('SIGKILL');
  }
  await pause(SETTLE_MS);

  let asked = 0;
  let unanswered = 0;
  const startedAt = Date.now();
  const usedBefore = processorMs(process);
  while (Date.now() - startedAt < 3000) {
    const next = Date.now() + 1000;
    const isAnswered = await answers(first);
    asked += 1;
    if (!isAnswered) unanswered += 1;
    const used = processorMs(process);
    deployment.note(
      `${first.name}: ${isAnswered ? 'answers' : 'does not answer'} the platform, processor time ${used} ms`,
    );
    await pause(Math.max(0, next - Date.now()));
  }
  const usedAfter = processorMs(process);
  if (usedBefore === undefined || usedAfter === undefined) return COULD_NOT_RUN;
  const share = (usedAfter - usedBefore) / (Date.now() - startedAt);
  const { isComplete, events } = await answered;
  deployment.note(
    `${first.name}: used ${share.toFixed(2)} of a core, ${unanswered} of ${asked} questions unanswered`,
  );
  if (!hasTrouble) return isComplete && events === EVENTS ? HELD : COULD_NOT_RUN;
  return unanswered === asked && share >= BUSY_SHARE ? BROKEN : HELD;
});
