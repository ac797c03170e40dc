import { connect } from 'node:net';

import WebSocket from 'ws';

import { encode } from '../../src/node/peer/codec';
import { outputText } from '../fakes/engine/text';
import { requestCompletion, openStream } from '../fakes/caller';
import { Cluster, tokens } from '../fakes/cluster';
import { call } from '../fakes/http';

/** Sends raw bytes and gives what comes back until the other side closes. */
function sendRaw(url: string, text: string, halfClose = false): Promise<string> {
  const { hostname, port } = new URL(url);
  return new Promise((resolve, reject) => {
    let answer = '';
    const socket = connect({ host: hostname, port: Number(port), allowHalfOpen: true }, () => {
      if (halfClose) socket.end(text);
      else socket.write(text);
    });
    socket.on('data', (data) => {
      answer += data.toString();
    });
    socket.on('end', () => {
      socket.end();
      resolve(answer);
    });
    socket.on('error', reject);
  });
}

function errorOf(body: unknown): string {
  const { error } = body as {
    error: { code: number; name: string; message: string; notRun: boolean };
  };
  return `${error.code} ${error.name} notRun=${error.notRun}: ${error.message}`;
}

const clerk = { authorization: `Bearer ${tokens.clerks}` };

describe('bad input at the edges', () => {
  const cluster = new Cluster();

  beforeAll(() => cluster.start(), 30_000);
  afterAll(() => cluster.stop());

  /* Whatever a caller sends, others must not notice: one stream runs through all of it. */
  test('gets a numbered error and leaves another request untouched', async () => {
    const witness = openStream(cluster.callers(0), 'witness', 800);
    const post = (body: unknown, headers = clerk): Promise<unknown> =>
      call('POST', `${cluster.callers(0)}/v1/completions`, body, headers).then(
        ({ status, body: text }) => `${status} ${errorOf(text)}`,
      );
    const seen = {
      truncated: await post('{"model": "deeds", "prom'),
      wrongType: await post({ model: 'deeds', prompt: 7 }),
      noToken: await post({ model: 'deeds', prompt: 'x' }, {} as never),
      wrongToken: await post({ model: 'deeds', prompt: 'x' }, { authorization: 'Bearer nobody' }),
      unknownService: await post({ model: 'nothing', prompt: 'x' }),
      oversize: await post({ model: 'deeds', prompt: 'x'.repeat(1_100_000) }),
      noRoute: await call('GET', `${cluster.callers(0)}/nowhere`).then(({ body }) => errorOf(body)),
      noKey: await call('POST', `${cluster.callers(0)}/services/registry/receipts`, {}, clerk).then(
        ({ body }) => errorOf(body),
      ),
      longKey: await call(
        'POST',
        `${cluster.callers(0)}/services/registry/receipts`,
        {},
        { ...clerk, 'idempotency-key': 'k'.repeat(300) },
      ).then(({ body }) => errorOf(body)),
    };
    expect(seen).toMatchInlineSnapshot(`
     {
       "longKey": "201 badRequest notRun=true: found an unusable Idempotency-Key, expected 1 to 200 characters",
       "noKey": "206 keyRequired notRun=true: found no Idempotency-Key header",
       "noRoute": "201 badRequest notRun=true: found GET /nowhere, expected POST /v1/completions, /services/NAME/… or GET /v1/addresses",
       "noToken": "401 202 unauthorized notRun=true: found no bearer token, expected an Authorization header with one",
       "oversize": "413 205 bodyTooLarge notRun=true: found a body over 1000000 bytes, expected at most that",
       "truncated": "400 201 badRequest notRun=true: the body is no JSON: Unterminated string in JSON at position 24",
       "unknownService": "404 204 unknownService notRun=true: there is no model service 'nothing'",
       "wrongToken": "401 202 unauthorized notRun=true: found an unknown bearer token",
       "wrongType": "400 201 badRequest notRun=true: at prompt: Invalid input: expected string, received number",
     }
    `);
    await witness.ended;
    expect(witness.text).toBe(outputText('witness', 800));
  });

  test('that is no http gets a numbered error', async () => {
    const answer = await sendRaw(cluster.callers(0), 'EHLO mail\r\n\r\n');
    expect(answer.split('\r\n\r\n')[1]).toMatchInlineSnapshot(`
     "{"error":{"code":201,"name":"badRequest","message":"found HPE_INVALID_METHOD, expected HTTP","notRun":true,"remedy":"Mend the part of the request that is named."}}
     "
    `);
  });

  test('in a header over the limit gets a numbered error', async () => {
    const answer = await sendRaw(
      cluster.callers(0),
      `GET / HTTP/1.1\r\nx: ${'y'.repeat(20_000)}\r\n\r\n`,
    );
    expect(answer.split('\r\n\r\n')[1]).toMatchInlineSnapshot(`
     "{"error":{"code":201,"name":"badRequest","message":"found HPE_HEADER_OVERFLOW, expected HTTP","notRun":true,"remedy":"Mend the part of the request that is named."}}
     "
    `);
  });

  test('on a connection that is closed half way is answered all the same', async () => {
    const answer = await sendRaw(
      cluster.callers(0),
      'GET /healthz HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n',
      true,
    );
    expect(answer).toContain('{"ok":true}');
  });

  test('on the peer port is cut off, and the scheduler goes on', async () => {
    const cutOff = (first: Buffer): Promise<string> =>
      new Promise((resolve) => {
        const socket = new WebSocket(`ws://${cluster.peers(0)}/peer`);
        socket.on('open', () => socket.send(first));
        socket.on('message', () => resolve('answered'));
        socket.on('close', () => resolve('cut off'));
        socket.on('error', () => {});
      });
    const hello = { kind: 'hello', version: 1, key: 'wrong', role: 'gateway', id: 'x', vm: 'x' };
    const seen = await Promise.all([
      cutOff(Buffer.from('garbage')),
      cutOff(encode(hello)),
      cutOff(encode({ ...hello, key: 'test-key-test-key', version: 99 })),
      cutOff(encode({ kind: 'finished', pool: 'deeds', id: 'x', tokens: 1 })),
      sendRaw(`http://${cluster.peers(0)}`, 'garbage\r\n\r\n')
        .catch(() => 'cut off')
        .then((text) => text || 'cut off'),
    ]);
    expect(seen).toEqual(['cut off', 'cut off', 'cut off', 'cut off', 'cut off']);
    const answer = await requestCompletion(cluster.callers(0), 'after garbage', 20);
    expect(answer.text).toBe(outputText('after garbage', 20));
  });
});
