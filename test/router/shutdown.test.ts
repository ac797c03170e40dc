import { setTimeout as pause } from 'node:timers/promises';

import { LONG_EVENT_COUNT, LONG_PATH, RouterCluster } from '../fakes/routers';

const GRACE_MS = 3500;
const ADDRESS_TTL_MS = 300;
/** Later than callers use look-up answers, while connections are still accepted. */
const LATE_MS = 1200;

describe('a VM that shuts down', () => {
  let cluster: RouterCluster;
  let stopped: Promise<void>;

  beforeAll(async () => {
    cluster = new RouterCluster({ vms: 2, graceMs: GRACE_MS, addressTtlMs: ADDRESS_TTL_MS });
    await cluster.start();
    stopped = cluster.stopVm(0);
  }, 30_000);
  afterAll(async () => {
    await stopped;
    await cluster.stop();
  }, 30_000);

  /*
   * Guards against a stream that is sent by an old look-up answer, begins at a runner, and is cut off
   * at the end of the grace period: its caller has time to send it to another VM.
   */
  test('tells callers of late streams at once that these have not run', async () => {
    await pause(LATE_MS);
    const arrivals = cluster.arrivalCount;
    const sentAt = performance.now();
    const refused = await cluster.sendRequest(0, `${LONG_PATH}late`, 'a late stream');
    const tookMs = performance.now() - sentAt;
    expect({ ...refused, body: JSON.parse(refused.body).error }).toMatchInlineSnapshot(`
     {
       "body": {
         "code": 305,
         "message": "vm1 may stop before the deadline of the request",
         "name": "draining",
         "notRun": true,
         "remedy": "Connect to one of the addresses given.",
         "retryAfterMs": 0,
       },
       "retryAfter": "0.0",
       "status": 503,
       "whole": true,
     }
    `);
    expect(tookMs).toBeLessThan(500);
    expect(cluster.arrivalCount).toBe(arrivals);
    const answer = await cluster.sendRequest(1, `${LONG_PATH}late`, 'a late stream');
    expect(answer.whole && answer.body.match(/^id:/gm)).toHaveLength(LONG_EVENT_COUNT);
  }, 30_000);
});
