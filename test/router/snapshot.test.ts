import { RouterMetrics } from '../../src/node/router/metrics';
import { call } from '../../src/utils/http';
import { freePort } from '../fakes/loopback';

describe('the metrics address', () => {
  /* Operators read a node's state snapshot from the address that also serves its metrics. */
  test('serves the state snapshot on one path and metrics on the others', async () => {
    const metrics = new RouterMetrics();
    const address = `127.0.0.1:${await freePort()}`;
    metrics.recordRequest('deed-reader', 503, 'runnerFull', 120);
    metrics.recordRank('deed-reader', 0, 'inTime');
    await metrics.listen(address, () => ({ vm: 'front-1', configVersion: 7 }));
    const get = (path: string): ReturnType<typeof call> =>
      call({
        method: 'GET',
        url: `http://${address}${path}`,
        headers: { connection: 'close' },
        timeoutMs: 1000,
      });
    const [snapshot, text] = await Promise.all([get('/beliefs'), get('/metrics')]);
    metrics.close();
    expect(JSON.parse(snapshot.body)).toEqual({ vm: 'front-1', configVersion: 7 });
    expect(text.body).toContain(
      'goldcrestdock_requests_total{service="deed-reader",status="503",code="runnerFull"} 1',
    );
    expect(text.body).toContain(
      'goldcrestdock_ranked_requests_total{service="deed-reader",rank="0",outcome="inTime"} 1',
    );
  });
});
