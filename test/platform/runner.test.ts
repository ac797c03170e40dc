import { once } from 'node:events';
import type { AddressInfo, Server, Socket } from 'node:net';
import { createServer } from 'node:net';

import type { Failure } from '../../src/core/failure';
import type { Dispatch, Reply } from '../../src/node/router/types';
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

describe('the end of a response', () => {
  /** Its framing, and whether it counts as the runner's. */
  const readingOf = async (status: string, fields: string, method = 'GET'): Promise<unknown> => {
    const signed = 'Request-Id: r1\r\nServer-Signature: s\r\n';
    const head = `HTTP/1.1 ${status}\r\n${signed}${fields}\r\n`;
    const server = await runnerOf((socket) => socket.end(head));
    const dispatch = dispatchTo(server);
    const request = { ...dispatch.request, method };
    const client = new PlatformRunnerClient(directConnector);
    const { framing, genuine, body } = await client.send({ ...dispatch, request });
    body.on('error', () => {}).resume();
    server.close();
    return `${framing}${genuine ? '' : ', not genuine'}`;
  };

  // Guards against a killed runner's answer that looks complete, since a coding other than chunks was taken for chunks, and against whole answers without a body that are taken for cut.
  test.each([
    ['200 OK', 'Transfer-Encoding: Chunked\r\n', 'GET', 'chunked'],
    ['200 OK', 'Transfer-Encoding: identity\r\n', 'GET', 'close'],
    ['200 OK', 'Transfer-Encoding: gzip\r\n', 'GET', 'close, not genuine'],
    ['200 OK', 'Transfer-Encoding: chunked, gzip\r\n', 'GET', 'close, not genuine'],
    ['200 OK', 'Transfer-Encoding: gzip, chunked\r\n', 'GET', 'close, not genuine'],
    ['200 OK', 'Content-Encoding: gzip\r\n', 'GET', 'close, not genuine'],
    ['204 No Content', '', 'GET', 'length'],
    ['304 Not Modified', '', 'GET', 'length'],
    ['200 OK', '', 'HEAD', 'length'],
  ])(
    'is marked by its status, headers and method: %s %j %s',
    async (status, fields, method, as) => {
      expect(await readingOf(status, fields, method)).toBe(as);
    },
  );
});

describe('a response that cannot be passed on', () => {
  // Guards against a success without its signature, and against an internal error where another runner could answer.
  test.each([
    ['whose Connection header names the signature', '200 OK', 'Connection: Server-Signature'],
    ['with a status that is none', '099 OK', 'X: y'],
    ['with a header name that is none', '200 OK', 'X y: z'],
  ])("is not the runner's: one %s", async (_, status, field) => {
    const signed = 'Request-Id: r1\r\nServer-Signature: s\r\n';
    const head = `HTTP/1.1 ${status}\r\n${signed}${field}\r\nContent-Length: 0\r\n\r\n`;
    const server = await runnerOf((socket) => socket.end(head));
    const reply = await new PlatformRunnerClient(directConnector).send(dispatchTo(server));
    reply.body.resume();
    server.close();
    expect(reply.genuine).toBe(false);
  });
});

describe('a response to another request', () => {
  const refusals = [
    '503 Service Unavailable\r\nNot-Executed: 1',
    '421 Misdirected Request',
    '429 Too Many Requests\r\nNot-Executed: 1',
  ];
  const replyTo = async (id: string, refusal: string): Promise<Reply> => {
    const head = `HTTP/1.1 ${refusal}\r\n${id}Content-Length: 0\r\n\r\n`;
    const server = await runnerOf((socket) => socket.end(head));
    const reply = await new PlatformRunnerClient(directConnector).send(dispatchTo(server));
    reply.body.resume();
    server.close();
    return reply;
  };

  // Guards against a caller that is told that its request did not run, and sends it again, since a late refusal of another one arrived.
  test('does not state that this one was not run', async () => {
    const ids = ['Request-Id: r2\r\n', 'Request-Id: r1\r\n', ''];
    const notRun = ids.map((id) =>
      Promise.all(refusals.map(async (refusal) => (await replyTo(id, refusal)).notRun)),
    );
    expect(await Promise.all(notRun)).toEqual([
      [false, false, false],
      [true, true, true],
      [true, true, true],
    ]);
  });

  // Guards against a stream that continues from the KV cache of another request's prompt.
  test('has no KV cache for this one', async () => {
    const prefill = async (id: string): Promise<unknown> => {
      const head = `HTTP/1.1 200 OK\r\nRequest-Id: ${id}\r\n\r\n`;
      const server = await runnerOf((socket) => socket.end(`${head}{"kv-handle":"k"}`));
      const cache = new PlatformRunnerClient(directConnector).prefill(dispatchTo(server));
      return cache.then(({ handle }) => handle).finally(() => server.close());
    };
    expect(await prefill('r1')).toBe('k');
    await expect(prefill('r2')).rejects.toMatchObject({ codeName: 'runnerFailed' });
  });
});

describe('a prefill', () => {
  // Guards against a prompt that is prefilled twice, since a cut response was no sign that its runner keeps the KV cache.
  test('is known to be lost if its response ends at any byte of its body', async () => {
    const body = '{"kv-handle":"k","tokens":100}';
    const codes = [...body].map(async (_, length) => {
      const head = 'HTTP/1.1 200 OK\r\nRequest-Id: r1\r\n\r\n';
      const server = await runnerOf((socket) => socket.end(head + body.slice(0, length)));
      const cache = new PlatformRunnerClient(directConnector).prefill(dispatchTo(server));
      const code = cache.then(String, (error: Failure) => error.codeName);
      return code.finally(() => server.close());
    });
    expect(new Set(await Promise.all(codes))).toEqual(new Set(['answerLost']));
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

  // Guards against a killed runner's answer that looks complete: the kernel closes some connections before the listener.
  test.each([
    ['ends, and still listens for a moment', true, 'gone'],
    ['closes connections beyond its limit', false, 'running'],
  ])('is that of a process that %s', async (_, isEnding, state) => {
    const server = createServer((socket) => socket.on('error', () => {}).destroy());
    await once(server.listen(0, '127.0.0.1'), 'listening');
    const { runner } = dispatchTo(server);
    if (isEnding) setTimeout(() => server.close(), 3);
    expect(await new PlatformRunnerClient(directConnector).stateOf(runner)).toBe(state);
    server.close();
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
