import { RouterMetrics } from '../../src/node/router/metrics';

describe('metrics of services', () => {
  /* Guards against a request that ends without an answer since its service's counter has the name of another one's. */
  test.each([
    ['registry-app', 'registry_app'],
    ['a.b', 'a-b'],
    ['a', 'a"b\n'],
  ])('are told apart, however alike their names are: %j and %j', async (one, other) => {
    const metrics = new RouterMetrics();
    metrics.count('plain.news', 1, { service: one });
    metrics.count('plain.news', 2, { service: other });
    const lines = (await metrics.text()).split('\n').filter((line) => /_plain_.*\}/.test(line));
    expect({ lines, values: metrics.values }).toMatchSnapshot();
  });
});
