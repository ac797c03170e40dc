import type { IncomingMessage } from 'node:http';
import { request } from 'node:http';

import { Cluster, tokens } from '../fakes/cluster';
import { PARTIAL_BODY } from '../fakes/service';

/** Calls a plain service; returns status, whether the response is complete, and its error name or text. */
function outcomeOf(url: string, method: string, key?: string): Promise<string> {
  const headers = {
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
    req.on('error', reject);
    req.end();
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
