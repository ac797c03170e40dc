import { Cluster, tokens } from '../fakes/cluster';
import { call } from '../fakes/http';

const DEADLY = 'ends its runner';
const ATTEMPTS = 6;
const clerk = { authorization: `Bearer ${tokens.clerks}` };

describe('a plain call that breaks off at each runner', () => {
  const cluster = new Cluster({ vms: 1, plainRunners: 8 });

  beforeAll(() => cluster.start(), 30_000);
  afterAll(() => cluster.stop());

  /*
   * An idempotent call ends each runner that it is sent to. The gateway sent it to one
   * after the other until the team's budget of repeats was spent, eleven in all, and once
   * more with each attempt of the caller.
   */
  test('is kept from runners once three broke off', async () => {
    for (const runner of cluster.plainRunners) runner.deadly = DEADLY;
    const url = `${cluster.callers(0)}/services/registry/look-up`;
    const statuses: number[] = [];
    for (let i = 0; i < ATTEMPTS; i += 1) {
      statuses.push((await call('POST', url, DEADLY, clerk)).status);
    }
    const runs = cluster.plainRunners.flatMap((runner) => [...runner.runs.values()]);
    expect(runs.reduce((sum, run) => sum + run, 0)).toBe(3);
    expect(statuses).toEqual([502, 503, 503, 503, 503, 503]);
    expect((await call('POST', url, 'another', clerk)).status).toBe(200);
  });
});
