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

  test('run once, and a repeat on another gateway replays the answer', async () => {
    const first = await issue(0, 'r1');
    await waitUntil('the outcome is kept', async () => (await issue(1, 'r1')).status === 200);
    const again = await issue(1, 'r1');
    expect(again.body).toEqual(first.body);
    expect(again.headers['goldcrestdock-replay']).toBe('true');
    expect(runsOf('r1')).toBe(1);
  });

  test('sent at once to all gateways run once', async () => {
    await Promise.all(Array.from({ length: 12 }, (_, i) => issue(i % 2, 'r2')));
    expect(runsOf('r2')).toBe(1);
  });

  test('with a key of another call are refused', async () => {
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
   * The runner executes the call and the connection breaks before its answer.
   * Nobody can know here whether it ran, so the caller is told just that, and
   * every repeat is told the same and does not run.
   */
  test('whose answer is lost are reported as unknown and never sent again', async () => {
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

  /* A runner that leaves says that it ran nothing, so the call may go to the other one. */
  test('refused by a leaving runner go to another', async () => {
    Object.assign(cluster.plainRunners[0] as object, { leaving: true });
    const answers = await Promise.all(['r5', 'r6', 'r7'].map((key) => issue(0, key)));
    Object.assign(cluster.plainRunners[0] as object, { leaving: false });
    expect(answers.map(({ status }) => status)).toEqual([200, 200, 200]);
    expect(['r5', 'r6', 'r7'].map(runsOf)).toEqual([1, 1, 1]);
  });

  /*
   * The store takes the claim and the answer to it is lost. Reading the shard
   * back finds our own nonce, so the call runs, and runs once.
   */
  test('run once when the store loses the answer to the claim', async () => {
    cluster.platform.faults.loseWriteAnswers = 1;
    const answer = await issue(0, 'r8');
    cluster.platform.faults.loseWriteAnswers = 0;
    expect(answer.status).toBe(200);
    expect(runsOf('r8')).toBe(1);
  });

  /*
   * The store is down. Without a claim nothing may run, so the caller is told at
   * once, truthfully, that nothing did; after the outage the same key runs.
   */
  test('are refused as not run while the store is down, and run afterwards', async () => {
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
