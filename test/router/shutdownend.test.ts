import { once } from 'node:events';
import { connect } from 'node:net';

import { RouterCluster } from '../fakes/routers';

/** Ends before the VM's grace period does. */
const DEADLINE_MS = 300;

describe('a VM that has stopped', () => {
  const cluster = new RouterCluster({ vms: 2, graceMs: 4000, addressTtlMs: 300 });

  beforeAll(() => cluster.start(), 30_000);
  afterAll(() => cluster.stop(), 30_000);

  /* Guards against a request that is sent to a runner while its VM's process is about to exit. */
  test('refuses requests on connections that were opened before', async () => {
    const [host = '', port = ''] = cluster.addressOf(0).split(':');
    const socket = connect(Number(port), host);
    await once(socket, 'connect');
    await cluster.stopVm(0);
    const arrivals = cluster.arrivalCount;
    socket.write(
      [
        'POST /once/late HTTP/1.1',
        'Host: h.example',
        'Request-Id: late',
        `Request-Deadline-Ms: ${DEADLINE_MS}`,
        'Content-Length: 0',
        '\r\n',
      ].join('\r\n'),
    );
    const [answer] = (await once(socket, 'data')) as [Buffer];
    socket.destroy();
    expect(answer.toString().split('\r\n')[0]).toBe('HTTP/1.1 503 Service Unavailable');
    expect(answer.toString()).toContain('draining');
    expect(cluster.arrivalCount).toBe(arrivals);
  }, 30_000);
});
