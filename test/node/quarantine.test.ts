import { Cluster, tokens } from '../fakes/cluster';
import { call } from '../fakes/http';

const DEADLY = 'ends its runner';
const ATTEMPTS = 6;
const clerk = { authorization: `Bearer ${tokens.clerks}` };

describe('a plain call that crashes each runner', () => {
  const cluster = new Cluster({ vms: 1, plainRunners: 8 });

  beforeAll(() => cluster.start(), 30_000);
  afterAll(() => cluster.stop());

  /*
   * An idempotent call crashes each runner that it is sent to. Without quarantine, the
   * gateway retries it on one runner after the other until the team's retry budget is
   * used up, eleven runs in all, and runs it once more with each attempt of the caller.
   */
  test('is not sent to runners after three crashes', async () => {
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
