import { once } from 'node:events';
import type { AddressInfo, Server, Socket } from 'node:net';
import { createServer } from 'node:net';

import type { Dispatch } from '../../src/node/router/types';
import { PlatformRunnerClient } from '../../src/platform/runner';
import { directConnector } from '../fakes/connector';
import { readBody } from '../../src/utils/http';

const HEAD = 'HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nServer-Signature: s\r\n';

/** A fake runner that answers the first data of each connection with a callback. */
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
      version: 'v1',
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
      promptParts: [],
      model: '',
      continues: undefined,
      credential: { kind: 'none' },
      customer: undefined,
    },
    deadlineMs: 1000,
    signal: new AbortController().signal,
    mayAbandon: undefined,
    onReply: () => {},
  };
}

/** Sends one request; returns whether the response was complete, and its body. */
async function outcomeOf(answer: (socket: Socket) => void): Promise<string> {
  const server = await runnerOf(answer);
  try {
    const reply = await new PlatformRunnerClient(directConnector).send(dispatchTo(server));
    const body = await readBody(reply.body, 1000);
    return `${reply.body.complete ? 'whole' : 'short'} ${body.toString()}`;
  } catch (error) {
    return `failed: ${(error as Error).name}`;
  } finally {
    server.close();
  }
}

describe('a response that ends with its connection', () => {
  test('is complete when the connection is closed gracefully', async () => {
    expect(await outcomeOf((socket) => socket.end(`${HEAD}\r\nbytes`))).toBe('whole bytes');
  });

  /*
   * The response has no length, so it ends with the connection. The runner crashes
   * half-way and the connection is reset. Taken for a regular end, the caller would get
   * half a response that looks complete.
   */
  test('fails when the connection is reset', async () => {
    const outcome = await outcomeOf((socket) => {
      socket.write(`${HEAD}\r\nby`);
      setTimeout(() => socket.resetAndDestroy(), 20);
    });
    expect(outcome).toMatch(/^failed/);
  });

  /* The same with a reset that arrives together with the last bytes: Node then reports a regular end instead of the reset. */
  test('fails when bytes and the reset arrive together', async () => {
    const outcome = await outcomeOf((socket) => {
      socket.write(`${HEAD}\r\nby`, () => socket.resetAndDestroy());
    });
    expect(outcome).toMatch(/^failed/);
  });
});

