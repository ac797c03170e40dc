import type { ClientRequest, IncomingMessage } from 'node:http';
import { request } from 'node:http';
import { setTimeout as pause } from 'node:timers/promises';

import { Cluster, tokens } from '../fakes/cluster';
import { PARTIAL_BODY } from '../fakes/service';

const PIECES = 9;
const PIECE = 'x'.repeat(100_000);
/** Pause between two pieces of a body, in milliseconds. */
const PIECE_MS = 50;

/** Sends a body of 0.9 MB at 2 MB/s. */
async function upload(req: ClientRequest): Promise<void> {
  for (let piece = 0; piece < PIECES; piece += 1) {
    req.write(PIECE);
    await pause(PIECE_MS);
  }
  req.end();
}

/**
 * Calls a plain service; returns status, whether the response is complete, and its error name or text.
 * @param hasUpload whether the call has a long body
 */
function outcomeOf(url: string, method: string, key?: string, hasUpload = false): Promise<string> {
  const headers = {
    ...(hasUpload ? { 'content-length': PIECES * PIECE.length } : {}),
    authorization: `Bearer ${tokens.clerks}`,
    ...(key === undefined ? {} : { 'idempotency-key': key }),
  };
  return new Promise((resolve, reject) => {
    const req = request(url, { method, headers }, (res: IncomingMessage) => {
      let text = '';
      res.on('data', (chunk: Buffer) => {
        text += chunk.toString();
      });
      res.on('close', () => {
        const name = /"name":"(\w+)"/.exec(text)?.[1];
        resolve(`${res.statusCode} ${res.complete ? 'whole' : 'cut'} ${name ?? text}`);
      });
      res.on('error', () => {});
    });
    req.on('error', hasUpload ? () => resolve('reset') : reject);
    if (hasUpload) upload(req).catch(reject);
    else req.end();
  });
}

describe.each([
  ['whose connection is reset', { resetsAnswers: true }],
  ['whose runner is killed', { diesInAnswers: true }],
])('a response without a length %s', (_, fault) => {
  const cluster = new Cluster({ vms: 1 });

  beforeAll(async () => {
    await cluster.start();
    for (const runner of cluster.plainRunners) Object.assign(runner, fault);
  }, 30_000);
  afterAll(() => cluster.stop());

  // Guards against a truncated response that looks complete.
  test('is truncated for the caller as well', async () => {
    const url = `${cluster.callers(0)}/services/registry/tiles`;
    expect(await outcomeOf(url, 'GET')).toBe(`200 cut ${PARTIAL_BODY}`);
  });

  // Guards against a truncated response that is stored and replayed to each repeat of the call.
  test('is not stored as the outcome of a non-idempotent call', async () => {
    const url = `${cluster.callers(0)}/services/registry/receipts`;
    const outcomes = [
      await outcomeOf(url, 'POST', 'receipt-1'),
      await outcomeOf(url, 'POST', 'receipt-1'),
    ];
    expect(outcomes).toMatchInlineSnapshot(`
     [
       "502 whole outcomeUnknown",
       "409 whole alreadyRunning",
     ]
    `);
  });
});

describe('a response without a length whose runner does not read the request', () => {
  const cluster = new Cluster({ vms: 1 });

  beforeAll(async () => {
    await cluster.start();
    for (const runner of cluster.plainRunners) runner.abandonsRequests = true;
  }, 30_000);
  afterAll(() => cluster.stop());

  // Guards against a truncated response that looks complete, or that is stored as the outcome of the call.
  test('is truncated for the caller as well, and no outcome is stored', async () => {
    const url = `${cluster.callers(0)}/services/registry`;
    const idempotent = await Promise.all(
      [1, 2, 3].map((call) => outcomeOf(`${url}/tiles?${call}`, 'PUT', undefined, true)),
    );
    const once = [
      await outcomeOf(`${url}/receipts`, 'POST', 'receipt-9', true),
      await outcomeOf(`${url}/receipts`, 'POST', 'receipt-9', true),
    ];
    const isCut = (outcome: string): boolean => /^(200 cut|502 whole)|^reset/.test(outcome);
    expect(idempotent.filter((outcome) => !isCut(outcome))).toEqual([]);
    expect(once).toEqual(['502 whole outcomeUnknown', '409 whole alreadyRunning']);
  });
});

describe('an answer that may be a refusal', () => {
  const cluster = new Cluster({ vms: 1 });
  const BUSY = '{"error":"busy"}';
  const REFUSAL = '{"not_run":true}';
  const answerOf = (body: string, length: number): string =>
    `HTTP/1.1 503 x\r\nContent-Type: application/json\r\nContent-Length: ${length}\r\n\r\n${body}`;

  beforeAll(() => cluster.start(), 30_000);
  afterAll(() => cluster.stop());

  // Guards against a caller that waits for a body that was read on the way, an outcome that is kept without it, and an internal error for a runner that was lost.
  test.each([
    ['is whole', answerOf(BUSY, BUSY.length), `503 whole ${BUSY}`, `503 whole ${BUSY}`],
    ['is cut', answerOf(BUSY, 90), '502 whole runnerFailed', '502 whole outcomeUnknown'],
    [
      'is a cut refusal',
      answerOf(REFUSAL, 90),
      '502 whole runnerFailed',
      '502 whole outcomeUnknown',
    ],
    [
      'switches protocols',
      'HTTP/1.1 101 x\r\nUpgrade: x\r\nConnection: upgrade\r\n\r\n',
      '502 whole runnerFailed',
      '502 whole outcomeUnknown',
    ],
    ...['000', '099', '600', '999'].map((status) => [
      `has status ${status}`,
      `HTTP/1.1 ${status} x\r\nContent-Length: 4\r\n\r\nbody`,
      '502 whole runnerFailed',
      '502 whole outcomeUnknown',
    ]),
  ])('and %s reaches its caller', async (name = '', rawAnswer = '', idempotent = '', once = '') => {
    for (const runner of cluster.plainRunners) Object.assign(runner, { rawAnswer });
    const url = `${cluster.callers(0)}/services/registry`;
    const path = encodeURIComponent(name);
    expect([
      await outcomeOf(`${url}/tiles?${path}`, 'GET'),
      await outcomeOf(`${url}/receipts?${path}`, 'POST', path),
    ]).toEqual([idempotent, once]);
  });
});
