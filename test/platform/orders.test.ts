import type { IncomingMessage, ServerResponse } from 'node:http';

import { PlatformRunnerClient } from '../../src/platform/runner';
import { listen, readJson, sendJson } from '../fakes/http';
import { runnerOf } from '../fakes/runner';

interface Stand {
  readonly report: unknown;
  /** The start that it is listed with, in Unix milliseconds. Default: none is told. */
  readonly bornAt?: number;
  /** How the runner treats an order. */
  readonly onOrder: (res: ServerResponse) => void;
}

/** Gives one order to a stand-in and tells how it was taken and what the runner got. */
async function orderTo({
  report,
  onOrder,
  bornAt = 0,
}: Stand): Promise<{ outcome: string; got: unknown[] }> {
  const got: unknown[] = [];
  const { server, port } = await listen(async (req: IncomingMessage, res, url) => {
    if (url.pathname === '/v1/report') {
      sendJson(res, 200, report);
      return;
    }
    got.push({ expected: req.headers['expected-instance'], body: await readJson(req) });
    onOrder(res);
  });
  const runner = runnerOf('i-1', 'prefill', { bornAt, address: `127.0.0.1:${port}` });
  try {
    return { outcome: await new PlatformRunnerClient().order(runner, 'decode', 'vm1', 41), got };
  } finally {
    server.closeAllConnections();
    server.close();
  }
}

describe('an order to a runner', () => {
  /*
   * An order gets no answer and is carried out seconds later, after a newer one,
   * or at a runner that was started anew. It names the orders accepted so far and
   * the very start of the runner, so that it then changes nothing.
   */
  test('names the state that it was given for', async () => {
    const { outcome, got } = await orderTo({
      report: { sequence: 2, busy: false },
      onOrder: (res) => sendJson(res, 202, {}),
    });
    expect(outcome).toBe('accepted');
    expect(got).toEqual([
      {
        expected: 'i-1',
        body: {
          operation: 'stage',
          stage: 'decode',
          holder: 'vm1',
          'fencing-token': 41,
          expected: 2,
        },
      },
    ]);
  });

  test('is not given to a runner that carries one out', async () => {
    const { outcome, got } = await orderTo({
      report: { sequence: 2, busy: true },
      onOrder: (res) => sendJson(res, 202, {}),
    });
    expect([outcome, got]).toEqual(['rejected', []]);
  });

  /* The runner started anew under its id: its stage is another one, and it accepted no order of this holder. */
  test('is not given to another start of the runner', async () => {
    const { outcome, got } = await orderTo({
      bornAt: 1_600_000_000_000,
      report: { sequence: 0, busy: false, born: 1_700_000_000_000 },
      onOrder: (res) => sendJson(res, 202, {}),
    });
    expect([outcome, got]).toEqual(['rejected', []]);
  });

  test('is rejected with a stale state or fence', async () => {
    const { outcome } = await orderTo({
      report: { sequence: 2 },
      onOrder: (res) => sendJson(res, 412, {}),
    });
    expect(outcome).toBe('rejected');
  });

  /* Without an answer the order may still be carried out: it counts neither as given nor as not given. */
  test('is unknown when its answer is lost', async () => {
    const { outcome } = await orderTo({
      report: { sequence: 2 },
      onOrder: (res) => res.destroy(),
    });
    expect(outcome).toBe('unknown');
  });
});
