import type { IncomingMessage, ServerResponse } from 'node:http';

import { PlatformRunnerClient } from '../../src/platform/runner';
import { directConnector } from '../fakes/connector';
import { listen, readJson, sendJson } from '../fakes/http';
import { runnerOf } from '../fakes/runner';

interface Stand {
  readonly report: unknown;
  /** Whether its answers announce that it leaves. Default: false */
  readonly isLeaving?: boolean;
  /** Start time in the runner's entry, in Unix milliseconds. Default: none. */
  readonly bornAt?: number;
  /** How the runner responds to an order. */
  readonly onOrder: (res: ServerResponse) => void;
}

/** Sends one order to a fake runner; returns the outcome and what the runner received. */
async function orderTo({
  report,
  onOrder,
  bornAt = 0,
  isLeaving = false,
}: Stand): Promise<{ outcome: string; got: unknown[] }> {
  const got: unknown[] = [];
  const { server, port } = await listen(async (req: IncomingMessage, res, url) => {
    if (isLeaving) res.setHeader('server-leaving', '1');
    if (url.pathname === '/v1/report') {
      sendJson(res, 200, report);
      return;
    }
    got.push({ expected: req.headers['expected-instance'], body: await readJson(req) });
    onOrder(res);
  });
  const runner = runnerOf('i-1', 'prefill', { bornAt, address: `127.0.0.1:${port}` });
  try {
    return {
      outcome: await new PlatformRunnerClient(directConnector).order(runner, 'decode', 'vm1', 41),
      got,
    };
  } finally {
    server.closeAllConnections();
    server.close();
  }
}

describe('an order to a runner', () => {
  /*
   * Guards against an order that gets no response and is executed seconds later, after a
   * newer one or by a runner that was restarted. It contains the number of orders accepted
   * so far and the instance of the runner, so that it then has no effect.
   */
  test('contains the state of the runner that it was decided on', async () => {
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

  test('is not sent to a runner that is executing one', async () => {
    const { outcome, got } = await orderTo({
      report: { sequence: 2, busy: true },
      onOrder: (res) => sendJson(res, 202, {}),
    });
    expect([outcome, got]).toEqual(['rejected', []]);
  });

  test('is not sent to a runner whose report announces that it leaves', async () => {
    const { outcome, got } = await orderTo({
      report: { sequence: 2, busy: false },
      isLeaving: true,
      onOrder: (res) => sendJson(res, 202, {}),
    });
    expect([outcome, got]).toEqual(['leaving', []]);
  });

  /* The runner restarted with the same id: it may have another stage, and has accepted no order of this holder. */
  test('is not sent to another instance of the runner', async () => {
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

  /* Without a response the order may still be executed, so it counts neither as accepted nor as rejected. */
  test('has an unknown outcome when the response is lost', async () => {
    const { outcome } = await orderTo({
      report: { sequence: 2 },
      onOrder: (res) => res.destroy(),
    });
    expect(outcome).toBe('unknown');
  });
});
