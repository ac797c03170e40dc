import { once } from 'node:events';
import type { IncomingMessage } from 'node:http';
import { createServer, request } from 'node:http';
import { setTimeout as pause } from 'node:timers/promises';

import type { KeptConnection } from '../../scripts/soak/connections';
import { KeptConnections } from '../../scripts/soak/connections';
import { KeptChecker } from '../../scripts/soak/kept';

const ANNOUNCED_MS = 1000;

/** Sends a request to a server that announces one second, waits, and sends another; returns how that connection was kept. */
async function useTwice(
  closesAfterMs: number,
  idleMs: number,
): Promise<{ readonly kept: KeptConnection | undefined; readonly breaches: readonly string[] }> {
  const server = createServer((req, res) => {
    res.writeHead(200, { 'request-id': 'r', 'keep-alive': `timeout=${ANNOUNCED_MS / 1000}` }).end();
    setTimeout(() => req.socket.destroy(), closesAfterMs).unref();
  });
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  const { port } = server.address() as { readonly port: number };
  const checker = new KeptChecker({ isSteady: () => true });
  const breaches: string[] = [];
  const agent = new KeptConnections(1, (ip, kept) => breaches.push(checker.closed(ip, kept) ?? ''));
  const send = async (): Promise<KeptConnection | undefined> => {
    const req = request({ host: '127.0.0.1', port, agent }).end();
    const [res] = (await once(req, 'response')) as [IncomingMessage];
    agent.announced(res);
    await once(res.resume(), 'end');
    return agent.keptFor(req);
  };
  await send();
  await pause(idleMs);
  const kept = await send();
  agent.destroy();
  server.closeAllConnections();
  server.close();
  return { kept, breaches: breaches.map((text) => text.replace(/\d+ ms after/, 'some ms after')) };
}

describe('connections that callers keep', () => {
  // Guards against a check that misses a connection closed within what was announced for it.
  it('are reused in the announced time, closed by the caller before its end, and early ends are reported', async () => {
    const [used, expired, cut] = await Promise.all([
      useTwice(5000, 600),
      useTwice(5000, 950),
      useTwice(300, 600),
    ]);
    expect({
      used: { announcedMs: used.kept?.announcedMs, breaches: used.breaches },
      expired,
      cut,
    }).toEqual({
      used: { announcedMs: ANNOUNCED_MS, breaches: [] },
      expired: { kept: undefined, breaches: [] },
      cut: {
        kept: undefined,
        breaches: ['127.0.0.1 closed a connection idle for some ms after r, announced for 1000 ms'],
      },
    });
  });
});