describe('the headers of a response', () => {
  const headOf = async (fields: string): Promise<unknown> => {
    const server = await runnerOf((socket) => socket.end(`${HEAD}${fields}\r\n`));
    const { framing, isEvents, body } = await new PlatformRunnerClient(directConnector).send(
      dispatchTo(server),
    );
    body.resume();
    server.close();
    return { framing, isEvents };
  };

  test('determine its framing and whether it is an event stream', async () => {
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

describe('the priority header', () => {
  /** The priority that a runner receives; undefined if there is no header. */
  const sentPriority = async (priority: number | undefined): Promise<string | undefined> => {
    let head = '';
    const server = await runnerOf((socket) => socket.end());
    server.on('connection', (socket: Socket) => {
      socket.once('data', (data: Buffer) => {
        head = data.toString();
      });
    });
    const dispatch = dispatchTo(server);
    const request = { ...dispatch.request, priority };
    await new PlatformRunnerClient(directConnector).send({ ...dispatch, request }).catch(() => {});
    server.close();
    return /request-priority: (.*)\r\n/.exec(head)?.[1];
  };

  /* A runner takes a value outside of 0 to 9 for a missing one, which counts as 5. */
  test('has the priority of the request within its bounds', async () => {
    const sent = await Promise.all([undefined, 0, 2, 12].map(sentPriority));
    expect(sent).toEqual([undefined, '0', '2', '9']);
  });
});

describe('an answer that is none', () => {
  const switched = 'HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\nConnection: upgrade\r\n\r\n';
  /* Guards against a request that stays open past its limit: Node reports none of these as a response or an error. */
  test.each<readonly [string, (socket: Socket) => void]>([
    ['a switch of protocols', (socket) => socket.write(switched)],
    ['a switch of protocols with bytes after it', (socket) => socket.write(`${switched}more`)],
    ['an end before the head', (socket) => socket.end()],
    [
      'a head without end',
      (socket) => socket.write(`HTTP/1.1 200 OK\r\nx: ${'y'.repeat(100_000)}`),
    ],
  ])('fails the request and the call at once: %s', async (_, answer) => {
    const server = await runnerOf(answer);
    const client = new PlatformRunnerClient(directConnector);
    const dispatch = dispatchTo(server);
    const startedAt = performance.now();
    await expect(client.send(dispatch)).rejects.toMatchObject({ codeName: 'runnerFailed' });
    await expect(client.report(dispatch.runner)).rejects.toThrow();
    expect(performance.now() - startedAt).toBeLessThan(500);
    server.close();
  });
});

describe('the report of a runner', () => {
  async function readReport(report: unknown): Promise<unknown> {
    const body = JSON.stringify(report);
    const server = await runnerOf((socket) => {
      socket.end(`HTTP/1.1 200 OK\r\nContent-Length: ${body.length}\r\n\r\n${body}`);
    });
    const reading = new PlatformRunnerClient(directConnector).report(dispatchTo(server).runner);
    return reading.catch(() => 'unreadable').finally(() => server.close());
  }

  // Guards against memory that no runner has, against a start that displaces each later instance, and against one odd run that hides all others.
  test('has numbers that can be true, and loses odd runs only', async () => {
    const runs = [['a', -1e308, 1], ['b', 7, 1, 5], ['c', 1e308, 1], null];
    expect([
      await readReport({ 'kv-used': 1, runs }),
      await readReport({ 'kv-used': -1 }),
      await readReport({ 'kv-used': 1e308 }),
      await readReport({ 'kv-used': 1, born: Number.MAX_SAFE_INTEGER }),
    ]).toEqual([
      expect.objectContaining({ usedTokens: 1, runs: [{ request: 'b', tokens: 7 }] }),
      'unreadable',
      'unreadable',
      'unreadable',
    ]);
  });
});

describe('the state of a runner', () => {
  /** What a check shows of a runner whose report is answered in this way; it is known to have started at 5. */
  async function stateAfter(answer: (socket: Socket) => void): Promise<string> {
    const server = await runnerOf(answer);
    const { runner } = dispatchTo(server);
    const client = new PlatformRunnerClient(directConnector);
    const state = await client.stateOf({ ...runner, id: 'i-1@5', bornAt: 5, role: 'decode' });
    server.close();
    return state;
  }

  const reportOf =
    (status: string, body: string) =>
    (socket: Socket): void => {
      socket.end(`HTTP/1.1 ${status}\r\nContent-Length: ${body.length}\r\n\r\n${body}`);
    };

  // Guards against a sound runner that is silent for a moment and is taken for one that ended.
  test('is known only if an answer shows it', async () => {
    expect({
      same: await stateAfter(reportOf('200 OK', '{"kv-used":0,"born":5}')),
      other: await stateAfter(reportOf('200 OK', '{"kv-used":0,"born":6}')),
      misdirected: await stateAfter(reportOf('421 Misdirected Request', '')),
      failing: await stateAfter(reportOf('500 Internal Server Error', '')),
      silent: await stateAfter(() => {}),
      broken: await stateAfter((socket) => socket.destroy()),
    }).toEqual({
      same: 'running',
      other: 'gone',
      misdirected: 'gone',
      failing: 'unknown',
      silent: 'unknown',
      broken: 'unknown',
    });
  });

  test('is gone if its address refuses connections', async () => {
    const server = await runnerOf(() => {});
    const { runner } = dispatchTo(server);
    server.close();
    await once(server, 'close');
    const client = new PlatformRunnerClient(directConnector);
    expect(await client.stateOf({ ...runner, role: 'decode' })).toBe('gone');
    expect(await client.stateOf(runner)).toBe('gone');
  });
});
