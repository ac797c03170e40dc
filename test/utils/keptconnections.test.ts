import { createServer } from 'node:http';
import { setTimeout as pause } from 'node:timers/promises';

import { CallerResponse } from '../../src/utils/callerresponse';
import { listenOn } from '../../src/utils/http';
import { KeptConnections } from '../../src/utils/keptconnections';
import { KeepingCaller, requestOf } from '../fakes/frontend';
import { freePort } from '../fakes/loopback';

// Guards against passing on a request whose connection was ended by the header timeout: nobody would get its answer.
test('a request whose headers become complete after the answer 408 is not handled', async () => {
  const handled: string[] = [];
  const server = createServer({
    connectionsCheckingInterval: 50,
    ServerResponse: CallerResponse,
  });
  const connections = new KeptConnections(server, () => 1000);
  server.on('request', async (req, res) => {
    if (!(await connections.admit(req, res))) return;
    handled.push(req.url ?? '');
    res.end();
  });
  server.headersTimeout = 100;
  server.on('clientError', (_error, socket) =>
    socket.end('HTTP/1.1 408 Request Timeout\r\nconnection: close\r\ncontent-length: 0\r\n\r\n'),
  );
  const port = await freePort();
  await listenOn(server, `127.0.0.1:${port}`);
  const caller = new KeepingCaller(port, true);
  const request = requestOf('/late');
  caller.socket.write(request.slice(0, 20));
  await pause(400);
  caller.socket.write(request.slice(20));
  await pause(100);
  expect([caller.received.answers, handled]).toEqual([['408 close'], []]);
  caller.close();
  server.close();
});
