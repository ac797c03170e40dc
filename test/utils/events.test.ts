import { once } from 'node:events';
import type { AddressInfo } from 'node:net';
import { createServer } from 'node:net';

import { openStream } from '../../src/utils/events';

describe('an event stream', () => {
  // Guards against a stream that stays open until its idle timeout: Node reports neither a response nor an error.
  test.each([
    ['a switch of protocols', 'HTTP/1.1 101 x\r\nUpgrade: x\r\nConnection: upgrade\r\n\r\n'],
    ['a head that is cut', 'HTTP/1.1 200 OK\r\nContent-Le'],
  ])('fails at once with %s', async (_, answer) => {
    const server = createServer((socket) => {
      socket.setTimeout(2000, () => socket.destroy());
      socket.on('error', () => {}).once('data', () => socket.end(answer));
    });
    await once(server.listen(0, '127.0.0.1'), 'listening');
    const { port } = server.address() as AddressInfo;
    const signal = AbortSignal.timeout(1000);
    const opened = openStream({ method: 'GET', url: `http://127.0.0.1:${port}/`, signal });
    await expect(opened).rejects.toThrow();
    expect(signal.aborted).toBe(false);
    server.close();
  });
});
