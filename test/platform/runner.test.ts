import { once } from 'node:events';
import type { AddressInfo, Server, Socket } from 'node:net';
import { createServer } from 'node:net';

import type { Dispatch } from '../../src/node/router/types';
import { PlatformRunnerClient } from '../../src/platform/runner';
import { readBody } from '../../src/utils/http';

const HEAD = 'HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nServer-Signature: s\r\n';

/** A runner that treats each connection as told. */
async function runnerOf(answer: (socket: Socket) => void): Promise<Server> {
  const server = createServer((socket) => {
    socket.on('error', () => {});
    socket.once('data', () => answer(socket));
  });
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  return server;
}

function dispatchTo(server: Server): Dispatch {
  const { port } = server.address() as AddressInfo;
  return {
    runner: {
      id: 'i-1',
      listing: 'i-1',
      bornAt: 0,
      service: 's',
      address: `127.0.0.1:${port}`,
      domain: 'a',
      role: 'plain',
      slots: 1,
      leaving: false,
    },
    request: {
      id: 'r1',
      host: 'h',
      method: 'GET',
      target: '/',
      headers: ['Host', 'h', 'Request-Id', 'r1'],
      body: Buffer.alloc(0),
      deadlineMs: 1000,
      usage: undefined,
      credential: { kind: 'none' },
      customer: undefined,
    },
    deadlineMs: 1000,
    signal: new AbortController().signal,
    onReply: () => {},
  };
}

/** Sends one request and tells whether its answer came whole. */
async function outcomeOf(answer: (socket: Socket) => void): Promise<string> {
  const server = await runnerOf(answer);
  try {
    const reply = await new PlatformRunnerClient().send(dispatchTo(server));
    const body = await readBody(reply.body, 1000);
    return `${reply.body.complete ? 'whole' : 'short'} ${body.toString()}`;
  } catch (error) {
    return `failed: ${(error as Error).name}`;
  } finally {
    server.close();
  }
}

describe('an answer that ends with its connection', () => {
  test('is whole when the connection is closed in order', async () => {
    expect(await outcomeOf((socket) => socket.end(`${HEAD}\r\nbytes`))).toBe('whole bytes');
  });

  /*
   * The answer has no length, so its end is the end of the connection. The runner
   * crashes half-way and the connection is reset. Taken for an end, the caller
   * would get half an answer that looks complete.
   */
  test('is broken when the connection is reset', async () => {
    const outcome = await outcomeOf((socket) => {
      socket.write(`${HEAD}\r\nby`);
      setTimeout(() => socket.resetAndDestroy(), 20);
    });
    expect(outcome).toMatch(/^failed/);
  });

  /* The same, but the reset arrives together with the last bytes: Node then reports an end in order instead of the reset. */
  test('is broken when bytes and reset arrive together', async () => {
    const outcome = await outcomeOf((socket) => {
      socket.write(`${HEAD}\r\nby`, () => socket.resetAndDestroy());
    });
    expect(outcome).toMatch(/^failed/);
  });
});

describe('the head of an answer', () => {
  const headOf = async (fields: string): Promise<unknown> => {
    const server = await runnerOf((socket) => socket.end(`${HEAD}${fields}\r\n`));
    const { framing, isEvents, body } = await new PlatformRunnerClient().send(dispatchTo(server));
    body.resume();
    server.close();
    return { framing, isEvents };
  };

  test('says what tells its end and whether it has events', async () => {
    const heads = [
      'Content-Length: 0\r\nContent-Type: application/json\r\n',
      'Transfer-Encoding: chunked\r\nContent-Type: text/event-stream\r\n',
      'Content-Type: text/event-stream; charset=utf-8\r\n',
    ];
    expect(await Promise.all(heads.map(headOf))).toMatchInlineSnapshot(`
     [
       {
         "framing": "length",
         "isEvents": false,
       },
       {
         "framing": "chunked",
         "isEvents": true,
       },
       {
         "framing": "close",
         "isEvents": true,
       },
     ]
    `);
  });
});
