import { EventEmitter, once } from 'node:events';
import type { ServerResponse } from 'node:http';
import { createServer } from 'node:http';
import type { AddressInfo } from 'node:net';
import { connect } from 'node:net';
import { setTimeout as pause } from 'node:timers/promises';

import pino from 'pino';

import { Failure } from '../../src/core/failure';
import { AnswerStream } from '../../src/core/stream/answer';
import { CallerBuffers } from '../../src/node/router/callerbuffers';
import { Exchange } from '../../src/node/router/exchange';
import { RouterMetrics } from '../../src/node/router/metrics';
import type { RelayOutcome } from '../../src/node/router/relay';
import { Relay } from '../../src/node/router/relay';
import type { IngressCodec, Reply } from '../../src/node/router/types';
import {
  brokenReplyOf,
  promptRequest,
  unboundedBuffers,
  replyOf,
  streamEngine,
  streamRoute,
} from '../fakes/exchange';
import { runnerOf } from '../fakes/runner';
import { runsOf } from '../fakes/runs';

const EVENT = 'id: 1\ndata: x\n\n';

/** What a caller receives for a raw request, and how its connection ended. */
interface Received {
  readonly text: string;
  readonly end: 'closed' | 'reset' | 'open';
}

/** Time after which a connection counts as still open. */
const OPEN_MS = 300;

/** Time in which the caller reads an event. */
const READ_MS = 30;

/** Sends a raw request to a server that answers by `answer`. */
async function receive(
  requestLine: string,
  answer: (exchange: Exchange) => Promise<void>,
): Promise<Received> {
  const codec = { refusalHeaders: () => ({}) } as unknown as IngressCodec;
  const server = createServer((req, res: ServerResponse) => {
    const now = performance.now();
    const route = { ...streamRoute, resumable: true };
    const exchange = new Exchange(now, promptRequest, route, 's', 1, res, codec, unboundedBuffers);
    answer(exchange).catch(() => {});
  });
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  const socket = connect((server.address() as AddressInfo).port, '127.0.0.1');
  let text = '';
  socket.on('data', (chunk) => {
    text += chunk.toString();
  });
  const end = new Promise<Received['end']>((resolve) => {
    socket.on('end', () => resolve('closed'));
    socket.on('error', () => resolve('reset'));
    setTimeout(() => resolve('open'), OPEN_MS);
  });
  socket.write(`${requestLine}\r\nHost: h\r\n\r\n`);
  const received = { end: await end, text };
  socket.destroy();
  server.closeAllConnections();
  server.close();
  return { ...received, text };
}

describe('a response that is cut off', () => {
  const failure = new Failure('runnerFailed', 'd1 ended its response early');

  const sendAndCut = async (exchange: Exchange): Promise<void> => {
    exchange.writeHead(200, ['content-type', 'text/event-stream']);
    await exchange.write(Buffer.from(EVENT));
    // Node reports a reset that arrives together with data as a normal end.
    await pause(READ_MS);
    exchange.fail(performance.now(), failure);
  };

  test('lacks its last chunk', async () => {
    const { text } = await receive('GET / HTTP/1.1', sendAndCut);
    expect(text).toContain(EVENT);
    expect(text).not.toMatch(/0\r\n\r\n$/);
  });

  // Guards against callers that take the closed connection of a cut response for its end: Node sends chunks to HTTP/1.1 only.
  test.each(['1.0', '0.9', '2.0'])(
    'ends with a reset where only a closed connection marks the end: HTTP/%s',
    async (version) => {
      const { end } = await receive(`GET / HTTP/${version}`, sendAndCut);
      expect(end).toBe('reset');
    },
  );
});

describe('a response of two runs', () => {
  const relayTwoRuns = async (exchange: Exchange): Promise<void> => {
    const stream = new AnswerStream();
    const relay = new Relay({
      exchange,
      engine: streamEngine,
      stream,
      canResume: () => true,
      affordsRun: () => true,
      isListed: () => true,
      continuation: { prepare: async () => undefined, confirm: () => undefined, cancel: () => {} },
      onProgress: () => {},
      onFirstEvents: () => {},
    });
    const runs = runsOf();
    const pass = (reply: Reply): Promise<RelayOutcome> => {
      const run = runs.begin(performance.now(), exchange, runnerOf('d', 'decode'));
      return relay.forward({ reply, run });
    };
    const headers = ['Content-Length', String(EVENT.length + 1)];
    await pass({ ...brokenReplyOf(200, EVENT), headers });
    await pass({ ...replyOf(200, EVENT.replace('1', '2')), headers: [] });
  };

  // Guards against callers that read a different number of bytes than the length of the first run's response.
  test('has no content-length of a single run', async () => {
    const { text } = await receive('GET / HTTP/1.1', relayTwoRuns);
    expect(text).not.toMatch(/content-length/i);
    expect(text).toMatch(/0\r\n\r\n$/);
  });
});

describe('a caller that does not read', () => {
  // Guards against a request that holds its reservation at a runner past its timeout.
  test('is released when the deadline passes', async () => {
    const request = { ...promptRequest, deadlineMs: 50 };
    const events = new EventEmitter();
    const res = Object.assign(events, {
      destroyed: false,
      writeHead: () => {},
      write: () => false,
    });
    const codec = {} as unknown as IngressCodec;
    const answer = res as unknown as ServerResponse;
    const buffers = new CallerBuffers({
      bounds: () => ({ responseBytes: EVENT.length, vmBytes: EVENT.length, stallMs: 60_000 }),
      metrics: new RouterMetrics(),
      log: pino({ level: 'silent' }),
    });
    const now = performance.now();
    const exchange = new Exchange(now, request, streamRoute, 's', 1, answer, codec, buffers);
    await exchange.write(Buffer.from(EVENT));
    expect(exchange.signal.aborted).toBe(true);
    events.emit('close');
    expect(buffers.size).toBe(0);
  });
});
