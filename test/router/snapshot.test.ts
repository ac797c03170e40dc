import { RouterMetrics } from '../../src/node/router/metrics';
import { call } from '../../src/utils/http';

describe('the metrics address', () => {
  /* On-call engineers ask a node why it decides as it does; metrics are fetched from the same address. */
  test('tells what the node believes on one path and metrics on the others', async () => {
    const metrics = new RouterMetrics();
    const address = '127.0.0.1:19464';
    metrics.recordRequest('deed-reader', 503, 'runnerFull', 120);
    await metrics.listen(address, () => ({ vm: 'front-1', configVersion: 7 }));
    const get = (path: string): ReturnType<typeof call> =>
      call({
        method: 'GET',
        url: `http://${address}${path}`,
        headers: { connection: 'close' },
        timeoutMs: 1000,
      });
    const [beliefs, text] = await Promise.all([get('/beliefs'), get('/metrics')]);
    metrics.close();
    expect(JSON.parse(beliefs.body)).toEqual({ vm: 'front-1', configVersion: 7 });
    expect(text.body).toContain(
      'goldcrestdock_requests_total{service="deed-reader",status="503",code="runnerFull"} 1',
    );
  });
});
