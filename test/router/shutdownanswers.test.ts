import { setTimeout as pause } from 'node:timers/promises';

import type { CallerAnswer } from '../fakes/routers';
import { LONG_PATH, RouterCluster } from '../fakes/routers';

const GRACE_MS = 1600;
/** The requests end in the VM's grace period, but not by their own deadlines. */
const SILENT_MS = 6000;

/** What a caller learns from an answer. */
function outcomeOf({ status, whole, body }: CallerAnswer): unknown {
  return { status, whole, code: body.match(/"name":"(\w+)"/)?.[1] };
}

describe('a VM that stops while runners do not answer', () => {
  const cluster = new RouterCluster({ vms: 2, runners: 1, graceMs: GRACE_MS });

  beforeAll(() => cluster.start(), 30_000);
  afterAll(() => cluster.stop(), 30_000);

  /* Guards against callers that cannot tell a request which has not run from one that has, as both get a reset. */
  test('answers each request that has no response yet', async () => {
    for (const runner of [...cluster.runnersOf('decode'), ...cluster.runnersOf('plain')]) {
      runner.silentUntil = performance.now() + SILENT_MS;
    }
    const usage = (id: string): Record<string, string> => ({
      'token-usage': '20000,50',
      'prompt-prefix': `${id}:20000`,
    });
    const model = cluster.sendRequest(0, `${LONG_PATH}sent`, 'sent', usage('a'));
    const other = cluster.sendRequest(0, `${LONG_PATH}other`, 'other', usage('b'));
    const plain = cluster.sendRequest(0, '/once/sent', 'sent');
    await pause(100);
    // The other two requests take the memory of the only runner.
    const waiting = cluster.sendRequest(0, `${LONG_PATH}waits`, 'waits', usage('c'));
    await pause(100);
    await cluster.stopVm(0);
    await other;
    const answers = { model: await model, plain: await plain, waiting: await waiting };
    const outcomes = Object.entries(answers).map(([name, answer]) => [name, outcomeOf(answer)]);
    expect(Object.fromEntries(outcomes)).toMatchInlineSnapshot(`
     {
       "model": {
         "code": "timedOut",
         "status": 504,
         "whole": true,
       },
       "plain": {
         "code": "runnerFailed",
         "status": 502,
         "whole": true,
       },
       "waiting": {
         "code": "draining",
         "status": 503,
         "whole": true,
       },
     }
    `);
    expect(cluster.runnersOf('decode')[0]?.runs.has(`${LONG_PATH}waits`)).toBe(false);
  }, 30_000);
});
