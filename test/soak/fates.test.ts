import { once } from 'node:events';
import type { AddressInfo, Socket } from 'node:net';
import { connect } from 'node:net';

import type { Fate } from '../../scripts/soak/fates';
import { cutHeadOf, drawFate } from '../../scripts/soak/fates';
import { Reply } from '../../scripts/soak/reply';
import { seeded } from '../fakes/virtual/workload';
import { closeServer, listen } from '../fakes/http';

const head = { kind: 'head', part: 0.5, ending: 'close', framing: 'connection: close' } as const;

/** Sends a request whose answer has a fate; returns what arrives, and how the connection ends. */
async function answerOf(fate: Fate): Promise<unknown> {
  let isStopped = false;
  const stop = (): void => {
    isStopped = true;
  };
  const { server } = await listen((_, res) => {
    const source = { runnerId: 'i', ratePerS: undefined, fate, load: () => '0,0,1', stop };
    new Reply(res, 'r', source).text('0123456789');
  });
  const socket: Socket = connect((server.address() as AddressInfo).port);
  socket.write('GET / HTTP/1.1\r\nhost: a\r\n\r\n');
  let text = '';
  let end = 'in order';
  socket.on('data', (bytes) => {
    text += bytes.toString();
  });
  socket.on('error', () => {
    end = 'reset';
  });
  await once(socket, 'close').catch(() => undefined);
  await closeServer(server);
  const [first = '', body] = text.split('\r\n\r\n');
  return {
    first: first.split('\r\n')[0],
    body,
    end,
    isStopped,
    hasLength: /length|chunk/.test(first),
  };
}

describe('answers of runners that end early', () => {
  // Guards against a cut head that is whole, or a body that ends early without the end of the process.
  it('end within the head or within a body without a length', async () => {
    const answers = {
      head: await answerOf(head),
      'head, half-closed': await answerOf({ ...head, ending: 'half-close' }),
      'head, reset': await answerOf({ ...head, ending: 'reset' }),
      stop: await answerOf({ kind: 'stop', part: 0.5 }),
      unsized: await answerOf({ kind: 'unsized' }),
    };
    const cut = { first: 'HTTP/1.1 200 OK', end: 'in order', isStopped: false, hasLength: false };
    expect(answers).toEqual({
      head: cut,
      'head, half-closed': cut,
      'head, reset': { ...cut, end: 'reset' },
      stop: { ...cut, body: '01234', isStopped: true },
      unsized: { ...cut, body: '0123456789' },
    });
  });

  // Guards against a cut at the very end of the head, which would leave it whole.
  it('never send a whole head', () => {
    const cuts = [0, 0.999_999].map((part) => cutHeadOf(200, { a: 'b' }, { ...head, part }));
    expect(cuts).toEqual(['', 'HTTP/1.1 200 OK\r\na: b\r\nconnection: close\r\n\r']);
  });

  // Guards against a ratio that has no effect.
  it('are drawn by their ratios', () => {
    const random = seeded(1);
    const counts: Record<string, number> = {};
    for (let i = 0; i < 1000; i += 1) {
      const { kind } = drawFate(random, { headCutRatio: 0.4, stopRatio: 0.5 }, 0.5);
      counts[kind] = (counts[kind] ?? 0) + 1;
    }
    expect(counts).toMatchInlineSnapshot(`
     {
       "head": 411,
       "stop": 284,
       "unsized": 167,
       "whole": 138,
     }
    `);
  });
});
