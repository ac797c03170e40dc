import { Cluster, waitUntil, tokens } from '../fakes/cluster';
import { call } from '../fakes/http';

const clerk = { authorization: `Bearer ${tokens.clerks}` };

describe('non-idempotent calls', () => {
  const cluster = new Cluster();

  beforeAll(() => cluster.start(), 30_000);
  afterAll(() => cluster.stop());

  const issue = (vm: number, key: string, body: object = { fee: 1 }): ReturnType<typeof call> =>
    call('POST', `${cluster.callers(vm)}/services/registry/receipts`, body, {
      ...clerk,
      'idempotency-key': key,
    });
  const runsOf = (key: string): number =>
    cluster.plainRunners.reduce((sum, { runs }) => sum + (runs.get(key) ?? 0), 0);
  const errorOf = (body: unknown): unknown => {
    const { code, notRun } = (body as { error: { code: number; notRun: boolean } }).error;
    return { code, notRun };
  };

  test('run once, and a repeat on another gateway replays the response', async () => {
    const first = await issue(0, 'r1');
    await waitUntil('the outcome is kept', async () => (await issue(1, 'r1')).status === 200);
    const again = await issue(1, 'r1');
    expect(again.body).toEqual(first.body);
    expect(again.headers['goldcrestdock-replay']).toBe('true');
    expect(runsOf('r1')).toBe(1);
  });

  test('sent to all gateways concurrently run once', async () => {
    await Promise.all(Array.from({ length: 12 }, (_, i) => issue(i % 2, 'r2')));
    expect(runsOf('r2')).toBe(1);
  });

  test('with the key of a different call are refused', async () => {
    await issue(0, 'r3');
    const other = await issue(0, 'r3', { fee: 2 });
    expect(errorOf(other.body)).toMatchInlineSnapshot(`
     {
       "code": 208,
       "notRun": true,
     }
    `);
  });

  /*
   * The runner executes the call, and the connection fails before its response.
   * The gateway cannot determine whether the call ran, so it reports the outcome as
   * unknown. Repeats must get an error as well and must not run.
   */
  test('whose response is lost are reported as unknown and not sent again', async () => {
    cluster.plainRunners.forEach((runner) => Object.assign(runner, { dropAnswers: true }));
    const first = await issue(0, 'r4');
    cluster.plainRunners.forEach((runner) => Object.assign(runner, { dropAnswers: false }));
    const again = await issue(1, 'r4');
    expect([errorOf(first.body), errorOf(again.body)]).toMatchInlineSnapshot(`
     [
       {
         "code": 402,
         "notRun": false,
       },
       {
         "code": 404,
         "notRun": false,
       },
     ]
    `);
    expect(runsOf('r4')).toBe(1);
  });

  /* A runner that shuts down reports that the call did not run, so the call may be sent to the other one. */
  test('refused by a runner that shuts down are sent to another', async () => {
    Object.assign(cluster.plainRunners[0] as object, { leaving: true });
    const answers = await Promise.all(['r5', 'r6', 'r7'].map((key) => issue(0, key)));
    Object.assign(cluster.plainRunners[0] as object, { leaving: false });
    expect(answers.map(({ status }) => status)).toEqual([200, 200, 200]);
    expect(['r5', 'r6', 'r7'].map(runsOf)).toEqual([1, 1, 1]);
  });

  /*
   * The store accepts the claim, but its response is lost. Reading the shard back
   * finds the nonce of this claim, so the call must run, and only once.
   */
  test('run once if the response of the store to the claim is lost', async () => {
    cluster.platform.faults.loseWriteAnswers = 1;
    const answer = await issue(0, 'r8');
    cluster.platform.faults.loseWriteAnswers = 0;
    expect(answer.status).toBe(200);
    expect(runsOf('r8')).toBe(1);
  });

  /*
   * While the store is down, no claim is possible and nothing may run, so the caller
   * immediately gets a "not run" error. After the outage, the same key must run.
   */
  test('are refused as not run while the store is down, and run after the outage', async () => {
    cluster.platform.faults.outage = true;
    const refused = await issue(0, 'r9');
    expect(errorOf(refused.body)).toMatchInlineSnapshot(`
     {
       "code": 307,
       "notRun": true,
     }
    `);
    expect(runsOf('r9')).toBe(0);
    cluster.platform.faults.outage = false;
    await waitUntil(
      'the store is used again',
      async () => (await issue(0, 'r9')).status === 200,
      15_000,
    );
    expect(runsOf('r9')).toBe(1);
  }, 30_000);
});
